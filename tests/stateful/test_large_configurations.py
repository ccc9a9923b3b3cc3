"""Configurations that are large for the links of the instances.

A link of 5 Mbit/s transfers a configuration of 1.05 MB in 1.7 s. If every
instance reads every change whole from the store, two changes within seconds
queue up: the second is in force up to 3.9 s after it was acknowledged, where
3 s are allowed, and callers share a saturated link meanwhile. So instances also
serve changes to each other.
"""

import asyncio

import pytest

from tests.stateful import order_engine
from tests.stateful import order_world
from tests.stateful import simulated_loop

_INSTANCES = 40
_STRONG_INSTANCES = range(3)
# Rate of the narrow links, size of a configuration, and the time allowed from
# the acknowledgement of a configuration until it must be in force.
_NARROW_BYTES_PER_S = 625_000
_SIZE_BYTES = 1_050_000
_BOUND_SECONDS = 3.0


def _make_world(seed):
    world = order_world.World(
        seed,
        engines=2,
        instances=_INSTANCES,
        rate=0.01,
        cores=dict.fromkeys(_STRONG_INSTANCES, 4.0),
        links={
            n: _NARROW_BYTES_PER_S
            for n in range(_INSTANCES)
            if n not in _STRONG_INSTANCES
        },
    )
    world.store.sizes["config"] = _SIZE_BYTES
    return world


async def _put(world, version):
    """Writes a configuration; returns seconds until all instances have it."""
    manifest = order_engine.make_manifest(version, routes=4200)
    world.store.put("config", "main", manifest)
    began = world.now
    while not all(
        (i.gateway.holder.version or 0) >= version
        for i in world.instances.values()
    ):
        assert world.now - began < 30.0
        await asyncio.sleep(0.02)
    return world.now - began


async def _simulate_two_changes(seed):
    world = _make_world(seed)
    await asyncio.sleep(10.0)
    before = sum(link.transferred_bytes for link in world.links.values())
    first = asyncio.create_task(_put(world, 2))
    await asyncio.sleep(0.5)
    second = await _put(world, 3)
    await first
    transferred_bytes = (
        sum(link.transferred_bytes for link in world.links.values()) - before
    )
    world.stop()
    return second, transferred_bytes


@pytest.mark.parametrize("seed", range(4))
def test_second_change_is_in_force_in_time(seed):
    seconds, _ = simulated_loop.run(_simulate_two_changes(seed))
    assert seconds < _BOUND_SECONDS / 2


def test_content_of_a_change_is_not_sent_whole_to_each_instance():
    _, transferred_bytes = simulated_loop.run(_simulate_two_changes(7))
    # It is 76 MB if each instance reads both changes from the store.
    assert transferred_bytes < 20 * _SIZE_BYTES


async def _simulate_disconnection(seed):
    world = _make_world(seed)
    await asyncio.sleep(10.0)
    holder = f"g{world.find_holder()}"
    others = {i.options.name for i in world.instances.values()} - {holder}
    world.faults.disconnected = set(sorted(others)[:15])
    await asyncio.sleep(1.0)
    seconds = await _put(world, 2)
    world.stop()
    return seconds


@pytest.mark.parametrize("seed", range(3))
def test_instance_disconnected_from_the_store_gets_it_from_others(seed):
    assert (
        simulated_loop.run(_simulate_disconnection(seed)) < _BOUND_SECONDS / 2
    )


async def _simulate_holder_crash(seed):
    """Kills the lease holder as soon as it has a change."""
    world = _make_world(seed)
    await asyncio.sleep(10.0)
    put = asyncio.create_task(_put(world, 2))
    number = world.find_holder()
    holder = world.instances[(f"10.0.1.{number}", 1)].gateway.holder
    while holder.version != 2:
        await asyncio.sleep(0.001)
    world.kill(number)
    seconds = await put
    world.stop()
    return seconds


@pytest.mark.parametrize("seed", range(3))
def test_change_is_in_force_in_time_though_the_holder_crashes(seed):
    assert simulated_loop.run(_simulate_holder_crash(seed)) < _BOUND_SECONDS
