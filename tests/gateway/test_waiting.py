"""Requests that wait at the instance while their engine has no room."""

import asyncio
import dataclasses

from standins import platform_site
from tests.gateway import harness
from wayslip.decisions import backlog
from wayslip.gateway.sharing import facts

SLOTS = 8
TARGET_SECONDS = 0.8


def occupy(system, name, in_flight):
    """Sets the known number of requests at an endpoint."""
    system.gateway.view.tracked[name].in_flight = in_flight


async def configure(system, manifest):
    system.store.put("config", "main", manifest)
    version = manifest["version"]
    await system.until(
        lambda: system.gateway.holder.manifest.version == version
    )


def count_waiting(system):
    return len(system.gateway._requests._endpoint_chooser._waiting_room)


def has_usages(state):
    return state is not None and bool(state.usages)


async def ask_model(system, request_id="r1"):
    return await system.ask(
        "/gen/a",
        request_id,
        method="POST",
        body=b"prompt",
        Wayslip_Model="m1",
        Wayslip_Token_Count="400,20",
    )


async def ask_and_wait(system):
    """Returns a request that waits at the instance."""
    task = asyncio.create_task(ask_model(system))
    await system.until(lambda: count_waiting(system) == 1)
    return task


@harness.run
async def test_request_waits_for_room_and_is_answered(system):
    engine = await system.add("e1", "models", ["m1"])
    occupy(system, "e1", SLOTS + 4)
    task = await ask_and_wait(system)
    assert not engine.received
    metrics = system.gateway.metrics
    assert b"wayslip_waiting_requests 1.0" in metrics.render()
    occupy(system, "e1", 0)
    system.gateway._requests._endpoint_chooser.notify()
    async with asyncio.timeout(TARGET_SECONDS):
        answer = await task
    assert answer.status == 200
    assert len(engine.received) == 1
    assert count_waiting(system) == 0
    assert b"wayslip_waiting_requests 0.0" in metrics.render()
    assert metrics.latency("held").count == 1


@harness.run
async def test_request_starts_at_a_copy_that_is_loaded_while_it_waits(system):
    full = await system.add("e1", "models", ["m1"])
    occupy(system, "e1", SLOTS + 4)
    task = await ask_and_wait(system)
    await system.add("e2", "models", ["m1"])
    answer = await task
    assert (answer.status, answer.body) == (200, b"e2")
    assert not full.received


@harness.run
async def test_request_that_waits_for_a_lost_endpoint_is_refused(system):
    engine = await system.add("e1", "models", ["m1"])
    occupy(system, "e1", SLOTS + 4)
    task = await ask_and_wait(system)
    engine.crash()
    system.store.remove("servers", "e1")
    await system.until(lambda: "e1" not in system.gateway.view.tracked)
    async with asyncio.timeout(TARGET_SECONDS):
        answer = await task
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not engine.received
    assert count_waiting(system) == 0


@harness.run
async def test_late_request_has_the_last_rank(system):
    manifest = platform_site.manifest(2)
    manifest["routes"][2]["timeout_ms"] = 3000
    await configure(system, manifest)
    engine = await system.add("e1", "models", ["m1"])
    chooser = system.gateway._requests._endpoint_chooser
    # 9 requests are queued for 8 slots, each for 2 s: two targets have passed
    # before it starts.
    chooser._slot_times.learn("models", 2.0)
    occupy(system, "e1", SLOTS * 2)
    task = await ask_and_wait(system)
    await asyncio.sleep(TARGET_SECONDS * 0.5)
    tracked = system.gateway.view.tracked["e1"]
    tracked.in_flight = SLOTS - 1
    tracked.unread = backlog.of_request(0, 1.3)
    chooser.notify()
    assert (await task).status == 200
    assert engine.received[0].headers["wayslip-request-priority"] == "9"
    # The priority of its route is 1.
    occupy(system, "e1", 0)
    tracked.unread = backlog.EMPTY
    assert (await ask_model(system, "r2")).status == 200
    assert engine.received[1].headers["wayslip-request-priority"] == "1"


