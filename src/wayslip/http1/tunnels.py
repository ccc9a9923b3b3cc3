"""Tunnels: connections to endpoints that lead through another instance.

An instance sends `CONNECT ENDPOINT HTTP/1.1` to another one, which connects to
that endpoint, answers 200 and then forwards bytes both ways. It reads none of
them, so the endpoint's answers stay as they are. An orderly close by the
endpoint is forwarded as one; a reset, and the end of the other instance, reset
the tunnel. A header of the answer says so, since earlier releases don't keep
the two apart. Any other status says that no byte was forwarded, and the header
`because` says why, if the release has it:

* 403, 503: the other instance doesn't serve this tunnel, see `Status`.
* 502: no process listens at the endpoint's address.
* 504: the endpoint didn't answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from wayslip import clock
from wayslip import errors
from wayslip.http1 import client
from wayslip.http1 import closing

# Bytes that wait for a slow reader before reading from the other side pauses.
_BUFFER_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 1024
# Time limit for the head of a request for a tunnel.
_HEAD_SECONDS = 1.0
_END_OF_HEAD = b"\r\n\r\n"
_END_OF_LINE = b"\r\n"
# Says that a close of the tunnel is a close by the endpoint.
_KEEPS_CLOSES = b"\r\ncloses: kept\r\n"
_REASON_HEADER = b"\r\nbecause: "


class Status(enum.IntEnum):
    """Outcome of a request for a tunnel.

    Attributes:
        OPENED: Bytes are forwarded from now on.
        FORBIDDEN: The asking instance is not known.
        REFUSED: The endpoint's machine answers, but nobody listens there.
        BUSY: It takes no tunnels, or none to this endpoint.
        SILENT: The endpoint did not answer.
    """

    OPENED = 200
    FORBIDDEN = 403
    REFUSED = 502
    BUSY = 503
    SILENT = 504


# Asking side


class _Handshake(asyncio.Protocol):
    """Reads the answer to a request for a tunnel.

    Attributes:
        status: Its status, 0 if there is none.
        keeps_closes: Whether a close of the tunnel is a close by the endpoint.
        reason: Why no tunnel was opened; empty if that is not told.
    """

    def __init__(self) -> None:
        self.status: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self.keeps_closes = False
        self.reason = ""
        self._head = b""

    def data_received(self, data: bytes) -> None:
        """Reads the status once the head is complete."""
        self._head += data
        if self._head.endswith(_END_OF_HEAD) and not self.status.done():
            self.keeps_closes = _KEEPS_CLOSES in self._head
            _, _, rest = self._head.partition(_REASON_HEADER)
            self.reason = rest.partition(_END_OF_LINE)[0].decode("latin-1")
            code = self._head.split(b" ", 2)[1:2]
            is_number = code and code[0].isdigit()
            self.status.set_result(int(code[0]) if is_number else 0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait for an answer."""
        if not self.status.done():
            self.status.set_result(0)


async def connect(
    own_ip: str, peer: tuple[str, int], endpoint: str, timeout: float
) -> client.Connection:
    """Returns a connection to an endpoint through another instance.

    Args:
        own_ip: Address by which the other instance knows this one.
        peer: The other instance's address.
        endpoint: The endpoint's name.
        timeout: Limit for the whole, seconds.

    Raises:
        NobodyListensError: Nobody listens at the endpoint's address.
        NotSentError: The endpoint did not answer the other instance.
        PeerError: The other instance does not serve this tunnel.
    """
    loop = asyncio.get_running_loop()
    began = clock.now()
    transport: asyncio.Transport | None = None
    status = 0
    reason = ""
    try:
        async with asyncio.timeout(timeout):
            transport, handshake = await loop.create_connection(
                _Handshake, *peer, local_addr=(own_ip, 0)
            )
            request = f"CONNECT {endpoint} HTTP/1.1\r\nhost: {endpoint}"
            transport.write(request.encode("latin-1") + _END_OF_HEAD)
            status = await handshake.status
            reason = handshake.reason
    except (OSError, TimeoutError) as e:
        raise errors.PeerError(
            f"{peer[0]}:{peer[1]} opened no tunnel ({type(e).__name__})",
            "check that it runs and is of a release that has tunnels",
        ) from e
    finally:
        if transport is not None and status != Status.OPENED:
            transport.abort()
    _check_status(status, reason, peer, endpoint)
    connection = client.Connection(
        f"{peer[0]}:{peer[1]}", handshake.keeps_closes
    )
    transport.set_protocol(connection)
    connection.connection_made(transport)
    connection.opening_seconds = clock.now() - began
    return connection


def _check_status(
    status: int, reason: str, peer: tuple[str, int], endpoint: str
) -> None:
    if status == Status.OPENED:
        return
    if status == Status.REFUSED:
        raise errors.NobodyListensError(
            f"nobody listens at {endpoint}, says {peer[0]}",
            "check that the endpoint runs",
        )
    if status == Status.SILENT:
        raise errors.NotSentError(
            f"{endpoint} did not answer {peer[0]} either",
            "check that the endpoint runs and can be reached",
        )
    raise errors.TunnelRefusedError(
        f"{peer[0]} opens no tunnel to {endpoint} now ({reason or status})",
        "another instance is asked",
        reason,
    )


