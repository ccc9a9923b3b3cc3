"""Real gateways while the store is restored from backups, under other faults.

Orders of two lease holders keep their distance and fencing tokens never
decrease although the store loses leases and claims. All instances drop engines
whose entries are removed.
"""

import asyncio
import dataclasses

import pytest

from tests.stateful import order_troubles
from tests.stateful import order_world
from tests.stateful import simulated_loop

DISTANCE_SECONDS = 3.0
# An instance is in contact once it has been free of faults for this time.
CONTACT_SECONDS = 3.0
# Until all instances apply what the store has acknowledged.
APPLIED_SECONDS = 2.0
FAULTS = (
    order_troubles.kill_holder,
    order_troubles.kill_many,
    order_troubles.disconnect_holder,
    order_troubles.stop_store,
    order_troubles.lose_writes,
    order_troubles.delay_writes,
    order_troubles.lose_answers,
    order_troubles.delay_datagrams,
    order_troubles.replace_engine,
    order_troubles.move_demand,
)


@dataclasses.dataclass
class Result:
    world: order_world.World
    # Instances that knew an engine `APPLIED_SECONDS` after its removal.
    late: list = dataclasses.field(default_factory=list)
    gone: int = 0
    restores: int = 0


async def _restore_repeatedly(world, result):
    """Restores the store repeatedly, in a fifth of the cases twice in a row."""
    rng = world.rng
    while True:
        world.store.save_backup()
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        world.faults.is_store_down = True
        await asyncio.sleep(rng.choice((0.0, 0.3, 1.5)))
        world.store.restore_backup()
        world.faults.is_store_down = False
        result.restores += 1
        if rng.random() < 0.2:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            world.store.restore_backup()
        await asyncio.sleep(rng.uniform(1.0, 12.0))


async def _inject_faults(world, rate):
    while True:
        await asyncio.sleep(world.rng.expovariate(rate))
        world.rng.choice(FAULTS)(world)


async def _watch_engines(world, result):
    """Records instances that keep an engine after its entry was removed."""
    disturbed_at, listed, removed, known = world.now, set(), {}, {}
    era = world.store.era
    while True:
        await asyncio.sleep(0.05)
        faults = world.faults
        started = [
            key
            for key, instance in world.instances.items()
            if known.get(key) is not instance
        ]
        known = dict(world.instances)
        if (
            started
            or world.store.era != era
            or faults.is_store_down
            or faults.disconnected
            or faults.datagram_slow
            or faults.write_late
        ):
            disturbed_at = world.now
        era = world.store.era
        now_listed = set(world.store.objects.get("servers", {}))
        if world.now - disturbed_at < CONTACT_SECONDS:
            removed.clear()
        else:
            removed.update(dict.fromkeys(listed - now_listed, world.now))
        listed = now_listed
        for name, since in list(removed.items()):
            if world.now - since < APPLIED_SECONDS or name in listed:
                continue
            del removed[name]
            result.gone += 1
            result.late += [
                (world.now, name, instance.options.name)
                for instance in world.instances.values()
                if name in instance.gateway.view.tracked
            ]


async def _simulate(seed, seconds, restores, fault_rate):
    world = order_world.World(seed)
    result = Result(world)
    await asyncio.sleep(3.0)
    world.track_task(asyncio.create_task(_watch_engines(world, result)))
    if restores:
        world.track_task(
            asyncio.create_task(_restore_repeatedly(world, result))
        )
    if fault_rate:
        world.track_task(asyncio.create_task(_inject_faults(world, fault_rate)))
    end = world.now + seconds
    while world.now < end:
        await asyncio.sleep(world.rng.uniform(3.0, 7.0))
        order_troubles.replace_engine(world)
    world.stop()
    await asyncio.sleep(0)
    return result


def simulate(seed, seconds=50.0, restores=True, fault_rate=0.0):
    """Runs one simulation and returns its result."""
    return simulated_loop.run(_simulate(seed, seconds, restores, fault_rate))


def list_violations(world):
    """Returns pairs of orders to an engine that break a rule."""
    broken, last, owners = [], {}, {}
    for order in world.orders:
        at, engine, owner, token = order
        before = last.get(engine)
        last[engine] = order
        is_alone = owners.setdefault((engine, token), owner) == owner
        is_apart = (
            before is None
            or before[2] == owner
            or at - before[0] >= DISTANCE_SECONDS
        )
        has_risen = before is None or token >= before[3]
        if not (is_alone and is_apart and has_risen):
            broken.append((before, order))
    return broken


def check(result):
    assert not list_violations(result.world)
    assert not result.world.overcommits
    assert not result.late


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_while_the_store_is_restored_from_copies(seed):
    result = simulate(seed)
    assert result.restores
    assert result.world.orders
    check(result)


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_while_it_does_under_other_faults(seed):
    check(simulate(seed, fault_rate=0.4))


def test_orders_continue_after_each_restore():
    result = simulate(1, seconds=80.0)
    times = [order[0] for order in result.world.orders]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    # The next holder waits for the distance and the transit time of orders.
    assert max(gaps) < 8.0
