"""Simulates instances that record the versions of a service in the store.

Histories and records are real. The store, the list of endpoints, the lease and
the streams that begin are simulated.
"""

import asyncio
import dataclasses
import random
import types

from tests.stateful import simulated_loop
from wayslip import clock
from wayslip import errors
from wayslip.decisions import version_history
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import version_records

SERVICE = "models"
# How far an instance's list is behind at most, and how old a stale answer is.
_LIST_LAG_SECONDS = 1.0
_STALE_SECONDS = 3.0
_TICK_SECONDS = 0.25
# The shortest time for which a version is listed, longer than the store's
# longest outage: one that no instance can record is not known.
_MIN_LISTED_SECONDS = 8.0
_MAX_OUTAGE_SECONDS = 3.0
# Longer than a version may be listed, so that it comes and goes unseen.
_MAX_CUT_SECONDS = 30.0
# Within this time every instance in contact sees the version of a stream that
# begins; of one that its client does not name, nobody remembers it.
_SEEN_SECONDS = _LIST_LAG_SECONDS + 2 * _TICK_SECONDS
# Without a fault for this long, an instance counts as in contact.
_CONTACT_SECONDS = 1.0


@dataclasses.dataclass
class Tally:
    """Answers to instances that ask for the only version.

    Attributes:
        wrong: Those that name a version while streams that no instance
            remembers had begun at others.
        known, unknown: Answers to instances in contact.
    """

    wrong: list = dataclasses.field(default_factory=list)
    known: int = 0
    unknown: int = 0


class Store:
    """One object with its earlier values."""

    era = 1

    def __init__(self, rng):
        self._rng = rng
        self._values = [(0.0, 0, None)]
        self.down_until = 0.0

    def on_restore(self, listener):
        """Restores are not simulated."""

    async def _call(self):
        await asyncio.sleep(self._rng.uniform(0.002, 0.05))
        if clock.now() < self.down_until:
            raise errors.ObjectUnavailableError("it is down", "wait")

    async def get(self, kind, name, may_be_stale=False):
        await self._call()
        now = clock.now()
        lag = self._rng.uniform(0, _STALE_SECONDS) if may_be_stale else 0.0
        seen = [v for v in self._values if v[0] <= now - lag]
        _, revision, value = (seen or self._values)[-1 if seen else 0]
        if value is None:
            return None
        return store_module.Stored(name, revision, value)

    async def create(self, kind, name, value):
        return await self._write(name, 0, value)

    async def replace(self, kind, stored):
        return await self._write(stored.name, stored.revision, stored.value)

    async def _write(self, name, revision, value):
        await self._call()
        if self._values[-1][1] != revision:
            raise errors.ObjectConflictError("it was changed", "read it")
        self._values.append((clock.now(), revision + 1, value))
        if self._rng.random() < 0.1:
            raise errors.ObjectUnavailableError("the answer was lost", "wait")
        return store_module.Stored(name, revision + 1, value)


class Process:
    """One process of an instance, which begins without knowledge."""

    def __init__(self, world):
        self.world = world
        self.history = version_history.VersionHistory()
        # A process reads the list anew when it starts, and after a cut.
        self.cut_until = clock.now()
        self.lag = world.rng.uniform(0, _LIST_LAG_SECONDS)
        self.listed = frozenset()
        leadership = types.SimpleNamespace(is_held=False, is_first_term=False)
        self.leadership = leadership
        self.records = version_records.VersionRecords(
            world.store, leadership, self.history, lambda usual: usual
        )
        self.tasks = [
            asyncio.create_task(self.records.run()),
            asyncio.create_task(self.follow()),
        ]

    async def follow(self):
        """Follows the list; while cut off it misses what comes and goes."""
        while True:
            now = clock.now()
            if now >= self.cut_until:
                seen_at = max(now - self.lag, self.cut_until)
                self.listed = self.world.find_listed(seen_at)
                self.history.note_listed(SERVICE, self.listed)
            self.history.note_list(now >= self.cut_until, now)
            await asyncio.sleep(_TICK_SECONDS)

    def kill(self):
        for task in self.tasks:
            task.cancel()


