"""Faults by name; each function returns when its fault is over."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import random
import signal
import time

from soak import endpoints
from soak import proxy
from soak import readers
from soak import world as world_module
from standins import platform_client
from standins import platform_site
from wayslip import clock

Fault = Callable[[world_module.World, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
_LINK_FAULTS = list(proxy.LinkFault)[1:]


def register(fault: Fault) -> Fault:
    """Registers a fault under its function's name."""
    FAULTS[fault.__name__] = fault
    return fault


def _pick_gateway(
    world: world_module.World, rng: random.Random
) -> world_module.Gateway:
    return rng.choice(world.gateways)


@register
async def kill(world: world_module.World, rng: random.Random) -> None:
    """Kills a gateway, which `World.check_processes` restarts."""
    gateway = _pick_gateway(world, rng)
    if gateway.is_up:
        gateway.send(signal.SIGKILL)
    await asyncio.sleep(0.3)


@register
async def kill_all(world: world_module.World, rng: random.Random) -> None:
    """Kills all gateways at once."""
    for gateway in world.gateways:
        if gateway.is_up:
            gateway.send(signal.SIGKILL)
    await asyncio.sleep(0.3)


@register
async def terminate(world: world_module.World, rng: random.Random) -> None:
    """Sends a gateway SIGTERM, sometimes followed by another signal."""
    gateway = _pick_gateway(world, rng)
    if not gateway.is_up or gateway.is_stopping or gateway.is_paused:
        return
    await _terminate(world, rng, gateway)


async def _terminate(
    world: world_module.World,
    rng: random.Random,
    gateway: world_module.Gateway,
) -> None:
    """Stops a gateway, and checks that it stops in time."""
    process = gateway.process
    assert process is not None
    gateway.is_stopping = True
    gateway.send(signal.SIGTERM)
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0, 1))
        # Another fault may have killed it by now; the new process must not
        # get the signal.
        process.send_signal(rng.choice([signal.SIGTERM, signal.SIGHUP]))
    waited = 0.0
    while process.poll() is None and waited < world_module.GRACE_SECONDS * 3:
        await asyncio.sleep(0.1)
        waited += 0.1
    if process.poll() is None and not gateway.is_paused:
        world.oracle.report_violation(f"LOST {gateway.name} did not stop")
        process.kill()


_LINK_READERS = 4
# Answers that a gateway sends once it has them whole.
_LINK_ANSWER_BYTES = (60_000, 250_000)
# Ends about when a stop without any request would.
_LINK_WORK_SECONDS = (2.0, 3.2)
# A stop that takes less was not ended by the grace time.
_EARLY_STOP_SECONDS = world_module.GRACE_SECONDS - 0.8


@register
async def terminate_beside_readers(
    world: world_module.World, rng: random.Random
) -> None:
    """Sends a gateway SIGTERM while clients on narrow links read answers."""
    gateway = _pick_gateway(world, rng)
    if not gateway.is_up or gateway.is_stopping or gateway.is_paused:
        return
    process, began = gateway.process, time.monotonic()
    assert process is not None
    name = f"link-{rng.randrange(1_000_000)}"
    reads = [
        asyncio.ensure_future(
            readers.read_over_link(
                gateway,
                f"{name}-{number}",
                rng.uniform(*_LINK_WORK_SECONDS),
                rng.randint(*_LINK_ANSWER_BYTES),
                world.conditions.make_headers(number),
            )
        )
        for number in range(_LINK_READERS)
    ]
    await asyncio.sleep(rng.uniform(0.0, 0.6))
    stopped_early = False
    if gateway.process is process and gateway.is_up and not gateway.is_stopping:
        signalled = time.monotonic()
        await _terminate(world, rng, gateway)
        seconds = time.monotonic() - signalled
        stopped_early = seconds < _EARLY_STOP_SECONDS and process.poll() == 0
    failures = [f for f in await asyncio.gather(*reads) if f]
    # At the end of the grace time it may cut answers that came late.
    if stopped_early and gateway.paused_at < began and world.is_own(gateway):
        for failure in failures:
            world.oracle.report_violation(f"LOST {failure}")


