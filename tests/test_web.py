"""Requests that hold memory or a worker of the product's own HTTP server."""

import contextlib
import socket
import time

from wayslip import addresses
from wayslip import settings
from wayslip import web

BODY_BYTES = 400_000
LIMITS = settings.Limits(
    body_bytes=BODY_BYTES, request_memory_bytes=4 * BODY_BYTES
)
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def answer_length(request):
    return web.Answer(200, b"%d" % len(request.read()))


def refuse(request):
    return web.Answer(401, b"no")


@contextlib.contextmanager
def run(application, threads=4, limits=LIMITS):
    server = web.Server("127.0.0.1:0", application, limits, threads)
    server.start()
    sockets = []

    def send(data):
        address = addresses.split_address(server.address)
        sock = socket.create_connection(address, timeout=20)
        sockets.append(sock)
        sock.sendall(data)
        time.sleep(0.05)
        return sock

    try:
        yield send
    finally:
        for sock in sockets:
            sock.close()
        server.stop()


def test_body_without_room_is_rejected_before_it_is_read():
    with run(answer_length) as send:
        send(POST % BODY_BYTES + b"x" * 10)
        answer = send(POST % BODY_BYTES).recv(1000)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1\r\n" in answer
        assert b"Wayslip-Outcome: not-run\r\n" in answer
        assert send(GET).recv(1000).startswith(b"HTTP/1.1 200")


def test_connection_that_sends_nothing_gives_way():
    with run(answer_length) as send:
        stalled = send(POST % BODY_BYTES + b"x" * (BODY_BYTES - 1))
        time.sleep(1.1)
        sock = send(POST % BODY_BYTES + b"x" * BODY_BYTES)
        assert sock.recv(1000).startswith(b"HTTP/1.1 200")
        assert stalled.recv(1000).startswith(b"HTTP/1.1 503")


def test_body_that_arrives_too_slowly_is_refused():
    limits = settings.Limits(idle_seconds=1)
    with run(answer_length, limits=limits) as send:
        sock = send(POST % 100)
        # A time-out of the socket would begin anew with each byte.
        for _ in range(8):
            time.sleep(0.25)
            with contextlib.suppress(OSError):
                sock.sendall(b"x")
        assert sock.recv(1000).startswith(b"HTTP/1.1 400")


def test_stalled_bodies_leave_a_worker_to_others():
    with run(answer_length, threads=2) as send:
        for _ in range(2):
            send(POST % 100 + b"x" * 99)
        began = time.monotonic()
        assert send(GET).recv(1000).startswith(b"HTTP/1.1 200")
        # Not only once the limit on the time of a request ends them.
        assert time.monotonic() - began < LIMITS.idle_seconds


def test_body_of_the_largest_size_is_read_in_chunks():
    chunks = b"%x\r\n%s\r\n" % (1000, b"x" * 1000) * (BODY_BYTES // 1000)
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    with run(answer_length) as send:
        sock = send(head + chunks + b"0\r\n\r\n" + GET)
        data = b""
        while data.count(b"HTTP/1.1 200") < 2:
            part = sock.recv(1000)
            assert part
            data += part
        assert b"\r\n\r\n%d" % BODY_BYTES in data


def test_caller_whose_body_is_not_read_gets_its_answer():
    with run(refuse) as send:
        sock = send(POST % BODY_BYTES)
        data = sock.recv(1000)
        assert data.startswith(b"HTTP/1.1 401")
        assert b"Connection: close" in data
        sock.sendall(b"x" * BODY_BYTES)
        assert sock.recv(1000) == b""


def test_answered_requests_hold_nothing():
    with run(answer_length) as send:
        for _ in range(3):
            sock = send(POST % BODY_BYTES + b"x" * BODY_BYTES)
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
