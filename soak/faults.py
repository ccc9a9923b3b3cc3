"""Faults by name; each runs from its start to its end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import time

from soak import endpoints
from soak import proxy
from soak import world as world_module
from standins import platform_client

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
    process = gateway.process
    assert process is not None
    gateway.is_stopping = True
    gateway.send(signal.SIGTERM)
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0, 1))
        # Another fault may have killed it meanwhile; its successor stays.
        process.send_signal(rng.choice([signal.SIGTERM, signal.SIGHUP]))
    waited = 0.0
    while process.poll() is None and waited < world_module.GRACE_SECONDS * 3:
        await asyncio.sleep(0.1)
        waited += 0.1
    if process.poll() is None and not gateway.is_paused:
        world.ledger.break_rule(f"LOST {gateway.name} does not stop")
        process.kill()


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
async def return_store(world: world_module.World, rng: random.Random) -> None:
    """The store comes back from a copy; others write again what it lost."""
    store = world.store
    store.keep_backup()
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    store.faults.is_down = rng.random() < 0.7
    await asyncio.sleep(rng.uniform(0.0, 0.8))
    lost = {k: dict(store.objects.get(k, {})) for k in ("servers", "config")}
    store.return_to_backup()
    store.faults.is_down = False
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    for kind, objects in lost.items():
        for name, item in objects.items():
            if kind == "config" or name in world.endpoints:
                store.put(kind, name, item["spec"])
    for name in list(store.objects.get("servers", {})):
        if name not in world.endpoints:
            store.remove("servers", name)


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


# Ends under one request where nothing else happens; a gateway that starts
# meanwhile may have lost what it knew.
_ENDS_MOST = 3
_DEADLY_TRIES = 8
_REST_SECONDS = 2.0
# What was under way when the rest was asked for still comes, seconds.
_UNDER_WAY_SECONDS = 0.5
# Of each gateway, in a time of rest.
_REQUESTS_AT_REST = 2


@register
async def send_deadly_request(
    world: world_module.World, rng: random.Random
) -> None:
    """A request that ends endpoints comes again and again, at any gateway."""
    body = endpoints.DEADLY + b"%d" % rng.randrange(1_000_000)
    starts = world.starts
    for number in range(_DEADLY_TRIES):
        await _ask_once(_pick(world, rng), f"{body.decode()}-{number}", body)
        await asyncio.sleep(0.2)
    most = _ENDS_MOST + world.starts - starts
    if world.ends[body] > most:
        world.ledger.break_rule(
            f"BUDGET {world.ends[body]} endpoints ended under {body!r}"
        )


async def _ask_once(
    gateway: world_module.Gateway, request: str, body: bytes
) -> None:
    host, _, port = gateway.callers.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            client = platform_client.Client(
                *await asyncio.open_connection(host, int(port))
            )
            try:
                await client.send("/once/d", request, "POST", body)
                await client.read()
            finally:
                client.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return


@register
async def ask_for_rest(world: world_module.World, rng: random.Random) -> None:
    """An endpoint turns requests away and asks for rest."""
    endpoint = rng.choice(list(world.endpoints.values()))
    starts = world.starts
    endpoint.rests_until = time.monotonic() + _REST_SECONDS
    await asyncio.sleep(_UNDER_WAY_SECONDS)
    before = endpoint.came_at_rest
    await asyncio.sleep(_REST_SECONDS - _UNDER_WAY_SECONDS)
    came = endpoint.came_at_rest - before
    # A gateway learns of it from the first request that is turned away.
    most = len(world.gateways) * (_REQUESTS_AT_REST + 1)
    if came > most + (world.starts - starts) * _REQUESTS_AT_REST:
        world.ledger.break_rule(f"BUDGET {endpoint.name} got {came} at rest")


# Of the platform's rule on limits, seconds.
_LIMIT_CONTACT = 3.0
_LIMIT_WINDOW = 4.0
_LIMIT_SECONDS = 7.0
# Sent by a gateway that has started anew before it hears of a limit.
_REQUESTS_UNTOLD = 6


@register
async def name_limit(world: world_module.World, rng: random.Random) -> None:
    """An endpoint names how much it takes from all gateways together."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.limit is not None:
        return
    limit = rng.choice([0.3, 1.0, 1.1, 3.0])
    endpoint.limit = limit
    await asyncio.sleep(_LIMIT_CONTACT)
    starts, began = world.starts, time.monotonic()
    await asyncio.sleep(_LIMIT_SECONDS)
    endpoint.limit = None
    calls = [at for at in endpoint.calls if at >= began]
    most = 1.5 * _LIMIT_WINDOW * limit + 5
    most += (world.starts - starts) * _REQUESTS_UNTOLD
    for first in calls:
        came = sum(first <= at < first + _LIMIT_WINDOW for at in calls)
        if came > most:
            world.ledger.break_rule(
                f"LIMIT {endpoint.name} got {came} calls at a limit of {limit}"
            )
            return


@register
async def leave_by_answers(
    world: world_module.World, rng: random.Random
) -> None:
    """An endpoint says in its answers alone that it leaves, then ends."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.left_at is not None:
        return
    endpoint.says_leaving = True
    await world.add_endpoint(endpoint.service)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    await world.end_endpoint(endpoint, lists_out=True)