@register
async def pause(world: world_module.World, rng: random.Random) -> None:
    """Suspends a gateway for 0.2 to 4 s."""
    gateway = _pick_gateway(world, rng)
    if not gateway.is_up or gateway.is_paused:
        return
    gateway.is_paused = True
    gateway.paused_at = time.monotonic()
    process = gateway.process
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    if gateway.process is process and gateway.is_up:
        gateway.send(signal.SIGCONT)
        gateway.is_paused = False


@register
async def reload(world: world_module.World, rng: random.Random) -> None:
    """Sends a gateway SIGHUP one to four times, to reload its settings."""
    gateway = _pick_gateway(world, rng)
    for _ in range(rng.randint(1, 4)):
        if gateway.is_up:
            gateway.send(signal.SIGHUP)
        await asyncio.sleep(0.1)


# JSON of other writers that a parser, or an encoder behind it, does not take.
_ODD_TEXTS = (
    "[" * 1_200 + "]" * 1_200,
    "9" * 5_000,
    '"half-\\ud83d"',
    "NaN",
    "-1",
    "{}",
)
_ODD_ENTRIES = 6


@register
async def write_odd_entries(
    world: world_module.World, rng: random.Random
) -> None:
    """Lets another writer put entries into the list of endpoints."""
    names = []
    for _ in range(_ODD_ENTRIES):
        entry = platform_site.entry("plain", "127.0.0.1:9")
        texts = {field: json.dumps(value) for field, value in entry.items()}
        texts[rng.choice([*texts, "born", "at_hand"])] = rng.choice(_ODD_TEXTS)
        # No endpoint is to be found at the address, whatever the field is.
        texts["service"] = rng.choice(['"kiosk"', '"kiosk-\\ud83d"'])
        text = ",".join(f'"{field}":{t}' for field, t in texts.items())
        names.append(f"odd-{rng.randrange(1_000_000)}")
        world.store.put_text("servers", names[-1], f"{{{text}}}")
        await asyncio.sleep(rng.uniform(0.0, 0.3))
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    for name in names:
        if name in world.store.objects["servers"]:
            world.store.remove("servers", name)


@register
async def harm_store(world: world_module.World, rng: random.Random) -> None:
    """Disrupts the connections from one gateway to the store."""
    await _disrupt_link(_pick_gateway(world, rng).store_proxy, rng)


@register
async def harm_endpoint(world: world_module.World, rng: random.Random) -> None:
    """Disrupts the connections to one endpoint."""
    name = rng.choice(sorted(world.endpoints))
    await _disrupt_link(world.proxies[name], rng)


async def _disrupt_link(target: proxy.Proxy, rng: random.Random) -> None:
    target.delay = rng.uniform(0.05, 0.5)
    target.set_fault(rng.choice(_LINK_FAULTS))
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    target.set_fault(proxy.LinkFault.NONE)


@register
async def stop_store(world: world_module.World, rng: random.Random) -> None:
    """Lets the store refuse or hold calls; an endpoint entry may expire."""
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
    """Restores the store from a backup; others write lost objects again."""
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
    """Lets the store apply writes without answering them."""
    world.store.faults.loses_writes = rng.randint(1, 4)
    await asyncio.sleep(1.0)
    world.store.faults.loses_writes = 0


@register
async def forget_history(world: world_module.World, rng: random.Random) -> None:
    """Lets the store drop its history, so that watches expire."""
    world.store.forget_history()


@register
async def change_manifest(
    world: world_module.World, rng: random.Random
) -> None:
    """Writes one to four configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        world.put_manifest()
        await asyncio.sleep(rng.uniform(0, 0.5))


@register
async def crash_endpoint(world: world_module.World, rng: random.Random) -> None:
    """Crashes an endpoint; starts another one, perhaps at its address."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.draining_since is not None:
        return
    if rng.random() < 0.5:
        await world.crash_and_reuse_address(endpoint)
        return
    await world.end_endpoint(endpoint, removes_entry_at_once=rng.random() < 0.3)
    await world.add_endpoint(endpoint.service)


@register
async def end_busy_engine(
    world: world_module.World, rng: random.Random
) -> None:
    """Ends the engine with the most streams; starts another one later."""
    engines = [e for e in world.endpoints.values() if e.service == "models"]
    busiest = max(engines, key=lambda e: e.running, default=None)
    if busiest is None or busiest.draining_since is not None:
        return
    await world.end_endpoint(busiest, removes_entry_at_once=False)
    await asyncio.sleep(rng.uniform(0, 1.0))
    await world.add_endpoint("models")


