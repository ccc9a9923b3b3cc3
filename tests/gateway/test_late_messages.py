"""Places at brittle engines while the lease holder answers late.

Guards against grants that are dropped because they come late: the place stays
taken at the holder with no request in it.
"""

import asyncio
import itertools
from unittest import mock

from tests.gateway import harness
from tests.gateway import test_brittle_engines as brittle
from tests.gateway import test_engine_limits as engine_limits
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import permit_broker

LATE_SECONDS = 0.15


def patch_late_answers(every):
    """Delays some answers of the lease holder."""
    send = hub_module.Hub.send
    counter = itertools.count()

    def send_late(hub, message, address):
        is_answer = isinstance(message, facts.PermitResponse)
        if is_answer and next(counter) % every == 0:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_SECONDS, send, hub, message, address)
            return
        send(hub, message, address)

    return mock.patch.object(hub_module.Hub, "send", send_late)


@harness.run
async def test_late_answers_of_the_holder_cost_no_places(system):
    engines = await brittle.add_brittle(system, 2)
    gateways = await brittle.join(system, 3)
    await brittle.learn(system, gateways)
    for engine in engines:
        engine.room = brittle.SLOTS
    with patch_late_answers(every=2):
        answers = await brittle.flood(system, gateways, 8, 12)
    assert not any(e.is_ended for e in engines)
    assert sum(a.status == 200 for a in answers) >= len(answers) / 4


@harness.run
async def test_permit_that_comes_late_is_given_back(system):
    engine = await system.add("e0", "plain")
    engine.limit = 5.0
    gateways = await brittle.join(system, 2)
    await brittle.learn(system, gateways)
    endpoint = gateways[1].view.tracked["e0"].endpoint
    taken = []
    buckets = gateways[0]._permit_broker._granted
    with (
        patch_late_answers(every=1),
        mock.patch.object(permit_broker, "_MAX_PERMIT_WAIT_SECONDS", 0.0),
        mock.patch.object(
            buckets, "give_back", lambda start: taken.append(start)
        ),
    ):
        await gateways[1]._permit_broker.take(endpoint, 5.0, "r1")
        await system.until(lambda: taken)
    assert taken == [endpoint.incarnation]


@harness.run
async def test_place_of_a_client_that_left_is_given_back(system):
    # The client leaves while the question is on its way.
    await brittle.add_brittle(system, 1)
    gateways = await brittle.join(system, 2)
    await brittle.learn(system, gateways)
    endpoint = gateways[1].view.tracked["e0"].endpoint
    granting = gateways[0]._place_broker._granting
    with patch_late_answers(every=1):
        question = asyncio.create_task(
            gateways[1]._place_broker.take(endpoint, "r1", True, 1.0)
        )
        await system.until(lambda: granting._find(endpoint.incarnation).count())
        question.cancel()
        await system.until(
            lambda: not granting._find(endpoint.incarnation).count()
        )


@harness.run
async def test_late_permits_of_a_limited_engine_are_not_lost(system):
    await engine_limits.add_limited(system, limit=4)
    gateways = await engine_limits.join_two(system)
    await asyncio.gather(*(system.ask("/get/a", at=g) for g in gateways))
    with patch_late_answers(every=2):
        answers = await engine_limits.ask_all(system, gateways, 4.0)
    # Of 16 permits in that time.
    assert sum(a.status == 200 for a in answers) >= 12


@harness.run
async def test_former_holder_grants_no_waiting_question(system):
    await brittle.add_brittle(system, 1)
    gateways = await brittle.join(system, 2)
    await brittle.learn(system, gateways)
    holder, asking = gateways
    endpoint = asking.view.tracked["e0"].endpoint
    brokers = [g._place_broker for g in gateways]
    taken = [
        await brokers[1].take(endpoint, f"r{n}", True, 1.0, may_queue=True)
        for n in range(2)
    ]
    assert all(one.is_granted for one in taken)
    waiting = asyncio.create_task(
        brokers[1].take(endpoint, "r3", True, 1.0, may_queue=True)
    )
    ledger = brokers[0]._granting._find(endpoint.incarnation)
    await system.until(lambda: ledger.waiting)
    with mock.patch.object(holder.leadership, "_is_held", False):
        brokers[1].give_back(taken[0].place, False)
        await system.until(lambda: ledger.count() < 2)
        await asyncio.sleep(0.1)
        assert not waiting.done()
    waiting.cancel()
