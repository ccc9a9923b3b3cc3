"""What the server holds for clients that do not read their answers."""

import asyncio
from unittest import mock

import pytest

from tests.http1 import test_server
from wayslip.http1 import server
from wayslip.http1 import stalls

PART = b"x" * 100_000
# More than the sockets of a connection buffer.
PARTS = 200
SIZE = PARTS * len(PART)
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer_in_parts(exchange):
    exchange.start(200, (), SIZE)
    for _ in range(PARTS):
        await exchange.send(PART)
    exchange.finish()


async def answer_at_once(exchange):
    exchange.answer(200, (), PART * 20)


async def until(check):
    while not check():
        await asyncio.sleep(0.01)


async def ask(http_server, requests=1):
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", http_server.port, limit=1000
    )
    writer.write(REQUEST * requests)
    return reader, writer


async def read_answer(reader, size):
    await reader.readuntil(b"\r\n\r\n")
    return len(await reader.readexactly(size))


def list_buffered(http_server):
    return [c.buffered_bytes for c in http_server.connections]


@test_server.serve(answer_in_parts)
async def test_slow_reader_holds_little_and_gets_the_whole_answer(http_server):
    reader, writer = await ask(http_server)
    await until(lambda: http_server.stalled)
    await asyncio.sleep(0.1)
    limit = server._WRITE_BUFFER_BYTES + len(PART)
    assert sum(list_buffered(http_server)) <= limit
    assert await read_answer(reader, SIZE) == SIZE
    await until(lambda: not http_server.stalled)
    writer.close()


@test_server.serve(answer_at_once)
async def test_answers_do_not_pile_up_for_pipelined_requests(http_server):
    reader, writer = await ask(http_server, requests=12)
    await until(lambda: http_server.stalled)
    await asyncio.sleep(0.1)
    limit = server._WRITE_BUFFER_BYTES + 20 * len(PART)
    assert sum(list_buffered(http_server)) <= limit
    for _ in range(12):
        assert await read_answer(reader, 20 * len(PART)) == 20 * len(PART)
    writer.close()


@test_server.serve(answer_in_parts)
async def test_slowest_reader_is_cut_first_at_the_limit(http_server):
    # One full buffer fits, two do not.
    limit = server._WRITE_BUFFER_BYTES + len(PART)
    with mock.patch.object(stalls, "MAX_BUFFERED_BYTES", limit):
        first, first_writer = await ask(http_server)
        await until(lambda: len(http_server.stalled) == 1)
        second, second_writer = await ask(http_server)
        await until(lambda: len(http_server.connections) == 1)
        assert await read_answer(second, SIZE) == SIZE
    with_error = asyncio.gather(
        read_answer(first, SIZE), return_exceptions=True
    )
    assert isinstance((await with_error)[0], (ConnectionError, EOFError))
    first_writer.close()
    second_writer.close()


@test_server.serve(answer_in_parts)
async def test_readers_that_keep_up_are_not_cut_at_the_limit(http_server):
    with mock.patch.object(
        stalls, "MAX_BUFFERED_BYTES", 10 * server._WRITE_BUFFER_BYTES
    ):
        clients = [await ask(http_server) for _ in range(3)]
        for reader, writer in clients:
            assert await read_answer(reader, SIZE) == SIZE
            writer.close()


@pytest.mark.parametrize(
    ("memory_mb", "limit"),
    [(0, 64 * 1024 * 1024), (160, 16_000_000), (1000, 64 * 1024 * 1024)],
)
def test_limit_depends_on_the_machines_memory(memory_mb, limit):
    assert stalls.find_limit(memory_mb) == limit
