"""Stand-in for an endpoint of the platform, with scripted faults.

It reads complete requests from raw sockets and passes them to a script, which
may write a complete answer, a partial one, several, or none.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import json
import socket
import struct
from typing import Any

from wayslip import clock

SEAL = "3e1b.07.5a2"
# `struct linger` with a time of 0, with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Bytes that an endpoint reads at once if it reads slowly.
_READ_BYTES = 32 * 1024


class Framing(enum.Enum):
    """How the head of an answer in parts says where its body ends.

    Attributes:
        CHUNKED: By chunks.
        UNFRAMED: Not at all; the body ends with its connection.
    """

    CHUNKED = "chunked"
    UNFRAMED = "unframed"


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request that an endpoint received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("wayslip-request-id", "")

    @property
    def stream(self) -> str:
        """Id of the request that began the stream which this one asks for."""
        return self.headers.get("resumes", self.id)

    @property
    def last_event(self) -> int:
        """Number of the last event that the client has, 0 for none."""
        return int(self.headers.get("last-event-id", 0))


Script = Callable[
    ["PlatformEngine", ReceivedRequest, "Connection"], Awaitable[None]
]


class Connection:
    """The connection on which a request was received."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        # Headers added to every answer that the endpoint itself sends.
        self.headers: dict[str, str] = {}
        self._framing = Framing.CHUNKED

    async def write(self, data: bytes) -> None:
        """Writes raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Resets the connection; without lingering, `abort` would close it."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.writer.transport.abort()

    def close(self) -> None:
        """Closes the connection in order, after all that was written."""
        self.writer.close()

    async def begin(
        self, request: ReceivedRequest, framing: Framing, **headers: str
    ) -> None:
        """Writes the head of a success whose body follows in parts."""
        self._framing = framing
        is_chunked = framing is Framing.CHUNKED
        coding = "chunked" if is_chunked else ""
        named = {**self.headers, **headers, "Transfer_Encoding": coding}
        await self.write(
            format_answer(request.id, b"", 200, Content_Length="", **named)
        )

    async def write_part(self, data: bytes) -> None:
        """Writes a part of the body."""
        if self._framing is Framing.CHUNKED:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await self.write(data)

    async def finish(self) -> None:
        """Ends the body."""
        if self._framing is Framing.CHUNKED:
            await self.write(b"0\r\n\r\n")
        else:
            self.close()

    async def answer(
        self,
        request: ReceivedRequest,
        body: bytes = b"ok",
        status: int = 200,
        **headers: str,
    ) -> None:
        """Writes a complete answer with the endpoint's headers."""
        named = {**self.headers, **headers}
        await self.write(format_answer(request.id, body, status, **named))


def format_answer(
    request_id: str, body: bytes, status: int = 200, **headers: str
) -> bytes:
    """Returns a complete answer as bytes; empty header values are omitted."""
    named = {
        "Wayslip-Request-Id": request_id,
        "Wayslip-Server-Seal": SEAL,
        "Content-Length": str(len(body)),
    }
    named.update({k.replace("_", "-"): v for k, v in headers.items()})
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{k}: {v}" for k, v in named.items() if v]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer_whole(
    engine: "PlatformEngine", request: ReceivedRequest, connection: Connection
) -> None:
    """The default script: answers with the endpoint's name."""
    await connection.answer(request, engine.name.encode())


