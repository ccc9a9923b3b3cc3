"""A client of the gateway that returns answers exactly as received."""

import asyncio
import dataclasses

from standins import platform_site

_READ_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as the client received it.

    Attributes:
        status: The HTTP status.
        headers: Values by lower-case name.
        body: The bytes received, also of an incomplete answer.
        is_whole: Whether the body was received completely.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def make_take_up_headers(stream: str, last_event: int) -> dict[str, str]:
    """Returns the headers with which a client takes a stream up.

    Args:
        stream: Id of the request that brought its first event.
        last_event: Number of the last event received.
    """
    return {"Resumes": stream, "Last_Event_Id": str(last_event)}


class Client:
    """A client connection that parses answers without an HTTP library."""

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
        """Sends a request.

        Args:
            path: The request's path.
            request_id: The request's id.
            method: The method.
            body: The body, empty for none.
            deadline: Time until the deadline, in milliseconds.
            **headers: Further headers, with _ for - in their names.
        """
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
            asyncio.IncompleteReadError: The connection ended within the
                head.
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
            elif "content-length" not in headers:
                body, is_whole = await self._read_until_close()
            else:
                length = int(headers.get("content-length", 0))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            is_whole = False
        return Answer(int(first.split(" ")[1]), headers, body, is_whole)

    async def _read_until_close(self) -> tuple[bytes, bool]:
        """Reads a body that ends with its connection, unless that is reset."""
        body = b""
        try:
            while data := await self.reader.read(_READ_BYTES):
                body += data
        except ConnectionError:
            return body, False
        return body, True

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
