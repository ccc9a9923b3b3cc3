"""Clients that read slowly, and what they cost the gateways in memory."""

import asyncio
import random
import socket

from soak import clients
from soak import endpoints
from soak import world as world_module
from standins import platform_client
from standins import platform_site

# The slow part of an answer: longer than the bytes that sockets buffer last.
_SLOW_SECONDS = 2.0
_SLOW_BYTES = 16 * 1024
_SLOW_PAUSE_SECONDS = 0.02
_DEADLINE_MS = 7000
_ANSWER_TIMEOUT_SECONDS = 9.0
_UPLOAD_BYTES = 1_000_000
# A client on a link of 5 Mbit/s: what it reads in a second and at a time, its
# receive buffer, and its segments.
_LINK_BYTES_PER_SECOND = 625_000
_LINK_READ_BYTES = 4_000
_LINK_BUFFER_BYTES = 8_192
_LINK_SEGMENT_BYTES = 1_460


class SlowReader:
    """A client that reads large answers slowly at first, and checks them."""

    def __init__(
        self,
        world: world_module.World,
        tally: clients.Tally,
        number: int,
        seed: int,
    ) -> None:
        self._world = world
        self._tally = tally
        self._name = f"s{number}"
        self._headers = world.conditions.make_headers(number)
        self._rng = random.Random(f"{seed}-{self._name}")
        self._sent = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            gateway = self._rng.choice(self._world.gateways)
            try:
                async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                    await self._send_request(gateway)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.1)

    async def _send_request(self, gateway: world_module.Gateway) -> None:
        host, _, port = gateway.callers.rpartition(":")
        self._sent += 1
        request = f"large-{self._name}-{self._sent}"
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=_SLOW_BYTES
        )
        client = platform_client.Client(reader, writer)
        try:
            await client.send(
                "/large/a",
                request,
                "POST",
                endpoints.format_upload(request, _UPLOAD_BYTES),
                _DEADLINE_MS,
                **self._headers,
            )
            status, body = await self._read(reader)
        finally:
            client.close()
        if status != 200:
            return
        if body != endpoints.format_large(request):
            self._world.oracle.report_violation(
                f"MIXED {request} got {len(body)} other bytes"
            )
        served = self._tally.served
        served["large"] = served.get("large", 0) + 1

    async def _read(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        """Returns status and body; raises if the body is not whole."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.partition(":")[2])
        parts = []
        loop = asyncio.get_running_loop()
        slow_until = loop.time() + _SLOW_SECONDS
        while length:
            part = await reader.read(min(length, _SLOW_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", length)
            parts.append(part)
            length -= len(part)
            if loop.time() < slow_until:
                await asyncio.sleep(_SLOW_PAUSE_SECONDS)
        return status, b"".join(parts)


async def read_over_link(
    gateway: world_module.Gateway,
    request: str,
    seconds: float,
    size: int,
    headers: dict[str, str],
) -> str:
    """Reads a whole answer at the speed of a link.

    Args:
        gateway: Where to send the request.
        request: The request's id.
        seconds: How long the endpoint is to work on the answer.
        size: Size of the answer, bytes.
        headers: Further headers.

    Returns:
        What is wrong with an answer whose head was received; empty if nothing
        is or if there was none.
    """
    loop = asyncio.get_running_loop()
    host, _, port = gateway.callers.rpartition(":")
    named = {
        "Host": platform_site.HOST,
        "Wayslip-Request-Id": request,
        "Wayslip-Deadline-Ms": str(_DEADLINE_MS),
        "Content-Length": "0",
        **{name.replace("_", "-"): text for name, text in headers.items()},
    }
    lines = [f"POST /large/{int(seconds * 1000)}/{size} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in named.items()]
    data = b""
    ending = "closed"
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _LINK_BUFFER_BYTES)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, _LINK_SEGMENT_BYTES
        )
        sock.setblocking(False)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, (host, int(port)))
                text = "\r\n".join(lines) + "\r\n\r\n"
                await loop.sock_sendall(sock, text.encode())
                while part := await loop.sock_recv(sock, _LINK_READ_BYTES):
                    data += part
                    if len(data.partition(b"\r\n\r\n")[2]) >= size:
                        break
                    await asyncio.sleep(len(part) / _LINK_BYTES_PER_SECOND)
        except (OSError, TimeoutError) as e:
            ending = type(e).__name__
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator or not head.startswith(b"HTTP/1.1 200 "):
        return ""
    if body == endpoints.format_large(request, size):
        return ""
    return f"{request} got {len(body)} of {size} bytes, {ending}"
