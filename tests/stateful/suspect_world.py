"""Requests that end engines, at real gateways over a fake network.

What gateways know of such requests is their own; the engines that end are
played here, with whatever was on its way to them.
"""

import asyncio
import dataclasses

from tests.stateful import order_troubles
from tests.stateful import order_world
from tests.stateful import simulated_loop
from wayslip import errors
from wayslip.decisions import fleet

DEADLY = (b"deadly-1", b"deadly-2")
COMMON = b"common"
# An instance is in touch once nothing has troubled it for so long, seconds.
CONTACT = 3.0
TROUBLES = (
    order_troubles.kill_holder,
    order_troubles.kill_many,
    order_troubles.isolate_holder,
    order_troubles.cut_holder_off,
    order_troubles.stop_store,
    order_troubles.lose_writes,
    order_troubles.delay_datagrams,
)
_TICK = 0.05


@dataclasses.dataclass
class Sent:
    """A request on its way to an engine."""

    content: bytes
    instance: object
    depth: int


class Engine:
    """One engine; each start of it is an endpoint of its own."""

    def __init__(self, number):
        self.number = number
        self.starts = 1
        self.is_alive = True
        self.sent = []

    @property
    def endpoint(self):
        name = f"x{self.number}-{self.starts}"
        return fleet.Endpoint(name, "models", "10.0.9.9:1", "h")

    def start_again(self):
        self.starts += 1
        self.is_alive = True


async def _refuse(address):
    raise errors.NobodyListensError("nobody listens", "start it")


@dataclasses.dataclass
class Record:
    """What happened to one content: ends, and sends by those in touch.

    Each attempt at it that was on its way to an engine that ended counts.
    """

    ends: list = dataclasses.field(default_factory=list)
    sends: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)

    def list_sends(self, seconds):
        """Returns the sends later than so long after the third end."""
        if len(self.ends) < 3:
            return []
        return [at for at in self.sends if at > self.ends[2] + seconds]


class Play:
    """One seed's requests and troubles."""

    def __init__(self, seed, engines=5, instances=5):
        self.world = order_world.World(
            seed, engines=2, instances=instances, rate=1.0
        )
        self.rng = self.world.rng
        self.engines = [Engine(n) for n in range(engines)]
        self.records = {}
        # When engines ended.
        self.ends = []
        self._troubled = {}
        self._number = 0

    async def run(self, seconds, troubles):
        world = self.world
        world.keep(asyncio.create_task(self._watch()))
        await asyncio.sleep(4.0)
        if troubles:
            world.keep(asyncio.create_task(self._strike(troubles)))
        end = world.now + seconds
        while world.now < end:
            await asyncio.sleep(self.rng.expovariate(20.0))
            self._ask()
        await asyncio.sleep(2.0)
        world.stop()
        await asyncio.sleep(0)
        return self

    async def _strike(self, rate):
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.rng.choice(TROUBLES)(self.world)

    async def _watch(self):
        """Notes who is troubled, so that it is not in touch."""
        known = {}
        while True:
            faults = self.world.faults
            away = faults.isolated | faults.cut_off
            for instance in self.world.instances.values():
                name = instance.options.name
                is_new = known.get(name) is not instance
                known[name] = instance
                if (
                    is_new
                    or name in away
                    or faults.is_store_down
                    or faults.write_lost
                    or faults.datagram_slow
                ):
                    self._troubled[name] = self.world.now
            await asyncio.sleep(_TICK)

    def _is_in_touch(self, instance):
        troubled = self._troubled.get(instance.options.name, self.world.now)
        return self.world.now - troubled > CONTACT

    def _draw_content(self):
        draw = self.rng.random()
        if draw < 0.04:
            return self.rng.choice(DEADLY)
        if draw < 0.2:
            return COMMON
        self._number += 1
        return b"%d" % self._number

    def _ask(self):
        instances = list(self.world.instances.values())
        engines = [e for e in self.engines if e.is_alive]
        if not instances or not engines:
            return
        instance = self.rng.choice(instances)
        content = self._draw_content()
        record = self.records.setdefault(content, Record())
        quarantine = instance.gateway._quarantine
        if quarantine.is_blocked(content) and not quarantine.begin_probe(
            content
        ):
            record.refused.append(self.world.now)
            return
        if self._is_in_touch(instance):
            record.sends.append(self.world.now)
        engine = self.rng.choice(engines)
        sent = Sent(content, instance, quarantine.find_depth(content))
        engine.sent.append(sent)
        wait = self.rng.uniform(0.02, 1.2)
        self.world.later(wait, self._finish, engine, engine.starts, sent)

    def _finish(self, engine, start, sent):
        if not engine.is_alive or engine.starts != start:
            return
        if sent.content not in DEADLY:
            engine.sent.remove(sent)
            self._answer(sent)
            return
        engine.is_alive = False
        self.ends.append(self.world.now)
        broken, engine.sent = engine.sent, []
        for one in broken:
            if one.content in DEADLY:
                self.records[one.content].ends.append(self.world.now)
            if one.instance in self.world.instances.values():
                one.instance.gateway._quarantine.note_broken_attempt(
                    engine.endpoint, one.content, one.depth, _refuse
                )
        self.world.later(self.rng.uniform(0.3, 3.0), engine.start_again)

    def _answer(self, sent):
        quarantine = sent.instance.gateway._quarantine
        if sent.instance in self.world.instances.values():
            quarantine.note_answer(sent.content)


def play(seed, seconds=60.0, troubles=0.0):
    """Plays a seed; returns what was played.

    Args:
        seed: Of all that is drawn.
        seconds: How long requests come.
        troubles: A second.
    """

    async def body():
        return await Play(seed).run(seconds, troubles)

    return simulated_loop.run(body())
