"""Rate limits that engines name in answers, for all instances together.

Guards against instances that forward such an answer without applying its limit:
an engine with a limit of 1 request per second then got 14 requests in 4 s,
where 11 are allowed.
"""

import asyncio

from standins import platform_engine
from tests.gateway import harness
from tests.gateway import test_placement
from wayslip import clock

WINDOW_SECONDS = 4.0


def count_max_in_window(times, since=0.0):
    """Returns the maximum number of requests in any window."""
    counted = [at for at in times if at >= since]
    return max(
        (
            sum(at <= one < at + WINDOW_SECONDS for one in counted)
            for at in counted
        ),
        default=0,
    )


def compute_allowed(limit):
    return 1.5 * WINDOW_SECONDS * limit + 5


async def add_limited(system, name="e1", service="plain", limit=1, **fields):
    engine = await system.add(name, service, **fields)
    engine.limit = limit
    return engine


async def join_two(system, name="e1"):
    gateways = [system.gateway]
    for other in ("g2", "g3"):
        gateways.append(await system.join(other))
    for gateway in gateways:
        await system.until(lambda g=gateway: name in g.view.tracked)
    return gateways


async def ask_all(system, gateways, seconds, gap=0.04, path="/get/a"):
    """Sends requests to all instances in turn; returns the answers."""
    tasks = []
    end = clock.now() + seconds
    while clock.now() < end:
        for gateway in gateways:
            number = len(tasks)
            one = system.ask(path, f"a{number}", at=gateway)
            tasks.append(asyncio.create_task(one))
        await asyncio.sleep(gap)
    return await asyncio.gather(*tasks)


@harness.run
async def test_limit_named_in_answers_holds_over_all_instances(system):
    limited = await add_limited(system)
    gateways = await join_two(system)
    await asyncio.gather(*(system.ask("/get/a", at=g) for g in gateways))
    await system.add("e2", "plain")
    began = clock.now() + 0.5
    answers = await ask_all(system, gateways, 5.0)
    assert {a.status for a in answers} == {200}
    assert count_max_in_window(limited.calls, began) <= compute_allowed(1)


@harness.run
async def test_only_engine_is_used_up_to_its_limit(system):
    limited = await add_limited(system, limit=4)
    gateways = await join_two(system)
    await asyncio.gather(*(system.ask("/get/a", at=g) for g in gateways))
    began = clock.now() + 0.5
    answers = await ask_all(system, gateways, 4.0)
    assert count_max_in_window(limited.calls, began) <= compute_allowed(4)
    assert sum(a.status == 200 for a in answers) >= 12


@harness.run
async def test_refused_requests_get_the_time_of_the_next_permit(system):
    limited = await add_limited(system, limit=0.01)
    await system.ask("/get/a")
    began = clock.now()
    answers = [await system.ask("/get/a", f"r{n}") for n in range(6)]
    assert clock.now() - began < 1.0
    refused = [a for a in answers if a.status == 503]
    assert len(refused) >= 4
    assert all(float(a.headers["retry-after"]) > 1.0 for a in refused)
    assert len(limited.received) <= 3


@harness.run
async def test_refused_requests_get_different_retry_times(system):
    # Otherwise all clients would retry for one permit at the same time.
    await add_limited(system, limit=0.5)
    await system.until(lambda: system.gateway._placement.instances == 1)
    await system.ask("/get/a")
    answers = [await system.ask("/get/a", f"r{n}") for n in range(5)]
    assert {a.status for a in answers} == {503}
    times = [float(a.headers["retry-after"]) for a in answers]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert all(1.5 < gap < 2.5 for gap in gaps), times


@harness.run
async def test_request_waits_for_a_permit_that_is_free_soon(system):
    await add_limited(system, limit=10)
    await system.ask("/get/a")
    asked = [system.ask("/get/a", f"r{n}") for n in range(4)]
    answers = await asyncio.gather(*asked)
    assert {a.status for a in answers} == {200}


@harness.run
async def test_instances_without_such_an_answer_apply_the_limit(system):
    limited = await add_limited(system, limit=0.01)
    gateways = await join_two(system)
    await system.ask("/get/a")
    await asyncio.sleep(0.1)
    count = len(limited.received)
    await ask_all(system, gateways[1:], 0.3)
    assert len(limited.received) - count <= 3


@harness.run
async def test_limit_ends_at_all_instances_with_an_answer_without_it(system):
    limited = await add_limited(system, limit=3)
    gateways = await join_two(system)
    await system.ask("/get/a")
    await asyncio.sleep(0.1)
    limited.limit = None
    await ask_all(system, gateways[:1], 1.0)
    answers = await ask_all(system, gateways, 0.5)
    assert {a.status for a in answers} == {200}


@harness.run
async def test_newest_limit_applies_even_if_lower(system):
    limited = await add_limited(system, limit=50)
    await system.ask("/get/a")
    limited.limit = 0.01
    await ask_all(system, [system.gateway], 0.3)
    count = len(limited.received)
    await ask_all(system, [system.gateway], 0.3)
    assert len(limited.received) - count <= 1


@harness.run
async def test_answer_to_an_earlier_request_does_not_end_a_limit(system):
    may_answer = asyncio.Event()

    async def answer_the_first_late(engine, request, line):
        if request.id == "r1":
            line.headers = {}
            await may_answer.wait()
        await platform_engine.answer_whole(engine, request, line)

    limited = await add_limited(
        system, limit=0.01, script=answer_the_first_late
    )
    late = asyncio.create_task(system.ask("/get/a", "r1"))
    await system.until(lambda: limited.received)
    await system.ask("/get/a", "r2")
    may_answer.set()
    assert (await late).status == 200
    count = len(limited.received)
    await ask_all(system, [system.gateway], 0.3)
    assert len(limited.received) - count <= 2


@harness.run
async def test_later_incarnation_under_the_same_id_has_no_limit(system):
    limited = await add_limited(system, limit=0.01)
    await system.ask("/get/a")
    limited.limit = None
    entry = dict(system.store.objects["servers"]["e1"]["spec"], born=2_000)
    system.store.put("servers", "e1", entry)
    tracked = system.gateway.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.born)
    answers = await ask_all(system, [system.gateway], 0.3)
    assert {a.status for a in answers} == {200}


@harness.run
async def test_reports_and_orders_take_permits_too(system):
    limited = await add_limited(
        system, service="models", limit=1, models=("m1",)
    )
    gateways = await join_two(system)
    await test_placement.ask(system, "m1", "r0")
    began = clock.now() + 0.5
    for number in range(60):
        # More adapters than adapter slots, so that each load evicts one.
        model = f"m1/a{number % 4 + 1}"
        await test_placement.ask(
            system, model, f"r{number}", at=gateways[number % 3]
        )
        await asyncio.sleep(0.08)
    assert count_max_in_window(limited.calls, began) <= compute_allowed(1)
    assert limited.orders
