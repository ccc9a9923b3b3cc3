"""Plans: the steps that a configuration change takes, and their cost.

A plan carries a digest of each entry and engine that it was built against, so
that a confirmation can state exactly what has changed since. The steps are
ordered so that memory suffices at every step: each engine runs its loads in
this order, and an item is evicted only once its replacement is ready. Engines
do not wait for each other otherwise, so any interleaving of their steps fits.
"""

from collections.abc import Mapping
import dataclasses
import enum
import hashlib

from wayslip import refusals
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import configuration
from wayslip.decisions import ledger
from wayslip.decisions import placement


class PlanState(enum.StrEnum):
    """The state of a plan."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Step:
    """One load or eviction on one engine."""

    engine: str
    action: ledger.Action
    item: str
    size: int


@dataclasses.dataclass(frozen=True)
class StateDigest:
    """Digest of an entry or engine that a plan was built against."""

    subject: str
    digest: str


@dataclasses.dataclass(frozen=True)
class Cost:
    """The cost of executing a plan.

    Attributes:
        moved: Bytes loaded from the weight store.
        seconds: Load time at the weight store's rate.
        store_share: Peak share of the weight store's slots in use.
        moves: Number of loads and evictions.
    """

    moved: int
    seconds: float
    store_share: float
    moves: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """A change with its steps, its cost and the state it was built against."""

    id: str
    author: str
    at: float
    state: PlanState
    change: configuration.Change
    steps: tuple[Step, ...]
    cost: Cost
    effects: tuple[str, ...]
    world: tuple[StateDigest, ...]
    generation: int = 0
    ended_by: str = ""


@dataclasses.dataclass(frozen=True)
class World:
    """The state that a plan is built against."""

    config: configuration.Configuration
    engines: Mapping[str, placement.EngineState]


@dataclasses.dataclass(frozen=True)
class WeightStore:
    """Limits of the weight store.

    Attributes:
        rate: Loads per second.
        slots: Concurrent loads.
    """

    rate: float
    slots: int


@dataclasses.dataclass(frozen=True)
class Draft:
    """The id, author and time of a requested plan."""

    id: str
    author: str
    at: float


def build_plan(
    world: World,
    change: configuration.Change,
    store: WeightStore,
    draft: Draft,
    replicas: Mapping[str, int] | None = None,
) -> Plan | refusals.Refusal:
    """Returns the plan of a change, or a refusal.

    Args:
        world: The current configuration and engines.
        change: The change that the operator or automatic placement requests.
        store: Limits of the weight store, for the cost.
        draft: The plan's id, author and time.
        replicas: Desired replicas of models, which override the models' own.
    """
    change = _add_fallbacks(world.config, change)
    change = _drop_unchanged(world.config, change)
    wanted = world.config.apply(change, "", "")
    fault = _find_missing(world.config, change) or catalogs.find_fault(wanted)
    if fault is not None:
        return refusals.Refusal(
            refusals.Reason.BAD_REQUEST, f"{fault}; correct the file"
        )
    catalog = catalogs.build_catalog(wanted)
    counts = {m.name: m.replicas for m in catalog.models.values()}
    counts.update(replicas or {})
    placed = placement.place(catalog, world.engines, counts)
    if isinstance(placed, refusals.Refusal):
        return placed
    steps = _order_steps(world, catalog, placed)
    if isinstance(steps, refusals.Refusal):
        return steps
    change = _add_placements(world.config, change, placed, steps)
    return Plan(
        id=draft.id,
        author=draft.author,
        at=draft.at,
        state=PlanState.PROPOSED,
        change=change,
        steps=steps,
        cost=estimate_cost(steps, store),
        effects=_describe_effects(world.config, change, steps),
        world=digest_world(world, change),
    )


def estimate_cost(steps: tuple[Step, ...], store: WeightStore) -> Cost:
    """Returns the cost of steps at the weight store's limits."""
    loads = [s for s in steps if s.action is ledger.Action.LOAD]
    engines = len({s.engine for s in loads})
    return Cost(
        moved=sum(s.size for s in loads),
        seconds=round(len(loads) / store.rate, 3),
        store_share=round(min(engines / store.slots, 1.0), 3),
        moves=len(steps),
    )


def digest_world(
    world: World, change: configuration.Change
) -> tuple[StateDigest, ...]:
    """Returns digests of the entries and engines that a change touches."""
    digests = []
    for kind, name in sorted(change.ids):
        entry = world.config.get(kind, name)
        seen = repr(entry.value) if entry else "absent"
        digests.append(StateDigest(f"{kind} {name}", _digest(seen)))
    for name in sorted({n for k, n in change.ids if k == "placement"}):
        state = world.engines.get(name)
        held = sorted(state.held) if state else None
        live = state.is_live if state else None
        digests.append(
            StateDigest(f"engine {name}", _digest(repr((held, live))))
        )
    return tuple(digests)


def find_changes(plan: Plan, world: World) -> tuple[str, ...]:
    """Returns the entries and engines that changed since a plan was built."""
    now = {w.subject: w.digest for w in digest_world(world, plan.change)}
    return tuple(
        w.subject for w in plan.world if now.get(w.subject) != w.digest
    )


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _add_fallbacks(
    config: configuration.Configuration, change: configuration.Change
) -> configuration.Change:
    """Sets fallbacks: old versions serve until the new ones are resident."""
    put: list[configuration.Value] = []
    for value in change.put:
        if isinstance(value, configuration.Model):
            entry = config.get(configuration.Kind.MODEL, value.name)
            old = entry.value if entry else None
            if isinstance(old, configuration.Model):
                same = old.version == value.version
                fallback = old.fallback if same else old.version
                value = dataclasses.replace(value, fallback=fallback)
        put.append(value)
    return dataclasses.replace(change, put=tuple(put))


