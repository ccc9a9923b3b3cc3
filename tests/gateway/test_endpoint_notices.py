"""What engines say of themselves in answers: that they leave, or want rest.

An engine said in its answers that it leaves while the store, which did not
answer for 12 s, still listed it as ready. Requests went on to it for longer
than five seconds, at two instances. Another one turned requests away, asked for
3 s of rest each time and got the next ones at once:

    7.9   an answer of i-abeaa45833 that says so is passed on
    11.3  chosen endpoint=i-abeaa45833
    8.08  endpoint_refused endpoint=i-aa1d28f16a status=503 (wants 3 s of rest)
    8.27  chosen endpoint=i-aa1d28f16a candidates=4
    9.64  chosen endpoint=i-aa1d28f16a candidates=4

The word of leaving was read nowhere but in the list, and the time to rest was
read and dropped.
"""

import asyncio
import time

from standins import platform_engine
from standins import platform_site
from tests.gateway import harness


async def announce_leaving(engine, request, line):
    await line.answer(request, engine.name.encode(), Server_Leaving="1")


def make_resting(seconds):
    """Returns a script that turns requests away and asks for rest."""

    async def ask_for_rest(engine, request, line):
        headers = {"Wayslip-Not-Executed": "1", "Retry-After": str(seconds)}
        await line.answer(request, b"", 503, **headers)

    return ask_for_rest


async def ask_many(system, count=20, path="/get/a"):
    return [await system.ask(path, f"m{n}") for n in range(count)]


@harness.run
async def test_engine_that_says_that_it_leaves_gets_no_more(
    system,
):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    await system.ask("/get/a")
    await system.add("e2", "plain")
    answers = await ask_many(system)
    assert {a.body for a in answers} == {b"e2"}
    assert len(leaving.received) == 1


@harness.run
async def test_answer_that_says_so_is_passed_on_as_it_is(system):
    await system.add("e1", "plain", script=announce_leaving)
    answer = await system.ask("/get/a")
    assert (answer.status, answer.body) == (200, b"e1")
    assert answer.headers["server-leaving"] == "1"


@harness.run
async def test_entry_that_still_says_ready_does_not_undo_it(system):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    await system.ask("/get/a")
    address = system.gateway.view.tracked["e1"].endpoint.address
    fresh = platform_site.entry("plain", address, seq=90, slots=9)
    system.store.put("servers", "e1", fresh)
    tracked = system.gateway.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.slots == 9)
    assert (await system.ask("/get/a", "r2")).status == 503
    assert len(leaving.received) == 1


@harness.run
async def test_entry_that_lapsed_and_came_back_does_not_undo_it(system):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    await system.ask("/get/a")
    address = system.gateway.view.tracked["e1"].endpoint.address
    system.store.remove("servers", "e1")
    await system.until(lambda: "e1" not in system.gateway.view.tracked)
    system.store.put("servers", "e1", platform_site.entry("plain", address))
    await system.until(lambda: "e1" in system.gateway.view.tracked)
    assert (await system.ask("/get/a", "r2")).status == 503
    assert len(leaving.received) == 1


@harness.run
async def test_later_start_under_the_same_id_gets_requests(system):
    engine = await system.add("e1", "plain", script=announce_leaving)
    await system.ask("/get/a")
    engine.script = platform_engine.answer_whole
    address = system.gateway.view.tracked["e1"].endpoint.address
    later = platform_site.entry("plain", address, born=2_000)
    system.store.put("servers", "e1", {**later, "born": 2_000})
    tracked = system.gateway.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.born)
    assert (await system.ask("/get/a", "r2")).status == 200


@harness.run
async def test_other_instances_hear_of_it(system):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    other = await system.join("g2")
    await system.until(lambda: "e1" in other.view.tracked)
    await system.ask("/get/a")
    tracked = other.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.is_leaving)
    assert len(leaving.received) == 1


@harness.run
async def test_engine_that_asks_for_rest_gets_none_until_it_is_over(system):
    resting = await system.add("e1", "plain", script=make_resting(3000))
    await system.ask("/get/a")
    await system.add("e2", "plain")
    answers = await ask_many(system)
    assert {a.body for a in answers} == {b"e2"}
    assert len(resting.received) == 1


@harness.run
async def test_request_is_refused_with_the_time_at_which_the_rest_ends(system):
    resting = await system.add("e1", "plain", script=make_resting(3000))
    await system.ask("/get/a")
    answers = await ask_many(system)
    assert {a.status for a in answers} == {503}
    for answer in answers:
        assert 2900.0 < float(answer.headers["retry-after"]) < 3100.0
    assert len(resting.received) == 1


@harness.run
async def test_request_waits_for_a_rest_that_ends_soon(system):
    resting = await system.add("e1", "plain", script=make_resting(0.3))
    await system.ask("/get/a")
    resting.script = platform_engine.answer_whole
    began = time.monotonic()
    answer = await system.ask("/get/a", "r2")
    assert answer.status == 200
    assert time.monotonic() - began > 0.2


@harness.run
async def test_longest_rest_wins(system):
    async def ask_for_less_each_time(engine, request, line):
        seconds = 3000 if len(engine.received) == 1 else 0
        await make_resting(seconds)(engine, request, line)

    resting = await system.add("e1", "plain", script=ask_for_less_each_time)
    tracked = system.gateway.view.tracked["e1"]
    # Two that were under way together.
    await asyncio.gather(system.ask("/get/a", "r1"), system.ask("/get/a", "r2"))
    answers = await ask_many(system)
    assert {a.status for a in answers} == {503}
    assert len(resting.received) <= 2
    assert tracked is system.gateway.view.tracked["e1"]


@harness.run
async def test_instance_that_knows_no_peers_yet_tells_the_holder(system):
    # Whoever had just started told nobody that an engine leaves.
    await system.add("e1", "plain", script=announce_leaving)
    others = [await system.join(name) for name in ("g2", "g3")]
    for other in others:
        await system.until(lambda o=other: "e1" in o.view.tracked)
    others[0]._peer_broadcast._members._announced_peers = ()
    others[0]._peer_broadcast._members.adopt_peers = lambda peers: None
    await system.ask("/get/a", at=others[0])
    tracked = others[1].view.tracked
    await system.until(lambda: tracked["e1"].endpoint.is_leaving, 1.0)
