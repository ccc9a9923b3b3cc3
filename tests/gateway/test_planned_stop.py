"""A planned stop, from the signal to the end of the grace time.

Guards against requests that are taken late and broken off by the end of the
grace time: one sent 3.01 s after the signal was cut after 4.6 s of work. And
against answers that are cut though their clients read them.
"""

import asyncio
import socket
from unittest import mock

from standins import platform_site
from tests.gateway import harness
from wayslip import logs
from wayslip.gateway import daemon
from wayslip.gateway import options as options_module

# From the platform's rules: a request sent later than this after the signal
# must not be broken off by the stop.
LATEST_SECONDS = 3.0
# Two answers that it isn't ready, one second apart, take an instance out.
BALANCER_SECONDS = 2.0
# A caller sends its request within this time of connecting.
SEND_SECONDS = 0.2


def test_no_request_is_taken_that_the_stop_may_not_break_off():
    last = daemon._BALANCER_SECONDS + daemon._STOP_POLL_SECONDS
    assert last + SEND_SECONDS < LATEST_SECONDS
    assert daemon._BALANCER_SECONDS > BALANCER_SECONDS


@harness.run
async def test_idle_connection_is_closed_once_no_requests_are_taken(system):
    await system.add("e1", "plain")
    caller = await system.connect()
    await caller.send("/get/a", "r1")
    assert (await caller.read()).status == 200
    system.gateway._stopping.set()
    # It closes without bytes; a request after that would be sent elsewhere.
    assert await caller.reader.read() == b""


# Sent as a whole, and more than the sockets of such a connection take.
BODY = bytes(range(250)) * 1_000
RECEIVE_BUFFER_BYTES = 8192
SEGMENT_BYTES = 1460


async def answer_with_body(engine, request, line):
    await line.answer(request, BODY)


async def post_without_reading(gateway):
    """Returns a socket with a small buffer that has sent a request."""
    host, _, port = gateway._options.callers.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    head = (
        "POST /once/a HTTP/1.1\r\n"
        f"Host: {platform_site.HOST}\r\n"
        "Wayslip-Request-Id: r1\r\n"
        "Wayslip-Deadline-Ms: 3000\r\n"
        "Content-Length: 2\r\n\r\nhi"
    )
    await loop.sock_sendall(sock, head.encode())
    return sock


async def begin_stop_with_unread_answer(system, gateway):
    """Stops a gateway once an answer is written that its client lacks."""
    await system.add("e1", "plain", script=answer_with_body)
    await system.until(lambda: "e1" in gateway.view.tracked)
    sock = await post_without_reading(gateway)
    callers = gateway._callers
    await system.until(
        lambda: any(c.buffered_bytes for c in callers.connections)
    )
    gateway._stopping.set()
    return sock


@harness.run
async def test_stop_waits_for_a_client_that_reads_its_answer(system):
    # Guards against an answer that is cut because it counts as ended when it
    # was handed to the transport.
    gateway = system.gateway
    with mock.patch.object(daemon, "_BALANCER_SECONDS", 0.1):
        sock = await begin_stop_with_unread_answer(system, gateway)
        await asyncio.sleep(1.0)
        data = b""
        with sock:
            while len(data.partition(b"\r\n\r\n")[2]) < len(BODY):
                part = await asyncio.get_running_loop().sock_recv(sock, 65536)
                assert part, f"closed after {len(data)} bytes"
                data += part
        assert data.partition(b"\r\n\r\n")[2] == BODY
        await system._tasks[gateway]


@harness.run
async def test_client_that_reads_nothing_does_not_hold_the_stop(system):
    # Guards against a stop that lasts longer than the grace time.
    gateway = await system.join("g2", options_module.Bounds(grace=1.5))
    with mock.patch.object(logs, "event", wraps=logs.event) as event:
        sock = await begin_stop_with_unread_answer(system, gateway)
        await system._tasks[gateway]
    sock.close()
    lines = {call.args[1]: call.kwargs for call in event.call_args_list}
    assert lines["stopped"]["cut"] == 1
    assert float(lines["stopped"]["seconds"]) < 1.5
    assert lines["answer_cut"]["request"] == "r1"
    assert lines["answer_cut"]["unsent_bytes"] > 0
