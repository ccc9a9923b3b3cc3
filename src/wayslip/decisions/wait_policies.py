"""Decides how long a request waits for a model that no engine can serve.

Load pattern: more models are requested than the engines hold, so no engine
holds the model of a request. Whether the request should wait at the instance
or be refused depends on when the model can serve: a load takes one to two
seconds from an engine's memory or disk and eight from the weight store. Times
are seconds.

Policies are registered here by name.
"""

import dataclasses
from typing import Protocol

from wayslip import registry
from wayslip.decisions import load_timing

# Share of the latency target that a request waits for an adapter; the request
# can still be answered within the target.
_ADAPTER_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """A request whose model no engine can serve now.

    Attributes:
        waited: Time that it has waited already.
        target: Latency target of its route, from its arrival to the first part
            of the answer.
        expected: Time until the model can serve, None if no load is known.
        lacks_adapter_only: Whether an engine holds the model but not the
            adapter.
        timing: How long loads of its service take.
    """

    waited: float
    target: float
    expected: float | None = None
    lacks_adapter_only: bool = False
    timing: load_timing.Timing = load_timing.DEFAULT


class WaitPolicy(Protocol):
    """Decides how long a request waits."""

    def __call__(self, situation: Situation) -> float:
        """Returns the seconds to wait from now, 0 or less not to wait."""


WAIT_POLICIES: registry.Registry[WaitPolicy] = registry.Registry("patience")


@WAIT_POLICIES.register("target")
def wait_for_target(situation: Situation) -> float:
    """Waits as long as the answer can still arrive within the target."""
    timing, target = situation.timing, situation.target
    if situation.lacks_adapter_only:
        # An adapter loads in some ten milliseconds, but in a large fleet its
        # announcement reaches all instances later than the usual maximum wait:
        # with 195 instances, a quarter of the refusals were of such requests.
        return _ADAPTER_SHARE * target - situation.waited
    longer_wait = timing.expected_wait_share * target - situation.waited
    expected = situation.expected
    if expected is not None and expected + timing.known_after < longer_wait:
        return longer_wait
    return timing.unknown_wait_share * target - situation.waited
