"""Simulates requests of many instances for one model with few copies.

Each instance chooses among the copies by itself, using `decisions.selection`.
It knows the requests of the other instances only from the last state update:
instances report at one interval, and the lease holder announces the sum of the
last reports at another. A copy prefills one prompt at a time.
"""

import dataclasses
import heapq
import random

from wayslip.decisions import selection


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """A load; the defaults are a busy model in a fleet of 195 instances.

    Attributes:
        instances: Instances that send requests.
        copies: Endpoints that hold the model.
        load: Offered load as a share of the copies' prefill capacity.
        prefill_seconds: Mean prefill time of a prompt.
        report_seconds: Interval between an instance's reports.
        state_seconds: Interval between the lease holder's state updates.
        target_seconds: Target for the wait, which ends with the prefill.
        duration_seconds: Time during which requests arrive.
        spreads: Whether instances allow for requests that the others have
            sent since the last state update.
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
        """Requests per second of all instances together."""
        return self.load * self.copies / self.prefill_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a replay.

    Attributes:
        requests: Number of requests.
        late: Share of requests that waited longer than the target.
        mean: Mean wait, seconds.
    """

    requests: int
    late: float
    mean: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A prompt at a copy: the end and the duration of its prefill."""

    ends: float
    seconds: float


class _Instance:
    """Tracks the prompts of one instance that the copies have not prefilled."""

    def __init__(self, copies: int) -> None:
        self._sent: list[list[_Sent]] = [[] for _ in range(copies)]

    def send(self, copy: int, sent: _Sent) -> None:
        self._sent[copy].append(sent)

    def unread(self, now: float) -> list[float]:
        """Returns the prefill seconds of its pending prompts at each copy."""
        self._sent = [[s for s in sent if s.ends > now] for sent in self._sent]
        return [sum(s.seconds for s in sent) for sent in self._sent]


class _Simulation:
    """The instances and copies; all randomness comes from the seed."""

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
        """Sends one request from a random instance to the copy it chooses."""
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
    """Returns the result of a load with one seed."""
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