# Serving side


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to a request for a tunnel.

    Attributes:
        reason: Why it is refused, one word; empty if it isn't.
    """

    status: Status
    reason: str = ""


# Decides on a request for a tunnel: (source IP, endpoint) to the endpoint's
# address, or to a refusal.
Judge = Callable[[str, str], tuple[str, int] | Outcome]
# Told what an attempt to connect for a tunnel showed: source IP, endpoint,
# status. Returns the answer.
Observer = Callable[[str, str, Status], Awaitable[Outcome]]
# Connects a protocol to an address; raises OSError if that fails.
Connector = Callable[[asyncio.Protocol, tuple[str, int]], Awaitable[None]]


async def _connect_directly(
    protocol: asyncio.Protocol, address: tuple[str, int]
) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: protocol, *address)


class Server:
    """Serves tunnels to endpoints for other instances.

    Attributes:
        connector: Connects to endpoints.
    """

    def __init__(
        self,
        address: tuple[str, int],
        judge: Judge,
        observe: Observer,
        connect_seconds: float,
    ) -> None:
        """Initializes the server.

        Args:
            address: Where to listen.
            judge: Returns the address of an endpoint or a refusal.
            observe: Told whether an endpoint was reached; returns what to
                answer.
            connect_seconds: Time limit for connecting to an endpoint.
        """
        self._address = address
        self._judge = judge
        self._observe = observe
        self._connect_seconds = connect_seconds
        self._listener: asyncio.Server | None = None
        self._tunnels: set[_Tunnel] = set()
        self.connector: Connector = _connect_directly

    def __len__(self) -> int:
        """Returns the number of tunnels, including those being opened."""
        return len(self._tunnels)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Tunnel(self), *self._address, reuse_address=True
        )

    def close(self) -> None:
        """Stops listening and breaks all tunnels off."""
        if self._listener is not None:
            self._listener.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def add(self, tunnel: "_Tunnel") -> None:
        """Counts a tunnel."""
        self._tunnels.add(tunnel)

    def discard(self, tunnel: "_Tunnel") -> None:
        """Stops counting a tunnel."""
        self._tunnels.discard(tunnel)

    async def connect(
        self, source: str, endpoint: str, far_end: "_FarEnd"
    ) -> Outcome:
        """Connects a tunnel to its endpoint."""
        found = self._judge(source, endpoint)
        if isinstance(found, Outcome):
            return found
        status = Status.OPENED
        try:
            async with asyncio.timeout(self._connect_seconds):
                await self.connector(far_end, found)
        except ConnectionRefusedError:
            status = Status.REFUSED
        except (OSError, TimeoutError):
            status = Status.SILENT
        return await self._observe(source, endpoint, status)


def _format_outcome(outcome: Outcome) -> bytes:
    """Returns the answer to a request for a tunnel."""
    status = outcome.status
    head = f"HTTP/1.1 {status.value} {status.name}".encode("ascii")
    if outcome.reason:
        head += _REASON_HEADER + outcome.reason.encode("ascii")
    return head + _KEEPS_CLOSES + _END_OF_LINE


class _End(asyncio.Protocol):
    """One end of a tunnel; what it receives goes out at the other one."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_BUFFER_BYTES)
        client.configure_socket(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Forwards received bytes."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Pauses the other end while this one's buffer is full."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Has the other end read on."""
        other = self.other.transport if self.other is not None else None
        if other is not None and not other.is_closing():
            other.resume_reading()

    def abort(self) -> None:
        """Resets the connection, so that no answer looks complete."""
        if self.transport is not None:
            closing.reset(self.transport)


class _FarEnd(_End):
    """The end at the endpoint."""

    def __init__(self, tunnel: "_Tunnel") -> None:
        super().__init__()
        self._tunnel = tunnel

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the tunnel; after an orderly close, what was read goes out."""
        if exc is None:
            self._tunnel.close()
        else:
            self._tunnel.abort()


class _Tunnel(_End):
    """A tunnel, and its end at the asking instance."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self._server = server
        self._head = b""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._guarded: closing.GuardedTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the request."""
        super().connection_made(transport)
        assert self.transport is not None
        self._guarded = closing.GuardedTransport(self.transport)
        self._server.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HEAD_SECONDS, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks the tunnel off, so that the endpoint stops its work."""
        self._server.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self.other is not None:
            self.other.abort()

    def resume_writing(self) -> None:
        """Has the other end read on, or closes the tunnel."""
        super().resume_writing()
        if self._guarded is not None:
            self._guarded.note_sent()

    def close(self) -> None:
        """Closes the tunnel in order, after all that was read."""
        if self._guarded is not None:
            self._guarded.close()

    def data_received(self, data: bytes) -> None:
        """Reads the request, then forwards bytes."""
        if self.other is not None:
            super().data_received(data)
            return
        self._head += data
        is_complete = self._head.endswith(_END_OF_HEAD)
        if len(self._head) > _MAX_HEAD_BYTES or self._task is not None:
            self.abort()
        elif is_complete:
            self._begin()

    def _begin(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        method, _, rest = self._head.partition(b" ")
        endpoint = rest.partition(b" ")[0].decode("latin-1")
        if method != b"CONNECT" or not endpoint:
            self.abort()
            return
        self._task = asyncio.get_running_loop().create_task(
            self._connect(endpoint)
        )

    async def _connect(self, endpoint: str) -> None:
        assert self.transport is not None
        source = self.transport.get_extra_info("peername")[0]
        far_end = _FarEnd(self)
        outcome = Outcome(Status.SILENT)
        try:
            outcome = await self._server.connect(source, endpoint, far_end)
        finally:
            if outcome.status is not Status.OPENED:
                far_end.abort()
        self.transport.write(_format_outcome(outcome))
        if outcome.status is not Status.OPENED:
            self.close()
            return
        far_end.other = self
        self.other = far_end
