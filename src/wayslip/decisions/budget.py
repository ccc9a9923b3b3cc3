"""Retry budget shared by all instances without coordination per request.

Over all instances, the retries within a window may not exceed a ratio of the
requests plus some slack. Every instance applies the ratio to its own requests
and takes an even share of the slack, so the sum stays within the budget.
"""

import collections
import dataclasses

# Share of the budget that is used. The rest covers sliding windows and changes
# in the number of instances that are seen late.
_SAFETY_FACTOR = 0.7


@dataclasses.dataclass(frozen=True)
class Terms:
    """The budget that operators configure.

    Attributes:
        ratio: Retries allowed for each request.
        window: Seconds over which requests and retries are counted.
        slack: Additional retries over all instances.
    """

    ratio: float
    window: float
    slack: float


class Budget:
    """The retry budget of one service at one instance."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def take(self, now: float, instances: int) -> bool:
        """Takes a retry from the budget; returns whether it was allowed.

        Args:
            now: Seconds of a monotonic clock.
            instances: Instances that share the slack.
        """
        self._drop_expired(now)
        allowed = len(self._requests) * self._terms.ratio
        allowed += self._terms.slack / max(instances, 1)
        if len(self._retries) + 1 > allowed * _SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        limit = now - self._terms.window
        for times in (self._requests, self._retries):
            while times and times[0] < limit:
                times.popleft()
