"""Connections that ended hold no memory.

Without the collector of cycles, which may not run for long.
"""

import asyncio
import contextlib
import gc
import weakref

import pytest

from tests.http1 import test_server
from wayslip.http1 import client

_POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


@contextlib.contextmanager
def no_collection():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def until(check):
    while not check():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    "data",
    [
        _POST % 900 + b"x" * 800,
        _POST % 10**12 + b"x" * 5000,
        _POST % 900 + b"x" * 900,
        b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * 100,
    ],
)
def test_connections_of_clients_are_freed_at_once(data):
    @test_server.serve(test_server.echo)
    async def play(http_server):
        with no_collection():
            _, writer = await asyncio.open_connection(
                "127.0.0.1", http_server.port
            )
            writer.write(data)
            await until(lambda: http_server.connections)
            await asyncio.sleep(0.02)
            (connection,) = http_server.connections
            seen = weakref.ref(connection)
            del connection
            writer.close()
            await until(lambda: not http_server.connections)
            await until(lambda: seen() is None)

    play()


def test_refused_body_is_freed_while_its_connection_is_open():
    @test_server.serve(test_server.echo)
    async def play(http_server):
        _, writer = await asyncio.open_connection("127.0.0.1", http_server.port)
        writer.write(_POST % 900 + b"x" * 800)
        await until(lambda: http_server.connections)
        await asyncio.sleep(0.02)
        (connection,) = http_server.connections
        assert connection._body
        connection._refuse(503)
        assert not connection._body
        assert not connection._headers
        writer.close()

    play()


def test_connections_to_endpoints_are_freed_at_once():
    @test_server.serve(test_server.echo)
    async def play(http_server):
        with no_collection():
            address = ("127.0.0.1", http_server.port)
            connection = await client.connect(address, 5.0)
            connection.send(_POST % 3 + b"abc", lambda head: True)
            await connection.read_head()
            assert await connection.read() == b"POST abc"
            seen = weakref.ref(connection)
            connection.close()
            del connection
            await until(lambda: seen() is None)

    play()
