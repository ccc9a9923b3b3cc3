"""A client of the gateway that shows what came byte by byte."""

import asyncio
import dataclasses

from standins import platform_site


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as a client got it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Client:
    """A client's connection, read byte by byte."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(
        self,
        path: str,
        request_id: str,
        method: str = "GET",
        body: bytes = b"",
        deadline: int = 3000,
        **headers: str,
    ) -> None:
        """Sends a request; names of headers have _ for -."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {platform_site.HOST}",
            f"Wayslip-Request-Id: {request_id}",
            f"Wayslip-Deadline-Ms: {deadline}",
        ]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def read(self) -> Answer:
        """Returns the next answer.

        Raises:
            asyncio.IncompleteReadError: The connection ended before a head.
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        headers: dict[str, str] = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body, is_whole = b"", True
        try:
            if "transfer-encoding" in headers:
                body, is_whole = await self._read_chunks()
            else:
                length = int(headers.get("content-length", 0))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            is_whole = False
        return Answer(int(first.split(" ")[1]), headers, body, is_whole)

    async def _read_chunks(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while True:
                size = int(await self.reader.readline(), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
