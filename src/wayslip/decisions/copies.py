"""Value of model copies on the engines of a pool.

The value of a copy is the number of requests that would not be served without
it. Rates are requests per second, work is seconds of prompt reading per
second, sizes are megabytes and times are seconds.
"""

from collections.abc import Mapping
import dataclasses

from wayslip.decisions import load_timing
from wayslip.decisions import manifest

# Share of an engine's time above which reading prompts delays first tokens.
# Prompts differ sixfold in length and arrive in bursts: at 0.65 of the time, at
# the reading rates of engines, a new prompt waits for most of a second. With
# 195 instances and 79 engines, 0.830 of the attempts were answered at 0.45 and
# 0.820 at 0.65, in one run of 16 s of moving demand each.
MAX_READING_SHARE = 0.45
# Share of a request's value that is saved where an engine is not busier than
# that: a late answer is worth half of a timely one in one deployment and a
# tenth in another.
LATE_WORK_VALUE = 0.3
# The same for work that engines can not do at all, because prompts arrive
# faster than they are read: queues grow, and requests are refused or time out.
LOST_WORK_VALUE = 0.9
# Value of the only copy of a model without demand, requests per second: a
# request may arrive for it, and a load takes seconds.
IDLE_COPY_RATE = 0.03
# A model whose demand is not above this, requests per second, is assumed to
# have no running requests.
IDLE_RATE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The demand for a model.

    Attributes:
        rate: All requests, per second.
        work: Time to read their prompts, seconds per second.
        unserved: Additional gain of loading the model, requests: it grows
            with requests that were refused for lack of the model, so that
            none is refused indefinitely.
        missing_adapter: Requests per second for an adapter that is probably
            not loaded; an engine can not load it while it loads a model.
    """

    rate: float
    work: float = 0.0
    unserved: float = 0.0
    missing_adapter: float = 0.0


_NO_DEMAND = Demand(0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The planner's view of an engine.

    Attributes:
        name: The engine's name.
        models: Models that it holds and that receive requests.
        pending_loads: Models that it is loading, with the seconds until they
            can serve.
        charged_mb: Memory that is or may be in use, adapters included.
        adapters_mb: Memory of the adapters of each model.
        is_free: Whether it can take an order now.
        fresh: Models that were loaded recently and are not evicted yet.
        in_memory: Models that it loads in `warm_s`.
        on_disk: Models that it loads in `disk_s`.
        limit: Requests per second that it accepts from all instances
            together, None for no limit.
        backoff: Seconds for which it asked for no requests.
        slowness: How long its work takes, 1 for the usual.
        unusable: Models that use or may use memory but are no copies to count
            on: they are being unloaded, or their load is overdue.
    """

    name: str
    models: frozenset[str]
    pending_loads: Mapping[str, float]
    charged_mb: float
    adapters_mb: Mapping[str, float]
    is_free: bool
    fresh: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    limit: float | None = None
    backoff: float = 0.0
    slowness: float = 1.0
    unusable: frozenset[str] = frozenset()

    @property
    def is_constrained(self) -> bool:
        """Whether it is rate-limited or backing off."""
        return self.limit is not None or self.backoff > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """The copies of a model.

    Attributes:
        held: Engines that hold it.
        pending_loads: Number of engines that are loading it.
        load_seconds: Seconds until the first of those can serve, at most
            the horizon.
    """

    held: tuple[str, ...] = ()
    pending_loads: int = 0
    load_seconds: float = load_timing.DEFAULT.horizon

    @property
    def ready_seconds(self) -> float:
        """Seconds until an engine can serve the model."""
        return 0.0 if self.held else self.load_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CopyValue:
    """What determines the value of one more copy of a model.

    Attributes:
        ready_seconds: Seconds until an existing or pending copy can serve.
        rate: Requests per second.
        unserved: Additional gain of a first copy, requests.
        late: Work that its engines do late, seconds per second.
        lost: Work that they can not do at all, seconds per second.
        requests: Requests per second of work.
        horizon: Time within which a copy must pay off.
    """

    ready_seconds: float
    rate: float
    unserved: float
    late: float
    lost: float
    requests: float
    horizon: float = load_timing.DEFAULT.horizon

    def gain(self, seconds: float, spare: float) -> float:
        """Returns the requests that a copy gains within the horizon.

        Args:
            seconds: Seconds until the copy can serve.
            spare: Work that its engine has capacity for.
        """
        gain = (
            max(self.ready_seconds - seconds, 0.0) * self.rate + self.unserved
        )
        lost = min(self.lost, spare)
        late = min(self.late, spare - lost)
        saved = (
            lost * LOST_WORK_VALUE + late * LATE_WORK_VALUE
        ) * self.requests
        return gain + saved * max(
            self.horizon - max(seconds, self.ready_seconds), 0.0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """How to make room for a model on an engine, and at what cost.

    Attributes:
        victims: Models to evict.
        loss: Requests that are lost with them over the horizon.
        wait: Seconds until they are unloaded.
        busy_loss: Requests per second that are lost while the engine is busy,
            `blocked` included.
        blocked: Those for adapters that it can not load meanwhile.
    """

    victims: tuple[str, ...]
    loss: float
    wait: float
    busy_loss: float
    blocked: float


class World:
    """Engines and demand, with the values derived from both.

    Derived values are cached, because a plan needs them again for each of many
    models. For 300 engines and 213 models, a plan took 73 ms without the cache
    and 37 ms with it, on a busy machine.

    Attributes:
        engines: Engines by name.
        pool: The pool's limits and models.
        timing: How long loads take, and when they must pay off.
        copies: Copies by model.
        spare: Work that each engine can take before first tokens are late.
        busy_loss: Requests per second that are lost by keeping one more engine
            busy.
    """

    def __init__(
        self,
        engines: Mapping[str, Engine],
        pool: manifest.Pool,
        demand: Mapping[str, Demand],
        timing: load_timing.Timing = load_timing.DEFAULT,
    ) -> None:
        self.engines = engines
        self.pool = pool
        self._demand = demand
        self.timing = timing
        self.copies = _find_copies(engines, pool, timing.horizon)
        self._busy = {e.name: self._sum_work(e) for e in engines.values()}
        self._capacity = {
            e.name: self._find_capacity(e) for e in engines.values()
        }
        self.spare = {
            name: max(MAX_READING_SHARE * self._capacity[name] - busy, 0.0)
            for name, busy in self._busy.items()
        }
        self.busy_loss = self._find_busy_loss()
        self._rooms: dict[float, dict[str, Room]] = {}
        self._free: dict[float, list[Engine]] = {}

    def _find_busy_loss(self) -> float:
        """Returns the cost of keeping one more engine busy with a load."""
        count = len(self.engines)
        served = sum(
            asked.rate
            for model, asked in self._demand.items()
            if model in self.copies and self.copies[model].held
        )
        busy = sum(not engine.is_free for engine in self.engines.values())
        share = busy / max(count - 1, 1)
        timing = self.timing
        mean_rate = served / max(count, 1)
        return (
            timing.load_loss_rate + timing.load_loss_share * mean_rate * share
        )

    def list_requested(self) -> list[str]:
        """Returns the models with a known demand."""
        return list(self._demand)

    def demand(self, model: str) -> Demand:
        """Returns the demand for a model."""
        return self._demand.get(model, _NO_DEMAND)

    def _work_per_copy(self, model: str) -> float:
        """Returns a model's work on each engine that holds it."""
        copies = self.copies.get(model, Copies())
        return self.demand(model).work / max(len(copies.held), 1)

    def _sum_work(self, engine: Engine) -> float:
        return sum(self._work_per_copy(m) for m in engine.models)

    def _find_capacity(self, engine: Engine) -> float:
        """Returns the share of the horizon in which an engine can read prompts.

        An engine that is slower than usual does as much less.

        A limited engine's share is what its limit allows at the mean work of
        a request; it is 0 without demand.
        """
        served = 1.0 - min(engine.backoff / self.timing.horizon, 1.0)
        served /= engine.slowness
        if engine.limit is None:
            return served
        asked = sum(
            self.demand(m).rate / max(len(self.copies[m].held), 1)
            for m in engine.models
            if m in self.copies
        )
        if not asked:
            return 0.0
        work = self._busy[engine.name] / asked
        return min(engine.limit * work, served)

    def _sum_excess(self, model: str) -> tuple[float, float]:
        """Returns a model's work that is done late and that is not done."""
        work = self._work_per_copy(model)
        late = lost = 0.0
        for name in self.copies[model].held:
            busy = self._busy[name]
            capacity = self._capacity[name]
            if busy > MAX_READING_SHARE * capacity:
                late += (
                    work
                    * (min(busy, capacity) - MAX_READING_SHARE * capacity)
                    / busy
                )
                lost += work * max(busy - capacity, 0.0) / busy
        return late, lost

    def _count_requests(self, model: str, work: float) -> float:
        """Returns the requests per second that cause some work."""
        asked = self.demand(model)
        return work / asked.work * asked.rate if asked.work else 0.0

    def find_copy_value(self, model: str) -> CopyValue:
        """Returns the value of one more copy of a model."""
        copies = self.copies[model]
        asked = self.demand(model)
        is_absent = not copies.held and not copies.pending_loads
        # Pending copies will take a share of the excess.
        late, lost = self._sum_excess(model)
        return CopyValue(
            ready_seconds=copies.ready_seconds,
            rate=asked.rate,
            unserved=asked.unserved if is_absent else 0.0,
            late=late / (1 + copies.pending_loads),
            lost=lost / (1 + copies.pending_loads),
            requests=asked.rate / asked.work if asked.work else 0.0,
            horizon=self.timing.horizon,
        )

    def list_free(self, weights_mb: float) -> list[Engine]:
        """Returns free engines that can make room for a model of some size.

        The engine that loses least by evictions comes first. Constrained
        engines are excluded unless all free engines are constrained.
        """
        known = self._free.get(weights_mb)
        if known is None:
            free = [e for e in self.engines.values() if e.is_free]
            able = [e for e in free if not e.is_constrained] or free
            rooms = {e.name: self._make_room(e, weights_mb) for e in able}
            possible = {
                n: room for n, room in rooms.items() if room is not None
            }
            names = sorted(possible, key=lambda name: possible[name].loss)
            known = [self.engines[name] for name in names]
            self._rooms[weights_mb] = possible
            self._free[weights_mb] = known
        return known

    def find_room(self, engine: Engine, weights_mb: float) -> Room:
        """Returns how to make room on an engine that `list_free` returned."""
        return self._rooms[weights_mb][engine.name]

    def _make_room(self, engine: Engine, weights_mb: float) -> Room | None:
        missing = engine.charged_mb + weights_mb - self.pool.weights_mb
        victims, loss = _choose_victims(self, engine, missing)
        if victims is None:
            return None
        is_in_use = any(self.demand(v).rate > IDLE_RATE for v in victims)
        blocked = sum(
            self.demand(m).missing_adapter / max(len(self.copies[m].held), 1)
            for m in engine.models
            if m in self.copies and m not in victims
        )
        return Room(
            victims,
            loss,
            self.timing.unload if is_in_use else 0.0,
            self.busy_loss + blocked,
            blocked,
        )

    def list_losses(self, engine: Engine) -> list[tuple[float, str]]:
        """Returns the loss by evicting each copy on an engine, least first."""
        return sorted(
            (self.loss_of_copy(m, engine.name), m)
            for m in engine.models
            if m not in engine.fresh and m in self.copies
        )

    def loss_of_copy(self, model: str, engine: str) -> float:
        """Returns the requests that are lost with a copy within the horizon."""
        copies = self.copies[model]
        asked = self.demand(model)
        rate = asked.rate
        if len(copies.held) <= 1:
            # A model that was loaded because requests were refused stays
            # until one of them has been retried.
            return (
                rate + IDLE_COPY_RATE
            ) * copies.load_seconds + asked.unserved
        others = sum(self.spare[n] for n in copies.held if n != engine)
        moved = max(self._work_per_copy(model) - others, 0.0)
        late = self._count_requests(model, moved) * LATE_WORK_VALUE
        return (late + 0.02 * rate) * self.timing.horizon


def _find_copies(
    engines: Mapping[str, Engine], pool: manifest.Pool, horizon: float
) -> dict[str, Copies]:
    held: dict[str, list[str]] = {m: [] for m in pool.models}
    pending_loads: dict[str, list[float]] = {m: [] for m in pool.models}
    for engine in engines.values():
        for model in engine.models:
            held.setdefault(model, []).append(engine.name)
        for model, seconds in engine.pending_loads.items():
            pending_loads.setdefault(model, []).append(seconds)
    return {
        m: Copies(
            tuple(names),
            len(pending_loads.get(m, ())),
            min([*pending_loads.get(m, ()), horizon]),
        )
        for m, names in held.items()
    }


def _choose_victims(
    world: World, engine: Engine, missing: float
) -> tuple[tuple[str, ...] | None, float]:
    """Returns the models to evict, cheapest first, and their total loss.

    The models are None if evictions can not free enough memory.
    """
    if missing <= 0:
        return (), 0.0
    victims: list[str] = []
    total = 0.0
    for loss, name in world.list_losses(engine):
        victims.append(name)
        total += loss
        missing -= world.pool.find_memory_mb(name)
        missing -= engine.adapters_mb.get(name, 0.0)
        if missing <= 0:
            return tuple(victims), total
    return None, 0.0
