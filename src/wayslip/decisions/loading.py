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
# What an engine loses by being busy with a load, requests a second, besides
# its adapters: another model may be wanted more a moment later.
BUSY_LOSS = 0.04
# What a load has to gain at least, requests: its price, and half a request
# more against moving to and fro.
LEAST_GAIN = 0.7
# A loaded model is not taken away for this long, so that the requests it was
# loaded for can come back for it.
SETTLE = 4.0
# Unloading waits for a model's runs, seconds; a model without demand has none.
UNLOAD_SECONDS = 1.5
_IDLE_RATE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """How often a model is asked for, requests a second.

    Attributes:
        rate: All requests.
        missing_adapter: Those for an adapter that is probably not loaded; an
            engine that loads a model can not load one meanwhile.
    """

    rate: float
    missing_adapter: float = 0.0


_NO_DEMAND = Demand(0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the planner sees it.

    Attributes:
        models: Models that it holds.
        coming: Models that it loads, with the seconds until they serve.
        charged_mb: Memory that is or may be taken, adapters included.
        adapters_mb: Memory of the adapters of each model.
        is_free: Whether it can take an order now.
        fresh: Models that were loaded just now.
        in_memory: Models it loads in `warm_s`.
        on_disk: Models it loads in `disk_s`.
    """

    name: str
    models: frozenset[str]
    coming: Mapping[str, float]
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Copies:
    """Where a model is.

    Attributes:
        held: Engines that hold it.
        coming: Engines that load it.
        arrival: Seconds until the first of those can serve.
    """

    held: int = 0
    coming: int = 0
    arrival: float = HORIZON

    @property
    def soonest(self) -> float:
        """Seconds until it can serve somewhere."""
        return 0.0 if self.held else self.arrival


def plan_load(
    engines: Mapping[str, Engine],
    pool: manifest.Pool,
    demand: Mapping[str, Demand],
    may_load_cold: bool,
) -> Step | None:
    """Returns the load that gains most, None if none pays."""
    copies = {m: _find_copies(engines, m) for m in pool.models}
    best: Step | None = None
    for name, asked in demand.items():
        model = pool.models.get(name)
        if model is None:
            continue
        if _gain_of_copy(asked.rate, copies[name], 0.0) <= LEAST_GAIN:
            continue
        for engine in engines.values():
            if not engine.is_free or name in engine.models:
                continue
            step = _plan_on(engine, model, pool, demand, copies)
            if step is None or (step.is_cold and not may_load_cold):
                continue
            if best is None or step.gain > best.gain:
                best = step
    return best


def _find_copies(engines: Mapping[str, Engine], model: str) -> _Copies:
    held = sum(1 for e in engines.values() if model in e.models)
    coming = [e.coming[model] for e in engines.values() if model in e.coming]
    return _Copies(held, len(coming), min([*coming, HORIZON]))


def _gain_of_copy(rate: float, copies: _Copies, seconds: float) -> float:
    """Returns the requests that one more copy serves within the horizon.

    Args:
        rate: How often the model is asked for, requests a second.
        copies: Where it is already.
        seconds: When the further copy can serve.
    """
    earlier = max(copies.soonest - seconds, 0.0) * rate
    count = copies.held + copies.coming
    if not count:
        return earlier
    over = min(max(rate - count * COPY_RATE, 0.0), COPY_RATE) * SPREAD_WORTH
    return earlier + over * max(HORIZON - max(seconds, copies.soonest), 0.0)


def _loss_of_copy(rate: float, copies: _Copies) -> float:
    """Returns the requests that are lost with one copy in the horizon."""
    if copies.held <= 1:
        return (rate + RESERVE) * copies.arrival
    rest = dataclasses.replace(copies, held=copies.held - 1)
    return _gain_of_copy(rate, rest, 0.0) + 0.02 * rate * HORIZON


def _plan_on(
    engine: Engine,
    model: manifest.Model,
    pool: manifest.Pool,
    demand: Mapping[str, Demand],
    copies: Mapping[str, _Copies],
) -> Step | None:
    seconds, is_cold = _time_load(engine, model)
    missing = engine.charged_mb + model.weights_mb - pool.weights_mb
    victims, loss = _choose_victims(engine, pool, demand, copies, missing)
    if victims is None:
        return None
    if any(_rate(demand, v) > _IDLE_RATE for v in victims):
        seconds += UNLOAD_SECONDS
    stays = [m for m in engine.models if m not in victims]
    blocked = sum(
        demand.get(m, _NO_DEMAND).missing_adapter / max(copies[m].held, 1)
        for m in stays
        if m in copies
    )
    loss += (BUSY_LOSS + blocked) * seconds
    gain = _gain_of_copy(_rate(demand, model.name), copies[model.name], seconds)
    if gain - loss < LEAST_GAIN:
        return None
    return Step(engine.name, model.name, victims, is_cold, seconds, gain - loss)


def _rate(demand: Mapping[str, Demand], model: str) -> float:
    return demand.get(model, _NO_DEMAND).rate


def _time_load(engine: Engine, model: manifest.Model) -> tuple[float, bool]:
    if model.name in engine.in_memory:
        return model.warm_s, False
    if model.name in engine.on_disk:
        return model.disk_s, False
    return model.load_s, True


def _choose_victims(
    engine: Engine,
    pool: manifest.Pool,
    demand: Mapping[str, Demand],
    copies: Mapping[str, _Copies],
    missing: float,
) -> tuple[tuple[str, ...] | None, float]:
    """Returns the models that make way and the loss, cheapest first."""
    if missing <= 0:
        return (), 0.0
    losses = sorted(
        (_loss_of_copy(_rate(demand, m), copies[m]), m)
        for m in engine.models
        if m not in engine.fresh and m in copies
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
    adapters: Mapping[str, int], slots: int, load: Mapping[str, int]
) -> str | None:
    """Returns the engine that should load an adapter.

    Args:
        adapters: Adapters on each engine that holds the adapter's model.
        slots: Places for adapters on an engine.
        load: Requests at each engine.
    """
    return min(
        adapters,
        key=lambda name: (adapters[name] >= slots, load.get(name, 0), name),
        default=None,
    )
