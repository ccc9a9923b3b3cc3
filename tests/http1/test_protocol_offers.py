"""Requests whose clients offer to go on in another protocol.

Guards against an offer that ends a request: it ran without its body, and its
connection was closed unanswered. A server may ignore an offer.
"""

import pytest

from tests.http1 import test_server

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
)
HEAD = b"Host: h\r\n" + OFFER
LENGTH = b"POST /a HTTP/1.1\r\n" + HEAD + b"Content-Length: 5\r\n\r\nabcde"
CHUNKED = (
    b"POST /a HTTP/1.1\r\n"
    + HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
BARE = b"GET /b HTTP/1.1\r\n" + HEAD + b"\r\n"
LAST = b"GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def check(http_server, parts, *bodies):
    """Checks the bodies of the answers to requests, the last one `LAST`."""
    data = await test_server.exchange_bytes(http_server, *parts, LAST)
    answers = data.split(b"HTTP/1.1 200 OK\r\n")
    assert answers[0] == b""
    found = [a.partition(b"\r\n\r\n")[2] for a in answers[1:]]
    assert found == [*bodies, b"GET "]


def cut(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1000, 50, 20])
@pytest.mark.parametrize("request_bytes", [LENGTH, CHUNKED])
def test_body_of_a_request_with_an_offer_is_read(request_bytes, size):
    @test_server.serve(test_server.echo)
    async def test(http_server):
        await check(http_server, cut(request_bytes, size), b"POST abcde")

    test()


@test_server.serve(test_server.echo)
async def test_request_without_a_body_is_answered(http_server):
    await check(http_server, [BARE], b"GET ")


@test_server.serve(test_server.echo)
async def test_requests_with_offers_follow_each_other(http_server):
    together = LENGTH + BARE + CHUNKED
    await check(http_server, [together], b"POST abcde", b"GET ", b"POST abcde")


@test_server.serve(test_server.echo)
async def test_client_that_waits_with_its_body_is_told_once(http_server):
    head, _, body = LENGTH.partition(b"\r\n\r\n")
    head += b"\r\nExpect: 100-continue\r\n\r\n"
    data = await test_server.exchange_bytes(http_server, head, body, LAST)
    assert data.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")
    assert data.count(b"100 Continue") == 1
    assert b"POST abcde" in data


@test_server.serve(test_server.echo)
async def test_limits_hold_for_a_request_with_an_offer(http_server):
    long_head = LENGTH.replace(b"Host: h", b"Host: h\r\nX: " + b"x" * 2000)
    data = await test_server.exchange_bytes(http_server, long_head)
    assert data.startswith(b"HTTP/1.1 431")
    long_body = LENGTH.replace(b": 5", b": 1001") + b"x" * 996
    data = await test_server.exchange_bytes(http_server, long_body)
    assert data.startswith(b"HTTP/1.1 413")


@test_server.serve(test_server.echo)
async def test_request_for_a_tunnel_is_refused(http_server):
    request = b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\nabc"
    data = await test_server.exchange_bytes(http_server, request)
    assert data.startswith(b"HTTP/1.1 400")
