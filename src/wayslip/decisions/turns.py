"""Gives models that callers were refused a turn to be loaded.

Load pattern: more models are asked for than engines hold. A few take most of
the requests, and many are asked for every few seconds only. Weighed by the
requests that a copy serves within the horizon, a load for one of these does not
pay while other engines are busy, and it is refused for as long as that lasts.

Whatever its rate, a model gets a turn once a caller that can wait for a load
was refused, or after it has been refused for some seconds. Turns keep a share
of the engines busy at most. The model that was not served for longest goes
first, and what its load may cost grows with its wait, so that every wait ends.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import math

from wayslip.decisions import copies
from wayslip.decisions import loading
from wayslip.decisions import manifest

# Share of a pool's engines that load models for their turns at the same time;
# the others are left to loads that pay by their requests.
_ENGINE_SHARE = 1 / 6
# A model that was served within this time is loaded for its turn from an
# engine's memory or disk only: others were not served for longer.
_RECENT_SECONDS = 30.0
# A model whose weights an engine has at hand waits for that engine this long,
# which takes less of an engine's time than a load from the weight store.
_NEAR_SECONDS = 10.0
# What the load of a model that was refused just now may cost, in requests: the
# caller that waits for it, and the callers that follow.
_BASE_COST = 3.0
# Increase of that for each second that a model has waited, requests.
_COST_PER_SECOND = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A model that is due for a turn.

    Attributes:
        refusals: Requests that were refused since it was served last.
        waited: Seconds since the first request for it that was refused.
        unserved: Seconds since a request for it was served last; infinite if
            none is known.
    """

    model: str
    refusals: int
    waited: float
    unserved: float = math.inf

    @property
    def is_recent(self) -> bool:
        """Whether it was served a short time ago."""
        return self.unserved < _RECENT_SECONDS

    @property
    def max_cost(self) -> float:
        """What its load may cost, requests."""
        return _BASE_COST + _COST_PER_SECOND * self.waited


def find_limit(engine_count: int) -> int:
    """Returns how many engines may load models for their turns."""
    return max(int(engine_count * _ENGINE_SHARE), 1)


def sort(waiting: Iterable[Waiting]) -> list[Waiting]:
    """Returns models in the order of their turns."""
    return sorted(
        waiting, key=lambda w: (w.is_recent, -w.refusals, -w.waited, w.model)
    )


def plan_turn(
    world: copies.World,
    waiting: Sequence[Waiting],
    running: int,
    may_load_cold: bool,
) -> loading.Step | None:
    """Returns the load of the first model that can have its turn now.

    Args:
        world: The engines and the demand.
        waiting: Models that are due, in the order of their turns.
        running: Engines that load a model for its turn.
        may_load_cold: Whether a load from the weight store may begin.
    """
    if running >= find_limit(len(world.engines)):
        return None
    for one in waiting:
        model = world.pool.models.get(one.model)
        if model is None or not _is_absent(world, one.model):
            continue
        step = _find_cheapest(
            world, model, may_load_cold and _may_load_cold(world, one)
        )
        if step is not None and one.max_cost + step.gain >= 0:
            return step
    return None


def _may_load_cold(world: copies.World, waiting: Waiting) -> bool:
    """Whether a model is worth a load from the weight store."""
    if waiting.is_recent:
        return False
    is_near = any(
        waiting.model in engine.on_disk or waiting.model in engine.in_memory
        for engine in world.engines.values()
    )
    return not is_near or waiting.waited > _NEAR_SECONDS


def _is_absent(world: copies.World, model: str) -> bool:
    known = world.copies.get(model)
    return known is None or not (known.held or known.pending_loads)


def _find_cheapest(
    world: copies.World, model: manifest.Model, may_load_cold: bool
) -> loading.Step | None:
    """Returns the load of a model that costs least, with the cost as loss."""
    best: loading.Step | None = None
    for engine in world.list_free(model.weights_mb):
        if model.name in engine.unusable:
            continue
        room = world.find_room(engine, model.weights_mb)
        load_seconds, is_cold = loading.time_load(engine, model)
        if is_cold and not may_load_cold:
            continue
        seconds = load_seconds + room.wait
        # Few engines have turns, so that others remain for busier models.
        cost = (world.timing.load_loss_rate + room.blocked) * seconds
        gain = -cost - room.loss
        if best is None or gain > best.gain:
            best = loading.Step(
                engine.name,
                model.name,
                room.victims,
                is_cold,
                seconds,
                gain,
                load_seconds,
                is_turn=True,
            )
    return best


def estimate_ready(
    waiting: Sequence[Waiting],
    running: Sequence[float],
    pool: manifest.Pool,
    engine_count: int,
) -> dict[str, float]:
    """Returns the seconds until each waiting model is expected to serve.

    Args:
        waiting: Models that are due, in the order of their turns.
        running: Seconds until each running turn ends.
        pool: The pool, with the load times.
        engine_count: Number of engines of the pool.
    """
    if not engine_count:
        return {}
    free = max(find_limit(engine_count) - len(running), 0)
    ends = [*running, *[0.0] * free]
    heapq.heapify(ends)
    ready = {}
    for one in waiting:
        model = pool.models.get(one.model)
        if model is None:
            continue
        ready[one.model] = heapq.heappop(ends) + model.load_s
        heapq.heappush(ends, ready[one.model])
    return ready
