"""Chooses the endpoint for a request.

Each candidate is scored by the expected time to the request's first byte, plus
penalties. The lowest score wins, unless many instances may choose the same
endpoint at once; see `load_spreading`. Times are seconds.
"""

from collections.abc import Sequence
import dataclasses

from wayslip.decisions import load_spreading

# Delay of the first token per running request: its share of the decoding steps
# that are interleaved with the chunks of a prompt's prefill.
RUNNING_COST = 0.0035
# Delay per queued request at an endpoint whose slots are all in use, where it
# is not known how long requests hold a slot.
QUEUE_COST = 0.03
# Penalty for another data hall: half a millisecond of latency each way, and a
# price for the bytes transferred.
DISTANCE_COST = 0.004
# Penalty for a new connection: a round trip, a millisecond of the endpoint's
# time, and a price.
CONNECT_COST = 0.005
# Penalty for an endpoint that fails all of its requests, so that it is used
# only if there is no other.
FAILURE_COST = 3.0
# Penalty for an endpoint that states a rate limit: it is constrained and is
# avoided while others have little load.
LIMITED_COST = 0.05
# Share of its memory for prompts above which an engine starts to preempt.
MEMORY_SHARE = 0.9
MEMORY_COST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that can answer.

    Attributes:
        in_flight: Pending requests there, of all instances.
        slots: Requests that it processes concurrently.
        unread: Seconds to prefill the prompts that wait there.
        reading: Seconds to prefill this request's prompt.
        memory: Share of its memory in use, including this request.
        failures: Share of requests that failed recently, in excess of the
            service's usual rate.
        is_near: Whether it is in the data hall of this instance.
        is_connected: Whether an open connection to it is idle.
        is_suspended: Whether it failed recently and should not be used.
        is_limited: Whether it states a rate limit for all instances together.
        slowness: How long its work takes now, 1 for the usual.
        queue_cost: Delay per queued request at a usual endpoint.
        slot_seconds: How long a request takes a slot; 0 to assume `queue_cost`
            for each queued request.
        ahead: Share of the queued requests that are served before this one.
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
    slowness: float = 1.0
    queue_cost: float = QUEUE_COST
    ahead: float = 1.0
    slot_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint.

    Attributes:
        wait: Expected seconds to the first byte, without the penalties for
            distance, a new connection, failures and limits.
        occupancy: Share of its slots in use, above 1 with a queue.
        in_flight: Pending requests there, of all instances.
        slots: Requests that it processes concurrently.
        candidates: Number of endpoints that it was chosen from.
        unseen: Work that all instances send before it is reported, seconds.
    """

    name: str
    wait: float
    occupancy: float
    in_flight: int = 0
    slots: int = 1
    candidates: int = 1
    unseen: float = 0.0


def predict_wait(candidate: Candidate) -> float:
    """Returns the expected seconds to the first byte."""
    queued: float = max(candidate.in_flight + 1 - candidate.slots, 0)
    if queued:
        # It waits for one slot itself, and for one of each that goes first.
        queued = 1 + (queued - 1) * candidate.ahead
    reading = candidate.unread + candidate.reading
    running = min(candidate.in_flight, candidate.slots)
    cost = candidate.queue_cost
    if candidate.slot_seconds:
        cost = candidate.slot_seconds / max(candidate.slots, 1)
    wait = reading + running * RUNNING_COST + queued * cost
    wait *= candidate.slowness
    over = max(candidate.memory - MEMORY_SHARE, 0.0)
    return wait + over * MEMORY_COST


def choose(
    candidates: Sequence[Candidate], draw: float, unseen: float = 0.0
) -> Choice | None:
    """Returns one of the best candidates, None if there is none.

    Args:
        candidates: Endpoints that can answer.
        draw: A random number from [0, 1), independent for each instance.
        unseen: Work that all instances send before it is reported, seconds;
            see `load_spreading.split_load`.
    """
    available = [c for c in candidates if not c.is_suspended] or candidates
    if not available:
        return None
    shares = load_spreading.split_load(
        [_score(c) for c in available],
        unseen,
        [c.slowness for c in available],
    )
    best = available[load_spreading.draw(shares, draw)]
    return Choice(
        best.name,
        predict_wait(best),
        best.in_flight / max(best.slots, 1),
        best.in_flight,
        best.slots,
        len(candidates),
        unseen,
    )


def _score(candidate: Candidate) -> float:
    distance = 0.0 if candidate.is_near else DISTANCE_COST
    connecting = 0.0 if candidate.is_connected else CONNECT_COST
    failing = candidate.failures * FAILURE_COST
    limited = LIMITED_COST if candidate.is_limited else 0.0
    return predict_wait(candidate) + distance + connecting + failing + limited
