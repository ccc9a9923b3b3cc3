"""HTTP server: one request and one response at a time per connection.

The application receives a request once its body is complete. It responds
through an `Exchange`, which tracks whether anything was sent and never lets a
truncated response look complete. A body whose end nobody marked is sent without
a mark too: it ends with the connection, and is reset if it breaks off.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
import socket
from typing import Any

import httptools

from wayslip import clock
from wayslip import logs
from wayslip.decisions import connection_gate
from wayslip.decisions import intake as intake_module
from wayslip.decisions import manifest
from wayslip.http1 import closing
from wayslip.http1 import framing as framing_module
from wayslip.http1 import messages
from wayslip.http1 import stalls
from wayslip.http1 import turns

_LOG = logging.getLogger(__name__)
# After an answer, the wait for the client to close its side. Closing while
# bytes of the client are unread resets the connection, and the client may lose
# what it has not read yet.
_LINGER_SECONDS = 1.0
# The same in all, for a client that keeps sending: it may read the answer only
# after it has sent its request.
_MAX_LINGER_SECONDS = 10.0
# Write buffer limit for a client that reads slowly.
_WRITE_BUFFER_BYTES = 128 * 1024
# TCP_USER_TIMEOUT, option 18 on Linux: a connection with bytes unacknowledged
# for this long is closed. An unreachable client would otherwise keep its engine
# busy for minutes.
_TCP_USER_TIMEOUT_MS = 5_000
_MAX_PIPELINED_REQUESTS = 16
# Of a refused request so much is read and dropped beyond the limit for bodies.
_BODY_SLACK_BYTES = 1024 * 1024
# Bytes that are read at once, on all connections into the same buffer.
_READ_BYTES = 16 * 1024
# A read with more headers and chunks than this takes milliseconds to parse.
_MAX_CHEAP_PARTS = 256
# Retry-After of a request that found no room: a connection that sends nothing
# is behind its pace by then and gives way.
_NO_ROOM_HEADERS = ((b"retry-after", b"1.00"),)
# The header in which a client offers to go on in another protocol, and the
# method that asks for a tunnel.
_OFFER_HEADER = b"upgrade"
_TUNNEL_METHOD = b"CONNECT"
# Each header's colon, space and line end.
_HEADER_SEPARATOR_BYTES = 4


class Exchange:
    """A request and its response."""

    def __init__(
        self, connection: "Connection", request: messages.Request
    ) -> None:
        self._connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False
        # Identifies the request in log lines.
        self.name = ""
        self._is_chunked = False
        self._ending = messages.BodyEnd.MARKED

    @property
    def is_marked(self) -> bool:
        """Whether the response says where its body ends."""
        return self._ending is messages.BodyEnd.MARKED

    def answer(
        self,
        status: int,
        headers: messages.Headers,
        body: bytes,
        ending: messages.BodyEnd = messages.BodyEnd.MARKED,
        length: int | None = None,
    ) -> None:
        """Sends a whole response.

        Args:
            status: The status code.
            headers: End-to-end headers.
            body: The whole body.
            ending: How the body's end was told; see `start`.
            length: Length that the head states, by default the body's; the
                answer to a HEAD request has no body.
        """
        if ending is messages.BodyEnd.UNMARKED:
            self.start(status, headers, None, ending)
            self._connection.write(body)
            self._finish()
            return
        framing = b"content-length: %d" % (
            len(body) if length is None else length
        )
        if status in (204, 304):
            framing = b""
        head = messages.format_head(
            status, headers, framing, self._connection.stays_open(self.request)
        )
        self.is_started = True
        self._connection.write(
            head if self.request.method == b"HEAD" else head + body
        )
        self._finish()

    def start(
        self,
        status: int,
        headers: messages.Headers,
        length: int | None,
        ending: messages.BodyEnd = messages.BodyEnd.MARKED,
    ) -> None:
        """Sends the head of a response whose body follows in parts.

        Args:
            status: The status code.
            headers: End-to-end headers.
            length: The body's length; None for chunked coding.
            ending: How the body's end will be told to this instance. Without a
                mark, the response gets none either.
        """
        self._ending = ending
        self._is_chunked = length is None and self.is_marked
        framing = b""
        if self._is_chunked:
            framing = b"transfer-encoding: chunked"
        elif length is not None:
            framing = b"content-length: %d" % length
        if not self.is_marked:
            self._connection.guard()
        self.is_started = True
        self._connection.write(
            messages.format_head(
                status,
                headers,
                framing,
                self._connection.stays_open(self.request),
            )
        )

    async def send(self, data: bytes) -> None:
        """Sends a part of the body; waits while the write buffer is full."""
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.drain()

    def finish(self) -> None:
        """Completes the response."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Aborts the response so that it cannot look complete."""
        self.is_finished = True
        self._connection.abort()

    def _finish(self) -> None:
        self.is_finished = True
        self._connection.finish_exchange(self)


