"""The shared budget of repeats, kept without talking for each request.

Over all instances, repeats within a window may not exceed a ratio of the
requests plus some slack. Every instance keeps to the ratio of its own
requests and to its even part of the slack, so the sum keeps to the whole.
"""

import collections
import dataclasses

# Kept back, because windows slide and instances are counted late.
_SAFETY_FACTOR = 0.7


@dataclasses.dataclass(frozen=True)
class Terms:
    """What the operators allow.

    Attributes:
        ratio: Repeats for each request.
        window: Seconds over which both are counted.
        slack: Repeats on top, over all instances.
    """

    ratio: float
    window: float
    slack: float


class Budget:
    """Repeats of one service at one instance."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def take(self, now: float, instances: int) -> bool:
        """Takes a repeat; returns whether there was one.

        Args:
            now: Steady seconds.
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
