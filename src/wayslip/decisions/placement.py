"""Places versions and adapters on engines with as few moves as possible.

Items that are placed validly stay. Missing replicas go to a live engine of the
pool: the one that needs the fewest additional bytes, then the one with the
most room left. An adapter is placed on engines that hold a replica of its
version, up to the number of replicas of its model. All sizes are bytes.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from wayslip import refusals
from wayslip.decisions import catalog as catalogs


@dataclasses.dataclass(frozen=True)
class EngineState:
    """An engine as the planner sees it.

    Attributes:
        capacity: Bytes for weights and adapters.
        held: Items charged in its ledger, with sizes.
        is_live: Whether it may receive new items.
    """

    name: str
    capacity: int
    held: Mapping[str, int]
    is_live: bool = True


@dataclasses.dataclass
class _Draft:
    """A placement under construction."""

    catalog: catalogs.Catalog
    engines: Mapping[str, EngineState]
    placed: dict[str, list[str]]

    def room(self, engine: str) -> int:
        """Bytes left on an engine that holds only its placed items."""
        used = sum(self.catalog.sizes[i] for i in self.placed[engine])
        return self.engines[engine].capacity - used

    def holders(self, item: str) -> list[str]:
        """Live engines on which an item is placed."""
        return [
            e
            for e, items in self.placed.items()
            if item in items and self.engines[e].is_live
        ]

    def put(self, item: str, engine: str) -> None:
        """Places an item."""
        if item not in self.placed[engine]:
            self.placed[engine].append(item)


Placements = dict[str, tuple[str, ...]]


def place(
    catalog: catalogs.Catalog,
    engines: Mapping[str, EngineState],
    replicas: Mapping[str, int],
) -> Placements | refusals.Refusal:
    """Returns the items of every engine, or a refusal if they do not fit.

    Args:
        catalog: The names to serve and the items that each needs.
        engines: All known engines of the catalog's pools.
        replicas: Desired replicas of each model; 1 if not given.
    """
    kept = {
        name: [
            i
            for i in dict.fromkeys(
                (*catalog.placements.get(name, ()), *state.held)
            )
            if i in catalog.required
            and name in catalog.engines_of_item[i]
            and (i in state.held or state.is_live)
        ]
        for name, state in engines.items()
    }
    draft = _Draft(catalog, engines, kept)
    _remove_surplus(draft, replicas)
    # Place large groups first; small ones fit into the remaining gaps.
    groups = sorted(
        catalog.targets.values(), key=lambda t: (-_size(catalog, t), t.name)
    )
    for target in groups:
        refusal = _place_target(draft, target, replicas.get(target.model, 1))
        if refusal is not None:
            return refusal
    return {name: tuple(items) for name, items in draft.placed.items()}


def _size(catalog: catalogs.Catalog, target: catalogs.Target) -> int:
    return sum(catalog.sizes[item] for item in target.items)


def _place_target(
    draft: _Draft, target: catalogs.Target, wanted: int
) -> refusals.Refusal | None:
    base = target.items[0]
    while len(_find_complete(draft, target.items)) < wanted:
        engine = _choose_engine(draft, target.items)
        if engine is not None:
            for item in target.items:
                draft.put(item, engine)
            continue
        if _find_complete(draft, target.items):
            # The first replica is required; further ones are best effort.
            return None
        return refusals.Refusal(
            refusals.Reason.NO_MEMORY,
            f"no engine of {base}'s pool has room for {target.name};"
            " add an engine, or remove or shrink a model",
        )
    return None


def _find_complete(draft: _Draft, items: Iterable[str]) -> list[str]:
    sets = [set(draft.holders(item)) for item in items]
    return sorted(set.intersection(*sets))


def _choose_engine(draft: _Draft, items: tuple[str, ...]) -> str | None:
    best: str | None = None
    best_rank: tuple[int, int] | None = None
    for engine in draft.catalog.engines_of_item[items[0]]:
        state = draft.engines.get(engine)
        if state is None or not state.is_live:
            continue
        missing = [i for i in items if i not in draft.placed[engine]]
        need = sum(draft.catalog.sizes[i] for i in missing)
        room = draft.room(engine)
        if not missing or need > room:
            continue
        rank = (-need, room - need)
        if best_rank is None or rank > best_rank:
            best, best_rank = engine, rank
    return best


def _remove_surplus(draft: _Draft, replicas: Mapping[str, int]) -> None:
    """Removes surplus replicas, from the fullest engines first."""
    model_of = {
        item: target.model
        for target in draft.catalog.targets.values()
        for item in target.items
    }
    for item, model in sorted(model_of.items()):
        holders = draft.holders(item)
        surplus = len(holders) - replicas.get(model, 1)
        for engine in sorted(holders, key=draft.room)[: max(surplus, 0)]:
            if not _carries_adapter(draft, engine, item):
                draft.placed[engine].remove(item)


def _carries_adapter(draft: _Draft, engine: str, item: str) -> bool:
    return any(
        target.items[0] == item
        and len(target.items) > 1
        and target.items[1] in draft.placed[engine]
        for target in draft.catalog.targets.values()
    )
