"""Requests of many instances for one model on a few copies.

Every instance chooses for itself among the copies, by `decisions.selection`,
and knows what the others sent from the last state: instances report now and
then, and the holder tells the sum of the last reports now and then. A copy
reads one prompt after the other.
"""

import dataclasses
import heapq
import random

from wayslip.decisions import selection


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """A load; the defaults are a busy model of a fleet of 195 instances.

    Attributes:
        instances: Instances that choose.
        copies: Endpoints that hold the model.
        load: Work that comes, as a share of what the copies can read.
        prefill_seconds: Seconds that a prompt takes to be read on average.
        report_seconds: Seconds between an instance's reports.
        state_seconds: Seconds between the holder's states.
        target_seconds: Seconds to the first byte that are aimed at.
        duration_seconds: How long requests come.
        spreads: Whether instances reckon with what others send meanwhile.
    """

    instances: int = 195
    copies: int = 4
    load: float = 0.85
    prefill_seconds: float = 0.055
    report_seconds: float = 0.49
    state_seconds: float = 0.25
    target_seconds: float = 0.8
    duration_seconds: float = 40.0
    spreads: bool = True

    @property
    def rate(self) -> float:
        """Requests a second."""
        return self.load * self.copies / self.prefill_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a replay.

    Attributes:
        requests: How many there were.
        late: Share of them that waited for longer than the target.
        mean: Seconds that one waited on average.
    """

    requests: int
    late: float
    mean: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A prompt at a copy: when it will have been read, and its seconds."""

    ends: float
    seconds: float


class _Instance:
    """What one instance has sent to each copy and not seen read."""

    def __init__(self, copies: int) -> None:
        self._sent: list[list[_Sent]] = [[] for _ in range(copies)]

    def send(self, copy: int, sent: _Sent) -> None:
        self._sent[copy].append(sent)

    def unread(self, now: float) -> list[float]:
        """Returns the seconds of its prompts that wait at each copy."""
        self._sent = [[s for s in sent if s.ends > now] for sent in self._sent]
        return [sum(s.seconds for s in sent) for sent in self._sent]


class _Simulation:
    """The fleet and the copies, from one seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        copies = settings.copies
        self._free_at = [0.0] * copies
        self._fleet = [_Instance(copies) for _ in range(settings.instances)]
        self._reported = [[0.0] * copies for _ in self._fleet]
        self._published = [0.0] * copies
        self.waits: list[float] = []

    def report(self, number: int, now: float) -> None:
        self._reported[number] = self._fleet[number].unread(now)

    def publish_state(self) -> None:
        self._published = [
            sum(seconds) for seconds in zip(*self._reported, strict=True)
        ]

    def send_request(self, now: float) -> None:
        """Plays one request at an instance drawn at random."""
        instance = self._rng.choice(self._fleet)
        copy = self._choose(instance.unread(now))
        seconds = self._settings.prefill_seconds * self._rng.uniform(0.3, 1.7)
        ends = max(self._free_at[copy], now) + seconds
        self._free_at[copy] = ends
        instance.send(copy, _Sent(ends, seconds))
        self.waits.append(ends - now)

    def _choose(self, own: list[float]) -> int:
        settings = self._settings
        candidates = [
            selection.Candidate(
                str(copy),
                slots=64,
                unread=own_seconds + max(published - own_seconds, 0.0),
                reading=settings.prefill_seconds,
            )
            for copy, (own_seconds, published) in enumerate(
                zip(own, self._published, strict=True)
            )
        ]
        unseen = 0.0
        if settings.spreads:
            age = settings.report_seconds + settings.state_seconds
            unseen = settings.rate * settings.prefill_seconds * age
        choice = selection.choose(candidates, self._rng.random(), unseen)
        assert choice is not None
        return int(choice.name)


def replay(settings: Settings, seed: int) -> Result:
    """Returns what comes of a load with one seed."""
    rng = random.Random(seed)
    simulation = _Simulation(settings, seed)
    events: list[tuple[float, int, int]] = [(settings.state_seconds, -1, 0)]
    for number in range(settings.instances):
        events.append((rng.uniform(0.0, settings.report_seconds), 0, number))
    events.append((rng.expovariate(settings.rate), 1, 0))
    heapq.heapify(events)
    while events[0][0] < settings.duration_seconds:
        now, kind, number = heapq.heappop(events)
        if kind < 0:
            simulation.publish_state()
            interval = settings.state_seconds
        elif kind == 0:
            simulation.report(number, now)
            interval = settings.report_seconds
        else:
            simulation.send_request(now)
            interval = rng.expovariate(settings.rate)
        heapq.heappush(events, (now + interval, kind, number))
    count = len(simulation.waits)
    late = sum(wait > settings.target_seconds for wait in simulation.waits)
    return Result(count, late / count, sum(simulation.waits) / count)