@register
async def replace_endpoint(
    world: world_module.World, rng: random.Random
) -> None:
    """Starts a new endpoint, then drains and stops an old one."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.draining_since is not None:
        return
    await world.add_endpoint(endpoint.service)
    await world.drain_endpoint(endpoint, rng.uniform(1.0, 4.0))


# Maximum number of endpoints that one request may crash. Each gateway restart
# adds one, because a new process may not know about earlier crashes.
_MAX_CRASHES = 3
_POISON_REQUESTS = 8
_BACKOFF_SECONDS = 2.0
# Requests in flight when the back-off begins may still arrive for this long.
_IN_FLIGHT_SECONDS = 0.5
# Maximum number of requests per gateway during one back-off.
_REQUESTS_PER_BACKOFF = 2


@register
async def send_deadly_request(
    world: world_module.World, rng: random.Random
) -> None:
    """Sends a request that crashes endpoints repeatedly to any gateway."""
    body = endpoints.POISON + b"%d" % rng.randrange(1_000_000)
    gateway_starts = world.gateway_starts
    for number in range(_POISON_REQUESTS):
        await _send_once(
            _pick_gateway(world, rng),
            f"{body.decode()}-{number}",
            body,
            world.conditions.make_headers(0),
        )
        await asyncio.sleep(0.2)
    allowed = _MAX_CRASHES + world.gateway_starts - gateway_starts
    if world.poison_crashes[body] > allowed:
        world.oracle.report_violation(
            f"BUDGET {world.poison_crashes[body]} endpoints crashed on {body!r}"
        )


# Maximum number of engines that requests with one part may crash, one more for
# each gateway that starts meanwhile, and the requests that are sent.
_MAX_PART_CRASHES = 5
_PART_REQUESTS = 14


@register
async def send_deadly_part(
    world: world_module.World, rng: random.Random
) -> None:
    """Sends different requests with a part that crashes engines."""
    part = f"{endpoints.POISON_PART}-{rng.randrange(1_000_000)}"
    gateway_starts = world.gateway_starts
    for number in range(_PART_REQUESTS):
        name = f"{part}-{number}"
        headers = {
            **world.conditions.make_headers(0),
            "Wayslip_Model": f"m{rng.randint(1, 3)}",
            "Wayslip_Token_Count": "400,20",
            "Wayslip_Prompt_Prefix": f"f1:100,{part}:100,own-{number}:200",
        }
        await _send_once(
            _pick_gateway(world, rng), name, name.encode(), headers, "/live/d"
        )
        await asyncio.sleep(0.1)
    crashes = world.poison_crashes[part.encode()]
    allowed = _MAX_PART_CRASHES + world.gateway_starts - gateway_starts
    if crashes > allowed:
        world.oracle.report_violation(f"BUDGET {crashes} crashed on {part}")


_STORM_CONNECTIONS = 150
_STORM_ROUNDS = 4


@register
async def send_storm(world: world_module.World, rng: random.Random) -> None:
    """Hands many new connections at once to one gateway, some without use."""
    gateway = _pick_gateway(world, rng)
    headers = world.conditions.make_headers(0)
    name = f"storm-{rng.randrange(1_000_000)}"
    for step in range(_STORM_ROUNDS):
        await asyncio.gather(
            *(
                _send_once(
                    gateway, f"{name}-{step}-{n}", b"", headers, "/get/s"
                )
                for n in range(_STORM_CONNECTIONS)
            )
        )


async def _send_once(
    gateway: world_module.Gateway,
    request: str,
    body: bytes,
    headers: dict[str, str],
    path: str = "/once/d",
) -> None:
    host, _, port = gateway.callers.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            client = platform_client.Client(
                *await asyncio.open_connection(host, int(port))
            )
            try:
                await client.send(path, request, "POST", body, 3000, **headers)
                await client.read()
            finally:
                client.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return


@register
async def send_endless_bytes(
    world: world_module.World, rng: random.Random
) -> None:
    """Lets an endpoint answer with bytes that never end."""
    endpoint = rng.choice(list(world.endpoints.values()))
    endpoint.endless_until = time.monotonic() + rng.uniform(0.3, 1.0)
    await asyncio.sleep(1.0)


@register
async def ask_for_rest(world: world_module.World, rng: random.Random) -> None:
    """Lets an endpoint refuse requests and ask for back-off."""
    endpoint = rng.choice(list(world.endpoints.values()))
    gateway_starts = world.gateway_starts
    endpoint.backs_off_until = time.monotonic() + _BACKOFF_SECONDS
    await asyncio.sleep(_IN_FLIGHT_SECONDS)
    before = endpoint.received_in_backoff
    await asyncio.sleep(_BACKOFF_SECONDS - _IN_FLIGHT_SECONDS)
    received = endpoint.received_in_backoff - before
    # A gateway learns of the back-off from its first refused request.
    allowed = len(world.gateways) * (_REQUESTS_PER_BACKOFF + 1)
    if (
        received
        > allowed
        + (world.gateway_starts - gateway_starts) * _REQUESTS_PER_BACKOFF
    ):
        world.oracle.report_violation(
            f"BUDGET {endpoint.name} got {received} in back-off"
        )


# The platform's rule on limits: gateways must learn an announced limit within
# the first time. After that, the limit holds in each window.
_LIMIT_ANNOUNCE_SECONDS = 3.0
_LIMIT_WINDOW_SECONDS = 4.0
_LIMIT_CHECK_SECONDS = 7.0
# Maximum calls by a restarted gateway before it learns the limit.
_REQUESTS_BEFORE_LIMIT_KNOWN = 6


@register
async def name_limit(world: world_module.World, rng: random.Random) -> None:
    """Lets an endpoint announce its rate limit for all gateways."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.limit is not None:
        return
    limit = rng.choice([0.3, 1.0, 1.1, 3.0])
    endpoint.limit = limit
    await asyncio.sleep(_LIMIT_ANNOUNCE_SECONDS)
    gateway_starts, began = world.gateway_starts, clock.now()
    await asyncio.sleep(_LIMIT_CHECK_SECONDS)
    endpoint.limit = None
    calls = [at for at in endpoint.calls if at >= began]
    allowed = 1.5 * _LIMIT_WINDOW_SECONDS * limit + 5
    allowed += (
        world.gateway_starts - gateway_starts
    ) * _REQUESTS_BEFORE_LIMIT_KNOWN
    for first in calls:
        received = sum(
            first <= at < first + _LIMIT_WINDOW_SECONDS for at in calls
        )
        if received > allowed:
            world.oracle.report_violation(
                f"LIMIT {endpoint.name} got {received} calls with limit {limit}"
            )
            return


