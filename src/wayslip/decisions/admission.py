"""Admission control: whether a request starts now or is refused at once.

A refused request never started, so it can be answered `not-run`. The refusal
is sent immediately with a time for the next try, instead of after a wait.
"""

import dataclasses
from typing import Protocol

from wayslip import refusals
from wayslip import registry
from wayslip import settings

_MIN_RETRY_AFTER_SECONDS = 0.5
# Predicted times up to this multiple of the target are admitted. Predictions
# are uncertain, and refusing requests that are predicted just past the target
# loses more than it saves; see docs/design/measuring-decisions.md.
TARGET_TOLERANCE = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a request meets at an entry.

    Attributes:
        total: Requests in flight of all callers.
        caller: Requests in flight of the request's caller.
        endpoint: Requests in flight at the chosen endpoint.
        entries: Live entries, which share each caller's limit.
        predicted: Predicted seconds to the first token at the endpoint.
        seconds_left: Seconds until the deadline.
        occupancy: Share of the endpoint's batch that is in use.
    """

    total: int
    caller: int
    endpoint: int
    entries: int
    predicted: float
    seconds_left: float
    occupancy: float = 0.0


class Policy(Protocol):
    """Admits a request (None) or refuses it."""

    def __call__(
        self,
        load: Load,
        caller: settings.Caller,
        limits: settings.Admission,
    ) -> refusals.Refusal | None:
        """Returns the refusal of a request, None if it may start."""


POLICIES: registry.Registry[Policy] = registry.Registry("admission policy")


def share_limit(limit: int, entries: int) -> int:
    """Returns one entry's share of a limit over all entries.

    The load balancer distributes requests unevenly, so each entry gets 1.5
    times an even share. Entries need not coordinate for each request.
    """
    if entries <= 1:
        return limit
    return min(limit, max(1, -(-limit * 3 // (2 * entries))))


@POLICIES.register("limits")
def admit_by_limits(
    load: Load, caller: settings.Caller, limits: settings.Admission
) -> refusals.Refusal | None:
    """Refuses requests over a limit of the entry, caller or endpoint."""
    rules = limits.classes[caller.priority]
    if load.seconds_left <= 0:
        return refusals.Refusal(
            refusals.Reason.DEADLINE_PASSED,
            "the deadline passed before the request could start",
        )
    if load.total >= limits.total_in_flight * rules.share:
        return _refuse(
            refusals.Reason.OVERLOADED, "the entry is at its limit", load
        )
    if load.caller >= share_limit(caller.max_in_flight, load.entries):
        return _refuse(
            refusals.Reason.CALLER_LIMIT,
            "this caller has too many requests in flight",
            load,
        )
    if load.endpoint >= limits.endpoint_in_flight * rules.share:
        return _refuse(
            refusals.Reason.ENDPOINT_LIMIT,
            "every endpoint that could answer is at its limit",
            load,
        )
    return None


@POLICIES.register("deadline")
def admit_by_deadline(
    load: Load, caller: settings.Caller, limits: settings.Admission
) -> refusals.Refusal | None:
    """Refuses requests over a limit or predicted to miss their target.

    Classes whose share is below 1 are also refused when the endpoint's batch
    is full.
    """
    refusal = admit_by_limits(load, caller, limits)
    if refusal is not None:
        return refusal
    rules = limits.classes[caller.priority]
    if rules.share < 1 and load.occupancy >= 1.0:
        return _refuse(
            refusals.Reason.OVERLOADED,
            "the remaining engine slots are reserved for more urgent classes",
            load,
        )
    target = rules.target
    if load.predicted <= min(TARGET_TOLERANCE * target, load.seconds_left):
        return None
    return _refuse(
        refusals.Reason.TARGET_UNREACHABLE,
        f"the first token would take {load.predicted:.2f} s,"
        f" the target is {target:g} s",
        load,
        load.predicted - target,
    )


def _refuse(
    reason: refusals.Reason, detail: str, load: Load, wait: float = 0.0
) -> refusals.Refusal:
    retry_after = max(wait, load.predicted / 2, _MIN_RETRY_AFTER_SECONDS)
    return refusals.Refusal(
        reason, f"{detail}; retry after the time in Retry-After", retry_after
    )
