"""Releases of the engines' software, some under a kill of all gateways.

All engines of the pool are replaced by ones of a version that comes and stays
alone. The draws are apart from those of the faults, which stay a seed's own.
"""

import asyncio
import itertools
import random
import signal
import time

from soak import world as world_module

# Share of the seeds that play releases, and of the releases with a kill.
_SEED_SHARE = 0.5
_KILL_SHARE = 0.5
# Range of the time between two releases.
_INTERVAL_SECONDS = (2.0, 6.0)
# How long an old engine serves on beside the new ones, and when after the
# beginning of a release all gateways are killed.
_OVERLAP_SECONDS = (0.5, 3.0)
_KILL_SECONDS = (0.0, 5.0)


async def repeat_releases(
    world: world_module.World, seed: int, seconds: float
) -> None:
    """Plays releases for some time, if the seed has any."""
    rng = random.Random(f"{seed}-releases")
    if rng.random() >= _SEED_SHARE:
        return
    end = time.monotonic() + seconds
    for number in itertools.count(1):
        await asyncio.sleep(rng.uniform(*_INTERVAL_SECONDS))
        if time.monotonic() > end:
            return
        work = [_release(world, rng, f"release-{number}")]
        if rng.random() < _KILL_SHARE:
            work.append(_kill_all(world, rng.uniform(*_KILL_SECONDS)))
        print(f"        release {number}, kill: {len(work) > 1}", flush=True)
        await asyncio.gather(*work)


async def _release(
    world: world_module.World, rng: random.Random, version: str
) -> None:
    """Replaces all engines of the pool."""
    world.released = version
    old = [
        e
        for e in world.endpoints.values()
        if e.service == "models" and e.draining_since is None
    ]
    for _ in old:
        await world.add_endpoint("models")
    await asyncio.gather(
        *(world.drain_endpoint(e, rng.uniform(*_OVERLAP_SECONDS)) for e in old)
    )


async def _kill_all(world: world_module.World, delay: float) -> None:
    """Kills all gateways at once; `World.check_processes` restarts them."""
    await asyncio.sleep(delay)
    for gateway in world.gateways:
        if gateway.is_up:
            gateway.send(signal.SIGKILL)
