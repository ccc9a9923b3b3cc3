"""A loopback TCP proxy that harms what passes through it."""

import asyncio
import contextlib
import enum

_PIECE = 65536


class Harm(enum.Enum):
    """What happens to bytes and connections.

    Attributes:
        NONE: Everything passes.
        DELAY: Every piece waits a while.
        RESET: Connections, also new ones, are reset.
        SILENT: Nothing passes, and nothing is closed.
        DEAF: Nothing passes to the server; its bytes still come.
        MUTE: Nothing comes from the server; bytes still pass to it.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    DEAF = "deaf"
    MUTE = "mute"


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._passes = asyncio.Event()
        self._passes.set()
        self.harm = Harm.NONE
        self.delay = 0.2

    async def start(self) -> str:
        """Listens; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def set_harm(self, harm: Harm) -> None:
        """Changes what happens to connections, open ones too."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        if harm in (Harm.SILENT, Harm.DEAF, Harm.MUTE):
            self._passes.clear()
        else:
            self._passes.set()

    def retarget(self, target: str) -> None:
        """Passes connections on to another address; open ones are reset."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Ends everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        ways = [
            asyncio.create_task(self._pump(reader, far, Harm.DEAF)),
            asyncio.create_task(self._pump(far_reader, writer, Harm.MUTE)),
        ]
        await asyncio.gather(*ways)
        self._writers -= {writer, far}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_by: Harm,
    ) -> None:
        try:
            while data := await reader.read(_PIECE):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay)
                while self.harm in (Harm.SILENT, blocked_by):
                    await self._passes.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                if reader.at_eof() and not writer.is_closing():
                    writer.close() if blocked_by is Harm.MUTE else None
