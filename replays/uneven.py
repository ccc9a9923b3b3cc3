"""Simulates requests to engines of unequal speed that share their hosts.

A third of the engines takes 1.7 times the usual time and the others 0.7 of it;
in spells, each takes 2.5 times as long as else. Every engine states its time
factor, which the choosing instance hears late, as it does the load. A request
waits for a slot, is read, and then holds its slot until its stream ends.
"""

import dataclasses
import heapq
import random

from wayslip.decisions import fleet
from wayslip.decisions import selection
from wayslip.decisions import speed

_SPELL_FACTOR = 2.5
_SPELL_SHARE = 1 / 6


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """A load; the defaults are a busy model on a few engines.

    Attributes:
        engines: Engines that hold the model.
        slots: Requests that each processes concurrently.
        load: Offered load as a share of the engines' capacity.
        read_seconds: Mean time to read a prompt at a usual engine; 0 for a
            plain service, whose requests have none.
        hold_seconds: Mean time in a slot at a usual engine.
        target_seconds: Target for the wait, which ends with the reading.
        min_age: Least age of what an instance knows of an engine, seconds.
        max_age: Highest age of it, seconds.
        heeds_speed: Whether the choice uses the stated factors.
    """

    engines: int = 6
    slots: int = 12
    load: float = 0.75
    read_seconds: float = 0.02
    hold_seconds: float = 1.4
    target_seconds: float = 0.4
    min_age: float = 0.1
    max_age: float = 0.5
    duration_seconds: float = 120.0
    heeds_speed: bool = True

    @property
    def rate(self) -> float:
        """Requests per second of all instances together."""
        factors = [_find_own(number) for number in range(self.engines)]
        spells = 1 + _SPELL_SHARE * (_SPELL_FACTOR - 1)
        capacity = sum(self.slots / self.hold_seconds / f for f in factors)
        return self.load * capacity / spells

    @property
    def unseen(self) -> float:
        """Work that all instances send before it is reported, seconds."""
        work = self.read_seconds
        if not work and self.heeds_speed:
            work = self.hold_seconds / self.slots
        return self.rate * work * self.max_age


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a replay.

    Attributes:
        requests: Number of requests.
        late: Share of requests that waited longer than the target.
        shares: Share of the requests that each engine got.
    """

    requests: int
    late: float
    shares: tuple[float, ...]


def _find_own(number: int) -> float:
    return 1.7 if number % 3 == 2 else 0.7


class _Engine:
    """One engine: its spells, its slots and the requests that it got."""

    def __init__(self, number: int, settings: Settings, seed: int) -> None:
        self._own = _find_own(number)
        self.start = fleet.Incarnation(f"e{number}", 1)
        self._free_at = [0.0] * settings.slots
        self._read_until = 0.0
        # Each request as the times of its send and of its end.
        self._sent: list[tuple[float, float]] = []
        self.count = 0
        rng = random.Random(f"{seed}-{number}")
        self._spells: list[tuple[float, float]] = []
        at = 0.0
        gap = speed.SPELL_SECONDS * (1 / _SPELL_SHARE - 1)
        while at < settings.duration_seconds * 2:
            at += rng.expovariate(1 / gap)
            ends = at + rng.expovariate(1 / speed.SPELL_SECONDS)
            self._spells.append((at, ends))
            at = ends

    def factor(self, now: float) -> float:
        is_spell = any(begins <= now < ends for begins, ends in self._spells)
        return self._own * (_SPELL_FACTOR if is_spell else 1.0)

    def take(self, now: float, read: float, hold: float) -> float:
        """Takes a request; returns how long it waits for its first token."""
        self._spells = [s for s in self._spells if s[1] > now - 2.0]
        begins = max(heapq.heappop(self._free_at), self._read_until, now)
        first = begins + read * self.factor(begins)
        self._read_until = first
        ends = first + hold * self.factor(first)
        heapq.heappush(self._free_at, ends)
        self._sent.append((now, ends))
        self.count += 1
        return first - now

    def in_flight(self, at: float) -> int:
        self._sent = [s for s in self._sent if s[1] > at - 1.0]
        return sum(1 for sent, ends in self._sent if sent <= at < ends)


def replay(settings: Settings, seed: int) -> Result:
    """Replays a load and returns its result."""
    rng = random.Random(seed)
    engines = [_Engine(n, settings, seed) for n in range(settings.engines)]
    speeds = speed.Speeds()
    stated_until = 0.0
    waits = []
    now = 0.0
    while now < settings.duration_seconds:
        now += rng.expovariate(settings.rate)
        known_at = now - rng.uniform(settings.min_age, settings.max_age)
        # The last statement is between the least and the highest age old.
        while stated_until < now - settings.min_age:
            for engine in engines:
                factor = engine.factor(stated_until)
                speeds.note(engine.start, factor, stated_until)
            stated_until += settings.max_age - settings.min_age
        candidates = [
            _make_candidate(e, settings, speeds, known_at, now) for e in engines
        ]
        choice = selection.choose(candidates, rng.random(), settings.unseen)
        assert choice is not None
        engine = next(e for e in engines if e.start.endpoint == choice.name)
        read = settings.read_seconds * rng.uniform(0.3, 1.7)
        hold = settings.hold_seconds * rng.uniform(0.3, 1.7)
        waits.append(engine.take(now, read, hold))
    late = sum(wait > settings.target_seconds for wait in waits)
    return Result(
        len(waits),
        late / len(waits),
        tuple(e.count / len(waits) for e in engines),
    )


def _make_candidate(
    engine: _Engine,
    settings: Settings,
    speeds: speed.Speeds,
    known_at: float,
    now: float,
) -> selection.Candidate:
    plain = selection.Candidate(
        engine.start.endpoint,
        in_flight=engine.in_flight(known_at),
        slots=settings.slots,
        reading=settings.read_seconds,
    )
    if not settings.heeds_speed:
        return plain
    return dataclasses.replace(
        plain,
        slowness=speeds.find_factor(engine.start, now),
        queue_cost=settings.hold_seconds / settings.slots,
    )
