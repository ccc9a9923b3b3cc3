"""Tunnels between an asking instance, a serving one and an endpoint."""

import asyncio
import multiprocessing
from unittest import mock

import pytest

from standins import ports
from wayslip import errors
from wayslip.http1 import closing
from wayslip.http1 import messages
from wayslip.http1 import tunnels

HOST = ports.make_own_host()
LARGE_BYTES = 4_000_000


class Rig:
    """A tunnel server and an endpoint that runs a script on raw streams."""

    def __init__(self):
        self.seen = []
        self.answer = None
        self.server = None
        self.ended = asyncio.Event()
        self.listener = None

    async def start(self, script, answer=None):
        self.listener = await asyncio.start_server(
            self._make_handler(script), HOST, 0
        )
        self.answer = answer or self.listener.sockets[0].getsockname()
        self.peer = (HOST, ports.find_free(HOST))
        self.server = tunnels.Server(
            self.peer, lambda source, name: self.answer, self._observe, 0.3
        )
        await self.server.start()

    def _make_handler(self, script):
        async def handle(reader, writer):
            try:
                await script(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.ended.set()

        return handle

    async def _observe(self, source, endpoint, status):
        self.seen.append((source, endpoint, status))
        return tunnels.Outcome(status)

    async def connect(self, seconds=1.0):
        return await tunnels.connect(HOST, self.peer, "e1", seconds)


def run(script=None, answer=None):
    """Decorates a test that gets a started rig."""

    def decorate(test):
        def wrapper():
            async def body():
                rig = Rig()
                await rig.start(script or answer_length, answer)
                try:
                    async with asyncio.timeout(20):
                        await test(rig)
                finally:
                    rig.server.close()
                    rig.listener.close()

            asyncio.run(body())

        return wrapper

    return decorate


async def answer_length(reader, writer):
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


async def answer_large(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LARGE_BYTES
    writer.write(head + bytes(LARGE_BYTES))
    await writer.drain()


async def answer_until_close(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    writer.close()


async def answer_large_until_close(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(LARGE_BYTES))
    writer.close()


async def answer_until_reset(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    await asyncio.sleep(0.05)
    closing.reset(writer.transport)


async def hang(reader, writer):
    await reader.read()


async def ask(connection):
    connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
    await connection.read_head()
    parts = []
    while part := await connection.read():
        parts.append(part)
    return b"".join(parts)


@run()
async def test_tunnel_carries_several_requests(rig):
    connection = await rig.connect()
    assert connection.peer == f"{rig.peer[0]}:{rig.peer[1]}"
    assert [await ask(connection) for _ in range(3)] == [b"ok"] * 3
    assert rig.seen == [(HOST, "e1", tunnels.Status.OPENED)]
    assert len(rig.server) == 1
    connection.close()


@run(answer_large)
async def test_large_answer_arrives_whole(rig):
    connection = await rig.connect()
    assert await ask(connection) == bytes(LARGE_BYTES)
    connection.close()


@run(answer_until_close)
async def test_orderly_close_by_the_endpoint_ends_an_answer(rig):
    connection = await rig.connect()
    assert await ask(connection) == b"half"
    assert connection.ending is messages.BodyEnd.UNMARKED


@run(answer_large_until_close)
async def test_large_answer_arrives_whole_before_the_close(rig):
    connection = await rig.connect()
    assert await ask(connection) == bytes(LARGE_BYTES)


@run(answer_until_reset)
async def test_reset_by_the_endpoint_breaks_an_answer_off(rig):
    connection = await rig.connect()
    with pytest.raises(errors.EndpointUnclearError):
        await ask(connection)


@run(answer_until_close)
async def test_close_of_a_tunnel_of_the_release_before_ends_no_answer(rig):
    # It can't be told from one that was reset before the tunnel.
    with mock.patch.object(tunnels, "_format_outcome", format_outcome_before):
        connection = await rig.connect()
    with pytest.raises(errors.EndpointUnclearError):
        await ask(connection)


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 200 OK\r\n\r\nhalf"])
def test_end_of_the_serving_process_breaks_an_answer_off(sent):
    async def check():
        endpoint = await asyncio.start_server(make_hanging(sent), HOST, 0)
        address = endpoint.sockets[0].getsockname()
        peer = (HOST, ports.find_free(HOST))
        context = multiprocessing.get_context("spawn")
        process = context.Process(target=serve, args=(peer, address))
        process.start()
        try:
            connection = await connect_to(peer)
            connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
            if sent:
                await connection.read_head()
                assert await connection.read() == b"half"
            process.kill()
            with pytest.raises(errors.EndpointUnclearError):
                await connection.read_head()
                await connection.read()
        finally:
            process.kill()
            process.join()
            endpoint.close()

    async def run_check():
        async with asyncio.timeout(20):
            await check()

    asyncio.run(run_check())


def format_outcome_before(outcome):
    status = outcome.status
    return f"HTTP/1.1 {status.value} {status.name}\r\n\r\n".encode()


def make_hanging(sent):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await reader.read()
        writer.close()

    return handle


async def tell_status(source, endpoint, status):
    return tunnels.Outcome(status)


def serve(peer, address):
    async def run():
        server = tunnels.Server(
            peer,
            lambda source, name: address,
            tell_status,
            1.0,
        )
        await server.start()
        await asyncio.sleep(60)

    asyncio.run(run())


async def connect_to(peer):
    """Returns a tunnel of a process that may have to start first."""
    while True:
        try:
            return await tunnels.connect(HOST, peer, "e1", 1.0)
        except errors.PeerError:
            await asyncio.sleep(0.02)


@run(hang)
async def test_endpoint_sees_the_asking_instance_leave(rig):
    connection = await rig.connect()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
    await asyncio.sleep(0.05)
    connection.close()
    await rig.ended.wait()
    while len(rig.server):
        await asyncio.sleep(0.01)


@run(hang)
async def test_end_of_the_serving_instance_breaks_the_request_off(rig):
    connection = await rig.connect()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
    asyncio.get_running_loop().call_later(0.05, rig.server.close)
    with pytest.raises(errors.EndpointUnclearError):
        await connection.read_head()


@run(answer=(HOST, 1))
async def test_refusal_by_the_endpoint_is_told(rig):
    with pytest.raises(errors.NobodyListensError):
        await rig.connect()


@pytest.mark.parametrize(
    "status", [tunnels.Status.BUSY, tunnels.Status.FORBIDDEN]
)
def test_refusal_by_the_instance_says_nothing_of_the_endpoint(status):
    @run(answer=tunnels.Outcome(status, "path_lost"))
    async def check(rig):
        with pytest.raises(errors.TunnelRefusedError) as caught:
            await rig.connect()
        assert caught.value.cause == "path_lost"
        assert not rig.seen

    check()


@run(answer=tunnels.Outcome(tunnels.Status.BUSY, "path_lost"))
async def test_refusal_of_the_release_before_has_no_reason(rig):
    with (
        mock.patch.object(tunnels, "_format_outcome", format_outcome_before),
        pytest.raises(errors.TunnelRefusedError) as caught,
    ):
        await rig.connect()
    assert not caught.value.cause


@run()
async def test_instance_without_tunnels_says_nothing_of_the_endpoint(rig):
    rig.server.close()
    with pytest.raises(errors.PeerError):
        await rig.connect()


@run()
async def test_malformed_request_is_broken_off(rig):
    for request in (b"GET / HTTP/1.1\r\n\r\n", b"CONNECT " + b"e" * 2000):
        reader, writer = await asyncio.open_connection(*rig.peer)
        writer.write(request)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
    assert not rig.seen
