"""Endpoints that check the requests and orders they receive."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

from soak import conditions as conditions_module
from standins import platform_engine
from standins import platform_site

LEASE_SECONDS = 1.0
# A request whose body begins with this crashes the endpoint that runs it.
POISON = b"deadly"
# A prompt with a part whose id begins with this crashes the engine that begins
# to write an answer to it.
POISON_PART = "deadly-part"
# What a crash for lack of room counts as.
FALL = b"lack of room"
# The pool's memory and adapter slots in the manifest.
_POOL = platform_site.manifest()["services"][1]["engine"]
_SLOTS = int(_POOL["slots"])
# Pause between two reads of a large request.
_READ_PAUSE_SECONDS = 0.002
# Size of an answer for slow readers, far more than a gateway may hold.
_LARGE_BYTES = 32_000_000
_LARGE_WRITE_BYTES = 64 * 1024
EVENT_COUNT = 12
# Bytes of an unframed answer or event that are written first.
_FIRST_BYTES = 5
_EVENT_INTERVAL_SECONDS = 0.03
# What an endpoint may send that is no answer: the gateway's largest limit and
# what the sockets buffer.
_MAX_ENDLESS_BYTES = 32_000_000
# Trailers, a chunk's extension, and chunks of another request's answer.
_ENDLESS_PARTS = (
    b"x: " + b"y" * 8000 + b"\r\n",
    b"2;" + b"y" * 8000,
    b"1f40\r\n" + b"y" * 8000 + b"\r\n",
)


@dataclasses.dataclass
class Oracle:
    """Records executions and violations.

    Attributes:
        runs: Number of executions by request id.
        violations: Violated rules, one line each.
    """

    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)

    def report_violation(self, text: str) -> None:
        """Records and prints a violation."""
        self.violations.append(text)
        print(f"VIOLATION {text}", flush=True)


class Endpoint(platform_engine.PlatformEngine):
    """A stand-in that reports executions and violations to an oracle."""

    def attach_oracle(
        self,
        oracle: Oracle,
        service: str,
        on_crash: Callable[["Endpoint", bytes], None],
        conditions: conditions_module.Conditions,
    ) -> None:
        """Attaches the endpoint to an oracle; called before `start`.

        Args:
            oracle: Records executions and violations.
            service: The service that the endpoint belongs to.
            on_crash: Called with the endpoint and the body of the request
                that crashes it.
            conditions: What the seed plays besides faults.
        """
        self._conditions = conditions
        self.running = 0
        self.oracle = oracle
        self.service = service
        self.on_crash = on_crash
        self.announces_leaving = False
        self.version = ""
        # Until when it refuses requests with Retry-After, monotonic seconds.
        self.backs_off_until = 0.0
        self.received_in_backoff = 0
        # Until when it sends bytes that are no answer, monotonic seconds.
        self.endless_until = 0.0
        self.falls = 0
        self.draining_since: float | None = None
        self.last_order = (0.0, "", 0)
        self.script = _run_stream if service == "models" else _run_plain
        self.read_pause = _READ_PAUSE_SECONDS
        self.brittle_services: dict[str, tuple[int, int | None]] = {}

    def fall_over(self) -> None:
        """Has itself replaced because it turned too many requests away."""
        self.falls += 1
        self.on_crash(self, FALL)

    @property
    def factor(self) -> float:
        """How long work takes here now, 1 for the usual."""
        return self._conditions.find_factor(self.name, time.monotonic())

    def make_headers(self) -> dict[str, str]:
        """Returns the headers of all answers, with its load if it states it."""
        headers = super().make_headers()
        if self._conditions.is_uneven and self.service == "models":
            running = min(self.running, _SLOTS)
            waiting = self.running - running
            headers["Wayslip-Server-Load"] = (
                f"{running},{waiting},{_SLOTS},{round(self.factor * 100)}"
            )
        return headers

    async def stream(
        self,
        request: platform_engine.ReceivedRequest,
        connection: platform_engine.Connection,
    ) -> None:
        """Streams an answer at the endpoint's speed."""
        self.running += 1
        try:
            await _write_stream(self, request, connection)
        finally:
            self.running -= 1

    async def _respond(
        self,
        request: platform_engine.ReceivedRequest,
        connection: platform_engine.Connection,
    ) -> None:
        target = request.headers.get("wayslip-target-instance", self.name)
        if target != self.name:
            body = b"another engine"
            await connection.answer(request, body, 421, Wayslip_Server_Seal="")
            return
        if self.endless_until > time.monotonic():
            await self._send_without_end(request, connection)
            return
        left = self.backs_off_until - time.monotonic()
        if left > 0 and request.id:
            self.received_in_backoff += 1
            backoff = {
                "Retry-After": f"{left:.3f}",
                "Wayslip-Not-Executed": "1",
            }
            await connection.answer(request, b"", 503, **backoff)
            return
        self.brittle, self.room = self.brittle_services.get(
            self.service, (None, None)
        )
        await super()._respond(request, connection)

    async def _send_without_end(
        self,
        request: platform_engine.ReceivedRequest,
        connection: platform_engine.Connection,
    ) -> None:
        """Sends bytes that are no answer until the gateway closes."""
        other = f"not-{request.id}"
        kind = len(self.calls) % len(_ENDLESS_PARTS)
        self.calls.append(time.monotonic())
        await connection.write(
            platform_engine.format_answer(
                other if kind else request.id,
                b"",
                Content_Length="",
                Transfer_Encoding="chunked",
            )
        )
        if not kind:
            await connection.write(b"0\r\n")
        sent = 0
        while sent < _MAX_ENDLESS_BYTES:
            await connection.write(_ENDLESS_PARTS[kind])
            sent += len(_ENDLESS_PARTS[kind])
        self.oracle.report_violation(
            f"ENDLESS {self.name} sent {sent} bytes that are no answer"
        )
        connection.reset()

    async def _take_order(
        self,
        request: platform_engine.ReceivedRequest,
        connection: platform_engine.Connection,
    ) -> None:
        at, holder, token = self.last_order
        now = time.monotonic()
        order = _decode(request.body)
        if order["holder"] != holder and holder:
            if now - at < LEASE_SECONDS:
                self.oracle.report_violation(
                    f"ONE two lease holders at {self.name}"
                )
            if order["fencing_token"] <= token:
                self.oracle.report_violation(
                    f"ONE fencing token fell at {self.name}"
                )
        self.last_order = (now, order["holder"], order["fencing_token"])
        await super()._take_order(request, connection)
        models = platform_site.MODEL_SPEC
        adapters = sum(len(a) for a in self.models.values())
        used = len(self.models) * float(str(models["weights_mb"])) + adapters
        if used > _POOL["weights_mb"] or adapters > _POOL["adapter_slots"]:
            self.oracle.report_violation(
                f"LIMIT {self.name} holds {self.models}"
            )

    def find_framing(
        self, request: platform_engine.ReceivedRequest
    ) -> platform_engine.Framing:
        """Returns how the answer to a request says where it ends."""
        if self._conditions.is_unframed(request.id):
            return platform_engine.Framing.UNFRAMED
        return platform_engine.Framing.CHUNKED

    def find_break(self, request: platform_engine.ReceivedRequest) -> int:
        """Returns the event in which a stream breaks off here, 0 for none."""
        key = f"{request.id}-{self.name}"
        return self._conditions.find_break(key, EVENT_COUNT)

    def record_run(self, request: platform_engine.ReceivedRequest) -> None:
        """Counts an execution of a request."""
        runs = self.oracle.runs
        runs[request.id] = runs.get(request.id, 0) + 1


