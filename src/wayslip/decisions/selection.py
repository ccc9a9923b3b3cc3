"""Which endpoint gets a request.

Every candidate is given the time that the request is expected to wait there
for its first byte; the smallest wins, unless many instances may choose it at
once (see `spreading`). Times are seconds.
"""

from collections.abc import Sequence
import dataclasses

from wayslip.decisions import load_spreading

# What every request that runs already adds to the first token of a new one:
# its share of the decoding steps that a prompt's pieces are read between.
RUNNING_COST = 0.0035
# A plain request ahead in an endpoint that has all slots taken.
QUEUE_COST = 0.03
# A request in another data hall takes this much longer, and its bytes are
# priced; half a millisecond each way.
DISTANCE_COST = 0.004
# A new connection takes a round trip and a millisecond of the endpoint, and is
# priced.
CONNECT_COST = 0.005
# An endpoint that fails all of its requests looks this much slower than one
# that fails none, so it is used only when nothing else is there.
FAILURE_COST = 3.0
# An endpoint that names a limit is in need: it is left alone while others have
# little to do.
LIMITED_COST = 0.05
# Beyond this share of its memory for prompts an engine starts to preempt.
MEMORY_SHARE = 0.9
MEMORY_COST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that can answer.

    Attributes:
        in_flight: Requests there, over all instances.
        slots: Requests that it works on at once.
        unread: Seconds that it takes to read the prompts waiting there.
        reading: Seconds that it takes to read this request's.
        memory: Share of its memory that is taken with this request.
        failures: Share of requests that failed lately beyond the service's
            own rate.
        is_near: Whether it is in our data hall.
        is_connected: Whether an open connection to it is idle.
        is_suspended: Whether it failed just now and should rest.
        is_limited: Whether it names a limit for all instances together.
    """

    name: str
    in_flight: int = 0
    slots: int = 1
    unread: float = 0.0
    reading: float = 0.0
    memory: float = 0.0
    failures: float = 0.0
    is_near: bool = True
    is_connected: bool = True
    is_suspended: bool = False
    is_limited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint.

    Attributes:
        wait: Expected seconds to the first byte, penalties left out.
        occupancy: Share of its slots that is taken, above 1 with a queue.
    """

    name: str
    wait: float
    occupancy: float


def predict_wait(candidate: Candidate) -> float:
    """Returns the seconds to the first byte that are expected."""
    queued = max(candidate.in_flight + 1 - candidate.slots, 0)
    reading = candidate.unread + candidate.reading
    running = min(candidate.in_flight, candidate.slots)
    wait = reading + running * RUNNING_COST + queued * QUEUE_COST
    over = max(candidate.memory - MEMORY_SHARE, 0.0)
    return wait + over * MEMORY_COST


def choose(
    candidates: Sequence[Candidate], draw: float, unseen: float = 0.0
) -> Choice | None:
    """Returns one of the best candidates, None if there is none.

    Args:
        candidates: Endpoints that can answer.
        draw: From [0, 1); instances with the same knowledge draw differently.
        unseen: Work that instances send to them before all know of it.
    """
    available = [c for c in candidates if not c.is_suspended] or candidates
    if not available:
        return None
    shares = load_spreading.split_load([_score(c) for c in available], unseen)
    best = available[load_spreading.draw(shares, draw)]
    return Choice(
        best.name, predict_wait(best), best.in_flight / max(best.slots, 1)
    )


def _score(candidate: Candidate) -> float:
    distance = 0.0 if candidate.is_near else DISTANCE_COST
    connecting = 0.0 if candidate.is_connected else CONNECT_COST
    failing = candidate.failures * FAILURE_COST
    limited = LIMITED_COST if candidate.is_limited else 0.0
    return predict_wait(candidate) + distance + connecting + failing + limited
