"""Decides whether a request starts now, waits at the instance or is refused.

Load pattern: for seconds, requests for a model arrive faster than its engines
have slots, while each instance sees few of them and learns of the others' load
some tenths of a second later. A request that is sent at once is bound to one
engine's queue, also if another engine has room or a copy of the model just
afterwards. A request that is refused at once comes back late.

Requests therefore wait at the instance for room while they can still be in
time, and engines' queues stay as short as the age of what is known of them
allows. Requests that can't be in time any more wait for free slots behind
those that can, for about as long again. Times are seconds.

Admission rules are registered here by name.
"""

import dataclasses
import enum
import math
from typing import Protocol

from wayslip import registry

# A request is refused if its expected wait exceeds this share of the time left:
# the rest is for the answer itself.
_MAX_WAIT_SHARE = 0.9
# Waits are overestimated where prompts turn out to be cached, so a request is
# sent while its first byte is expected within this many latency targets.
_MAX_WAIT_TARGETS = 2.0
# A request waits for room only while it would be in time even if its wait were
# this many times longer than expected, as at an engine that turns slow.
_WAIT_ALLOWANCE = 2.0
# Shorter holds are not worth a review: news of load doesn't arrive sooner.
_MIN_HOLD_SECONDS = 0.005
# Retry-After is set so that the remaining wait is this many latency targets.
_REMAINING_WAIT_TARGETS = 0.5
# A request that will be late waits for a free slot until it has waited this
# many targets: callers leave requests that are late by a multiple of that.
_LATE_HOLD_TARGETS = 2.0
# It waits at most for this share of its time budget, which leaves time for the
# engine's queue and for a retry.
_LATE_HOLD_SHARE = 1 / 3
# Sort key of a request that leaves the queue in any case.
FIRST = (False, -math.inf, 0.0)


class Verdict(enum.StrEnum):
    """What happens to a request next."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What is known of the best endpoint for a request.

    Attributes:
        wait: Expected time to the first byte if the request is sent now.
        in_flight: Pending requests there, of all instances.
        slots: Requests that it processes concurrently.
        slot_seconds: How long a request takes a slot, 0 if unknown.
        age: Age of what is known about the other instances' requests.
        full_seconds: Time until its queue, which refused a request for lack of
            room, is expected to take more.
    """

    wait: float
    in_flight: int
    slots: int
    slot_seconds: float = 0.0
    age: float = 0.0
    full_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """A request and the room for it.

    Attributes:
        waited: Time since its arrival.
        left: Time until the answer is due.
        target: Latency target of its route, from its arrival.
        room: The best endpoint that it may be sent to.
        may_hold: Whether there is a place in the instance's queue.
        may_refuse: Whether no endpoint may have run it.
    """

    waited: float
    left: float
    target: float
    room: Room
    may_hold: bool = True
    may_refuse: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A verdict on a request.

    Attributes:
        seconds: With `WAIT`, the time after which it is decided again even if
            nothing changes; with `REFUSE`, the retry time.
        slack: Time for which it can wait and still be in time or, if it is
            late, for which it may wait at all.
        is_late: Whether the request is expected to miss its target.
    """

    verdict: Verdict
    seconds: float = 0.0
    slack: float = 0.0
    is_late: bool = False


class AdmissionRule(Protocol):
    """Decides on a request."""

    def __call__(self, situation: Situation) -> Decision:
        """Returns the decision."""


ADMISSION_RULES: registry.Registry[AdmissionRule] = registry.Registry(
    "admission rule"
)


@ADMISSION_RULES.register("immediate")
def decide_at_once(situation: Situation) -> Decision:
    """Sends a request, or refuses it if the endpoint's queue is too long."""
    wait = situation.room.wait
    limit = min(
        situation.left * _MAX_WAIT_SHARE, situation.target * _MAX_WAIT_TARGETS
    )
    if wait > limit and situation.may_refuse:
        return _refuse(situation)
    return Decision(Verdict.START)


@ADMISSION_RULES.register("hold")
def decide_by_slack(situation: Situation) -> Decision:
    """Holds a request for room while that can't make it late."""
    wait = situation.room.wait
    first_byte = situation.waited + wait
    is_late = first_byte > situation.target * _MAX_WAIT_TARGETS
    if not situation.may_refuse:
        return Decision(Verdict.START, is_late=is_late)
    if wait > situation.left * _MAX_WAIT_SHARE:
        return _refuse(situation)
    if situation.room.full_seconds > 0:
        return _decide_full(situation)
    if not situation.may_hold:
        return decide_at_once(situation)
    if is_late:
        return _decide_late(situation)
    # A short time budget may end before the target.
    time_left = min(
        situation.target - situation.waited, situation.left * _MAX_WAIT_SHARE
    )
    slack = time_left - wait * _WAIT_ALLOWANCE
    if slack < _MIN_HOLD_SECONDS or has_room(
        situation.room, find_margin(situation.room)
    ):
        return Decision(Verdict.START, slack=slack)
    return Decision(Verdict.WAIT, slack, slack)


def _decide_late(situation: Situation) -> Decision:
    """Holds a late request for a slot that no request in time takes."""
    hold = _find_late_hold(situation)
    if has_room(situation.room, 0.0):
        return Decision(Verdict.START, slack=hold, is_late=True)
    if hold >= _MIN_HOLD_SECONDS:
        return Decision(Verdict.WAIT, hold, hold, is_late=True)
    decision = decide_at_once(situation)
    return dataclasses.replace(decision, slack=hold, is_late=True)


def _decide_full(situation: Situation) -> Decision:
    """Holds a request until a full queue takes more, if that is soon."""
    seconds = max(situation.room.full_seconds, _MIN_HOLD_SECONDS)
    hold = _find_late_hold(situation)
    if seconds > hold or not situation.may_hold:
        return Decision(Verdict.REFUSE, seconds)
    is_late = situation.waited + seconds > situation.target
    return Decision(Verdict.WAIT, seconds, hold, is_late)


def _find_late_hold(situation: Situation) -> float:
    """Returns how long a request that will be late may still be held."""
    budget = situation.waited + situation.left
    longest = min(
        budget * _LATE_HOLD_SHARE, situation.target * _LATE_HOLD_TARGETS
    )
    return longest - situation.waited


def has_room(room: Room, margin: float) -> bool:
    """Whether an endpoint has a slot, or a margin beyond its slots."""
    return room.in_flight < room.slots + margin


def find_margin(room: Room) -> float:
    """Returns how many requests may queue so that no slot falls idle.

    That many end before the next news of the endpoint's load.
    """
    if room.slot_seconds <= 0:
        return 0.0
    return room.slots * room.age / room.slot_seconds


def order(decision: Decision, rank: int) -> tuple[bool, float, float]:
    """Returns the sort key of a waiting request.

    Those that can be in time go first, the least slack first; those that are
    late follow by rank.
    """
    if decision.is_late:
        return True, rank, decision.slack
    return False, decision.slack, rank


def _refuse(situation: Situation) -> Decision:
    retry_after = (
        situation.room.wait - situation.target * _REMAINING_WAIT_TARGETS
    )
    return Decision(Verdict.REFUSE, retry_after)
