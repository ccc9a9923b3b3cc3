"""Answers that are written but not yet taken by the client's socket.

Guards against counting an answer as ended while the transport holds a part of
it: a planned stop then drops that part.
"""

import asyncio
import contextlib
import socket
from unittest import mock

import pytest

from tests.http1 import test_server
from wayslip import logs
from wayslip.http1 import server

# More than the sockets of a connection with a small receive buffer take.
BODY = bytes(range(256)) * 30_000
# Less than that, more than the receive buffer.
PART = BODY[:400_000]
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
RECEIVE_BUFFER_BYTES = 8192


async def answer_at_once(exchange):
    exchange.name = "r1"
    exchange.answer(200, (), BODY)


async def answer_with_a_part(exchange):
    exchange.answer(200, (), PART)


async def until(check):
    while not check():
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def connect(http_server):
    """Yields a socket that takes little which its owner does not read."""
    with socket.socket() as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", http_server.port))
        yield sock


async def receive(sock, expected=BODY):
    """Returns the body of one answer, at most a part more than expected."""
    loop = asyncio.get_running_loop()
    data = b""
    while b"\r\n\r\n" not in data:
        part = await loop.sock_recv(sock, 4096)
        assert part, "the connection was closed before an answer"
        data += part
    body = data.partition(b"\r\n\r\n")[2]
    while len(body) < len(expected):
        part = await loop.sock_recv(sock, 65536)
        if not part:
            break
        body += part
    return body


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def until_written(http_server):
    """Waits until an answer was written of which the socket lacks a part."""
    await until(lambda: any(c.buffered_bytes for c in http_server.connections))
    await until(
        lambda: all(c._exchange is None for c in http_server.connections)
    )


@pytest.mark.parametrize("request_bytes", [REQUEST, LAST_REQUEST])
def test_connection_is_busy_until_the_socket_has_the_answer(request_bytes):
    @test_server.serve(answer_at_once)
    async def play(http_server):
        async with connect(http_server) as sock:
            await send(sock, request_bytes)
            await until_written(http_server)
            assert http_server.active == 1
            http_server.close_idle()
            assert await receive(sock) == BODY
        await until(lambda: not http_server.active)

    play()


@test_server.serve(answer_at_once)
async def test_idle_time_begins_when_the_socket_has_the_answer(http_server):
    async with connect(http_server) as sock:
        await send(sock, REQUEST)
        await until_written(http_server)
        await asyncio.sleep(test_server.LIMITS.idle_seconds * 2)
        # The connection is to serve another request after that.
        assert await receive(sock) == BODY
        await send(sock, REQUEST)
        assert await receive(sock) == BODY


@test_server.serve(answer_at_once)
async def test_cut_answers_are_counted_and_logged(http_server):
    async with connect(http_server) as sock:
        await send(sock, REQUEST)
        await until_written(http_server)
        with mock.patch.object(logs, "event", wraps=logs.event) as event:
            assert http_server.abort_all() == 1
        fields = event.call_args.kwargs
        assert event.call_args.args[1] == "answer_cut"
        assert fields["request"] == "r1"
        assert fields["finished"]
        assert 0 < fields["unsent_bytes"] < len(BODY) + 1000


@test_server.serve(answer_with_a_part)
async def test_bytes_after_the_last_request_cost_nothing_of_its_answer(
    http_server,
):
    # Guards against a reset by a socket that is closed with bytes unread.
    async with connect(http_server) as sock:
        await send(sock, LAST_REQUEST)
        await until(lambda: http_server.connections)
        # The socket takes the whole answer, the client nothing.
        await asyncio.sleep(0.2)
        await send(sock, b"more than the request")
        await asyncio.sleep(0.2)
        assert await receive(sock, PART) == PART
        assert await asyncio.get_running_loop().sock_recv(sock, 1) == b""


@test_server.serve(answer_at_once)
async def test_client_that_does_not_close_is_closed_soon(http_server):
    # Guards against connections that end with an answer and stay for ever.
    with mock.patch.object(server, "_LINGER_SECONDS", 0.05):
        async with connect(http_server) as sock:
            await send(sock, LAST_REQUEST)
            assert await receive(sock) == BODY
            await until(lambda: not http_server.connections)
