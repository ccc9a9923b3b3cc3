"""Which model is loaded on which engine next, and what makes way for it.

Every copy of a model is worth the requests that would not be served without
it. A load is planned where what it gains over a horizon, less the time it
takes, exceeds what is lost with the models that make way. Rates are requests
a second, sizes megabytes, times seconds.
"""

from collections.abc import Mapping
import dataclasses

from wayslip.decisions import manifest

# Over how long a load has to pay. Demand moves to other models within half a
# minute.
HORIZON = 15.0
# Requests a second of one model that one copy serves well beside others.
COPY_RATE = 5.0
# Part of the worth of a request that a further copy saves by spreading load.
SPREAD_WORTH = 0.35
# What the only copy of a model without demand is worth, requests a second:
# somebody may ask for it, and a load takes seconds.
RESERVE = 0.03
# What a load has to gain at least, requests: its price, and half a request
# more against moving to and fro.
LEAST_GAIN = 0.7
# A loaded model is not taken away for this long, so that the requests it was
# loaded for can come back for it.
SETTLE = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the planner sees it.

    Attributes:
        models: Models that it holds or is loading.
        charged_mb: Memory that is or may be taken, adapters included.
        adapters_mb: Memory of the adapters of each model.
        is_free: Whether it can take an order now.
        fresh: Models that were loaded just now.
        in_memory: Models it loads in `warm_s`.
        on_disk: Models it loads in `disk_s`.
    """

    name: str
    models: frozenset[str]
    charged_mb: float
    adapters_mb: Mapping[str, float]
    is_free: bool
    fresh: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A model to load, and the models that make way first.

    Attributes:
        is_cold: Whether it comes from the weight store.
        seconds: How long the load is expected to take.
    """

    engine: str
    model: str
    victims: tuple[str, ...]
    is_cold: bool
    seconds: float
    gain: float


def plan_load(
    engines: Mapping[str, Engine],
    pool: manifest.Pool,
    demand: Mapping[str, float],
    may_load_cold: bool,
) -> Step | None:
    """Returns the load that gains most, None if none pays."""
    copies = count_copies(engines)
    best: Step | None = None
    for name, rate in demand.items():
        model = pool.models.get(name)
        if model is None or rate <= 0:
            continue
        worth = _worth_of_copy(rate, copies.get(name, 0))
        if worth * HORIZON <= LEAST_GAIN:
            continue
        for engine in engines.values():
            if not engine.is_free or name in engine.models:
                continue
            step = _plan_on(engine, model, pool, demand, copies, worth)
            if step is None or (step.is_cold and not may_load_cold):
                continue
            if best is None or step.gain > best.gain:
                best = step
    return best


def count_copies(engines: Mapping[str, Engine]) -> dict[str, int]:
    """Returns how many engines hold or load each model."""
    copies: dict[str, int] = {}
    for engine in engines.values():
        for model in engine.models:
            copies[model] = copies.get(model, 0) + 1
    return copies


def _worth_of_copy(rate: float, copies: int) -> float:
    """Returns what one more copy serves, requests a second."""
    if copies == 0:
        return rate
    over = max(rate - copies * COPY_RATE, 0.0)
    return min(over, COPY_RATE) * SPREAD_WORTH


def _loss_of_copy(rate: float, copies: int) -> float:
    """Returns what is lost with one copy, requests a second."""
    if copies <= 1:
        return rate + RESERVE
    return _worth_of_copy(rate, copies - 1) + 0.02 * rate


def _plan_on(
    engine: Engine,
    model: manifest.Model,
    pool: manifest.Pool,
    demand: Mapping[str, float],
    copies: Mapping[str, int],
    worth: float,
) -> Step | None:
    seconds, is_cold = _time_load(engine, model)
    missing = engine.charged_mb + model.weights_mb - pool.weights_mb
    victims, loss = _choose_victims(engine, pool, demand, copies, missing)
    if victims is None:
        return None
    gain = worth * max(HORIZON - seconds, 0.0) - loss * HORIZON
    if gain < LEAST_GAIN:
        return None
    return Step(engine.name, model.name, victims, is_cold, seconds, gain)


def _time_load(engine: Engine, model: manifest.Model) -> tuple[float, bool]:
    if model.name in engine.in_memory:
        return model.warm_s, False
    if model.name in engine.on_disk:
        return model.disk_s, False
    return model.load_s, True


def _choose_victims(
    engine: Engine,
    pool: manifest.Pool,
    demand: Mapping[str, float],
    copies: Mapping[str, int],
    missing: float,
) -> tuple[tuple[str, ...] | None, float]:
    """Returns the models that make way and the loss, cheapest first."""
    if missing <= 0:
        return (), 0.0
    losses = sorted(
        (_loss_of_copy(demand.get(m, 0.0), copies.get(m, 1)), m)
        for m in engine.models
        if m not in engine.fresh and m in pool.models
    )
    victims: list[str] = []
    total = 0.0
    for loss, name in losses:
        victims.append(name)
        total += loss
        missing -= pool.models[name].weights_mb
        missing -= engine.adapters_mb.get(name, 0.0)
        if missing <= 0:
            return tuple(victims), total
    return None, 0.0


def choose_adapter_engine(
    engines: Mapping[str, Engine],
    model: str,
    adapters: Mapping[str, int],
    slots: int,
    load: Mapping[str, float],
) -> str | None:
    """Returns the engine that should hold an adapter.

    Args:
        engines: All engines of the pool.
        model: Whose adapter it is.
        adapters: Adapters on each engine, with those that are coming.
        slots: Places for adapters on an engine.
        load: Requests at each engine.
    """
    holders = [e.name for e in engines.values() if model in e.models]
    if not holders:
        return None
    return min(
        holders,
        key=lambda n: (adapters.get(n, 0) >= slots, load.get(n, 0.0), n),
    )
