"""Which model is loaded on which engine next, and what makes way for it.

A load is planned where what it gains over a horizon, less the time it takes,
exceeds what is lost with the models that make way; see `copies`. Times are
seconds.
"""

from collections.abc import Mapping
import dataclasses

from wayslip.decisions import copies
from wayslip.decisions import manifest

# What a load has to gain at least, requests. Its price is a third of one; the
# rest is against loads for a single request, which in trials cost the busier
# models more than they served (docs/design/platform.md).
MIN_GAIN = 1.3


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
    engines: Mapping[str, copies.Engine],
    pool: manifest.Pool,
    demand: Mapping[str, copies.Demand],
    may_load_cold: bool,
) -> Step | None:
    """Returns the load that gains most, None if none pays."""
    world = copies.World(engines, pool, demand)
    wants = {m: world.find_copy_value(m) for m in demand if m in pool.models}
    # What each gains if it could serve at once on an idle engine.
    bounds = sorted(
        (
            (want.gain(0.0, copies.MAX_READING_SHARE), m)
            for m, want in wants.items()
        ),
        reverse=True,
    )
    best: Step | None = None
    for bound, name in bounds:
        # No later model can gain more than this one could at most.
        if bound <= max(best.gain if best else 0.0, MIN_GAIN):
            break
        model = pool.models[name]
        for engine in world.list_free(model.weights_mb):
            room = world.find_room(engine, model.weights_mb)
            # Nor can it on an engine where more is lost.
            if bound - room.loss <= max(best.gain if best else 0.0, MIN_GAIN):
                break
            if name in engine.models:
                continue
            step = _plan_on(
                engine, model, room, wants[name], world.spare[engine.name]
            )
            if step is None or (step.is_cold and not may_load_cold):
                continue
            if best is None or step.gain > best.gain:
                best = step
    return best


def _plan_on(
    engine: copies.Engine,
    model: manifest.Model,
    room: copies.Room,
    want: copies.CopyValue,
    spare: float,
) -> Step | None:
    seconds, is_cold = _time_load(engine, model)
    seconds += room.wait
    gain = want.gain(seconds, spare) - room.loss - room.busy_loss * seconds
    if gain < MIN_GAIN:
        return None
    return Step(engine.name, model.name, room.victims, is_cold, seconds, gain)


def _time_load(
    engine: copies.Engine, model: manifest.Model
) -> tuple[float, bool]:
    if model.name in engine.in_memory:
        return model.warm_s, False
    if model.name in engine.on_disk:
        return model.disk_s, False
    return model.load_s, True


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
