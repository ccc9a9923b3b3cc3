"""Who leads after a holder of the lease that died, in a large fleet.

Symptom: on 195 instances, 15 of which have four times the processor and five
times the link of the others, one of the others held the lease for 26 s. Its
link filled up after an outage, and it lost the lease.

Sequence, from that day's log: 3.0 the holder is killed; 4.6223 lease_taken by
front-rajarhat-29; 27.43 to 28.90 lease_not_reached (TimeoutError); 30.4349
lease_lost; 30.4652 lease_taken by front-rajarhat-1, which has more.

Cause: an instance found out that the holder is silent with its next report,
somewhere in 0.5 s, and instances with less wait for 0.1 s longer only.
"""

import asyncio

from tests.stateful import order_world
from tests.stateful import simulated_loop

INSTANCES = 120
STRONG = range(0, 120, 13)
WEAK_CORES = 0.5
STRONG_CORES = 2.15
CRASHES = 6


async def _simulate_crashes():
    """Returns the numbers of the holders that followed on dead ones."""
    cores = dict.fromkeys(range(INSTANCES), WEAK_CORES)
    cores |= dict.fromkeys(STRONG, STRONG_CORES)
    world = order_world.World(
        6, engines=2, instances=INSTANCES, rate=0.01, cores=cores
    )
    await asyncio.sleep(6.0)
    successors = []
    for _ in range(CRASHES):
        number = world.find_holder()
        world.instances.pop((f"10.0.1.{number}", 1)).kill()
        while world.find_holder() is None:
            await asyncio.sleep(0.01)
        successors.append(world.find_holder())
        await asyncio.sleep(4.0)
    world.stop()
    return successors


def test_lease_goes_to_one_of_the_instances_with_more_processor():
    successors = simulated_loop.run(_simulate_crashes())
    assert len([n for n in successors if n in STRONG]) >= CRASHES - 1, (
        successors
    )
