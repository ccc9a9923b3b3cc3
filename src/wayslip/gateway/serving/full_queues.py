"""Endpoints whose queues refused a request for lack of room."""

import random

from wayslip import clock
from wayslip.decisions import fleet
from wayslip.gateway.sharing import view as view_module

# Full queues that are remembered; the oldest are dropped.
_MAX_FULL = 1000


class FullQueues:
    """Queues that count as full for a while. Used on the event loop only."""

    def __init__(self, view: view_module.EndpointView) -> None:
        self._view = view
        self._rng = random.Random()
        # Steady seconds, by incarnation: a later one has a queue of its own.
        self._full_until: dict[fleet.Incarnation, float] = {}

    def note(self, endpoint: str, slot_seconds: float, target: float) -> bool:
        """Records that an endpoint refused a request for lack of room.

        Its queue counts as full until about half of its slots have been freed,
        but no longer than about the request's target, because news of room come
        by then. The time differs between instances, so that not all send at its
        end.

        Args:
            endpoint: The endpoint's name.
            slot_seconds: How long a request takes a slot, 0 if unknown.
            target: Latency target of the request, seconds.

        Returns:
            Whether the queue counts as full now.
        """
        tracked = self._view.tracked.get(endpoint)
        if tracked is None or slot_seconds <= 0:
            return False
        seconds = min(slot_seconds / 2, target) * self._rng.uniform(0.5, 1.5)
        incarnation = tracked.endpoint.incarnation
        self._full_until.pop(incarnation, None)
        self._full_until[incarnation] = clock.now() + seconds
        if len(self._full_until) > _MAX_FULL:
            del self._full_until[next(iter(self._full_until))]
        return True

    def find_seconds(self, endpoint: str) -> float:
        """Returns how long an endpoint's queue still counts as full."""
        tracked = self._view.tracked.get(endpoint)
        if tracked is None:
            return 0.0
        until = self._full_until.get(tracked.endpoint.incarnation, 0.0)
        return max(until - clock.now(), 0.0)
