"""Connections to endpoints, which carry one request at a time.

Responses that do not belong to the current request are discarded. The type of
an error says whether the request may have run: `NotSentError` if no byte of it
was sent, `EndpointUnclearError` otherwise.
"""

import asyncio
import collections
from collections.abc import Callable
import fcntl
import socket
import sys
import termios
from typing import Any

import httptools

from wayslip import clock
from wayslip import errors
from wayslip.http1 import framing
from wayslip.http1 import messages

# Body bytes buffered for a slow client before reading from the endpoint pauses.
_READ_BUFFER_BYTES = 64 * 1024
# Bytes that are read at once, on all connections into the same buffer.
_READ_BYTES = 64 * 1024
_READ_VIEW = memoryview(bytearray(_READ_BYTES))
# A connection with bytes unacknowledged for this long is closed; detects
# endpoints that became unreachable. It also decides when keep-alive probes give
# up. A sound endpoint may be silent for a second. See also `server`.
_TCP_USER_TIMEOUT_MS = 2_000
# Keep-alive probes detect idle connections that lead nowhere any more, before a
# request is sent on one.
_KEEP_ALIVE_SECONDS = 1
_KEEP_ALIVE_PROBES = 2
# The response fails if its head is still incomplete after this many bytes.
_MAX_HEAD_BYTES = 64 * 1024

# The method whose responses have a length and no body.
_HEAD_METHOD = b"HEAD "
# Buffer for the count of unacknowledged bytes, an int.
_NO_BYTES = bytes(4)

Matcher = Callable[[messages.Head], bool]


