"""Simulates requests that crash engines, with real gateways.

The gateways detect such requests with their own code. The network, the engines
and the requests in flight are simulated.
"""

import asyncio
import dataclasses

from tests.stateful import order_troubles
from tests.stateful import order_world
from tests.stateful import simulated_loop
from wayslip import errors
from wayslip.decisions import contents
from wayslip.decisions import fleet

POISON = (b"deadly-1", b"deadly-2")
# A part of prompts that crashes engines, and parts that don't: one is in all
# requests, the others in one of some requests each.
POISON_PART = b"deadly part"
FIRST_PART = b"first part"
OTHER_PARTS = tuple(b"part-%d" % n for n in range(30))
ANSWERED = b"common"
# An instance is in contact once it has been free of faults for this time.
CONTACT_SECONDS = 3.0
FAULTS = (
    order_troubles.kill_holder,
    order_troubles.kill_many,
    order_troubles.isolate_holder,
    order_troubles.disconnect_holder,
    order_troubles.stop_store,
    order_troubles.lose_writes,
    order_troubles.delay_datagrams,
)
_TICK_SECONDS = 0.05


@dataclasses.dataclass
class Sent:
    """A request in flight to an engine."""

    identity: contents.Identity
    instance: object
    depth: int

    @property
    def content(self):
        return self.identity.content

    @property
    def is_deadly(self):
        return self.content in POISON or POISON_PART in self.identity.parts


class Engine:
    """One engine; each incarnation of it is a separate endpoint."""

    def __init__(self, number):
        self.number = number
        self.incarnation = 1
        self.is_alive = True
        self.sent = []

    @property
    def endpoint(self):
        name = f"x{self.number}-{self.incarnation}"
        return fleet.Endpoint(name, "models", "10.0.9.9:1", "h")

    def restart(self):
        self.incarnation += 1
        self.is_alive = True


async def _refuse(address):
    raise errors.NobodyListensError("connection refused", "start the endpoint")


@dataclasses.dataclass
class ContentRecord:
    """Crashes under one content, and its sends by instances in contact.

    Each attempt in flight to an engine as it crashed counts as one crash.
    """

    crashes: list = dataclasses.field(default_factory=list)
    sends: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)

    def list_sends(self, seconds, crashes=3):
        """Returns the sends more than `seconds` after some crashes."""
        if len(self.crashes) < crashes:
            return []
        known_at = self.crashes[crashes - 1] + seconds
        return [at for at in self.sends if at > known_at]