Application = Callable[[Exchange], Awaitable[None]]
# Given the number of open connections, returns why a new one is not served;
# None if it is.
Admit = Callable[[int], connection_gate.Refusal | None]


class Server:
    """A listener on one address that counts and drains its connections.

    Attributes:
        admit: Decides on each new connection; one that isn't served is closed
            before anything of it is read.
        intake: Decides which requests have room in memory.
        turns: Has connections that are costly to parse take turns.
        read_buffer: Where each read puts its bytes, which are parsed at once.
    """

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        limits: Callable[[], manifest.Limits],
        admit: Admit = lambda count: None,
        intake: intake_module.Intake | None = None,
        max_unread_bytes: int | None = None,
    ) -> None:
        """Initializes without listening.

        Args:
            address: Host and port.
            application: Answers requests.
            limits: Returns the limits for clients in force.
            admit: See above.
            intake: See above; by default one for a machine of unknown size.
            max_unread_bytes: What may be buffered of answers that clients do
                not read, over all connections; see `stalls`.
        """
        self._address = address
        self.application = application
        self.limits = limits
        self.admit = admit
        self.intake = intake or intake_module.Intake()
        self.turns = turns.Turns()
        self.read_buffer = memoryview(bytearray(_READ_BYTES))
        self.connections: set[Connection] = set()
        self.is_draining = False
        self.stalled = stalls.StalledConnections(max_unread_bytes)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            *self._address,
            backlog=512,
            reuse_address=True,
        )

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def active(self) -> int:
        """The number of connections that are busy; see `Connection.is_busy`."""
        return sum(1 for c in self.connections if c.is_busy)

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def make_room(self) -> None:
        """Closes a connection that is least missed, if there is one.

        That is one whose client goes on sending a request that was refused,
        else the one that has rested longest, else the one whose incomplete
        request is furthest behind the least pace.
        """
        now = clock.now()
        ending = next((c for c in self.connections if c.overstays(now)), None)
        if ending is not None:
            ending.abort()
            return
        idle = [
            c
            for c in self.connections
            if c.idle_since is not None and not c.is_busy
        ]
        if idle:
            min(idle, key=lambda c: c.idle_since or 0.0).close_if_idle()
            return
        behind = self.intake.find_furthest_behind(now)
        if isinstance(behind, Connection):
            behind.give_way()

    def abort_all(self) -> int:
        """Aborts all connections, and logs each answer that this cuts.

        Returns:
            The number of answers that were cut.
        """
        cut = sum(c.log_cut() for c in self.connections)
        for connection in list(self.connections):
            connection.abort()
        return cut


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A complete request and the memory that it takes, bytes."""

    request: messages.Request
    cost: int


class Connection(asyncio.BufferedProtocol):
    """A connection from a client.

    Attributes:
        idle_since: Since when it waits for a request, steady seconds; None
            while one is received or in progress.
        is_ending: Whether the answer was sent and the connection ends as soon
            as the client has closed its side.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._queue: list[_Pending] = []
        self._current: asyncio.Task[None] | None = None
        self._exchange: Exchange | None = None
        # A finished exchange of whose answer the socket lacks a part.
        self._unsent: Exchange | None = None
        # Whether the bytes that are parsed now ended a request.
        self._has_completed = False
        self.is_ending = False
        # When that began, steady seconds, and the bytes received since.
        self._ending_since = 0.0
        self._dropped_bytes = 0
        # What complete requests that are not answered yet take.
        self._complete_cost = 0
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_closing = False
        self.idle_since: float | None = clock.now()
        # Headers and parts of bodies in the bytes that are parsed now.
        self._part_count = 0
        # Set while a body without a marked end is sent.
        self._guarded: closing.GuardedTransport | None = None
        self._usage = framing_module.Usage()
        self._reset_message()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and configures its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        refusal = self._server.admit(len(self._server.connections))
        if refusal is not None:
            self.abort()
            if refusal.is_full:
                self._server.make_room()
            return
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        self._server.connections.add(self)
        self._set_timer(
            self._server.limits().idle_seconds, self._on_idle_timeout
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress, whose client is gone."""
        self._server.connections.discard(self)
        self._server.stalled.discard(self)
        self._server.turns.discard(self)
        self._release()
        # It refers back to the connection, which would stay with its buffers
        # until the next collection of cycles.
        self._parser = None
        self._can_write.set()
        self._set_timer(0, None)
        self._unsent = None
        self._is_closing = True
        if self._current is not None:
            self._current.cancel()

    def eof_received(self) -> bool:
        """Treats a half-close as a disconnect, even during a request."""
        return False

    def pause_writing(self) -> None:
        """Marks the write buffer as full."""
        self._can_write.clear()
        self._server.stalled.add(self)

    def resume_writing(self) -> None:
        """Marks the write buffer as writable again."""
        self._can_write.set()
        self._server.stalled.discard(self)
        if self._unsent is not None:
            self._complete(self._unsent)
        self._serve_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes."""
        if self._is_closing:
            self._dropped_bytes += nbytes
            return
        self._part_count = 0
        self._parse(self._server.read_buffer[:nbytes])
        if self._part_count > _MAX_CHEAP_PARTS and not self._is_closing:
            assert self._transport is not None
            self._server.turns.wait(self, self._transport)

    def _parse(self, data: bytes | memoryview) -> None:
        self._usage.note_received(len(data))
        self._has_completed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            self._ignore_offer(bytes(data[e.args[0] :]))
        except httptools.HttpParserError:
            self._refuse(400)
        else:
            self._check_partial_head(len(data))
            self._check_usage()
            self._check_room(len(data))

    def _check_usage(self) -> None:
        """Refuses a request whose body is wrapped in too many bytes."""
        if not self._is_head_complete or self._is_closing:
            return
        excess = self._usage.find_excess()
        if excess is None:
            return
        logs.event(_LOG, "request_over_limit", logging.WARNING, reason=excess)
        self._refuse(400)

    def _check_body_size(self, size: int) -> bool:
        """Refuses a request whose body is too large; returns whether it is."""
        limit = self._server.limits().body_bytes
        if size <= limit:
            return False
        reason = f"its body exceeds {limit} bytes"
        logs.event(_LOG, "request_over_limit", logging.WARNING, reason=reason)
        self._refuse(413)
        return True

    def _check_room(self, received: int) -> None:
        """Counts what the connection holds; refuses what has no room.

        Args:
            received: Bytes that were parsed last.
        """
        if self._is_closing:
            return
        now = clock.now()
        if not self._hold(now) or self._is_closing:
            return
        if not self._is_receiving or self._current is not None:
            self._server.intake.note_complete(self)
            return
        self._server.intake.note_received(self, received, now)
        if self._is_head_complete:
            self._set_timer(
                self._server.limits().idle_seconds, self._on_body_timeout
            )

    def _hold(self, now: float) -> bool:
        """Returns whether there is room for all that the connection holds."""
        cost = self._complete_cost
        if self._is_receiving:
            cost += intake_module.estimate_cost(
                len(self._headers),
                self._head_bytes,
                max(self._announced_bytes, len(self._body)),
            )
        requests = len(self._queue) + self._is_receiving
        is_single = requests + (self._current is not None) <= 1
        verdict = self._server.intake.hold(self, cost, now, is_single)
        for other in verdict.displaced:
            assert isinstance(other, Connection)
            other.give_way()
        if not verdict.is_admitted:
            self._refuse_for_room(cost)
        return verdict.is_admitted

    def _refuse_for_room(self, cost: int) -> None:
        """Rejects the request that is received; one in progress is answered."""
        logs.event(
            _LOG,
            "request_has_no_room",
            logging.WARNING,
            cost=cost,
            held=self._server.intake.held,
            connections=len(self._server.connections),
        )
        if self._current is None and self._unsent is None:
            self._refuse(503, _NO_ROOM_HEADERS)
            return
        self._is_closing = True
        self._queue.clear()
        self._reset_message()
        # What is in progress does not give way.
        self._server.intake.note_complete(self)

    def give_way(self) -> None:
        """Rejects the incomplete request: others need its room."""
        logs.event(
            _LOG,
            "request_gave_way",
            logging.WARNING,
            body_bytes=len(self._body),
            announced_bytes=self._announced_bytes,
        )
        self._refuse(503, _NO_ROOM_HEADERS)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self._is_closing:
            return
        self.idle_since = None
        self._reset_message()
        self._is_receiving = True
        self._set_timer(
            self._server.limits().header_seconds, self._on_header_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Records a part of the target."""
        if self._is_closing:
            return
        self._head_bytes += len(url)
        if not self._is_head_too_large:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers are counted only."""
        if self._is_closing:
            return
        self._part_count += 1
        self._head_bytes += (
            len(name) + len(value or b"") + _HEADER_SEPARATOR_BYTES
        )
        if not self._is_head_complete and not self._is_head_too_large:
            self._headers.append((name.lower(), value or b""))

    def on_headers_complete(self) -> None:
        """Checks the complete head, before anything of the body is kept."""
        if self._is_closing:
            return
        self._is_head_complete = True
        self._usage.note_head()
        if self._parser.should_upgrade():
            # The head is parsed again, see `_ignore_offer`.
            return
        if self._is_head_too_large:
            self._refuse(431)
            return
        self._set_timer(0, None)
        self._announced_bytes = messages.find_length(self._headers)
        if self._check_body_size(self._announced_bytes):
            return
        if not self._hold(clock.now()):
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffers a part of the body."""
        if self._is_closing:
            return
        self._part_count += 1
        self._usage.note_body(len(body))
        if not self._check_body_size(len(self._body) + len(body)):
            self._body += body

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        if self._is_closing or self._parser.should_upgrade():
            return
        self._has_completed = True
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            bool(self._parser.should_keep_alive()),
        )
        cost = intake_module.estimate_cost(
            len(self._headers), self._head_bytes, len(self._body)
        )
        self._reset_message()
        self._complete_cost += cost
        self._queue.append(_Pending(request, cost))
        if not self._hold(clock.now()):
            return
        if len(self._queue) > _MAX_PIPELINED_REQUESTS:
            self._refuse(400)
            return
        self._serve_next()

    # Methods that the exchange calls

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the connection is closed."""
        if self._transport is None or self.is_ending:
            return
        if not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has space."""
        await self._can_write.wait()

    def stays_open(self, request: messages.Request) -> bool:
        """Returns whether the connection stays open after a request."""
        return (
            request.keep_alive
            and not self._is_closing
            and not self._server.is_draining
            and self._guarded is None
        )

    def guard(self) -> None:
        """Has the connection reset if it ends before the response does."""
        if self._transport is not None and not self._transport.is_closing():
            self._guarded = closing.GuardedTransport(self._transport)

    def finish_exchange(self, exchange: Exchange) -> None:
        """Completes an exchange, now or once the socket has its whole answer.

        Until then the connection is busy: what the socket lacks would be lost
        with the process. TCP_USER_TIMEOUT and the limit on stalled connections
        end the wait for a client that reads nothing.
        """
        self._exchange = None
        if not self.stays_open(exchange.request):
            self._is_closing = True
            self._queue.clear()
        if not self.buffered_bytes or self._transport is None:
            self._complete(exchange)
            return
        self._unsent = exchange
        # Has `resume_writing` called once the buffer is empty.
        self._transport.set_write_buffer_limits(high=0)

    def abort(self) -> None:
        """Aborts the connection."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def log_cut(self) -> bool:
        """Logs the answer that an abort would cut; returns whether one is."""
        exchange = self._exchange or self._unsent
        if exchange is None:
            return False
        logs.event(
            _LOG,
            "answer_cut",
            logging.WARNING,
            request=exchange.name,
            started=exchange.is_started,
            finished=exchange.is_finished,
            unsent_bytes=self.buffered_bytes,
        )
        return True

    def close_if_idle(self) -> None:
        """Closes the connection if it is not busy."""
        if self.is_busy:
            return
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the client has not read yet, without the socket's."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or queued, or an answer on its way.

        It is on its way until the socket has it; if the connection ends with
        it, until the client has closed its side or had time for that.
        """
        return (
            self._current is not None
            or bool(self._queue)
            or self._unsent is not None
            or self.is_ending
        )

    def overstays(self, now: float) -> bool:
        """Whether a client with its whole answer stays for too long.

        Args:
            now: Steady seconds.
        """
        if not self.is_ending or self.buffered_bytes:
            return False
        return now - self._ending_since > _LINGER_SECONDS

    # Private methods

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        # The body's length, 0 until the head has told it.
        self._announced_bytes = 0
        # Whether a request has begun and is not complete.
        self._is_receiving = False
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self._is_head_complete = False
        self._usage = framing_module.Usage()

    def _ignore_offer(self, rest: bytes) -> None:
        """Goes on with a request whose client offers another protocol.

        The parser takes its head for the end of HTTP, and skips its body. A
        server may ignore the offer, so the head is parsed again without it.

        Args:
            rest: The bytes after the head.
        """
        method = self._parser.get_method()
        if method == _TUNNEL_METHOD:
            self._refuse(400)
            return
        if self._is_head_too_large:
            self._refuse(431)
            return
        version = self._parser.get_http_version().encode("ascii")
        lines = [b"%s %s HTTP/%s" % (method, self._target, version)]
        lines += [
            name + b": " + value
            for name, value in self._headers
            if name != _OFFER_HEADER
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._parse(b"\r\n".join(lines) + b"\r\n\r\n" + rest)

    @property
    def _is_head_too_large(self) -> bool:
        return self._head_bytes > self._server.limits().header_bytes

    def _check_partial_head(self, received: int) -> None:
        """Refuses a head that exceeds the limit before it is complete.

        Where a head begins behind another request is not known; those bytes
        count once it is complete.
        """
        if self._is_head_complete or self._has_completed:
            return
        self._partial_head_bytes += received
        if self._partial_head_bytes > self._server.limits().header_bytes:
            self._refuse(431)

    def _refuse(self, status: int, headers: messages.Headers = ()) -> None:
        """Responds to an unacceptable request and closes the connection."""
        if self._is_closing:
            return
        self._is_closing = True
        self._queue.clear()
        self._reset_message()
        # A response in progress must not be mixed with this one.
        if self._current is None:
            self._release()
            framing = b"content-length: 0"
            self.write(messages.format_head(status, headers, framing, False))
            self._end()
        elif self._transport is not None:
            self._transport.close()

    def _complete(self, exchange: Exchange) -> None:
        """Ends the connection, or starts its idle timer."""
        self._unsent = None
        if self._is_closing or not self.stays_open(exchange.request):
            self._is_closing = True
            self._end()
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        if not self._queue:
            self.idle_since = clock.now()
        self._set_timer(
            self._server.limits().idle_seconds, self._on_idle_timeout
        )

    def _end(self) -> None:
        """Ends the connection as soon as the client has closed its side."""
        if self._transport is None or self._transport.is_closing():
            return
        if self.is_ending:
            return
        self.is_ending = True
        self._ending_since = clock.now()
        self._dropped_bytes = 0
        if self._guarded is not None:
            self._guarded.release()
        self._transport.write_eof()
        self._set_timer(_LINGER_SECONDS, self._on_linger_timeout)

    def _serve_next(self) -> None:
        if self._current is not None or not self._queue or self._is_closing:
            return
        if not self._can_write.is_set():
            # Answers must not pile up for a client that does not read them.
            return
        self._set_timer(0, None)
        pending = self._queue.pop(0)
        self._exchange = Exchange(self, pending.request)
        self._current = asyncio.get_running_loop().create_task(
            self._run(self._exchange, pending.cost)
        )

    async def _run(self, exchange: Exchange, cost: int) -> None:
        try:
            await self._server.application(exchange)
        except asyncio.CancelledError:
            # The client disconnected; the application saw the cancellation.
            self.abort()
        except Exception:
            _LOG.exception("request_failed")
            if exchange.is_started:
                exchange.abort()
            else:
                exchange.answer(500, (), b"")
        finally:
            self._current = None
            self._note_answered(cost)
        if not exchange.is_finished:
            self.abort()
        self._serve_next()

    def _note_answered(self, cost: int) -> None:
        """Releases the room of a request that was in progress."""
        self._complete_cost -= cost
        if not self._is_closing:
            self._hold(clock.now())
        else:
            self._release()

    def _release(self) -> None:
        self._server.intake.release(self)
        self._complete_cost = 0

    def _set_timer(
        self, seconds: float, callback: Callable[[], None] | None
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if callback is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, callback)

    def _on_idle_timeout(self) -> None:
        self.close_if_idle()

    def _on_linger_timeout(self) -> None:
        if self.buffered_bytes or self._is_still_sending():
            self._set_timer(_LINGER_SECONDS, self._on_linger_timeout)
        elif self._transport is not None:
            self._transport.close()

    def _is_still_sending(self) -> bool:
        """Whether a client goes on with a refused request within the limits."""
        dropped, self._dropped_bytes = self._dropped_bytes, 0
        is_due = clock.now() - self._ending_since < _MAX_LINGER_SECONDS
        limit = self._server.limits().body_bytes + _BODY_SLACK_BYTES
        return is_due and 0 < dropped <= limit

    def _on_body_timeout(self) -> None:
        self._refuse(408)

    def _on_header_timeout(self) -> None:
        self._refuse(408)
