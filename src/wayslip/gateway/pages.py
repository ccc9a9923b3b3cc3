"""What an instance answers at its operators' address."""

from collections.abc import Awaitable
from collections.abc import Callable
import json

from wayslip import metrics as metrics_module
from wayslip import registry
from wayslip.gateway import copying
from wayslip.gateway import distribution as distribution_module
from wayslip.http1 import server

_TEXT = ((b"content-type", b"text/plain; charset=utf-8"),)
_JSON = ((b"content-type", b"application/json"),)


class Pages:
    """Figures, the state of the process, and copies for other instances."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        dump: Callable[[], dict[str, object]],
        distribution: distribution_module.Distribution,
    ) -> None:
        self.metrics = metrics
        self.dump = dump
        self.distribution = distribution

    async def answer(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        path = exchange.request.target.partition(b"?")[0].decode("latin-1")
        if path not in _PAGES:
            known = ", ".join(_PAGES)
            exchange.answer(404, _TEXT, f"ask for one of {known}\n".encode())
            return
        await _PAGES.get(path)(self, exchange)


Page = Callable[[Pages, server.Exchange], Awaitable[None]]
_PAGES: registry.Registry[Page] = registry.Registry("operators' page")


@_PAGES.register("/metrics")
async def _show_metrics(pages: Pages, exchange: server.Exchange) -> None:
    exchange.answer(200, _TEXT, pages.metrics.render())


@_PAGES.register("/state")
async def _show_state(pages: Pages, exchange: server.Exchange) -> None:
    data = json.dumps(pages.dump(), default=str).encode()
    exchange.answer(200, _JSON, data)


@_PAGES.register(copying.PATH)
async def _hand_on(pages: Pages, exchange: server.Exchange) -> None:
    await pages.distribution.answer(exchange)
