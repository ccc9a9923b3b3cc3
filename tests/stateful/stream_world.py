"""Simulates instances that tell and ask each other who began a stream.

The registries are real; the network, the members that each instance knows, and
the clients that take streams up are simulated.
"""

import asyncio
import dataclasses
import random

from tests.stateful import simulated_loop
from wayslip import clock
from wayslip import metrics
from wayslip.decisions import fanout
from wayslip.gateway.sharing import datagrams
from wayslip.gateway.sharing import stream_registry

VERSIONS = ("v1", "v2", "v3")
# Without faults of its own for this long, an instance counts as in contact.
CONTACT_SECONDS = 3.0
# For how long a killed instance is still known to the others.
_MEMBERSHIP_LAG_SECONDS = 2.0
_HALLS = 3


@dataclasses.dataclass
class Tally:
    """Outcomes of streams that were taken up.

    Attributes:
        wrong: Those for which another version was named.
        known, unknown: Those that were taken up at instances in contact.
        held_back: Streams whose first event was not forwarded.
    """

    wrong: list = dataclasses.field(default_factory=list)
    known: int = 0
    unknown: int = 0
    held_back: int = 0


class Instance:
    """One instance with its registry."""

    def __init__(self, world, number):
        self.world = world
        self.address = f"10.0.0.{number}:9"
        self.peer = fanout.Peer(self.address, f"hall-{number % _HALLS}")
        self.alive = True
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.harmed_at = -CONTACT_SECONDS
        self.start()

    def start(self):
        """Starts a process, which knows nothing."""
        self.registry = stream_registry.StreamRegistry(
            self.address, self, self, metrics.Metrics()
        )
        self.alive = True

    @property
    def is_in_contact(self):
        return self.alive and clock.now() - self.harmed_at > CONTACT_SECONDS

    def harm(self):
        self.harmed_at = clock.now()

    def kill(self):
        self.registry.close()
        self.alive = False
        self.harm()

    # As hub and as peer broadcast

    def list_peers(self):
        return self.world.list_known()

    def send(self, message, address):
        self.world.deliver(self, message, f"{address[0]}:{address[1]}")

    def broadcast(self, message, peers):
        for peer in peers:
            self.world.deliver(self, message, peer.address)

    def receive(self, message, source):
        name = type(message).__name__
        address, _, port = source.rpartition(":")
        registry = self.registry
        if name == "StreamOrigin":
            registry.keep(message, (address, int(port)))
        elif name == "StreamOriginKept":
            registry.apply_acknowledgement(message, (address, int(port)))
        elif name == "StreamQuestion":
            registry.answer(message)
        else:
            registry.apply_answer(message)


class World:
    """Instances, their network and the clients' streams."""

    def __init__(self, seed, size, loss):
        self.rng = random.Random(seed)
        self.loss = loss
        self.instances = [Instance(self, n) for n in range(1, size + 1)]
        self.tally = Tally()

    def list_known(self):
        limit = clock.now() - _MEMBERSHIP_LAG_SECONDS
        return [
            i.peer for i in self.instances if i.alive or i.harmed_at > limit
        ]

    def deliver(self, sender, message, address):
        data = datagrams.encode(message)
        recipient = next(i for i in self.instances if i.address == address)
        now = clock.now()
        is_cut = max(sender.cut_until, recipient.cut_until) > now
        if is_cut or self.rng.random() < self.loss or not sender.alive:
            return
        wait = max(sender.frozen_until, recipient.frozen_until, now) - now
        asyncio.get_running_loop().call_later(
            wait + self.rng.uniform(0.001, 0.004),
            self._arrive,
            recipient,
            datagrams.decode(data),
            sender.address,
        )

    def _arrive(self, recipient, message, source):
        if recipient.alive:
            recipient.receive(message, source)

    def choose(self):
        """Returns an instance that runs."""
        now = clock.now()
        running = [
            i for i in self.instances if i.alive and i.frozen_until <= now
        ]
        return self.rng.choice(running) if running else None

    async def play_stream(self, number):
        """Plays a stream from its beginning until it is taken up."""
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, 20.0))
        began_at = self.choose()
        if began_at is None:
            return
        stream, registry = f"s{number}", began_at.registry
        version = await self._begin(registry, stream)
        if not began_at.alive or began_at.registry is not registry:
            # Killed before the first event.
            return
        if version is None:
            self.tally.held_back += 1
            return
        await asyncio.sleep(rng.uniform(0, 0.5))
        registry.note_ended(stream)
        for _ in range(rng.randint(1, 3)):
            await asyncio.sleep(rng.uniform(0.02, 4.0))
            await self._take_up(stream, version)

    async def _begin(self, registry, stream):
        """Returns the version of the first event, None if it was held back."""
        rng = self.rng
        version = rng.choice(VERSIONS)
        registry.note_sent(stream, "models", version)
        while rng.random() < 0.25:
            # It fails before its first event.
            await asyncio.sleep(rng.uniform(0, 0.3))
            version = rng.choice(VERSIONS)
            registry.note_sent(stream, "models", version)
        await asyncio.sleep(rng.uniform(0.02, 0.5))
        if not await registry.confirm(stream):
            return None
        return version

    async def _take_up(self, stream, version):
        at = self.choose()
        if at is None:
            return
        registry, in_contact = at.registry, at.is_in_contact
        origin = (await registry.find(stream)).origin
        if not at.alive or at.registry is not registry:
            return
        if origin is not None and origin.version != version:
            self.tally.wrong.append((stream, version, origin))
        if in_contact and at.is_in_contact:
            self.tally.known += origin is not None
            self.tally.unknown += origin is None
        if origin is not None:
            registry.note_sent(stream, origin.service, origin.version)
            registry.note_ended(stream)

    async def play_faults(self, seconds):
        """Kills, freezes and cuts instances, with overlaps."""
        end = clock.now() + seconds
        while clock.now() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            victim = self.rng.choice(self.instances)
            fault = self.rng.choice(("kill", "freeze", "cut"))
            until = clock.now() + self.rng.uniform(0.2, 2.5)
            victim.harm()
            if fault == "kill" and victim.alive:
                victim.kill()
                asyncio.get_running_loop().call_at(until, self._heal, victim)
            elif fault == "freeze":
                victim.frozen_until = until
            else:
                victim.cut_until = until

    def _heal(self, victim):
        victim.start()
        victim.harm()


def play(seed, size=9, streams=150, loss=0.02, faults=True):
    """Plays one world; returns its tally."""

    async def run():
        world = World(seed, size, loss)
        work = [world.play_stream(n) for n in range(streams)]
        if faults:
            work.append(world.play_faults(20.0))
        await asyncio.gather(*work)
        for instance in world.instances:
            instance.registry.close()
        await asyncio.sleep(0)
        return world.tally

    return simulated_loop.run(run())
