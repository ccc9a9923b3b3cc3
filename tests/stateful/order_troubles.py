"""Troubles that strike a world, drawn from its seed."""

import asyncio

from tests.stateful import order_network
from tests.stateful import order_world
from tests.stateful import simulated_loop

_STRIKES = {}


def strike(chance):
    """Registers a trouble; `chance` is its weight among all."""

    def register(function):
        _STRIKES[function] = chance
        return function

    return register


def _for_a_while(world, field, value):
    before = getattr(order_network.Faults(), field)
    setattr(world.faults, field, value)
    seconds = world.rng.uniform(1.0, 7.0)
    world.later(seconds, setattr, world.faults, field, before)


@strike(3)
def kill_holder(world):
    number = world.find_holder()
    if number is not None:
        world.kill(number)


@strike(1)
def kill_many(world):
    for number in range(len(world.instances)):
        if world.rng.random() < 0.6:
            world.kill(number)


@strike(2)
def lose_answers(world):
    _for_a_while(world, "answer_lost", world.rng.uniform(0.1, 0.5))


@strike(2)
def lose_orders(world):
    _for_a_while(world, "order_lost", world.rng.uniform(0.1, 0.4))


@strike(2)
def delay_orders(world):
    _for_a_while(world, "order_late", world.rng.uniform(0.1, 0.6))


@strike(2)
def delay_reports(world):
    _for_a_while(world, "report_slow", world.rng.uniform(0.1, 0.6))


@strike(2)
def lose_writes(world):
    _for_a_while(world, "write_lost", world.rng.uniform(0.1, 0.5))


@strike(2)
def delay_writes(world):
    _for_a_while(world, "write_late", world.rng.uniform(0.1, 0.4))


@strike(2)
def delay_datagrams(world):
    _for_a_while(world, "datagram_slow", world.rng.uniform(0.1, 0.5))


@strike(1)
def stop_store(world):
    _for_a_while(world, "is_store_down", True)


@strike(2)
def repeat_old_entries(world):
    _for_a_while(world, "old_entry", 0.8)


@strike(1)
def cut_holder_off(world):
    number = world.find_holder()
    if number is not None:
        _for_a_while(world, "cut_off", {f"g{number}"})


@strike(1)
def isolate_holder(world):
    number = world.find_holder()
    if number is not None:
        _for_a_while(world, "isolated", {f"g{number}"})


@strike(2)
def replace_engine(world):
    world.remove_engine()


@strike(2)
def lapse_entries(world):
    """Entries go while their engines live, and come back with a beat."""
    for name in list(world.engines):
        if world.rng.random() < 0.5:
            world.store.drop("servers", name)


@strike(4)
def move_demand(world):
    world.shift += world.rng.randint(1, 4)


async def _restart_engines(world, rate):
    while True:
        await asyncio.sleep(world.rng.expovariate(rate))
        world.engines[world.rng.choice(list(world.engines))].restart()
        world.restarts += 1


async def _play(seed, seconds, troubles, restarts):
    world = order_world.World(seed)
    kinds = list(_STRIKES)
    weights = list(_STRIKES.values())
    end = world.now + seconds
    await asyncio.sleep(3.0)
    if restarts:
        world.keep(asyncio.create_task(_restart_engines(world, restarts)))
    while world.now < end:
        await asyncio.sleep(world.rng.expovariate(troubles))
        world.rng.choices(kinds, weights)[0](world)
    world.stop()
    await asyncio.sleep(0)
    return world


def play(seed, seconds=40.0, troubles=0.7, restarts=0.0):
    """Plays one world; returns it.

    Args:
        seed: Of all that is drawn.
        seconds: How long.
        troubles: A second.
        restarts: Engines that start again under their name, a second.
    """
    return simulated_loop.run(_play(seed, seconds, troubles, restarts))
