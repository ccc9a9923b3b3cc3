"""A planned stop, from the signal to the end of the grace time.

Guards against requests that are taken late and broken off by the end of the
grace time: one sent 3.01 s after the signal was cut after 4.6 s of work. And
against answers that are cut though their clients read them.
"""

import asyncio
import functools
import socket
from unittest import mock

from standins import platform_site
from tests.gateway import harness
from wayslip import clock
from wayslip import logs
from wayslip.decisions import waiting
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


# What waits at the instance, not at an endpoint. Each test failed by an answer
# of no bytes: the wait was longer than the time until the end.
ENDS_AFTER_SECONDS = 1.5
# Retry-After of an endpoint and interval of its permits: longer than that, and
# short enough to wait for.
REST_SECONDS = 3.0


def run_patient(test):
    """Decorates a test of a gateway that ends soon and whose requests wait."""

    @functools.wraps(test)
    async def body(system):
        manifest = platform_site.manifest(2)
        for route in manifest["routes"]:
            route.update(timeout_ms=20_000, target_latency_ms=16_000)
        system.store.put("config", "main", manifest)
        gateway = system.gateway
        await system.until(lambda: gateway.holder.version == 2)
        reserved = gateway._options.bounds.grace - ENDS_AFTER_SECONDS
        with mock.patch.object(daemon, "_ABORT_SECONDS", reserved):
            await test(system, gateway)

    return harness.run(body)


async def send(system, request_id="r1", model="m1"):
    """Returns a client that has sent a request for a model."""
    client = await system.connect()
    await client.send(
        "/gen/a",
        request_id,
        "POST",
        body=b"x",
        deadline=20_000,
        Wayslip_Model=model,
        Wayslip_Token_Count="40,20",
    )
    return client


async def stop_under(gateway, client):
    """Stops a gateway on which a request waits; returns its answer."""
    await asyncio.sleep(0.2)
    assert gateway._callers.active == 1
    gateway._stopping.set()
    return await client.read()


def check_refused(answer):
    """Checks for a refusal that says when to return, and ends its connection.

    It says that nothing ran, so that other instances may be asked.
    """
    assert answer.status == 503
    assert answer.is_whole
    assert float(answer.headers["retry-after"]) > 0
    assert answer.headers["connection"] == "close"


@run_patient
async def test_request_that_waits_for_a_model_is_refused(system, gateway):
    # Guards against requests that are cut unanswered though nothing ran them.
    check_refused(await stop_under(gateway, await send(system)))


@run_patient
async def test_model_that_comes_too_late_is_not_waited_for(system, gateway):
    # Guards against a wait of which it is known that it can't end in time.
    with mock.patch.object(
        gateway._placement, "estimate_ready_seconds", return_value=2.0
    ):
        client = await send(system)
        began = clock.now()
        answers = [await stop_under(gateway, client)]
        answers.append(await (await send(system, "r2")).read())
        assert clock.now() - began < ENDS_AFTER_SECONDS / 2
    for answer in answers:
        check_refused(answer)
        assert float(answer.headers["retry-after"]) == 2.0


@run_patient
async def test_request_that_waits_for_room_is_refused(system, gateway):
    engine = await system.add("e1", "models", ["m1"])
    with mock.patch.object(waiting, "has_room", return_value=False):
        check_refused(await stop_under(gateway, await send(system)))
    assert not engine.received


async def ask_for_rest(engine, request, line):
    await line.answer(
        request, b"", 503, Wayslip_Not_Executed="1", Retry_After=REST_SECONDS
    )


async def add_resting(system):
    """Adds an endpoint that asked for no requests."""
    engine = await system.add("e1", "models", ["m1"], ask_for_rest)
    assert (await (await send(system, "r0")).read()).status == 503
    return engine


@run_patient
async def test_request_that_waits_for_a_backoff_is_refused(system, gateway):
    engine = await add_resting(system)
    check_refused(await stop_under(gateway, await send(system)))
    assert len(engine.received) == 1


async def name_limit(engine, request, line):
    await line.answer(request, b"ok", Server_Limit=1 / REST_SECONDS)


@run_patient
async def test_request_that_waits_for_a_permit_is_refused(system, gateway):
    engine = await system.add("e1", "models", ["m1"], name_limit)
    assert (await (await send(system, "r0")).read()).status == 200
    check_refused(await stop_under(gateway, await send(system)))
    assert len(engine.received) == 1


@run_patient
async def test_request_whose_connection_is_not_open_is_refused(system, gateway):
    engine = await system.add("e1", "models", ["m1"])

    async def hang(endpoint, request_id):
        await asyncio.sleep(ENDS_AFTER_SECONDS * 2)

    with mock.patch.object(gateway.paths, "open", hang):
        check_refused(await stop_under(gateway, await send(system)))
    assert not engine.received


@run_patient
async def test_request_that_may_have_run_is_not_refused(system, gateway):
    # Guards against a 503, which says that nothing ran, after an attempt that
    # broke off.
    async def break_off(engine, request, line):
        line.reset()

    await add_resting(system)
    broken = await system.add("e2", "models", ["m1"], break_off)
    answer = await stop_under(gateway, await send(system))
    assert len(broken.received) == 1
    assert answer.status == 502


@run_patient
async def test_stop_leaves_a_request_at_its_endpoint_to_end(system, gateway):
    # The end of the waits must not end an attempt.
    async def answer_late(engine, request, line):
        await asyncio.sleep(ENDS_AFTER_SECONDS * 0.75)
        await line.answer(request, b"late")

    await system.add("e1", "models", ["m1"], answer_late)
    answer = await stop_under(gateway, await send(system))
    assert (answer.status, answer.body) == (200, b"late")
