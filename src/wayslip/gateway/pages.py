"""HTTP pages at the operators' address of an instance."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import urllib.parse

from wayslip import metrics as metrics_module
from wayslip import registry
from wayslip.gateway.sharing import copy_client
from wayslip.gateway.sharing import distribution as distribution_module
from wayslip.gateway.sharing import quarantine as quarantine_module
from wayslip.http1 import server

_TEXT = ((b"content-type", b"text/plain; charset=utf-8"),)
_JSON = ((b"content-type", b"application/json"),)


class Pages:
    """Metrics, state, copies of the configuration, and the quarantine."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        dump: Callable[[], dict[str, object]],
        distribution: distribution_module.Distribution,
        quarantine: quarantine_module.Quarantine,
    ) -> None:
        self.quarantine = quarantine
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


@_PAGES.register("/suspects")
async def _show_suspects(pages: Pages, exchange: server.Exchange) -> None:
    found = {"suspects": pages.quarantine.dump()}
    exchange.answer(200, _JSON, json.dumps(found).encode())


def _refuse(
    exchange: server.Exchange, status: int, reason: str, remedy: str
) -> None:
    body = {"reason": reason, "remedy": remedy}
    exchange.answer(status, _JSON, json.dumps(body).encode())


@_PAGES.register("/suspects/lift")
async def _lift_suspect(pages: Pages, exchange: server.Exchange) -> None:
    if exchange.request.method != b"POST":
        _refuse(exchange, 405, "lifting a block changes state", "use POST")
        return
    query = exchange.request.target.partition(b"?")[2].decode("latin-1")
    text = urllib.parse.parse_qs(query).get("content", [""])[0]
    try:
        content = bytes.fromhex(text)
    except ValueError:
        _refuse(exchange, 400, f"{text} is not a digest", "give it in hex")
        return
    if not pages.quarantine.lift(content, "operator"):
        remedy = "list the suspects with wayslipctl suspects"
        _refuse(exchange, 404, f"no endpoint crashed under {text}", remedy)
        return
    exchange.answer(200, _JSON, json.dumps({"lifted": text}).encode())


@_PAGES.register(copy_client.PATH)
async def _serve_copy(pages: Pages, exchange: server.Exchange) -> None:
    await pages.distribution.answer(exchange)