def _decode(body: bytes) -> dict[str, Any]:
    decoded: dict[str, Any] = json.loads(body)
    return decoded


async def _run_plain(
    engine: platform_engine.PlatformEngine,
    request: platform_engine.ReceivedRequest,
    connection: platform_engine.Connection,
) -> None:
    assert isinstance(engine, Endpoint)
    engine.record_run(request)
    if request.target.startswith("/large/"):
        await _run_large(engine, request, connection)
        return
    await asyncio.sleep(0.01)
    if request.body.startswith(POISON):
        engine.on_crash(engine, request.body)
        return
    leaving = {"Server-Leaving": "1"} if engine.announces_leaving else {}
    body = f"whole {request.id}".encode()
    framing = engine.find_framing(request)
    if framing is platform_engine.Framing.CHUNKED:
        await connection.answer(request, body, 200, **leaving)
        return
    await connection.begin(request, framing, **leaving)
    # The answer may be broken off between its parts.
    await connection.write_part(body[:_FIRST_BYTES])
    await asyncio.sleep(_EVENT_INTERVAL_SECONDS)
    await connection.write_part(body[_FIRST_BYTES:])
    await connection.finish()


async def _run_stream(
    engine: platform_engine.PlatformEngine,
    request: platform_engine.ReceivedRequest,
    connection: platform_engine.Connection,
) -> None:
    assert isinstance(engine, Endpoint)
    model = request.headers.get("wayslip-model", "").partition("/")[0]
    if model not in engine.models:
        await connection.answer(request, b"", 421, Wayslip_Server_Seal="")
        return
    engine.record_run(request)
    part = _find_poison_part(request)
    if part:
        await asyncio.sleep(_EVENT_INTERVAL_SECONDS)
        engine.on_crash(engine, part.encode())
        return
    await engine.stream(request, connection)


