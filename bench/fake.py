"""Event-driven simulation of engines for benchmarks of decisions.

Each engine has a running batch, a queue, a bounded prefix cache, and reports
that arrive with a delay. The network is not simulated. The other limits of the
simulation are listed in docs/design/measuring-decisions.md.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from typing import Any


@dataclasses.dataclass(frozen=True)
class Job:
    """A request.

    Attributes:
        prompt: Block hashes of its prompt.
        tokens: Prompt length, tokens.
        output: Length of its output, tokens.
        target: Longest time to the first token that counts as attained,
            seconds.
    """

    id: int
    at: float
    model: str
    priority: str
    prompt: tuple[int, ...]
    tokens: int
    output: int
    target: float

    @property
    def rank(self) -> int:
        """The rank of the request class, as in the default settings."""
        return 0 if self.priority == "dispatch" else 1


BLOCK_TOKENS = 64
CACHE_BLOCKS = 3000
# Tokens per second.
PREFILL_RATE = 8000.0
CHUNK_TOKENS = 512
STEP_SECONDS = 0.025
# Added to the duration of a step for each running request.
STEP_SECONDS_PER_REQUEST = 0.0006
SLOTS = 32
# Reports are taken at this interval and arrive after half of it.
REPORT_LAG_SECONDS = 0.5


@dataclasses.dataclass
class _QueuedJob:
    """A job in an engine's queue, with the prefill tokens that remain."""

    job: Job
    on_end: Any
    tokens_left: int
    has_begun: bool = False


class Engine:
    """An engine: prefills one chunk at a time, lower ranks first."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_dead = False
        self.running = 0
        self.is_prefilling = False
        # Heap of rank, job id and queued job.
        self.queue: list[Any] = []
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.resident: set[str] = set()

    @property
    def waiting_tokens(self) -> int:
        """Prefill tokens of the requests in the queue."""
        return sum(entry.tokens_left for _, _, entry in self.queue)

    def cached(self, job: Job) -> int:
        """Returns how many tokens of a job's prompt are cached."""
        length = 0
        for block in job.prompt:
            if block not in self.cache:
                break
            length += 1
        return length * BLOCK_TOKENS

    def cache_prompt(self, job: Job) -> None:
        """Adds a prompt to the cache; evicts the least recently used blocks."""
        for block in job.prompt:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)


@dataclasses.dataclass
class Result:
    """The result of a run.

    Attributes:
        first: Times to the first token by priority, seconds.
        gaps: Seconds between the tokens of each request.
        attained: Requests with the first token within target, by priority.
        arrived: Requests by priority.
        refused: Requests that admission refused, by priority.
    """

    first: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    gaps: list[float] = dataclasses.field(default_factory=list)
    attained: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    arrived: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    moves: int = 0


class Clock:
    """Runs events in the order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[Any] = []
        self._numbers = itertools.count()

    def add(self, at: float, action: Any) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


class Pool:
    """Engines that serve jobs, and their last reports to the entries."""

    def __init__(self, names: list[str], clock: Clock) -> None:
        self.clock = clock
        self.engines = {n: Engine(n) for n in names}
        self.reports: dict[str, tuple[float, int, int]] = {}
        self.result = Result()
        self._report()

    def _report(self) -> None:
        snapshot = {
            n: (self.clock.now, e.running + len(e.queue), e.waiting_tokens)
            for n, e in self.engines.items()
        }

        def publish() -> None:
            self.reports = snapshot

        self.clock.add(self.clock.now + REPORT_LAG_SECONDS / 2, publish)
        self.clock.add(self.clock.now + REPORT_LAG_SECONDS, self._report)

    def submit(self, engine: Engine, job: Job, on_end: Any) -> None:
        """Adds a job to an engine's queue."""
        uncached = max(job.tokens - engine.cached(job), 1)
        entry = _QueuedJob(job, on_end, uncached)
        heapq.heappush(engine.queue, (job.rank, job.id, entry))
        self._start(engine)

    def _start(self, engine: Engine) -> None:
        if engine.is_dead or engine.is_prefilling or not engine.queue:
            return
        rank, number, entry = engine.queue[0]
        if not entry.has_begun:
            if engine.running >= SLOTS:
                return
            entry.has_begun = True
            entry.tokens_left = max(
                entry.job.tokens - engine.cached(entry.job), 1
            )
            engine.running += 1
        heapq.heappop(engine.queue)
        engine.is_prefilling = True
        chunk = min(entry.tokens_left, CHUNK_TOKENS)
        entry.tokens_left -= chunk
        done = self.clock.now + chunk / PREFILL_RATE
        self.clock.add(done, lambda: self._prefilled(engine, entry))

    def _prefilled(self, engine: Engine, entry: "_QueuedJob") -> None:
        engine.is_prefilling = False
        if entry.tokens_left:
            # Requeued between chunks, so that a request of a lower rank that
            # has arrived meanwhile goes first.
            job = entry.job
            heapq.heappush(engine.queue, (job.rank, job.id, entry))
        else:
            engine.cache_prompt(entry.job)
            self._decode(engine, entry.job, entry.on_end)
        self._start(engine)

    def _decode(self, engine: Engine, job: Job, on_end: Any) -> None:
        now = self.clock.now
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * engine.running
        self._record(job, now + step - job.at, step)
        ends = now + step * job.output
        self.clock.add(ends, lambda: self._end(engine, on_end))

    def _end(self, engine: Engine, on_end: Any) -> None:
        engine.running -= 1
        on_end()
        self._start(engine)

    def _record(self, job: Job, first: float, step: float) -> None:
        result = self.result
        result.first.setdefault(job.priority, []).append(first)
        result.gaps.append(step)
        if first <= job.target:
            result.attained[job.priority] += 1

    def kill(self, name: str) -> list[Any]:
        """Crashes an engine; returns the jobs of its queue."""
        engine = self.engines[name]
        engine.is_dead = True
        lost = [(entry.job, entry.on_end) for _, _, entry in engine.queue]
        engine.queue.clear()
        engine.cache.clear()
        engine.resident.clear()
        return lost


