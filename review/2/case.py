"""Stops a gateway while clients with narrow links receive answers.

Each client posts one request that may not be repeated. The engine works for
`WORK_SECONDS` and answers with `ANSWER_BYTES`. The link of each client carries
5 Mbit/s. The gateway gets SIGTERM while the engine works. The answers need
less than half of `grace_s`.
"""

import asyncio
import random
import signal
import socket
import time

from review import rig
from standins import platform_engine
from standins import platform_site

CLIENTS = 4
ANSWER_BYTES = 250_000
WORK_SECONDS = 3.0
# Of a link of 5 Mbit/s.
BYTES_PER_SECOND = 625_000
# Receive buffer and segment size of a client on such a link.
RECEIVE_BUFFER_BYTES = 8192
SEGMENT_BYTES = 1460
READ_BYTES = 4000
DEADLINE_MS = 15_000
TERM_AFTER_SECONDS = 0.5
GRACE_SECONDS = 8.0


class Engine:
    """What the engine ran, and its whole answers."""

    def __init__(self, record: rig.Record) -> None:
        """Initializes without a request."""
        self._record = record
        self.ended_at: dict[str, float] = {}
        self.bodies: dict[str, bytes] = {}

    async def answer(
        self,
        engine: platform_engine.PlatformEngine,
        request: platform_engine.ReceivedRequest,
        connection: platform_engine.Connection,
    ) -> None:
        """Works for a while and sends a whole answer."""
        self._record.write(f"{engine.name} begins {request.id}")
        await asyncio.sleep(WORK_SECONDS)
        body = random.Random(request.id).randbytes(ANSWER_BYTES)
        self.bodies[request.id] = body
        await connection.answer(request, body)
        self.ended_at[request.id] = time.monotonic()
        self._record.write(f"{engine.name} has answered {request.id} whole")


async def call(record: rig.Record, ip: str, name: str) -> tuple[bytes, str]:
    """Posts a request; returns the body received and how it ended."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (ip, rig.FRONT_PORT))
        head = (
            "POST /once/x HTTP/1.1\r\n"
            f"Host: {platform_site.HOST}\r\n"
            f"Wayslip-Request-Id: {name}\r\n"
            f"Wayslip-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Content-Length: 2\r\n\r\nhi"
        )
        await loop.sock_sendall(sock, head.encode("ascii"))
        record.write(f"client sent {name}")
        data, ending = b"", "whole"
        while True:
            try:
                part = await loop.sock_recv(sock, READ_BYTES)
            except OSError as e:
                ending = type(e).__name__
                break
            if not part:
                ending = "closed"
                break
            data += part
            top, separator, body = data.partition(b"\r\n\r\n")
            if separator and len(body) >= read_length(top):
                break
            await asyncio.sleep(len(part) / BYTES_PER_SECOND)
    top, _, body = data.partition(b"\r\n\r\n")
    status = top.partition(b"\r\n")[0].decode("latin-1")
    record.write(
        f"client got for {name}: {status!r},"
        f" {len(body)} of {read_length(top)} bytes, {ending}"
    )
    return body, ending


def read_length(head: bytes) -> int:
    """Returns the length that a head states, 0 without one."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


async def play(record: rig.Record) -> int:
    """Plays the case."""
    deployment = rig.Deployment(record, [rig.make_ip(1), rig.make_ip(2)], 5.0)
    engine = Engine(record)
    try:
        manifest = platform_site.manifest()
        for route in manifest["routes"]:
            route["timeout_ms"] = DEADLINE_MS
        store = await deployment.start_store(manifest)
        for number in (1, 2):
            await deployment.add_engine(
                platform_engine.PlatformEngine(f"e{number}", engine.answer),
                "plain",
            )
        await deployment.start_gateways([store, store])
        # The impairment of the start is over after `contact_ms`.
        await asyncio.sleep(4.0)
        gateway = deployment.gateways[0]
        calls = [
            asyncio.create_task(call(record, gateway.ip, f"r{n}"))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(TERM_AFTER_SECONDS)
        term_at = time.monotonic()
        if rig.has_trouble():
            gateway.send(signal.SIGTERM)
            record.write(f"SIGTERM to {gateway.name}")
        results = await asyncio.gather(*calls)
        took = time.monotonic() - term_at
        record.write(f"{took:.1f} s after SIGTERM all answers have ended")
    finally:
        deployment.stop()
    if len(engine.ended_at) != CLIENTS:
        raise rig.NotRunError("the engines did not answer every request")
    if max(engine.ended_at.values()) - term_at > GRACE_SECONDS * 5 / 6:
        raise rig.NotRunError("an engine was at work for too long")
    lost = [
        n
        for n, (body, _) in enumerate(results)
        if body != engine.bodies[f"r{n}"]
    ]
    record.write(f"LOST: {len(lost)} of {CLIENTS} answers are incomplete")
    return rig.BROKEN if lost else rig.HELD


if __name__ == "__main__":
    rig.run(play, __file__, 60.0)
