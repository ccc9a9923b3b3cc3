"""What copies of models are worth on the engines of a pool.

Every copy is worth the requests that would not be served without it. Rates are
requests a second, work seconds of reading a second, sizes megabytes, times
seconds.
"""

from collections.abc import Mapping
import dataclasses

from wayslip.decisions import manifest

# Over how long a load has to pay. Demand moves to other models within half a
# minute.
HORIZON_SECONDS = 12.0
# Share of an engine's time that reading prompts may take before the first
# tokens come late. Prompts differ sixfold in length and come in clumps: at 0.65
# of the time, by the rates that engines have, one that comes waits for most of
# a second. On a fleet of 195 instances and 79 engines 0.830 of the tries were
# answered with 0.45 and 0.820 with 0.65, in 16 s of moving demand, a play each.
MAX_READING_SHARE = 0.45
# Part of the worth of a request that is saved where an engine is not busier
# than that: a late answer earns a half at one user and a tenth at the other.
LATE_WORK_VALUE = 0.3
# The same of what engines can not read at all, because more comes than they
# read: their queue grows, and requests are refused or run out of time.
LOST_WORK_VALUE = 0.9
# What the only copy of a model without demand is worth, requests a second:
# somebody may ask for it, and a load takes seconds.
IDLE_COPY_RATE = 0.03
# What an engine loses by being busy with a load, requests a second, besides
# its adapters: another model may be wanted more a moment later.
LOAD_LOSS_RATE = 0.12
# What it loses more where all other engines are busy too, as a share of the
# requests that an engine gets on average: demand moves to a model that is
# nowhere, and no engine is free to take it in. Without it, loads of six seconds
# for single requests kept all engines busy: worth of a user with 6 engines and
# 26 models 0.424 without and 0.452 with it, +0.028 +- 0.013, paired over 10
# runs of five days.
LOAD_LOSS_SHARE = 0.6
# A loaded model is not taken away for this long, so that the requests it was
# loaded for can come back for it.
MIN_RESIDENT_SECONDS = 4.0
# Unloading waits for a model's runs, seconds; a model without demand has none.
UNLOAD_SECONDS = 1.5
_IDLE_RATE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """How often a model is asked for, requests a second.

    Attributes:
        rate: All requests.
        work: Seconds that an engine takes to read their prompts, a second.
        unserved: What loading it gains besides, requests: it was asked for in
            vain, and nobody may be refused for ever.
        missing_adapter: Those for an adapter that is probably not loaded; an
            engine that loads a model can not load one meanwhile.
    """

    rate: float
    work: float = 0.0
    unserved: float = 0.0
    missing_adapter: float = 0.0


