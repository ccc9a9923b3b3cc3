"""Links between gateways that can be cut, on loopback addresses.

Each gateway has an address of its own and an alias, by which all others know
it. The alias belongs to this process, which forwards datagrams and connections
between the gateways and drops them while a link is cut. Addresses inside
datagrams, and in what a gateway reads and writes in the store, are replaced
accordingly; they have the same length.
"""

import asyncio
import contextlib
import socket

from review import rig

_READ_BYTES = 65_536
# The ports of what gateways say to each other: the first carries datagrams and
# connections, the second connections only.
_PORTS = (rig.PEERS_PORT, rig.PEERS_PORT + 1)


class Links:
    """The links of a few gateways. Used on the event loop only.

    Attributes:
        cut: Gateways whose links to all others are cut, by their numbers.
        turned_away: Gateways whose calls the store answers with 503.
    """

    def __init__(self, own: list[str], aliases: list[str]) -> None:
        """Initializes without a socket.

        Args:
            own: Addresses that the gateways use.
            aliases: Addresses by which others know them.
        """
        self._own = own
        self._aliases = aliases
        self.cut: set[int] = set()
        self.turned_away: set[int] = set()
        self._datagrams: list[asyncio.DatagramTransport] = []
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, tuple[int, int]] = {}
        self._store_writers: dict[asyncio.StreamWriter, int] = {}

    async def start(self) -> None:
        """Listens at the aliases."""
        loop = asyncio.get_running_loop()
        for to in range(len(self._aliases)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda to=to: _Forwarder(self, to),
                local_addr=(self._aliases[to], rig.PEERS_PORT),
            )
            self._datagrams.append(transport)
            for port in _PORTS:
                self._servers.append(
                    await asyncio.start_server(
                        lambda r, w, to=to, port=port: self._connect(
                            r, w, to, port
                        ),
                        self._aliases[to],
                        port,
                    )
                )

    def stop(self) -> None:
        """Closes all sockets."""
        for transport in self._datagrams:
            transport.close()
        for server in self._servers:
            server.close()
        for writer in [*self._writers, *self._store_writers]:
            writer.transport.abort()

    def is_cut(self, one: int, other: int) -> bool:
        """Whether the link between two gateways is cut."""
        return one in self.cut or other in self.cut

    def show_to_others(self, data: bytes, by: int) -> bytes:
        """Returns what a gateway wrote, with its alias for its address."""
        return data.replace(
            self._own[by].encode("ascii"), self._aliases[by].encode("ascii")
        )

    def show_to(self, data: bytes, to: int) -> bytes:
        """Returns what a gateway reads, with its address for its alias."""
        return data.replace(
            self._aliases[to].encode("ascii"), self._own[to].encode("ascii")
        )

    # Datagrams

    def forward(self, data: bytes, source: str, to: int) -> None:
        """Forwards a datagram, unless its link is cut."""
        if source not in self._own:
            return
        by = self._own.index(source)
        if self.is_cut(by, to):
            return
        translated = self.show_to(self.show_to_others(data, by), to)
        self._datagrams[by].sendto(translated, (self._own[to], rig.PEERS_PORT))

    # Connections between gateways

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to: int,
        port: int,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if source not in self._own or self.is_cut(self._own.index(source), to):
            # A silent cut: the opener waits for its own time-out.
            await asyncio.sleep(2.0)
            writer.transport.abort()
            return
        by = self._own.index(source)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._own[to], port, local_addr=(self._aliases[by], 0)
            )
        except OSError:
            writer.transport.abort()
            return
        for one in (writer, far_writer):
            self._writers[one] = (by, to)
        await asyncio.gather(
            self._pump(reader, far_writer, by, to),
            self._pump(far_reader, writer, by, to),
        )
        for one in (writer, far_writer):
            self._writers.pop(one, None)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        by: int,
        to: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                while self.is_cut(by, to):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        writer.close()

    # The store

    async def start_store_path(self, by: int, store: str) -> str:
        """Returns the address at which a gateway finds the store."""
        host, _, port = store.rpartition(":")

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve_store(reader, writer, by, (host, int(port)))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve_store(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        by: int,
        store: tuple[str, int],
    ) -> None:
        """Forwards calls one by one, or turns them away."""
        far_reader, far_writer = await asyncio.open_connection(*store)
        for one in (writer, far_writer):
            self._store_writers[one] = by
        try:
            while True:
                call = await _read_message(reader)
                if by in self.turned_away:
                    writer.write(
                        b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n"
                    )
                    continue
                far_writer.write(self.show_to_others(call, by))
                answer = await _read_message(far_reader)
                writer.write(self.show_to(answer, by))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The gateway or the script ends. asyncio logs an error for a
            # cancelled handler.
            pass
        finally:
            for one in (writer, far_writer):
                self._store_writers.pop(one, None)
                one.transport.abort()


class _Forwarder(asyncio.DatagramProtocol):
    """Receives the datagrams to one gateway's alias."""

    def __init__(self, links: Links, to: int) -> None:
        self._links = links
        self._to = to

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a datagram."""
        self._links.forward(data, addr[0], self._to)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listens; the datagram is lost."""


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    """Returns a whole HTTP message whose body has a length or is missing."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head + await reader.readexactly(length)


def check_address(ip: str) -> None:
    """Raises an error if an address cannot be used."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