@dataclasses.dataclass(frozen=True)
class Workload:
    """Arrivals of a scenario.

    Attributes:
        rate: Requests per second outside the burst.
        models: Number of models; low numbers have the highest demand.
        seconds: Duration of the arrivals.
        burst: Start of the burst, seconds; no burst if 0. It lasts for a
            quarter of the duration and raises the rate by a factor of 1.6.
        burst_factor: Factor on the demand for a tenth of the models during
            the burst.
        dispatch_share: Share of requests of the dispatch class.
        follow_up_share: Probability that a request continues an earlier
            conversation of its model, if there is one.
        shared_prefixes: Number of system prompts for each model.
    """

    rate: float
    models: int
    seconds: float
    burst: float = 0.0
    burst_factor: float = 10.0
    dispatch_share: float = 0.2
    follow_up_share: float = 0.5
    shared_prefixes: int = 20


def make_jobs(workload: Workload, seed: int) -> list[Job]:
    """Returns the arrivals of a scenario for a seed."""
    rng = random.Random(seed)
    jobs = []
    at = 0.0
    history: collections.deque[Job] = collections.deque(maxlen=200)
    weights = [1 / (n + 1) for n in range(workload.models)]
    hot = rng.sample(range(workload.models), max(workload.models // 10, 1))
    for number in itertools.count():
        is_burst = workload.burst <= at < workload.burst + workload.seconds / 4
        in_burst = workload.burst > 0 and is_burst
        rate = workload.rate * (1.6 if in_burst else 1.0)
        at += rng.expovariate(rate)
        if at >= workload.seconds:
            return jobs
        demand = list(weights)
        if in_burst:
            for n in hot:
                demand[n] *= workload.burst_factor
        model = f"m{rng.choices(range(workload.models), demand)[0]}"
        prompt = _make_prompt(rng, workload, model, history)
        dispatch = rng.random() < workload.dispatch_share
        job = Job(
            number,
            at,
            model,
            "dispatch" if dispatch else "standard",
            prompt,
            len(prompt) * BLOCK_TOKENS,
            int(min(rng.lognormvariate(4.2, 0.6), 400)) + 1,
            0.35 if dispatch else 1.0,
        )
        jobs.append(job)
        history.append(job)
    return jobs


def _make_prompt(
    rng: random.Random,
    workload: Workload,
    model: str,
    history: collections.deque[Job],
) -> tuple[int, ...]:
    fresh = tuple(
        rng.getrandbits(60) for _ in range(1 + int(rng.expovariate(1 / 5)))
    )
    earlier = [j for j in history if j.model == model]
    if earlier and rng.random() < workload.follow_up_share:
        # The next turn of a conversation starts with the previous prompt, of
        # which at most 60 blocks are kept.
        return rng.choice(earlier).prompt[:60] + fresh
    shared = random.Random(f"{model}-{rng.randrange(workload.shared_prefixes)}")
    system = tuple(shared.getrandbits(60) for _ in range(12))
    return system + fresh