_NO_DEMAND = Demand(0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the planner sees it.

    Attributes:
        models: Models that it holds.
        pending_loads: Models that it loads, with the seconds until they serve.
        charged_mb: Memory that is or may be taken, adapters included.
        adapters_mb: Memory of the adapters of each model.
        is_free: Whether it can take an order now.
        fresh: Models that were loaded just now.
        in_memory: Models it loads in `warm_s`.
        on_disk: Models it loads in `disk_s`.
        limit: Requests a second that it takes from all instances together,
            None for no limit.
        backoff: Seconds for which it wants no requests.
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

    @property
    def is_constrained(self) -> bool:
        """Whether it takes less than it could."""
        return self.limit is not None or self.backoff > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """Where a model is.

    Attributes:
        held: Engines that hold it.
        pending_loads: Engines that load it.
        load_seconds: Seconds until the first of those can serve.
    """

    held: tuple[str, ...] = ()
    pending_loads: int = 0
    load_seconds: float = HORIZON_SECONDS

    @property
    def ready_seconds(self) -> float:
        """Seconds until it can serve somewhere."""
        return 0.0 if self.held else self.load_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CopyValue:
    """What one more copy of a model is wanted for.

    Attributes:
        ready_seconds: Seconds until the model can serve somewhere.
        rate: Requests a second.
        unserved: Requests that a first copy gains besides.
        late: Work that its engines do late, seconds a second.
        lost: Work that they can not do at all.
        requests: How many requests a second of work is.
    """

    ready_seconds: float
    rate: float
    unserved: float
    late: float
    lost: float
    requests: float

    def gain(self, seconds: float, spare: float) -> float:
        """Returns the requests that a copy serves in the horizon.

        Args:
            seconds: When it can serve.
            spare: Work that its engine has time for.
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
            HORIZON_SECONDS - max(seconds, self.ready_seconds), 0.0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What it takes to make room for a model on an engine.

    Attributes:
        victims: Models that make way.
        loss: Requests that are lost with them over the horizon.
        wait: Seconds until they are gone.
        busy_loss: Requests a second that the engine loses while it is busy.
    """

    victims: tuple[str, ...]
    loss: float
    wait: float
    busy_loss: float


class World:
    """Engines and demand with what follows from both.

    What is worked out once is kept: a plan asks for it again for each of many
    models. For 300 engines and 213 models a plan took 73 ms without it and 37
    with it, on a busy machine.
    """

    def __init__(
        self,
        engines: Mapping[str, Engine],
        pool: manifest.Pool,
        demand: Mapping[str, Demand],
    ) -> None:
        self.engines = engines
        self.pool = pool
        self._demand = demand
        self.copies = _find_copies(engines, pool)
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
        """Returns what one more engine loses by a load, requests a second."""
        count = len(self.engines)
        served = sum(
            asked.rate
            for model, asked in self._demand.items()
            if model in self.copies and self.copies[model].held
        )
        busy = sum(not engine.is_free for engine in self.engines.values())
        share = busy / max(count - 1, 1)
        return LOAD_LOSS_RATE + LOAD_LOSS_SHARE * served / max(count, 1) * share

    def demand(self, model: str) -> Demand:
        """Returns the demand for a model."""
        return self._demand.get(model, _NO_DEMAND)

    def _work_per_copy(self, model: str) -> float:
        """Returns the work of a model on each engine that holds it."""
        copies = self.copies.get(model, Copies())
        return self.demand(model).work / max(len(copies.held), 1)

    def _sum_work(self, engine: Engine) -> float:
        return sum(self._work_per_copy(m) for m in engine.models)

    def _find_capacity(self, engine: Engine) -> float:
        """Returns the part of the horizon that an engine serves in."""
        served = 1.0 - min(engine.backoff / HORIZON_SECONDS, 1.0)
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
        """Returns the work that its engines do late, and can not do at all."""
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
        """Returns how many requests a second some work is."""
        asked = self.demand(model)
        return work / asked.work * asked.rate if asked.work else 0.0

    def find_copy_value(self, model: str) -> CopyValue:
        """Returns what one more copy of a model is wanted for."""
        copies = self.copies[model]
        asked = self.demand(model)
        is_absent = not copies.held and not copies.pending_loads
        # Copies on their way will take a part of what is too much now.
        late, lost = self._sum_excess(model)
        return CopyValue(
            ready_seconds=copies.ready_seconds,
            rate=asked.rate,
            unserved=asked.unserved if is_absent else 0.0,
            late=late / (1 + copies.pending_loads),
            lost=lost / (1 + copies.pending_loads),
            requests=asked.rate / asked.work if asked.work else 0.0,
        )

    def list_free(self, weights_mb: float) -> list[Engine]:
        """Returns engines that can take a model of some size.

        They can be ordered now, and the one that loses least by what makes
        way comes first. Engines in need are left alone while others can be
        ordered.
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
        """Returns what makes room on an engine that `list_free` returned."""
        return self._rooms[weights_mb][engine.name]

    def _make_room(self, engine: Engine, weights_mb: float) -> Room | None:
        missing = engine.charged_mb + weights_mb - self.pool.weights_mb
        victims, loss = _choose_victims(self, engine, missing)
        if victims is None:
            return None
        is_in_use = any(self.demand(v).rate > _IDLE_RATE for v in victims)
        blocked = sum(
            self.demand(m).missing_adapter / max(len(self.copies[m].held), 1)
            for m in engine.models
            if m in self.copies and m not in victims
        )
        return Room(
            victims,
            loss,
            UNLOAD_SECONDS if is_in_use else 0.0,
            self.busy_loss + blocked,
        )

    def list_losses(self, engine: Engine) -> list[tuple[float, str]]:
        """Returns what is lost with each copy on an engine, least first."""
        return sorted(
            (self.loss_of_copy(m, engine.name), m)
            for m in engine.models
            if m not in engine.fresh and m in self.copies
        )

    def loss_of_copy(self, model: str, engine: str) -> float:
        """Returns the requests that are lost with a copy in the horizon."""
        copies = self.copies[model]
        asked = self.demand(model)
        rate = asked.rate
        if len(copies.held) <= 1:
            # What was loaded because of requests in vain stays until one of
            # them has come back for it.
            return (
                rate + IDLE_COPY_RATE
            ) * copies.load_seconds + asked.unserved
        others = sum(self.spare[n] for n in copies.held if n != engine)
        moved = max(self._work_per_copy(model) - others, 0.0)
        late = self._count_requests(model, moved) * LATE_WORK_VALUE
        return (late + 0.02 * rate) * HORIZON_SECONDS


def _find_copies(
    engines: Mapping[str, Engine], pool: manifest.Pool
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
            min([*pending_loads.get(m, ()), HORIZON_SECONDS]),
        )
        for m, names in held.items()
    }


def _choose_victims(
    world: World, engine: Engine, missing: float
) -> tuple[tuple[str, ...] | None, float]:
    """Returns the models that make way and the loss, cheapest first."""
    if missing <= 0:
        return (), 0.0
    victims: list[str] = []
    total = 0.0
    for loss, name in world.list_losses(engine):
        victims.append(name)
        total += loss
        missing -= world.pool.weigh(name)
        missing -= engine.adapters_mb.get(name, 0.0)
        if missing <= 0:
            return tuple(victims), total
    return None, 0.0
