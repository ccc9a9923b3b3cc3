"""Notices in engines' answers: that they are leaving, or ask for a back-off.

Guards against two faults. Leaving was read from the list only: while the store
didn't answer for 12 s and still listed an engine as ready, two instances sent
it requests for more than 5 s after its answers said that it leaves. And the
back-off in refusals was parsed and ignored: an engine that asked for 3 s each
time was chosen again after 0.2 s.
"""

import asyncio

from standins import platform_engine
from standins import platform_site
from tests.gateway import harness
from wayslip import clock


async def announce_leaving(engine, request, line):
    await line.answer(request, engine.name.encode(), Server_Leaving="1")


def make_backing_off(seconds):
    """Returns a script that refuses requests and asks for a back-off."""

    async def ask_for_backoff(engine, request, line):
        headers = {"Wayslip-Not-Executed": "1", "Retry-After": str(seconds)}
        await line.answer(request, b"", 503, **headers)

    return ask_for_backoff


async def ask_many(system, count=20, path="/get/a"):
    return [await system.ask(path, f"m{n}") for n in range(count)]


@harness.run
async def test_engine_that_announces_leaving_gets_no_more_requests(
    system,
):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    await system.ask("/get/a")
    await system.add("e2", "plain")
    answers = await ask_many(system)
    assert {a.body for a in answers} == {b"e2"}
    assert len(leaving.received) == 1


@harness.run
async def test_answer_with_a_notice_is_forwarded_unchanged(system):
    await system.add("e1", "plain", script=announce_leaving)
    answer = await system.ask("/get/a")
    assert (answer.status, answer.body) == (200, b"e1")
    assert answer.headers["server-leaving"] == "1"


@harness.run
async def test_entry_that_still_says_ready_does_not_clear_the_notice(system):
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
async def test_entry_that_reappears_does_not_clear_the_notice(system):
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
async def test_later_incarnation_under_the_same_id_gets_requests(system):
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
async def test_other_instances_receive_the_notice(system):
    leaving = await system.add("e1", "plain", script=announce_leaving)
    other = await system.join("g2")
    await system.until(lambda: "e1" in other.view.tracked)
    await system.ask("/get/a")
    tracked = other.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.is_leaving)
    assert len(leaving.received) == 1


@harness.run
async def test_engine_gets_no_requests_during_its_backoff(system):
    refusing = await system.add("e1", "plain", script=make_backing_off(3000))
    await system.ask("/get/a")
    await system.add("e2", "plain")
    answers = await ask_many(system)
    assert {a.body for a in answers} == {b"e2"}
    assert len(refusing.received) == 1


@harness.run
async def test_refused_request_gets_the_end_of_the_backoff(system):
    refusing = await system.add("e1", "plain", script=make_backing_off(3000))
    await system.ask("/get/a")
    answers = await ask_many(system)
    assert {a.status for a in answers} == {503}
    for answer in answers:
        assert 2900.0 < float(answer.headers["retry-after"]) < 3100.0
    assert len(refusing.received) == 1


@harness.run
async def test_request_waits_for_a_backoff_that_ends_soon(system):
    refusing = await system.add("e1", "plain", script=make_backing_off(0.3))
    await system.ask("/get/a")
    refusing.script = platform_engine.answer_whole
    began = clock.now()
    answer = await system.ask("/get/a", "r2")
    assert answer.status == 200
    assert clock.now() - began > 0.2


@harness.run
async def test_longest_backoff_applies(system):
    async def ask_for_less_each_time(engine, request, line):
        seconds = 3000 if len(engine.received) == 1 else 0
        await make_backing_off(seconds)(engine, request, line)

    refusing = await system.add("e1", "plain", script=ask_for_less_each_time)
    tracked = system.gateway.view.tracked["e1"]
    # Two requests in flight at the same time.
    await asyncio.gather(system.ask("/get/a", "r1"), system.ask("/get/a", "r2"))
    answers = await ask_many(system)
    assert {a.status for a in answers} == {503}
    assert len(refusing.received) <= 2
    assert tracked is system.gateway.view.tracked["e1"]


@harness.run
async def test_instance_without_known_peers_notifies_the_lease_holder(system):
    # Otherwise an instance that has just started notifies no other instance.
    await system.add("e1", "plain", script=announce_leaving)
    others = [await system.join(name) for name in ("g2", "g3")]
    for other in others:
        await system.until(lambda o=other: "e1" in o.view.tracked)
    others[0]._peer_broadcast._members._announced_peers = ()
    others[0]._peer_broadcast._members.adopt_peers = lambda peers: None
    await system.ask("/get/a", at=others[0])
    tracked = others[1].view.tracked
    await system.until(lambda: tracked["e1"].endpoint.is_leaving, 1.0)
