"""Calls to the store do not grow with the fleet beyond what they must.

Symptom: on a deployment of 195 instances calls to the store were the largest
price on every day, 0.04 of what a quiet day is worth and more with outages.

Sequence, from a day with every call logged (19 instances; calls grow with
instances): 36 starts read the configuration twice, the list of endpoints and
the lease once each; a change of the configuration was read by every instance;
from 18 to 26 s, while the store answered nobody, 680 calls were made, each
instance trying for the configuration, the list and the lease every half second
for itself.

    20 to 24 s   380 calls, none answered
    24 to 28 s   297 calls
    store_lost kind=config ... the store did not answer (reset), on 19 of 19

Cause: every instance asks for itself, though the holder of the lease tells all
as soon as one call succeeds; and reads that only fetch what the holder has
already vouched for ask for an answer that is newer than anything else.
"""

import asyncio

from tests.stateful import order_engine
from tests.stateful import order_world
from tests.stateful import simulated_loop


async def _simulate_outage(instances):
    """Returns the calls a second in the last 8 of 10 s without the store."""
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
    # Two followed kinds and the lease at 10 attempts a second each, and the
    # holder's own.
    assert more < 1.25 * some
    assert more < 45
    # The holder's word makes up for attempts that are rarer.
    assert seconds < 2.0


async def _simulate_restart():
    """Returns when a killed fleet has a holder, after the store is back."""
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
    # Symptom: refusals for eight seconds after a whole fleet was killed
    # during an outage; the lease was taken 1.9 s after the store's return.
    # Sequence: instances start and hear nobody; each waits for its part of
    # the fleet's attempts, as if another one could tell it; the process that
    # may take its own old lease at once is one of them.
    # Cause: attempts were shared out though nobody was there to tell.
    assert simulated_loop.run(_simulate_restart()) < 1.2


async def _simulate_missing_configuration():
    """Returns when the last instance has a change, after it can read again."""
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
    # Symptom: on 195 instances the rules on configurations and on requests
    # refused wrongly were broken, 142 and 118 times on a day in which the
    # store was disturbed from 7 to 13 s.
    # Sequence: 9.54 store_lost kind=config on front-howrah-hall-24; the
    # holder tells of version 11 from 13.2 s on; the instance is in its pause
    # before the next attempt, shared out over the fleet, until 24.29 s, and
    # goes by version 3: configuration_in_force version=15 before=3.
    # Cause: the pause ended only with word that lacks nothing.
    assert simulated_loop.run(_simulate_missing_configuration()) < 1.5


async def _simulate_change():
    """Returns calls for the configuration after a change, by staleness."""
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
    """Returns reads of the first seconds that ask for the newest answer."""
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
    # The holder's own, and those of instances whose first word from it came
    # too late.
    assert found["list"] <= 10
    assert found["get"] <= 10