@register
async def leave_by_answers(
    world: world_module.World, rng: random.Random
) -> None:
    """Lets an endpoint announce only in answers that it leaves, then stop."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.draining_since is not None:
        return
    endpoint.announces_leaving = True
    await world.add_endpoint(endpoint.service)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    await world.end_endpoint(endpoint, removes_entry_at_once=True)


# The platform's rule on brittle endpoints: they fall over at most this often in
# one time in which they are brittle, and a share of their number. Gateways must
# know of it within the first time; the room shrinks after that.
_FALLS_ALLOWED = 2
_FALLS_SHARE = 0.1
_BRITTLE_ANNOUNCE_SECONDS = 3.0
_BRITTLE_SECONDS = 5.0


@register
async def become_brittle(world: world_module.World, rng: random.Random) -> None:
    """Lets the endpoints of a service fall over if they refuse too often."""
    service = rng.choice(["plain", "models"])
    if service in world.brittle_services:
        return
    allowed = rng.choice([1, 2, 3])
    world.brittle_services[service] = (allowed, None)
    await asyncio.sleep(_BRITTLE_ANNOUNCE_SECONDS)
    gateway_starts = world.gateway_starts
    before = world.poison_crashes[endpoints.FALL]
    slots = int(platform_site.entry(service, "")["slots"])
    world.brittle_services[service] = (allowed, slots)
    await asyncio.sleep(_BRITTLE_SECONDS)
    del world.brittle_services[service]
    falls = world.poison_crashes[endpoints.FALL] - before
    # A gateway that has just started sends before it has heard of it.
    most = _FALLS_ALLOWED + int(_FALLS_SHARE * world.count_endpoints(service))
    most += world.gateway_starts - gateway_starts
    if falls > most:
        world.oracle.report_violation(
            f"LIMIT {falls} endpoints of {service} fell over, {most} allowed"
        )