def _drop_unchanged(
    config: configuration.Configuration, change: configuration.Change
) -> configuration.Change:
    """Removes values that are already in force."""
    put = []
    for value in change.put:
        name = configuration.get_name(value)
        entry = config.get(configuration.Kind(value.kind), name)
        if entry is None or entry.value != value:
            put.append(value)
    return dataclasses.replace(change, put=tuple(put))


def _find_missing(
    config: configuration.Configuration, change: configuration.Change
) -> str | None:
    """Returns an error text if a change deletes an entry that is missing."""
    for kind, name in change.delete:
        entry = config.get(kind, name)
        if entry is None or entry.value is None:
            return f"there is no {kind} {name} to delete"
    return None


def _add_placements(
    config: configuration.Configuration,
    change: configuration.Change,
    placed: placement.Placements,
    steps: tuple[Step, ...],
) -> configuration.Change:
    loads = [s for s in steps if s.action is ledger.Action.LOAD]
    values: list[configuration.Value] = []
    for engine, items in sorted(placed.items()):
        order = [s.item for s in loads if s.engine == engine]
        kept = [i for i in items if i not in order]
        value = configuration.Placement(engine, (*kept, *order))
        entry = config.get(configuration.Kind.PLACEMENT, engine)
        if entry is None or entry.value != value:
            values.append(value)
    return dataclasses.replace(change, put=(*change.put, *values))


class _Simulation:
    """Simulates the steps to find an order in which memory suffices."""

    def __init__(
        self,
        world: World,
        catalog: catalogs.Catalog,
        placed: placement.Placements,
    ) -> None:
        self._catalog = catalog
        self._held = {n: dict(e.held) for n, e in world.engines.items()}
        self._capacity = {n: e.capacity for n, e in world.engines.items()}
        self._live = {n for n, e in world.engines.items() if e.is_live}
        self.loads = [
            (e, i)
            for e, items in placed.items()
            for i in items
            if i not in self._held[e] and e in self._live
        ]
        self.unloads = [
            (e, i)
            for e, held in self._held.items()
            for i in held
            if i not in placed.get(e, ()) and e in self._live
        ]
        self.steps: list[Step] = []

    def run(self) -> bool:
        """Runs all possible steps; returns whether none is left."""
        while self._unload_one() or self._load_one():
            pass
        return not self.loads and not self.unloads

    def _holders(self, item: str) -> list[str]:
        return [e for e in self._live if item in self._held[e]]

    def _unload_one(self) -> bool:
        for engine, item in self.unloads:
            successor = self._catalog.successors.get(item)
            needed = item in self._catalog.required or successor is not None
            others = len(self._holders(item)) > 1
            if needed and not others and not self._holders(successor or ""):
                continue
            self.unloads.remove((engine, item))
            size = self._held[engine].pop(item)
            self._add(engine, ledger.Action.UNLOAD, item, size)
            return True
        return False

    def _load_one(self) -> bool:
        # First items without any replica, then those that allow another engine
        # to evict its replica.
        waiting = {item for _, item in self.unloads}
        order = sorted(
            self.loads,
            key=lambda load: (
                bool(self._holders(load[1])),
                load[1] not in waiting,
            ),
        )
        for engine, item in order:
            size = self._catalog.sizes[item]
            used = sum(self._held[engine].values())
            if used + size > self._capacity[engine]:
                continue
            self.loads.remove((engine, item))
            self._held[engine][item] = size
            self._add(engine, ledger.Action.LOAD, item, size)
            return True
        return False

    def _add(
        self, engine: str, action: ledger.Action, item: str, size: int
    ) -> None:
        self.steps.append(Step(engine, action, item, size))


def _order_steps(
    world: World, catalog: catalogs.Catalog, placed: placement.Placements
) -> tuple[Step, ...] | refusals.Refusal:
    simulation = _Simulation(world, catalog, placed)
    if simulation.run():
        return tuple(simulation.steps)
    engine, item = (simulation.loads + simulation.unloads)[0]
    return refusals.Refusal(
        refusals.Reason.NO_MEMORY,
        f"no order of steps fits in memory: {item} on {engine} can not be"
        " moved while its replacement needs room; free memory on another"
        " engine first",
    )


def _describe_effects(
    config: configuration.Configuration,
    change: configuration.Change,
    steps: tuple[Step, ...],
) -> tuple[str, ...]:
    """Returns the effects that callers would notice, one sentence each."""
    effects = []
    for value in change.put:
        if isinstance(value, configuration.Placement):
            continue
        name = configuration.get_name(value)
        known = config.get(configuration.Kind(value.kind), name)
        verb = "changes" if known and known.value else "is created"
        effects.append(f"{value.kind} {name} {verb}")
        if isinstance(value, configuration.Model) and value.fallback:
            effects.append(
                f"model {name}: {value.fallback} answers until"
                f" {value.version} is resident"
            )
    for kind, name in change.delete:
        effects.append(f"{kind} {name} is deleted; calls to it get not-run")
    cold = sum(1 for s in steps if s.action is ledger.Action.UNLOAD)
    if cold:
        effects.append(
            f"{cold} evictions: prompts cached there are computed again"
        )
    return tuple(effects)
