"""Faults for the order simulations, drawn from the seed of each."""

import asyncio

from tests.stateful import order_network
from tests.stateful import order_world
from tests.stateful import simulated_loop

_FAULTS = {}


def register_fault(weight):
    """Registers a fault that is drawn with the relative `weight`."""

    def register(function):
        _FAULTS[function] = weight
        return function

    return register


def _set_temporarily(world, field, value):
    before = getattr(order_network.Faults(), field)
    setattr(world.faults, field, value)
    seconds = world.rng.uniform(1.0, 7.0)
    world.call_later(seconds, setattr, world.faults, field, before)


@register_fault(3)
def kill_holder(world):
    number = world.find_holder()
    if number is not None:
        world.kill(number)


@register_fault(1)
def kill_many(world):
    for number in range(len(world.instances)):
        if world.rng.random() < 0.6:
            world.kill(number)


@register_fault(2)
def lose_answers(world):
    _set_temporarily(world, "answer_lost", world.rng.uniform(0.1, 0.5))


@register_fault(2)
def lose_orders(world):
    _set_temporarily(world, "order_lost", world.rng.uniform(0.1, 0.4))


@register_fault(2)
def delay_orders(world):
    _set_temporarily(world, "order_late", world.rng.uniform(0.1, 0.6))


@register_fault(2)
def delay_reports(world):
    _set_temporarily(world, "report_slow", world.rng.uniform(0.1, 0.6))


@register_fault(2)
def lose_writes(world):
    _set_temporarily(world, "write_lost", world.rng.uniform(0.1, 0.5))


@register_fault(2)
def delay_writes(world):
    _set_temporarily(world, "write_late", world.rng.uniform(0.1, 0.4))


@register_fault(2)
def delay_datagrams(world):
    _set_temporarily(world, "datagram_slow", world.rng.uniform(0.1, 0.5))


@register_fault(1)
def stop_store(world):
    _set_temporarily(world, "is_store_down", True)


@register_fault(2)
def repeat_stale_entries(world):
    _set_temporarily(world, "stale_entry", 0.8)


@register_fault(1)
def disconnect_holder(world):
    number = world.find_holder()
    if number is not None:
        _set_temporarily(world, "disconnected", {f"g{number}"})


@register_fault(1)
def isolate_holder(world):
    number = world.find_holder()
    if number is not None:
        _set_temporarily(world, "isolated", {f"g{number}"})


@register_fault(2)
def replace_engine(world):
    world.remove_engine()


@register_fault(2)
def expire_entries(world):
    """Drops entries of running engines until their next heartbeat."""
    for name in list(world.engines):
        if world.rng.random() < 0.5:
            world.store.drop("servers", name)


@register_fault(4)
def move_demand(world):
    world.demand_shift += world.rng.randint(1, 4)


async def _restart_engines(world, rate):
    while True:
        await asyncio.sleep(world.rng.expovariate(rate))
        world.engines[world.rng.choice(list(world.engines))].restart()
        world.restarts += 1


async def _simulate(seed, seconds, fault_rate, restarts):
    world = order_world.World(seed)
    kinds = list(_FAULTS)
    weights = list(_FAULTS.values())
    end = world.now + seconds
    await asyncio.sleep(3.0)
    if restarts:
        world.track_task(asyncio.create_task(_restart_engines(world, restarts)))
    while world.now < end:
        await asyncio.sleep(world.rng.expovariate(fault_rate))
        world.rng.choices(kinds, weights)[0](world)
    world.stop()
    await asyncio.sleep(0)
    return world


def simulate(seed, seconds=40.0, fault_rate=0.7, restarts=0.0):
    """Runs one simulation and returns its world.

    Args:
        seed: Seeds all random draws.
        seconds: Duration.
        fault_rate: Faults per second.
        restarts: Engine restarts under the same name, per second.
    """
    return simulated_loop.run(_simulate(seed, seconds, fault_rate, restarts))
