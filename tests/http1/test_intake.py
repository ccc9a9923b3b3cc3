"""What clients send, as far as it is held."""

import asyncio
import contextlib

from tests.http1 import test_server
from wayslip.decisions import intake
from wayslip.decisions import manifest
from wayslip.http1 import server

BODY_BYTES = 400_000
LIMITS = manifest.Limits(
    header_bytes=20_000,
    body_bytes=BODY_BYTES,
    header_seconds=5.0,
    idle_seconds=0.5,
)
# Half of it is for large requests: two bodies of the largest size.
ROOM = 4 * intake.estimate_cost(10, 1000, BODY_BYTES)
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
POST = HEAD + b"Content-Length: %d\r\n\r\n"


class Clients:
    """Connections to one server, all closed in the end."""

    def __init__(self, http_server):
        self.http_server = http_server
        self._writers = []

    async def send(self, data):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.http_server.port
        )
        self._writers.append(writer)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.02)
        return reader, writer

    async def ask(self, data):
        """Returns all that the server sends on a connection."""
        reader, _ = await self.send(data)
        return await reader.read(-1)

    def close(self):
        for writer in self._writers:
            writer.close()


@contextlib.asynccontextmanager
async def run(application=test_server.echo, limits=LIMITS):
    http_server = server.Server(
        ("127.0.0.1", 0),
        application,
        lambda: limits,
        intake=intake.Intake(ROOM),
    )
    await http_server.start()
    clients = Clients(http_server)
    try:
        async with asyncio.timeout(20):
            yield http_server, clients
    finally:
        clients.close()
        http_server.stop_listening()
        http_server.abort_all()


def play(test):
    """Decorates a test that is a coroutine function."""

    def wrapper():
        asyncio.run(test())

    wrapper.__name__ = test.__name__
    return wrapper


@play
async def test_body_without_room_is_rejected_before_it_is_read():
    async with run() as (http_server, clients):
        for _ in range(2):
            await clients.send(POST % BODY_BYTES + b"x" * 10)
        answer = await clients.ask(POST % BODY_BYTES)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1.00\r\n" in answer
        answer = await clients.ask(
            b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        assert answer.startswith(b"HTTP/1.1 200")


@play
async def test_body_that_grows_beyond_the_room_is_rejected():
    async with run() as (http_server, clients):
        for _ in range(2):
            await clients.send(POST % BODY_BYTES + b"x" * 10)
        chunk = b"%x\r\n%s\r\n" % (90_000, b"x" * 90_000)
        answer = await clients.ask(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
        )
        assert answer.startswith(b"HTTP/1.1 503")
        # The refused one holds nothing any more.
        assert http_server.intake.held <= ROOM // 2 + 3 * 20_000


@play
async def test_connections_that_send_nothing_give_way():
    limits = manifest.Limits(body_bytes=BODY_BYTES, idle_seconds=30.0)
    async with run(limits=limits) as (_, clients):
        readers = [
            (await clients.send(POST % BODY_BYTES + b"x" * (BODY_BYTES - 1)))[0]
            for _ in range(2)
        ]
        await asyncio.sleep(1.1)
        body = b"y" * BODY_BYTES
        reader, _ = await clients.send(POST % BODY_BYTES + body)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(5 + BODY_BYTES) == b"POST " + body
        answer = await readers[0].read(-1)
        assert answer.startswith(b"HTTP/1.1 503")


@play
async def test_announced_body_over_the_limit_is_refused_unread():
    async with run() as (http_server, clients):
        answer = await clients.ask(POST % 10**12)
        assert answer.startswith(b"HTTP/1.1 413")
        assert not http_server.intake.held


@play
async def test_body_that_rests_is_refused():
    async with run() as (_, clients):
        answer = await clients.ask(POST % 100 + b"x" * 99)
        assert answer.startswith(b"HTTP/1.1 408")


@play
async def test_body_that_arrives_slowly_is_served():
    # Four times as long as a connection may rest.
    async with run() as (_, clients):
        reader, writer = await clients.send(POST % 10)
        for _ in range(10):
            await asyncio.sleep(0.2)
            writer.write(b"x")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")


@play
async def test_queued_requests_without_room_leave_the_first_its_answer():
    may_answer = asyncio.Event()

    async def wait(exchange):
        await may_answer.wait()
        await test_server.echo(exchange)

    async with run(wait) as (_, clients):
        post = POST % BODY_BYTES + b"x" * BODY_BYTES
        reader, _ = await clients.send(post * 4)
        await asyncio.sleep(0.1)
        may_answer.set()
        data = await reader.read(-1)
        assert data.startswith(b"HTTP/1.1 200")
        assert data.count(b"HTTP/1.1 200") < 4


@play
async def test_answered_requests_hold_nothing():
    async with run() as (http_server, clients):
        for size in (0, 10, BODY_BYTES):
            reader, _ = await clients.send(POST % size + b"x" * size)
            await reader.readexactly(20)
            await asyncio.sleep(0.05)
            assert not http_server.intake.held


@play
async def test_costly_connections_take_turns():
    # One read of small chunks is parsed in a round of the event loop.
    class Rounds:
        def __init__(self):
            self.reads = []
            self.number = 0

        def count(self):
            self.number += 1
            asyncio.get_running_loop().call_soon(self.count)

    rounds = Rounds()
    async with run() as (http_server, clients):
        original = http_server.turns.wait

        def wait(connection, transport):
            rounds.reads.append(rounds.number)
            original(connection, transport)

        chunks = b"1\r\nx\r\n" * 60_000
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        http_server.turns.wait = wait
        sent = [
            asyncio.create_task(clients.send(head + chunks)) for _ in range(8)
        ]
        rounds.count()
        await asyncio.gather(*sent)
        while len(rounds.reads) < 60:
            await asyncio.sleep(0.01)
    # The first read of each connection may fall into one round.
    later = rounds.reads[8:]
    assert len(set(later)) >= len(later) - 8
