"""Data halls whose instances all lose their links to endpoints.

Guards against instances that ask only peers of their own data hall for help,
which are cut off too: nothing was served there, 0 of 336 requests.
"""

import asyncio

import pytest

from soak import links
from tests.gateway import harness

STATES = [links.State.RESET, links.State.SILENT, links.State.KEPT]
# More than a request can ask for help in all its attempts.
INSTANCES_IN_HALL = 16
# Path and model of the requests, by turns.
KINDS = (("/get/a", ""), ("/once/a", ""), ("/gen/a", "m1"), ("/gen/a", "m2"))
# Each instance gets a request in each round.
ROUND_SECONDS = 0.5
# Rounds until instances that are cut off must serve as others do: 3 s.
SETTLING_ROUNDS = 6
COUNTED_ROUNDS = 8


async def make_fleet(system, counts):
    """Adds endpoints and instances; returns the instances by data hall."""
    for n in (1, 2):
        await system.add(f"p{n}", "plain")
        await system.add(f"e{n}", "models", ["m1", "m2"])
    halls = {
        hall: await system.join_all(count, hall)
        for hall, count in counts.items()
    }
    halls.setdefault("hall-1", []).append(system.gateway)
    for gateway in (g for hall in halls.values() for g in hall):
        await system.until(lambda g=gateway: len(g.view.tracked) == 4)
        system.install_links(gateway)
    return halls


async def ask(system, gateway, number, delay):
    """Sends a request after a delay; returns the status."""
    await asyncio.sleep(delay)
    path, model = KINDS[number % len(KINDS)]
    fields = {}
    if model:
        fields = {"Wayslip_Model": model, "Wayslip_Token_Count": "10,2"}
    answer = await system.ask(
        path, f"r{number}-{id(gateway)}", "POST", at=gateway, **fields
    )
    return answer.status if answer.is_whole else 0


async def ask_round(system, gateways, number):
    """Sends a request to each gateway, spread in time; returns statuses."""
    pause = ROUND_SECONDS / len(gateways)
    statuses = await asyncio.gather(
        *(
            ask(system, gateway, number + n, n * pause)
            for n, gateway in enumerate(gateways)
        ),
        asyncio.sleep(ROUND_SECONDS),
    )
    return statuses[:-1]


async def check_served(system, cut, state):
    for number in range(2):
        await ask_round(system, cut, number)
    for gateway in cut:
        system.links[gateway].cut(state)
    statuses = [
        await ask_round(system, cut, number)
        for number in range(SETTLING_ROUNDS + COUNTED_ROUNDS)
    ]
    served = [one.count(200) for one in statuses]
    print(f"served of {len(cut)} in each round: {served}")
    assert served[SETTLING_ROUNDS:] == [len(cut)] * COUNTED_ROUNDS


@pytest.mark.parametrize("state", STATES)
def test_data_hall_that_is_cut_off_is_helped_by_others(state):
    @harness.run
    async def check(system):
        counts = {"hall-2": INSTANCES_IN_HALL, "hall-3": 1}
        halls = await make_fleet(system, counts)
        await check_served(system, halls["hall-2"], state)

    check()


@pytest.mark.parametrize("state", STATES)
def test_data_hall_of_the_lease_holder_that_is_cut_off_is_helped(state):
    @harness.run
    async def check(system):
        counts = {"hall-1": INSTANCES_IN_HALL - 1, "hall-2": 2}
        halls = await make_fleet(system, counts)
        await check_served(system, halls["hall-1"], state)

    check()


@pytest.mark.parametrize("state", STATES)
def test_few_instances_help_all_the_others(state):
    @harness.run
    async def check(system):
        counts = {"hall-1": 8, "hall-2": 8, "hall-3": 8}
        halls = await make_fleet(system, counts)
        gateways = [g for hall in halls.values() for g in hall]
        whole = [halls["hall-2"][0], halls["hall-3"][0]]
        cut = [g for g in gateways if g not in whole]
        await check_served(system, cut, state)

    check()


async def hang(engine, request, connection):
    """Answers nothing until the connection ends."""
    if not await connection.reader.read(1):
        raise ConnectionResetError


@harness.run
async def test_instances_without_links_report_no_ended_endpoints(system):
    # Their peers don't know yet that they have lost their links too: they use
    # one endpoint only.
    engine = await system.add("p1", "plain", script=hang)
    await system.add("e1", "models", ["m1"])
    cut = [
        gateway
        for hall in ("hall-2", "hall-3")
        for gateway in await system.join_all(8, hall)
    ]
    for gateway in cut:
        await system.until(lambda g=gateway: len(g.view.tracked) == 2)
        system.install_links(gateway)
    asked = [
        asyncio.create_task(system.ask("/once/a", f"r{n}", "POST", at=gateway))
        for n, gateway in enumerate(cut)
    ]
    await system.until(lambda: len(engine.received) == len(cut))
    for gateway in cut:
        system.links[gateway].cut(links.State.RESET)
    await asyncio.gather(*asked)
    for gateway in cut:
        await system.until(lambda g=gateway: not g._quarantine._broken_attempts)
    ends = [g.metrics.value("endpoint_ends") for g in cut]
    assert not sum(ends), ends
