"""The operators' port of a daemon: health, metrics, state and calls.

`/healthz` and `/readyz` need no key, so that the load balancer can call them;
all other paths need an operator's key.
"""

from collections.abc import Callable
import dataclasses
import hmac
import json
from typing import Any

import pydantic_core

from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip import web

ExtraHandler = Callable[[web.Request, str], web.Answer | None]
_THREADS = 8


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Functions by which a daemon answers on its operators' port.

    Attributes:
        is_ready: Whether the load balancer should send callers.
        dump: Returns the state of the process.
        extra: Answers other paths, given the request and the operator's name;
            returns None for unknown paths.
    """

    is_ready: Callable[[], bool]
    dump: Callable[[], Any]
    extra: ExtraHandler


def find_operator(
    operators: tuple[settings_module.Operator, ...], header: str
) -> str | None:
    """Returns the operator of an Authorization header, None if unknown."""
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer":
        return None
    for operator in operators:
        if hmac.compare_digest(operator.key.encode(), key.strip().encode()):
            return operator.name
    return None


def render_state(value: Any) -> str:
    """Returns a state dump as JSON text.

    Sets become lists, enums their values, and unknown types text.
    """
    plain = pydantic_core.to_jsonable_python(value, fallback=str)
    return json.dumps(plain, indent=1, sort_keys=True)


class AdminServer:
    """Serves the operators' port of a daemon."""

    def __init__(
        self,
        address: str,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        hooks: Hooks,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._hooks = hooks
        self._server = web.Server(
            address, self._answer, settings.limits, _THREADS
        )

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop()

    def _answer(self, request: web.Request) -> web.Answer | None:
        match request.path:
            case "/healthz":
                return web.answer_json(200, {"status": "ok"})
            case "/readyz":
                ready = self._hooks.is_ready()
                status = 200 if ready else 503
                return web.answer_json(status, {"ready": ready})
        operator = find_operator(
            self._settings.operators, request.header("Authorization")
        )
        if operator is None:
            return answer_problem(
                401, "the key belongs to no operator", "set WAYSLIP_KEY"
            )
        match request.path:
            case "/metrics":
                return web.Answer(
                    200, self._metrics.render(), "text/plain; version=0.0.4"
                )
            case "/state":
                text = render_state(self._hooks.dump())
                return web.Answer(200, text.encode())
        answer = self._hooks.extra(request, operator)
        if answer is not None:
            return answer
        return answer_problem(
            404, f"there is no path {request.path}", "see docs/operators.md"
        )


def answer_problem(status: int, reason: str, remedy: str) -> web.Answer:
    """Returns an error answer with its reason and remedy."""
    return web.answer_json(status, {"reason": reason, "remedy": remedy})
