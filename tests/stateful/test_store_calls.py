"""Limits the growth of store calls with the number of instances.

Guards against a store load that is proportional to the fleet: every instance
polls an unreachable store for itself, although the lease holder notifies all
instances as soon as one call succeeds; and reads of what the holder has already
confirmed ask for a current answer where a stale one suffices.
"""

import asyncio

from tests.stateful import order_engine
from tests.stateful import order_world
from tests.stateful import simulated_loop


async def _simulate_outage(instances):
    """Measures an outage of the store of 10 s.

    Returns:
        Calls per second in its last 8 s, and seconds until all instances are
        current after it.
    """
    world = order_world.World(1, engines=2, instances=instances, rate=0.01)
    await asyncio.sleep(10.0)
    world.faults.is_store_down = True
    began = world.now
    await asyncio.sleep(10.0)
    calls = world.store.count_calls(began + 2.0, began + 10.0)
    world.faults.is_store_down = False
    returned = world.now
    while world.find_holder() is None or not _all_current(world):
        await asyncio.sleep(0.05)
    seconds = world.now - returned
    world.stop()
    return calls / 8.0, seconds


def _all_current(world):
    return all(
        i.gateway._endpoints.watcher.lost_since is None
        for i in world.instances.values()
    )


def test_attempts_in_an_outage_do_not_grow_with_the_fleet():
    some, _ = simulated_loop.run(_simulate_outage(40))
    more, seconds = simulated_loop.run(_simulate_outage(80))
    # Two watched kinds and the lease at 10 attempts per second each, and the
    # holder's own.
    assert more < 1.25 * some
    assert more < 45
    # Notices of the holder compensate for the lower rate of attempts.
    assert seconds < 2.0


async def _simulate_restart():
    """Returns seconds from the store's return until there is a lease holder."""
    world = order_world.World(5, engines=6, instances=10, rate=0.2)
    await asyncio.sleep(10.0)
    world.faults.is_store_down = True
    await asyncio.sleep(4.5)
    for number in range(10):
        world.instances.pop((f"10.0.1.{number}", 1)).kill()
    await asyncio.sleep(0.5)
    for number in range(10):
        world.start(number)
    await asyncio.sleep(0.6)
    world.faults.is_store_down = False
    began = world.now
    while world.find_holder() is None:
        await asyncio.sleep(0.05)
    seconds = world.now - began
    world.stop()
    return seconds


def test_killed_fleet_has_a_holder_soon_after_the_store_is_back():
    # A whole fleet restarts during an outage. The instances must not divide
    # the attempts to reach the store among them while there is no holder that
    # could notify the others: the process that may take its own former lease at
    # once would wait for its share, and requests are refused meanwhile.
    assert simulated_loop.run(_simulate_restart()) < 1.2


async def _simulate_missing_configuration():
    """Returns seconds from reconnection until all instances have a change."""
    world = order_world.World(4, engines=2, instances=60, rate=0.01)
    await asyncio.sleep(10.0)
    holder = f"g{world.find_holder()}"
    others = {i.options.name for i in world.instances.values()} - {holder}
    world.faults.disconnected = set(sorted(others)[:20])
    manifest = order_engine.make_manifest(version=2)
    world.store.put("config", "main", manifest)
    await asyncio.sleep(2.0)
    world.faults.disconnected = set()
    began = world.now
    while not all(
        i.gateway.holder.version == 2 for i in world.instances.values()
    ):
        await asyncio.sleep(0.05)
    seconds = world.now - began
    world.stop()
    return seconds


def test_instance_that_lacks_a_configuration_reads_it_as_soon_as_it_can():
    # In an outage each instance pauses between attempts to read the store, for
    # more than 10 s in a large fleet. The pause must also end with a notice of
    # a version that the instance lacks. Otherwise it applies an old version
    # until the pause is over.
    assert simulated_loop.run(_simulate_missing_configuration()) < 1.5


async def _simulate_change():
    """Returns seconds until a change is in force, current and stale reads."""
    count = 30
    world = order_world.World(2, engines=2, instances=count, rate=0.01)
    await asyncio.sleep(10.0)
    began = world.now
    manifest = order_engine.make_manifest(version=2)
    world.store.put("config", "main", manifest)
    while not all(
        i.gateway.holder.version == 2 for i in world.instances.values()
    ):
        await asyncio.sleep(0.05)
    seconds = world.now - began
    await asyncio.sleep(1.0)
    calls = [
        world.store.count_calls(
            began,
            began + seconds + 1.0,
            verb="list",
            kind="config",
            may_be_stale=stale,
        )
        for stale in (False, True)
    ]
    world.stop()
    return seconds, *calls


def test_change_confirmed_by_the_holder_needs_few_current_reads():
    seconds, current, stale = simulated_loop.run(_simulate_change())
    assert seconds < 1.5
    assert current <= 2
    assert stale <= 30


async def _simulate_start():
    """Returns counts of current reads in the first 5 s, by verb."""
    world = order_world.World(3, engines=2, instances=30, rate=0.01)
    began = world.now
    await asyncio.sleep(5.0)
    assert all(i.gateway.is_ready() for i in world.instances.values())
    found = {
        verb: world.store.count_calls(
            began, began + 5.0, verb=verb, may_be_stale=False
        )
        for verb in ("list", "get")
    }
    world.stop()
    return found


def test_start_of_a_fleet_needs_few_current_reads():
    found = simulated_loop.run(_simulate_start())
    # Reads of the holder, and of instances that received its first notice too
    # late.
    assert found["list"] <= 10
    assert found["get"] <= 10
