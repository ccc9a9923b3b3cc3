"""How long a request waits for its model, and when it is to come back.

Load pattern: more models are asked for than engines hold, and a request finds
its own nowhere. Whether it should wait at the instance or be refused depends on
when the model can serve: a load takes one to two seconds from an engine's
memory or disk and eight from the weight store. Times are seconds.

Ways to decide how long it waits are registered here under their names.
"""

import dataclasses
from typing import Protocol

from wayslip import registry

# Share of the latency target that a request waits for a model of which nothing
# is known. The planner begins a load within that, if it begins one.
_UNKNOWN_SHARE = 0.2
# The same for a model that is known to be there by then: it can still be
# answered in time.
EXPECTED_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a request whose model no engine can serve now.

    Attributes:
        waited: For which it has waited already.
        target: Of its route, from its arrival to the first part of an answer.
        expected: Until the model can serve, None if no load of it is known.
        lacks_adapter_only: Whether an engine holds the model, not the adapter.
    """

    waited: float
    target: float
    expected: float | None = None
    lacks_adapter_only: bool = False


class WaitPolicy(Protocol):
    """Decides how long a request waits."""

    def __call__(self, situation: Situation) -> float:
        """Returns the seconds to wait from now on, 0 or less for none."""


WAIT_POLICIES: registry.Registry[WaitPolicy] = registry.Registry("patience")


@WAIT_POLICIES.register("target")
def wait_for_target(situation: Situation) -> float:
    """Waits while the answer can still come within the target."""
    longer_wait = EXPECTED_SHARE * situation.target - situation.waited
    if situation.lacks_adapter_only:
        # An adapter takes some ten milliseconds. Until everybody has heard of
        # it a large fleet takes longer than the usual patience: with 195
        # instances a quarter of the refusals were of such requests.
        return longer_wait
    if situation.expected is not None and situation.expected < longer_wait:
        return longer_wait
    return _UNKNOWN_SHARE * situation.target - situation.waited
