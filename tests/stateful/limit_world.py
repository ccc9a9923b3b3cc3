"""Simulates engines that report rate limits, with real gateways.

The gateways track limits and exchange permits with their own code. The network,
the engines and the requests are simulated.
"""

import asyncio
import dataclasses

from tests.stateful import order_troubles
from tests.stateful import order_world
from tests.stateful import simulated_loop
from wayslip.decisions import fleet

# From the platform's rule on limits: seconds of contact until an instance must
# comply, seconds after its first notice of a limit, and the window.
CONTACT_SECONDS = 3.0
NOTICE_SECONDS = 0.5
WINDOW_SECONDS = 4.0
FAULTS = (
    order_troubles.kill_holder,
    order_troubles.kill_many,
    order_troubles.isolate_holder,
    order_troubles.disconnect_holder,
    order_troubles.stop_store,
    order_troubles.lose_writes,
    order_troubles.delay_datagrams,
)
_LIMITS = (0.3, 1.0, 1.1, 2.0, 5.0)
_TICK_SECONDS = 0.05
# Requests that arrive at once, in one of 50 arrivals.
_BURST = 12


@dataclasses.dataclass
class Span:
    """A period for which an engine reports a limit."""

    limit: float
    since: float
    until: float = float("inf")


class Engine:
    """One engine, the limits that it reports and its arrivals."""

    def __init__(self, number):
        self.endpoint = fleet.Endpoint(
            f"x{number}", "models", "10.0.9.9:1", "h"
        )
        self.spans = []
        # Arrival times, and whether the sender had to comply with the limit.
        self.arrivals = []
        # When each process first received an answer that names a limit.
        self.first_notices = {}

    def find_limit(self, at):
        return next(
            (s.limit for s in self.spans if s.since <= at < s.until), None
        )

    def list_counts(self):
        """Returns the arrivals in each window that the rule covers.

        A window begins at each arrival that must comply; each count comes with
        the limit of its span.
        """
        counts = []
        for span in self.spans:
            arrived = [
                at
                for at, must_comply in self.arrivals
                if must_comply
                and span.since + CONTACT_SECONDS <= at < span.until
            ]
            counts += [
                (
                    sum(at <= one < at + WINDOW_SECONDS for one in arrived),
                    span.limit,
                )
                for at in arrived
            ]
        return counts


class Simulation:
    """The limits, requests and faults drawn from one seed."""

    def __init__(self, seed, instances, rate):
        self.world = order_world.World(
            seed, engines=2, instances=instances, rate=1.0
        )
        self.rng = self.world.rng
        self.engines = [Engine(n) for n in range(3)]
        self.rate = rate
        self.denied = 0
        self._disturbed_at = {}

    async def run(self, seconds, fault_rate):
        world = self.world
        world.track_task(asyncio.create_task(self._watch()))
        await asyncio.sleep(4.0)
        for engine in self.engines:
            world.track_task(asyncio.create_task(self._vary_limit(engine)))
        if fault_rate:
            world.track_task(
                asyncio.create_task(self._inject_faults(fault_rate))
            )
        end = world.now + seconds
        while world.now < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            count = _BURST if self.rng.random() < 0.02 else 1
            for _ in range(count):
                world.track_task(asyncio.create_task(self._send_request()))
        await asyncio.sleep(2.0)
        world.stop()
        await asyncio.sleep(0)
        return self

    async def _vary_limit(self, engine):
        """Reports a limit, changes it and withdraws it, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            for _ in range(self.rng.randint(1, 2)):
                span = Span(self.rng.choice(_LIMITS), self.world.now)
                engine.spans.append(span)
                await asyncio.sleep(self.rng.uniform(8.0, 20.0))
                span.until = self.world.now

    async def _inject_faults(self, rate):
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.rng.choice(FAULTS)(self.world)

    async def _watch(self):
        """Records disturbed instances, which the rule exempts."""
        known = {}
        while True:
            faults = self.world.faults
            unreachable = faults.isolated | faults.disconnected
            for instance in self.world.instances.values():
                name = instance.options.name
                if known.get(name) is not instance or name in unreachable:
                    self._disturbed_at[name] = self.world.now
                known[name] = instance
            await asyncio.sleep(_TICK_SECONDS)

    def _is_in_contact(self, instance):
        disturbed_at = self._disturbed_at.get(
            instance.options.name, self.world.now
        )
        return self.world.now - disturbed_at > CONTACT_SECONDS

    async def _send_request(self):
        instances = list(self.world.instances.values())
        if not instances:
            return
        instance = self.rng.choice(instances)
        engine = self.rng.choice(self.engines)
        max_wait = self.rng.choice((0.0, 0.15, 0.4, 3.0))
        taken = await instance.gateway._permit_broker.take(
            engine.endpoint, max_wait, "r"
        )
        if not taken.is_granted:
            self.denied += 1
            return
        await asyncio.sleep(taken.wait)
        sent_at = self.world.now
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        self._record_arrival(engine, instance)
        await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        # Read as the answer leaves; answers may arrive out of order.
        limit = engine.find_limit(self.world.now)
        await asyncio.sleep(self.rng.uniform(0.001, 0.05))
        if instance not in self.world.instances.values():
            return
        instance.gateway._permit_broker.note_answer(
            engine.endpoint, limit, sent_at
        )
        if limit is not None:
            engine.first_notices.setdefault(id(instance), self.world.now)

    def _record_arrival(self, engine, instance):
        now = self.world.now
        first_notices = engine.first_notices.get(id(instance), now)
        must_comply = (
            now - first_notices >= NOTICE_SECONDS
            and self._is_in_contact(instance)
        )
        engine.arrivals.append((now, must_comply))


def simulate(seed, seconds=60.0, fault_rate=0.0, instances=7, rate=25.0):
    """Runs the simulation of a seed and returns it.

    Args:
        seed: Seeds all random draws.
        seconds: For how long requests arrive.
        fault_rate: Faults per second.
        instances: Number of instances.
        rate: Requests per second, over all engines.
    """

    async def body():
        return await Simulation(seed, instances, rate).run(seconds, fault_rate)

    return simulated_loop.run(body())
