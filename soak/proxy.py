"""A loopback TCP proxy that injects faults into connections."""

import asyncio
import contextlib
import enum

from wayslip.http1 import closing

_CHUNK_BYTES = 65536


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; `abort` alone would close it in order."""
    closing.reset(writer.transport)


class LinkFault(enum.Enum):
    """What the proxy does to bytes and connections.

    Stalled bytes are forwarded once the fault is over.

    Attributes:
        NONE: Forwards everything.
        DELAY: Forwards each chunk after `Proxy.delay` seconds.
        RESET: Resets all connections, also new ones.
        STALL: Stalls bytes in both directions; connections stay open.
        STALL_TO_SERVER: Stalls only bytes to the server.
        STALL_FROM_SERVER: Stalls only bytes from the server.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silent"
    STALL_TO_SERVER = "deaf"
    STALL_FROM_SERVER = "mute"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        fault: The fault that is injected.
        delay: Seconds that `LinkFault.DELAY` delays each chunk.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()
        self.fault = LinkFault.NONE
        self.delay = 0.2

    async def start(self) -> str:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def set_fault(self, fault: LinkFault) -> None:
        """Injects a fault into all connections, including open ones."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                _reset(writer)
        if fault in (
            LinkFault.STALL,
            LinkFault.STALL_TO_SERVER,
            LinkFault.STALL_FROM_SERVER,
        ):
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def retarget(self, target: str) -> None:
        """Forwards new connections to another address; resets open ones."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        for writer in list(self._writers):
            _reset(writer)

    def stop_listening(self) -> None:
        """Refuses new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, upstream}
        pumps = [
            asyncio.create_task(
                self._pump(reader, upstream, LinkFault.STALL_TO_SERVER)
            ),
            asyncio.create_task(
                self._pump(upstream_reader, writer, LinkFault.STALL_FROM_SERVER)
            ),
        ]
        await asyncio.gather(*pumps)
        self._writers -= {writer, upstream}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalled_by: LinkFault,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay)
                while self.fault in (LinkFault.STALL, stalled_by):
                    await self._not_stalled.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            _reset(writer)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                if reader.at_eof() and not writer.is_closing():
                    (
                        writer.close()
                        if stalled_by is LinkFault.STALL_FROM_SERVER
                        else None
                    )