def _find_poison_part(request: platform_engine.ReceivedRequest) -> str:
    """Returns the part of a prompt that crashes engines, empty if none does.

    The last part belongs to the request itself and never does.
    """
    prefix = request.headers.get("wayslip-prompt-prefix", "")
    parts = [item.partition(":")[0] for item in prefix.split(",")]
    return next((p for p in parts[:-1] if p.startswith(POISON_PART)), "")


async def _run_large(
    engine: Endpoint,
    request: platform_engine.ReceivedRequest,
    connection: platform_engine.Connection,
) -> None:
    if request.body != format_upload(request.id, len(request.body)):
        engine.oracle.report_violation(f"MIXED upload of {request.id}")
    seconds, size = _find_work(request.target)
    await asyncio.sleep(seconds)
    body = format_large(request.id, size)
    head = platform_engine.format_answer(
        request.id, b"", 200, Content_Length=str(len(body))
    )
    await connection.write(head)
    for offset in range(0, len(body), _LARGE_WRITE_BYTES):
        await connection.write(body[offset : offset + _LARGE_WRITE_BYTES])


async def _write_stream(
    engine: Endpoint,
    request: platform_engine.ReceivedRequest,
    connection: platform_engine.Connection,
) -> None:
    framing = engine.find_framing(request)
    is_unframed = framing is platform_engine.Framing.UNFRAMED
    breaks_at = engine.find_break(request)
    await connection.begin(request, framing, Content_Type="text/event-stream")
    for number in range(request.last_event + 1, EVENT_COUNT + 1):
        await asyncio.sleep(_EVENT_INTERVAL_SECONDS * engine.factor)
        event = format_event(number, request.stream, engine.version)
        if number == breaks_at:
            await _break_off(connection, event, is_unframed)
            return
        if is_unframed:
            await connection.write_part(event[:_FIRST_BYTES])
            await asyncio.sleep(_EVENT_INTERVAL_SECONDS * engine.factor / 2)
            event = event[_FIRST_BYTES:]
        await connection.write_part(event)
    await connection.finish()


async def _break_off(
    connection: platform_engine.Connection, event: bytes, is_unframed: bool
) -> None:
    """Breaks a stream off, in one of three ways that its events draw."""
    way = len(event) % 3
    if not is_unframed or way == 0:
        connection.reset()
        return
    part = event[:_FIRST_BYTES] if way == 1 else event[:-1]
    await connection.write_part(part)
    connection.close()


def format_event(number: int, stream: str, version: str) -> bytes:
    """Returns one event, which names the version that wrote it."""
    return f"id: {number}\ndata: {stream} {version}\n\n".encode()


def format_upload(request_id: str, size: int) -> bytes:
    """Returns a large request body."""
    return _repeat(f"up {request_id}\n".encode(), size)


def format_large(request_id: str, size: int = _LARGE_BYTES) -> bytes:
    """Returns the whole answer to a slow reader."""
    return _repeat(f"down {request_id}\n".encode(), size)


def _find_work(target: str) -> tuple[float, int]:
    """Returns the seconds of work for an answer, and its size.

    A path like "/large/2500/9000" names both: milliseconds, and bytes.
    """
    named = target.split("/")[2:]
    if len(named) != 2:
        return 0.0, _LARGE_BYTES
    return int(named[0]) / 1000, int(named[1])


def _repeat(text: bytes, size: int) -> bytes:
    return (text * (size // len(text) + 1))[:size]