class World:
    """Processes, the store, and the versions that are listed."""

    def __init__(self, seed, size, listings):
        self.rng = random.Random(seed)
        self.store = Store(self.rng)
        self.tally = Tally()
        # When the first stream of each version began.
        self._began = {}
        self._killed_at = 0.0
        self._size = size
        self._listed = [(-100.0, frozenset(listings[0]))]
        self._later = listings[1:]
        self._terms = 0
        self.processes = []

    def find_listed(self, at):
        return [v for t, v in self._listed if t <= at][-1]

    def start_all(self):
        self.processes = [Process(self) for _ in range(self._size)]
        self.elect()

    def elect(self):
        """Gives the lease to one of the processes."""
        self._terms += 1
        for process in self.processes:
            process.leadership.is_held = False
        held = self.rng.choice(self.processes).leadership
        held.is_held, held.is_first_term = True, self._terms == 1

    async def change_versions(self):
        """Has versions come and go."""
        for listed in self._later:
            pause = self.rng.uniform(1.0, 2.0) * _MIN_LISTED_SECONDS
            await asyncio.sleep(pause)
            self._listed.append((clock.now(), frozenset(listed)))

    async def disturb(self, end):
        """Kills all, moves the lease, cuts instances off, stops the store."""
        rng = self.rng
        while clock.now() < end:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            fault = rng.choice(("kill", "elect", "cut", "cut", "outage"))
            now = clock.now()
            if fault == "kill":
                self._killed_at = now
                for process in self.processes:
                    process.kill()
                self.processes = []
                await asyncio.sleep(rng.uniform(0.5, 2.0))
                self.start_all()
            elif fault == "elect":
                self.elect()
            elif fault == "cut":
                cut = rng.choice(self.processes)
                cut.cut_until = now + rng.uniform(0.5, _MAX_CUT_SECONDS)
            else:
                duration = rng.uniform(0.5, _MAX_OUTAGE_SECONDS)
                self.store.down_until = now + duration

    async def play_streams(self, end):
        """Has streams begin, and asks for the version of unknown ones."""
        rng = self.rng
        while clock.now() < end:
            await asyncio.sleep(rng.uniform(0.02, 0.2))
            if not self.processes:
                continue
            process = rng.choice(self.processes)
            if process.listed and rng.random() < 0.5:
                version = rng.choice(sorted(process.listed))
                self._began.setdefault(version, clock.now())
                continue
            only = await process.records.find_only(SERVICE)
            if self._is_in_contact(process):
                self.tally.known += only is not None
                self.tally.unknown += only is None
            forgotten = self._list_forgotten()
            if only is not None and forgotten - {only}:
                self.tally.wrong.append((clock.now(), only, forgotten))

    def _is_in_contact(self, process):
        harmed_until = max(process.cut_until, self.store.down_until)
        return (
            process in self.processes
            and clock.now() > harmed_until + _CONTACT_SECONDS
        )

    def _list_forgotten(self):
        """Returns the versions of streams that no instance remembers."""
        limit = max(self._killed_at, clock.now() - _SEEN_SECONDS)
        return {v for v, began in self._began.items() if began < limit}


def play(seed, size, listings, faults=True):
    """Plays one world of 100 s; returns its tally.

    Args:
        seed: Of all draws.
        size: Number of instances.
        listings: Versions that are listed at first and after each change.
        faults: Whether there are any.
    """

    # The records draw their pauses from it.
    random.seed(seed)

    async def run():
        world = World(seed, size, listings)
        world.start_all()
        end = clock.now() + 100.0
        work = [world.change_versions(), world.play_streams(end)]
        if faults:
            work.append(world.disturb(end))
        await asyncio.gather(*work)
        for process in world.processes:
            process.kill()
        await asyncio.sleep(0)
        return world.tally

    return simulated_loop.run(run())