class Simulation:
    """The requests and faults drawn from one seed."""

    def __init__(self, seed, engines=5, instances=5, has_parts=False):
        self.world = order_world.World(
            seed, engines=2, instances=instances, rate=1.0
        )
        self.rng = self.world.rng
        self.engines = [Engine(n) for n in range(engines)]
        self.has_parts = has_parts
        self.records = {}
        # Times of engine crashes.
        self.crashes = []
        self._disturbed_at = {}
        self._number = 0

    async def run(self, seconds, fault_rate):
        world = self.world
        world.track_task(asyncio.create_task(self._watch()))
        await asyncio.sleep(4.0)
        if fault_rate:
            world.track_task(
                asyncio.create_task(self._inject_faults(fault_rate))
            )
        end = world.now + seconds
        while world.now < end:
            await asyncio.sleep(self.rng.expovariate(20.0))
            self._send_request()
        await asyncio.sleep(2.0)
        world.stop()
        await asyncio.sleep(0)
        return self

    async def run_start(self, silent_seconds, interval):
        """Repeats one poison request from the moment all instances start.

        Args:
            silent_seconds: For how long the store is down at first, so that no
                instance learns of another one.
            interval: Seconds between two sends.
        """
        self.world.faults.is_store_down = True
        self.world.call_later(
            silent_seconds, setattr, self.world.faults, "is_store_down", False
        )
        end = self.world.now + silent_seconds + 6.0
        while self.world.now < end:
            self._send_request(POISON[0], self.rng.uniform(0.002, 0.02))
            await asyncio.sleep(interval)
        self.world.stop()
        await asyncio.sleep(0)
        return self

    async def _inject_faults(self, rate):
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.rng.choice(FAULTS)(self.world)

    async def _watch(self):
        """Records disturbed instances, which are not in contact."""
        known = {}
        while True:
            faults = self.world.faults
            unreachable = faults.isolated | faults.disconnected
            for instance in self.world.instances.values():
                name = instance.options.name
                is_new = known.get(name) is not instance
                known[name] = instance
                if (
                    is_new
                    or name in unreachable
                    or faults.is_store_down
                    or faults.write_lost
                    or faults.datagram_slow
                ):
                    self._disturbed_at[name] = self.world.now
            await asyncio.sleep(_TICK_SECONDS)

    def _is_in_contact(self, instance):
        disturbed_at = self._disturbed_at.get(
            instance.options.name, self.world.now
        )
        return self.world.now - disturbed_at > CONTACT_SECONDS

    def _draw_content(self):
        draw = self.rng.random()
        if draw < 0.04:
            return self.rng.choice(POISON)
        if draw < 0.2:
            return ANSWERED
        self._number += 1
        return b"%d" % self._number

    def _draw_identity(self):
        """Returns a content, or one that has parts in common with others."""
        if not self.has_parts:
            return contents.Identity(self._draw_content())
        self._number += 1
        parts = [FIRST_PART, self.rng.choice(OTHER_PARTS)]
        if self.rng.random() < 0.08:
            parts.append(POISON_PART)
        return contents.Identity(b"%d" % self._number, tuple(parts))

    def _find_record(self, identity):
        name = identity.content
        if POISON_PART in identity.parts:
            name = POISON_PART
        elif identity.parts:
            name = FIRST_PART
        return self.records.setdefault(name, ContentRecord())

    def _send_request(self, content=None, wait=None):
        instances = list(self.world.instances.values())
        engines = [e for e in self.engines if e.is_alive]
        if not instances or not engines:
            return
        instance = self.rng.choice(instances)
        identity = (
            contents.Identity(content) if content else self._draw_identity()
        )
        record = self._find_record(identity)
        quarantine = instance.gateway._quarantine
        blocked = quarantine.find_block(identity)
        if blocked and not quarantine.begin_probe(blocked):
            record.refused.append(self.world.now)
            return
        if self._is_in_contact(instance):
            record.sends.append(self.world.now)
        engine = self.rng.choice(engines)
        depth = quarantine.find_depth(identity.content)
        sent = Sent(identity, instance, depth)
        engine.sent.append(sent)
        wait = wait or self.rng.uniform(0.02, 1.2)
        self.world.call_later(
            wait, self._finish, engine, engine.incarnation, sent
        )

    def _finish(self, engine, expected_incarnation, sent):
        if not engine.is_alive or engine.incarnation != expected_incarnation:
            return
        if not sent.is_deadly:
            engine.sent.remove(sent)
            self._answer(sent)
            return
        engine.is_alive = False
        self.crashes.append(self.world.now)
        broken, engine.sent = engine.sent, []
        for one in broken:
            if one.is_deadly:
                self._find_record(one.identity).crashes.append(self.world.now)
            if one.instance in self.world.instances.values():
                one.instance.gateway._quarantine.note_broken_attempt(
                    engine.endpoint, one.identity, one.depth, _refuse
                )
        self.world.call_later(self.rng.uniform(0.3, 3.0), engine.restart)

    def _answer(self, sent):
        quarantine = sent.instance.gateway._quarantine
        if sent.instance in self.world.instances.values():
            quarantine.note_answer(sent.identity)


def simulate(seed, seconds=60.0, fault_rate=0.0, has_parts=False):
    """Runs the simulation of a seed and returns it.

    Args:
        seed: Seeds all random draws.
        seconds: For how long requests arrive.
        fault_rate: Faults per second.
        has_parts: Whether a part of prompts crashes engines instead of whole
            contents.
    """

    async def body():
        simulation = Simulation(seed, has_parts=has_parts)
        return await simulation.run(seconds, fault_rate)

    return simulated_loop.run(body())


def simulate_start(seed, instances, silent_seconds, interval):
    """Runs `Simulation.run_start` of a seed and returns the simulation."""

    async def body():
        # Each send finds an engine that runs, however many have crashed.
        simulation = Simulation(seed, engines=20, instances=instances)
        return await simulation.run_start(silent_seconds, interval)

    return simulated_loop.run(body())