@harness.run
async def test_waiting_request_leaves_with_its_client(system):
    engine = await system.add("e1", "models", ["m1"])
    occupy(system, "e1", SLOTS + 4)
    client = await system.connect()
    await client.send(
        "/gen/a",
        "r1",
        "POST",
        b"prompt",
        Wayslip_Model="m1",
        Wayslip_Token_Count="400,20",
    )
    await system.until(lambda: count_waiting(system) == 1)
    client.writer.close()
    await system.until(lambda: count_waiting(system) == 0, 0.3)
    occupy(system, "e1", 0)
    assert (await ask_model(system, "r2")).status == 200
    assert [r.id for r in engine.received] == ["r2"]


@harness.run
async def test_without_short_loads_no_request_waits(system):
    manifest = platform_site.manifest(2)
    for model in manifest["services"][1]["engine"]["models"]:
        model["load_s"] = 2 * TARGET_SECONDS
    await configure(system, manifest)
    engine = await system.add("e1", "models", ["m1"])
    occupy(system, "e1", SLOTS + 4)
    assert (await ask_model(system)).status == 200
    assert len(engine.received) == 1
    held = system.gateway.metrics.latency("held").count
    assert held == 0


@harness.run
async def test_nothing_is_sent_to_a_queue_that_is_known_to_be_full(system):
    engine = await system.add("e1", "plain", script=refuse)
    chooser = system.gateway._requests._endpoint_chooser
    # A request takes a slot for long, so the queue stays full for long.
    chooser._slot_times.learn("plain", 20.0)
    first = await system.ask("/once/a", "r1", method="POST", body=b"x")
    sent = len(engine.received)
    second = await system.ask("/once/a", "r2", method="POST", body=b"x")
    assert (first.status, second.status) == (503, 503)
    assert len(engine.received) == sent
    # The retry times allow for half of the queue.
    assert float(second.headers["retry-after"]) > 1.0


@harness.run
async def test_later_incarnation_does_not_count_as_full(system):
    first = await system.add("e1", "plain", script=refuse)
    chooser = system.gateway._requests._endpoint_chooser
    chooser._slot_times.learn("plain", 20.0)
    await system.ask("/once/a", "r1", method="POST", body=b"x")
    assert chooser._full_queues.find_seconds("e1") > 0
    entry = dict(system.store.objects["servers"]["e1"]["spec"], born=2_000)
    system.store.put("servers", "e1", entry)
    tracked = system.gateway.view.tracked
    await system.until(lambda: tracked["e1"].endpoint.born)
    assert not chooser._full_queues.find_seconds("e1")
    sent = len(first.received)
    await system.ask("/once/a", "r2", method="POST", body=b"x")
    assert len(first.received) > sent


@harness.run
async def test_request_that_was_refused_and_then_held_is_not_called_run(system):
    # Refused once, so it did not run; it is held until its time is over.
    await system.add("e1", "plain", script=refuse)
    chooser = system.gateway._requests._endpoint_chooser
    chooser._slot_times.learn("plain", 20.0)
    answer = await system.ask(
        "/once/a", "r1", method="POST", body=b"x", Wayslip_Deadline_Ms="300"
    )
    assert answer.status == 503


async def refuse(engine, request, connection):
    await connection.answer(request, b"", 503, Wayslip_Not_Executed="1")


@harness.run
async def test_requests_that_ended_are_not_counted_as_those_of_others(system):
    # A state that was sent before 9 requests of this instance ended.
    await system.add("e1", "models", ["m1"])
    placement = system.gateway._placement
    tracked = system.gateway.view.tracked["e1"]
    occupy(system, "e1", SLOTS * 2)
    tracked.unread = backlog.of_request(0, 2.0)
    await system.until(lambda: has_usages(placement._last_state))
    state = placement._last_state
    assert state.usages[0].in_flight == SLOTS * 2
    occupy(system, "e1", SLOTS - 1)
    tracked.unread = backlog.EMPTY
    placement.apply_state(state)
    assert tracked.others == (0, backlog.EMPTY)


@harness.run
async def test_requests_of_others_count_while_own_ones_end(system):
    await system.add("e1", "models", ["m1"])
    placement = system.gateway._placement
    tracked = system.gateway.view.tracked["e1"]
    occupy(system, "e1", SLOTS)
    await system.until(lambda: has_usages(placement._last_state))
    usage = facts.Usage("e1", SLOTS + 5, (300,))
    state = dataclasses.replace(placement._last_state, usages=(usage,))
    occupy(system, "e1", 0)
    placement.apply_state(state)
    assert tracked.others == (5, (0.3,))
