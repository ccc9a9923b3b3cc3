"""Most new connections of a data hall go to one instance."""

import asyncio

from standins import platform_client
from tests.gateway import harness
from wayslip.gateway import admission
from wayslip.http1 import server

ROOM = 8


async def connect(gateway):
    """Returns a client once the gateway has taken or closed it."""
    host, _, port = gateway._options.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.02)
    return platform_client.Client(reader, writer)


def limit_connections(gateway, count):
    gateway._admission._gate._max_connections = count


async def is_closed_unread(client):
    """Whether a connection is closed without an answer."""
    try:
        await client.send("/get/a", "late")
        return not await client.reader.read(1)
    except ConnectionError:
        return True


@harness.run
async def test_requests_that_were_read_are_served_in_a_storm(system):
    may_answer = asyncio.Event()

    async def wait(engine, request, connection):
        await may_answer.wait()
        await connection.answer(request)

    engine = await system.add("p1", "plain", script=wait)
    limit_connections(system.gateway, ROOM)
    clients = [await connect(system.gateway) for _ in range(ROOM)]
    for n, client in enumerate(clients):
        await client.send("/get/a", f"r{n}")
    await system.until(lambda: len(engine.received) == ROOM)
    others = [await connect(system.gateway) for _ in range(3 * ROOM)]
    assert all([await is_closed_unread(c) for c in others])
    may_answer.set()
    answers = [await client.read() for client in clients]
    assert [a.status for a in answers] == [200] * ROOM
    # What was closed unread never reached an endpoint.
    assert len(engine.received) == ROOM


@harness.run
async def test_resting_connections_make_room_for_new_ones(system):
    await system.add("p1", "plain")
    limit_connections(system.gateway, ROOM)
    resting = [await connect(system.gateway) for _ in range(ROOM)]
    refused = await connect(system.gateway)
    assert await is_closed_unread(refused)
    client = await connect(system.gateway)
    await client.send("/get/a", "r1")
    assert (await client.read()).status == 200
    assert await is_closed_unread(resting[0])


@harness.run
async def test_gateway_measures_its_lag_for_new_connections(system):
    gate = system.gateway._admission
    assert isinstance(gate, admission.Admission)
    assert isinstance(system.gateway._callers, server.Server)
    assert system.gateway._callers.admit == gate.admit
    latency = system.gateway.metrics.latency("loop_lag")
    seen = latency.count
    await system.until(lambda: latency.count > seen)
