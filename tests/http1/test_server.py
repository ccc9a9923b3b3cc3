import asyncio

from wayslip.decisions import manifest
from wayslip.http1 import server

LIMITS = manifest.Limits(
    header_bytes=2000, body_bytes=1000, header_seconds=0.2, idle_seconds=0.3
)


def serve(application):
    """Decorates a test that sends raw bytes to a server."""

    def decorate(test):
        def wrapper():
            async def body():
                http_server = server.Server(
                    ("127.0.0.1", 0), application, lambda: LIMITS
                )
                await http_server.start()
                try:
                    async with asyncio.timeout(10):
                        await test(http_server)
                finally:
                    http_server.stop_listening()
                    http_server.abort_all()

            asyncio.run(body())

        wrapper.__name__ = test.__name__
        return wrapper

    return decorate


async def echo(exchange):
    request = exchange.request
    exchange.answer(200, (), request.method + b" " + request.body)


async def exchange_bytes(http_server, *parts):
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", http_server.port
    )
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)
    data = await reader.read(-1)
    writer.close()
    return data


@serve(echo)
async def test_chunked_body_is_reassembled(http_server):
    data = await exchange_bytes(
        http_server,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n2\r\n",
        b"de\r\n0\r\n\r\n",
    )
    assert data.endswith(b"\r\n\r\nPOST abcde")


@serve(echo)
async def test_pipelined_requests_are_answered_in_order(http_server):
    request = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    data = await exchange_bytes(http_server, request % 1 + request % 2)
    assert data.count(b"HTTP/1.1 200") == 2


@serve(echo)
async def test_head_behind_other_requests_may_come_in_parts(http_server):
    # Guards against requests that are lost because the bytes of those before
    # count towards the limit of a head that is not complete.
    request = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"
    request += b"x" * 900
    last = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    data = await exchange_bytes(http_server, request * 3 + last[:9], last[9:])
    assert data.count(b"HTTP/1.1 200 OK") == 4


@serve(echo)
async def test_long_head_behind_another_request_is_refused(http_server):
    first = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    head = b"GET /b HTTP/1.1\r\nHost: h\r\nX: "
    data = await exchange_bytes(
        http_server, first + head, b"x" * 1500, b"x" * 600, b"\r\n\r\n"
    )
    assert data.count(b"HTTP/1.1 200 OK") == 1
    assert b"HTTP/1.1 431" in data


@serve(echo)
async def test_conflicting_lengths_are_refused(http_server):
    data = await exchange_bytes(
        http_server,
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    )
    assert data.startswith(b"HTTP/1.1 400")
    assert data.count(b"HTTP/1.1") == 1


@serve(echo)
async def test_garbage_is_refused(http_server):
    data = await exchange_bytes(http_server, b"\x00\x01 what\r\n\r\n")
    assert data.startswith(b"HTTP/1.1 400")


@serve(echo)
async def test_head_and_body_have_limits(http_server):
    data = await exchange_bytes(
        http_server, b"GET / HTTP/1.1\r\nX: " + b"y" * 4000
    )
    assert data.startswith(b"HTTP/1.1 431")
    data = await exchange_bytes(
        http_server,
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1500\r\n\r\n",
        b"z" * 1500,
    )
    assert data.startswith(b"HTTP/1.1 413")


@serve(echo)
async def test_incomplete_head_times_out(http_server):
    data = await exchange_bytes(http_server, b"GET / HTTP/1.1\r\nHost")
    assert data.startswith(b"HTTP/1.1 408")


@serve(echo)
async def test_idle_connection_is_closed(http_server):
    data = await exchange_bytes(
        http_server, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    assert data.startswith(b"HTTP/1.1 200")


async def abort_midway(exchange):
    exchange.start(200, (), None)
    await exchange.send(b"half")
    exchange.abort()


@serve(abort_midway)
async def test_aborted_answer_lacks_its_end(http_server):
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", http_server.port
    )
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    data = b""
    try:
        data = await reader.read(-1)
    except ConnectionResetError:
        pass
    writer.close()
    assert b"0\r\n\r\n" not in data


async def fail(exchange):
    raise ValueError("application error")


@serve(fail)
async def test_application_error_is_answered_with_500(http_server):
    data = await exchange_bytes(
        http_server, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    assert data.startswith(b"HTTP/1.1 500")


CANCELLED = []


async def wait_long(exchange):
    try:
        await asyncio.sleep(5)
    except asyncio.CancelledError:
        CANCELLED.append(exchange.request.target)
        raise


@serve(wait_long)
async def test_application_is_cancelled_when_the_client_leaves(http_server):
    _, writer = await asyncio.open_connection("127.0.0.1", http_server.port)
    writer.write(b"GET /gone HTTP/1.1\r\nHost: h\r\n\r\n")
    while not http_server.active:
        await asyncio.sleep(0.01)
    writer.close()
    while b"/gone" not in CANCELLED:
        await asyncio.sleep(0.01)


@serve(echo)
async def test_draining_server_announces_close(http_server):
    http_server.is_draining = True
    data = await exchange_bytes(
        http_server, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    assert b"connection: close" in data
