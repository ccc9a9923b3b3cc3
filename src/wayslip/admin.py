"""What every daemon answers on its operators' port.

`/healthz` and `/readyz` are open, for the balancer; everything else needs an
operator's key.
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
    """What a daemon adds to the common answers.

    Attributes:
        is_ready: Whether the balancer should send callers.
        dump: Returns the state of the process, for the dump.
        extra: Answers further paths for a named operator, or returns None.
    """

    is_ready: Callable[[], bool]
    dump: Callable[[], Any]
    extra: ExtraHandler


def find_operator(
    operators: tuple[settings_module.Operator, ...], header: str
) -> str | None:
    """Returns the name behind an Authorization header, None if none fits."""
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer":
        return None
    for operator in operators:
        if hmac.compare_digest(operator.key.encode(), key.strip().encode()):
            return operator.name
    return None


def render_state(value: Any) -> str:
    """Returns a state dump as JSON text; sets and enums become plain."""
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
                401, "no operator has this key", "set WAYSLIP_KEY"
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
            404, f"there is no {request.path}", "see docs/operators.md"
        )


def answer_problem(status: int, reason: str, remedy: str) -> web.Answer:
    """Returns an answer that says what is wrong and what to do."""
    return web.answer_json(status, {"reason": reason, "remedy": remedy})