@dataclasses.dataclass
class PlatformEngine:
    """The stand-in. Used on the event loop only.

    Attributes:
        script: Answers requests other than orders and reports.
        received: Requests received, without orders and requests for reports.
        orders: Bodies of the orders received.
        order_status: Status of the answer to an order; 0 to apply the order
            and reset the connection.
        applied_orders: Number of orders applied.
        report_lag: Age of the state that reports show, in seconds.
        report_text: JSON text that is sent in place of reports, if any.
        limit: Requests per second that its answers announce as its limit,
            None to announce no limit.
        brittle: Requests that it may turn away for lack of room in a second,
            as its answers announce; with one more it crashes. None if it is
            not brittle.
        room: Requests that it takes at once, running or waiting; None for any
            number.
        read_pause: Pause between two reads of a request's body, in seconds.
        calls: When each request, order and request for a report was
            received, in monotonic seconds.
        left: Number of connections that were closed while a script ran.
        is_ended: Whether it has crashed.
    """

    name: str
    script: Script = answer_whole
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    order_status: int = 202
    applied_orders: int = 0
    report_lag: float = 0.0
    report_text: str = ""
    limit: float | None = None
    brittle: int | None = None
    room: int | None = None
    read_pause: float = 0.0
    calls: list[float] = dataclasses.field(default_factory=list)
    _reports: list[tuple[float, dict[str, Any]]] = dataclasses.field(
        default_factory=list
    )
    models: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    is_busy: bool = False
    connections: int = 0
    left: int = 0
    is_ended: bool = False
    _taken: int = 0
    _turned_away: list[float] = dataclasses.field(default_factory=list)
    _server: asyncio.Server | None = None
    _open_connections: set[Connection] = dataclasses.field(default_factory=set)

    async def start(self) -> str:
        """Listens; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Simulates a crash: resets all connections and refuses new ones."""
        self.is_ended = True
        self.stop()
        for connection in list(self._open_connections):
            connection.reset()

    def exit(self) -> None:
        """Ends as a process does: connections close in order, none are new."""
        self.is_ended = True
        self.stop()
        for connection in list(self._open_connections):
            connection.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection = Connection(reader, writer)
        self._open_connections.add(connection)
        try:
            while True:
                request = await _read_request(reader, self.read_pause)
                await self._respond(request, connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The loop ends. asyncio logs an error for a cancelled handler.
            writer.close()
        finally:
            self._open_connections.discard(connection)

    async def _respond(
        self, request: ReceivedRequest, connection: Connection
    ) -> None:
        self.calls.append(clock.now())
        connection.headers = self.make_headers()
        if request.target == "/wayslip/report":
            report = self.report_text or json.dumps(self._delayed_report())
            await connection.answer(request, report.encode())
            return
        if request.target == "/wayslip/order":
            await self._take_order(request, connection)
            return
        if self.room is not None and self._taken >= self.room:
            await self._turn_away(request, connection)
            return
        self.received.append(request)
        self._taken += 1
        try:
            await self.script(self, request, connection)
        except ConnectionError:
            self.left += 1
            raise
        finally:
            self._taken -= 1

    async def _turn_away(
        self, request: ReceivedRequest, connection: Connection
    ) -> None:
        """Refuses a request for lack of room; a brittle engine may crash."""
        now = clock.now()
        self._turned_away = [t for t in self._turned_away if now - t < 1.0]
        self._turned_away.append(now)
        if self.brittle is not None and len(self._turned_away) > self.brittle:
            self.fall_over()
            return
        await connection.answer(request, b"", 503, Wayslip_Not_Executed="1")

    def fall_over(self) -> None:
        """Crashes because it had to turn too many requests away."""
        self.crash()

    def make_headers(self) -> dict[str, str]:
        """Returns the headers of all its answers, which announce its limits."""
        named = {"Server-Limit": self.limit, "Server-Brittle": self.brittle}
        return {k: str(v) for k, v in named.items() if v is not None}

    def _delayed_report(self) -> dict[str, Any]:
        """Returns the report as it was `report_lag` seconds ago."""
        limit = clock.now() - self.report_lag
        replaced = [r for at, r in self._reports if at > limit]
        return replaced[0] if replaced else self._report()

    def _report(self) -> dict[str, Any]:
        models = [
            {"name": name, "version": 1, "adapters": list(adapters)}
            for name, adapters in self.models.items()
        ]
        return {
            "seq": self.applied_orders,
            "busy": self.is_busy,
            "models": models,
        }

    async def _take_order(
        self, request: ReceivedRequest, connection: Connection
    ) -> None:
        order = json.loads(request.body)
        self.orders.append(order)
        status = self._answer_no_op(order)
        if status is not None:
            await connection.answer(request, b"{}", status)
            return
        status = self.order_status
        if order["expected_count"] != self.applied_orders:
            status = 409
        if status == 202 and order["operation"] == "unload":
            # An adapter is unloaded at once (200), a model after its running
            # requests (202).
            status = 200 if order.get("adapter") else 202
        if status in (200, 202, 0):
            self._reports.append((clock.now(), self._report()))
            self.applied_orders += 1
            self._carry_out(order)
        if status == 0:
            connection.reset()
            return
        await connection.answer(request, b"{}", status)

    def _answer_no_op(self, order: dict[str, Any]) -> int | None:
        """Returns the status for an order that changes nothing, else None.

        The platform's engines answer such orders whatever count they expect,
        and don't count them.
        """
        adapter = order.get("adapter")
        held = self.models.get(order["model"])
        is_loaded = held is not None and (not adapter or adapter in held)
        if order["operation"] == "unload":
            return None if is_loaded else 200
        if held is None:
            return 421 if adapter else None
        return 200 if is_loaded else None

    def _carry_out(self, order: dict[str, Any]) -> None:
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "load" and adapter:
            self.models[model].append(adapter)
        elif order["operation"] == "load":
            self.models[model] = []
        elif adapter:
            self.models[model].remove(adapter)
        else:
            del self.models[model]


async def _read_request(
    reader: asyncio.StreamReader, pause: float
) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for text in lines:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = b""
    while pause and length - len(body) > _READ_BYTES:
        body += await reader.readexactly(_READ_BYTES)
        await asyncio.sleep(pause)
    body += await reader.readexactly(length - len(body))
    return ReceivedRequest(method, target, headers, body)
