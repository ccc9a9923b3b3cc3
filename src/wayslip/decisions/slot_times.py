"""Estimates how long requests take a slot of an endpoint, by service.

Load pattern: all slots of an endpoint are in use. A queued request then waits
for the slots of those ahead of it, which takes longer than reading their
prompts where answers are long. Times are seconds.
"""

# Weight of a new sample: some tens of requests, so that a single long answer
# doesn't change the estimate much and a change of the mix shows in seconds.
_WEIGHT = 0.05


class SlotTimes:
    """Mean time of requests that did not queue. Bounded by the services."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def learn(self, service: str, seconds: float) -> None:
        """Records how long a request took that found a free slot."""
        known = self._means.get(service, seconds)
        self._means[service] = known + (seconds - known) * _WEIGHT

    def estimate(self, service: str) -> float:
        """Returns the mean time in a slot, 0 if no request was seen yet."""
        return self._means.get(service, 0.0)