def configure_socket(sock: socket.socket) -> None:
    """Sets the options of a socket to an endpoint or another instance."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        sock.setsockopt(socket.IPPROTO_TCP, option, _KEEP_ALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class Connection(asyncio.BufferedProtocol):
    """One connection to an endpoint.

    Attributes:
        peer: The instance that it leads through, "IP:PORT"; empty if direct.
        opened_at: When it was opened, steady seconds.
        opening_seconds: How long that took, a round trip at least.
        heard_at: When the other end was last heard.
        ending: How the end of the last response was told, None before.
        keeps_closes: Whether an orderly close is one by the endpoint; a tunnel
            of an earlier release turns resets into closes.
        is_lost: Whether it ended, but for a close by this instance.
    """

    def __init__(self, peer: str = "", keeps_closes: bool = True) -> None:
        self.peer = peer
        self.keeps_closes = keeps_closes
        self.opened_at = 0.0
        self.opening_seconds = 0.0
        self.heard_at = 0.0
        self.is_lost = False
        self.ending: messages.BodyEnd | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._usage = framing.Usage()
        self._head: messages.Head | None = None
        self._matcher: Matcher | None = None
        self._is_complete = True
        self._is_skipping = False
        self._has_no_body = False
        self._failure: str | None = None
        self._is_dirty = False
        # Whether the pool holds it; if not, the request's sender closes it.
        self.is_pooled = False
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self._reset_message()

    # Use

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._failure is None
            and self._is_complete
            and not self._is_dirty
            and transport.get_write_buffer_size() == 0
        )

    def send(self, data: bytes, matcher: Matcher) -> None:
        """Sends a request.

        Args:
            data: The whole request.
            matcher: Returns whether a head belongs to this request; responses
                to earlier ones may still arrive.
        """
        self._has_no_body = data.startswith(_HEAD_METHOD)
        self.is_pooled = False
        self._head = None
        self.ending = None
        self._matcher = matcher
        self._is_complete = False
        self._chunks.clear()
        self._buffered_bytes = 0
        self._usage = framing.Usage()
        assert self._transport is not None
        self._transport.write(data)

    @property
    def is_unacknowledged(self) -> bool:
        """Whether the other end has not acknowledged all bytes sent."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        sock = transport.get_extra_info("socket")
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _NO_BYTES)
        return int.from_bytes(data, sys.byteorder) > 0

    def fail(self, reason: str) -> None:
        """Ends the request in progress, as if the connection were lost."""
        self._fail(reason)

    async def read_head(self) -> messages.Head:
        """Returns the head of the response.

        Raises:
            EndpointUnclearError: The connection was lost, or the response is
                malformed.
        """
        while self._head is None:
            self._check()
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Returns the next part of the body, empty at its end.

        Raises:
            EndpointUnclearError: The body is truncated or malformed.
        """
        while not self._chunks:
            if self._is_complete:
                return b""
            self._check()
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def read_whole(self, max_bytes: int) -> bytes:
        """Returns the rest of the body.

        Raises:
            EndpointUnclearError: The body is truncated, malformed or longer
                than `max_bytes`; the connection is closed then.
        """
        parts = []
        size = 0
        while part := await self.read():
            size += len(part)
            if size > max_bytes:
                self._fail(f"its body exceeds {max_bytes} bytes")
                self.close()
                self._check()
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Closes the connection at once, which makes the endpoint stop."""
        if self._transport is not None:
            self._transport.abort()

    def _check(self) -> None:
        if self._failure is not None:
            raise errors.EndpointUnclearError(
                f"the endpoint's response cannot be used: {self._failure}",
                "see the endpoint's log; the request may have run",
            )

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, reason: str) -> None:
        if self._failure is None:
            self._failure = reason
        self._notify()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self.heard_at = clock.now()
        configure_socket(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _READ_VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """Takes bytes out of the buffer, which the next read overwrites."""
        self.data_received(bytes(_READ_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.heard_at = clock.now()
        if self._is_complete:
            # No response is expected, so these bytes belong to no request.
            self._is_dirty = True
            self.close()
            return
        self._usage.note_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("it switches protocols")
        except httptools.HttpParserError as e:
            if self._is_complete:
                self._is_dirty = True
            else:
                self._fail(f"it is not valid HTTP ({e})")
        self._check_usage(len(data))
        if (
            self._buffered_bytes > _READ_BUFFER_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def _check_usage(self, size: int) -> None:
        """Closes the connection if a limit of a response is exceeded."""
        excess = self._usage.find_excess()
        if not self._is_head_complete:
            self._head_bytes += size
            if self._head_bytes > _MAX_HEAD_BYTES:
                excess = f"its head is too long, over {_MAX_HEAD_BYTES} bytes"
        if excess is not None and not self._is_complete:
            self._fail(excess)
            self.close()

    def eof_received(self) -> bool:
        """Ends a response without a length; any other is truncated."""
        head = self._head
        is_end = head is not None and not head.is_framed and self.keeps_closes
        if not self._is_complete and is_end:
            self._is_complete = True
            self.ending = messages.BodyEnd.UNMARKED
            self._is_dirty = True
        self.is_lost = True
        self._fail("the connection was closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the connection as failed."""
        # It refers back to the connection, which would stay with its buffers
        # until the next collection of cycles.
        self._parser = None
        self.is_lost = self.is_lost or exc is not None
        self._fail(f"the connection was lost ({type(exc).__name__})")

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._is_complete:
            self._is_dirty = True
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers are not forwarded."""
        if not self._is_head_complete:
            self._headers.append((name.lower(), value or b""))

    def on_headers_complete(self) -> None:
        """Checks whether the response belongs to the current request."""
        self._is_head_complete = True
        self._usage.note_head()
        if self._is_complete:
            return
        status = int(self._parser.get_status_code())
        if status < 200:
            self._is_skipping = True
            return
        head = self._make_head(status)
        assert self._matcher is not None
        if not self._matcher(head):
            self._is_skipping = True
            return
        self._head = head
        if self._has_no_body:
            self._is_complete = True
            self.ending = messages.BodyEnd.MARKED
            # The parser waits for the body that the length announces.
            self._is_dirty = True
        self._notify()

    def on_body(self, body: bytes) -> None:
        """Buffers a part of the body."""
        self._usage.note_body(len(body), self._is_skipping)
        if self._is_skipping or self._is_complete:
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        self._notify()

    def on_message_complete(self) -> None:
        """Ends the response."""
        if self._is_skipping or self._is_complete or self._head is None:
            return
        self._is_complete = True
        self.ending = messages.BodyEnd.MARKED
        if not self._head.keep_alive:
            self._is_dirty = True
        self._notify()

    def _make_head(self, status: int) -> messages.Head:
        length: int | None = None
        is_chunked = False
        for name, value in self._headers:
            if name == b"content-length":
                length = int(value)
            if name == b"transfer-encoding" and b"chunked" in value.lower():
                is_chunked = True
        if status in (204, 304):
            length = 0
        is_framed = is_chunked or length is not None
        return messages.Head(
            status,
            tuple(self._headers),
            is_framed,
            None if is_chunked else length,
            is_framed and bool(self._parser.should_keep_alive()),
        )

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._is_head_complete = False
        self._is_skipping = False


async def connect(address: tuple[str, int], timeout: float) -> Connection:
    """Returns a new connection.

    Raises:
        NobodyListensError: The connection was refused.
        NotSentError: The connection failed or timed out.
    """
    loop = asyncio.get_running_loop()
    began = clock.now()
    try:
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(Connection, *address)
    except ConnectionRefusedError as e:
        raise errors.NobodyListensError(
            f"connection refused by {address[0]}:{address[1]}",
            "check that the endpoint runs",
        ) from e
    except (OSError, TimeoutError) as e:
        raise errors.NotSentError(
            f"{address[0]}:{address[1]} did not accept a connection"
            f" ({type(e).__name__})",
            "check that the endpoint runs and can be reached",
        ) from e
    protocol.opening_seconds = clock.now() - began
    return protocol
