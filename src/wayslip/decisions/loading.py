"""Chooses the next model to load, its engine and the models to evict.

A load is planned if its gain over a horizon, less the time that it takes,
exceeds the loss from the evicted models; see `copies`. Times are seconds.
"""

from collections.abc import Mapping
import dataclasses

from wayslip.decisions import copies
from wayslip.decisions import load_timing
from wayslip.decisions import manifest

# Minimum gain of a load, requests. A load costs a third of a request; the rest
# prevents loads for a single request, which cost the busier models more
# requests than they serve (see docs/design/platform.md).
MIN_GAIN = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A model to load, and the models to evict first.

    Attributes:
        is_cold: Whether it is loaded from the weight store.
        seconds: Expected time until it can serve, unloads included.
        load_seconds: Expected duration of the load alone.
        is_turn: Whether it is a turn of its model; see `turns`. The gain is
            negative then: what the load costs.
    """

    engine: str
    model: str
    victims: tuple[str, ...]
    is_cold: bool
    seconds: float
    gain: float
    load_seconds: float
    is_turn: bool = False


def plan_load(
    engines: Mapping[str, copies.Engine],
    pool: manifest.Pool,
    demand: Mapping[str, copies.Demand],
    may_load_cold: bool,
    timing: load_timing.Timing = load_timing.DEFAULT,
) -> Step | None:
    """Returns the load with the largest gain, None if none is worthwhile."""
    world = copies.World(engines, pool, demand, timing)
    return plan_best(world, may_load_cold)


def plan_best(world: copies.World, may_load_cold: bool) -> Step | None:
    """Does the same as `plan_load` for a known world."""
    pool = world.pool
    demand = world.list_requested()
    copy_values = {
        m: world.find_copy_value(m) for m in demand if m in pool.models
    }
    # Upper bounds: the gain if the model could serve at once on an idle engine.
    bounds = sorted(
        (
            (copy_value.gain(0.0, copies.MAX_READING_SHARE), m)
            for m, copy_value in copy_values.items()
        ),
        reverse=True,
    )
    best: Step | None = None
    for bound, name in bounds:
        # The bounds are sorted, so no later model can gain more.
        if bound <= max(best.gain if best else 0.0, MIN_GAIN):
            break
        model = pool.models[name]
        for engine in world.list_free(model.weights_mb):
            room = world.find_room(engine, model.weights_mb)
            # Engines are sorted by loss, so no later engine can be better.
            if bound - room.loss <= max(best.gain if best else 0.0, MIN_GAIN):
                break
            if name in engine.models or name in engine.unusable:
                continue
            step = _plan_on(
                engine, model, room, copy_values[name], world.spare[engine.name]
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
    copy_value: copies.CopyValue,
    spare: float,
) -> Step | None:
    load_seconds, is_cold = time_load(engine, model)
    seconds = load_seconds + room.wait
    gain = (
        copy_value.gain(seconds, spare) - room.loss - room.busy_loss * seconds
    )
    if gain < MIN_GAIN:
        return None
    return Step(
        engine.name,
        model.name,
        room.victims,
        is_cold,
        seconds,
        gain,
        load_seconds,
    )


def time_load(
    engine: copies.Engine, model: manifest.Model
) -> tuple[float, bool]:
    """Returns the seconds of a load, and whether it is cold."""
    if model.name in engine.in_memory:
        return model.warm_s, False
    if model.name in engine.on_disk:
        return model.disk_s, False
    return model.load_s, True


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """What stands against the load of a model that no engine holds.

    Attributes:
        bound: Gain if the model could serve at once, requests.
        free: Engines that could make room for it now.
        loss: Least loss by evictions among them, requests; None without any.
        busy_loss: Requests lost while the engine of that loss would load it.
    """

    bound: float
    free: int
    loss: float | None = None
    busy_loss: float | None = None


def find_obstacle(world: copies.World, model: manifest.Model) -> Obstacle:
    """Returns what keeps a model that no engine holds from being loaded."""
    copy_value = world.find_copy_value(model.name)
    bound = copy_value.gain(0.0, copies.MAX_READING_SHARE)
    free = world.list_free(model.weights_mb)
    if not free:
        return Obstacle(bound, 0)
    room = world.find_room(free[0], model.weights_mb)
    seconds, _ = time_load(free[0], model)
    return Obstacle(
        bound, len(free), room.loss, room.busy_loss * (seconds + room.wait)
    )


def choose_adapter_engine(
    adapters: Mapping[str, int], slots: int, load: Mapping[str, int]
) -> str | None:
    """Returns the engine that should load an adapter.

    Args:
        adapters: Number of adapters on each engine that holds the adapter's
            model.
        slots: Adapter slots of an engine.
        load: Requests at each engine.
    """
    return min(
        adapters,
        key=lambda name: (adapters[name] >= slots, load.get(name, 0), name),
        default=None,
    )
