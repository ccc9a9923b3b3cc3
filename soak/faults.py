"""Faults by name; each runs from its start to its end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal

from soak import proxy
from soak import world as world_module

Fault = Callable[[world_module.World, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
_NAMED = list(proxy.Harm)[1:]


def register(fault: Fault) -> Fault:
    """Adds a fault under its function's name."""
    FAULTS[fault.__name__] = fault
    return fault


def _pick(
    world: world_module.World, rng: random.Random
) -> world_module.Gateway:
    return rng.choice(world.gateways)


@register
async def kill(world: world_module.World, rng: random.Random) -> None:
    """A gateway is killed and started again."""
    gateway = _pick(world, rng)
    if gateway.is_up:
        gateway.send(signal.SIGKILL)
    await asyncio.sleep(0.3)


@register
async def kill_all(world: world_module.World, rng: random.Random) -> None:
    """All gateways are killed at once."""
    for gateway in world.gateways:
        if gateway.is_up:
            gateway.send(signal.SIGKILL)
    await asyncio.sleep(0.3)


@register
async def terminate(world: world_module.World, rng: random.Random) -> None:
    """A gateway is asked to stop, in time or with another signal on top."""
    gateway = _pick(world, rng)
    if not gateway.is_up or gateway.is_stopping or gateway.is_paused:
        return
    gateway.is_stopping = True
    gateway.send(signal.SIGTERM)
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0, 1))
        gateway.send(rng.choice([signal.SIGTERM, signal.SIGHUP]))
    process = gateway.process
    assert process is not None
    waited = 0.0
    while process.poll() is None and waited < world_module.GRACE_SECONDS * 3:
        await asyncio.sleep(0.1)
        waited += 0.1
    if process.poll() is None and not gateway.is_paused:
        world.ledger.break_rule(f"LOST {gateway.name} does not stop")
        gateway.send(signal.SIGKILL)


@register
async def pause(world: world_module.World, rng: random.Random) -> None:
    """A gateway stands still for a while."""
    gateway = _pick(world, rng)
    if not gateway.is_up or gateway.is_paused:
        return
    gateway.is_paused = True
    process = gateway.process
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    if gateway.process is process and gateway.is_up:
        gateway.send(signal.SIGCONT)
        gateway.is_paused = False


@register
async def reload(world: world_module.World, rng: random.Random) -> None:
    """A gateway is told that its settings changed, some times."""
    gateway = _pick(world, rng)
    for _ in range(rng.randint(1, 4)):
        if gateway.is_up:
            gateway.send(signal.SIGHUP)
        await asyncio.sleep(0.1)


@register
async def harm_store(world: world_module.World, rng: random.Random) -> None:
    """The way from one gateway to the store is harmed."""
    await _harm(_pick(world, rng).store_proxy, rng)


@register
async def harm_endpoint(world: world_module.World, rng: random.Random) -> None:
    """The ways to one endpoint are harmed."""
    name = rng.choice(sorted(world.endpoints))
    await _harm(world.proxies[name], rng)


async def _harm(target: proxy.Proxy, rng: random.Random) -> None:
    target.delay = rng.uniform(0.05, 0.5)
    target.set_harm(rng.choice(_NAMED))
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    target.set_harm(proxy.Harm.NONE)


@register
async def stop_store(world: world_module.World, rng: random.Random) -> None:
    """The store refuses or is silent; some entries lapse meanwhile."""
    faults = world.store.faults
    is_silent = rng.random() < 0.5
    faults.is_silent, faults.is_down = is_silent, not is_silent
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    name = rng.choice(sorted(world.endpoints))
    item = world.store.objects["servers"].get(name)
    lapses = item is not None and rng.random() < 0.5
    if lapses:
        world.store.remove("servers", name)
    faults.is_silent = faults.is_down = False
    await asyncio.sleep(1.0)
    if lapses and item is not None and name in world.endpoints:
        world.store.put("servers", name, item["spec"])


@register
async def lose_writes(world: world_module.World, rng: random.Random) -> None:
    """Writes are done and not answered."""
    world.store.faults.loses_writes = rng.randint(1, 4)
    await asyncio.sleep(1.0)
    world.store.faults.loses_writes = 0


@register
async def forget_history(world: world_module.World, rng: random.Random) -> None:
    """The store forgets what happened."""
    world.store.forget_history()


@register
async def change_manifest(
    world: world_module.World, rng: random.Random
) -> None:
    """Configurations come in quick succession."""
    for _ in range(rng.randint(1, 4)):
        world.put_manifest()
        await asyncio.sleep(rng.uniform(0, 0.5))


@register
async def crash_endpoint(world: world_module.World, rng: random.Random) -> None:
    """An endpoint crashes; another one starts, perhaps at its address."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.left_at is not None:
        return
    if rng.random() < 0.5:
        await world.succeed_endpoint(endpoint)
        return
    await world.end_endpoint(endpoint, lists_out=rng.random() < 0.3)
    await world.add_endpoint(endpoint.service)


@register
async def replace_endpoint(
    world: world_module.World, rng: random.Random
) -> None:
    """An endpoint drains and leaves; another one was started before."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.left_at is not None:
        return
    await world.add_endpoint(endpoint.service)
    await world.drain_endpoint(endpoint, rng.uniform(1.0, 4.0))
