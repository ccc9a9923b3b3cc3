"""Estimates how long a request holds a slot of an endpoint, by service.

Load pattern: all slots of an endpoint are in use, and the next request waits
until one becomes free. The slots become free one after the other, so each
queued request delays the next one by the time that a request holds a slot,
divided by the number of slots.
"""

# Weight of a sample: the mean of the last twenty, a few seconds' worth, since
# the requests of a service differ in length.
_WEIGHT = 0.05


class HoldTimes:
    """Mean seconds that a request holds a slot, at an endpoint of factor 1."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def learn(self, service: str, seconds: float, factor: float) -> None:
        """Records a completed request.

        Args:
            service: The endpoint's service.
            seconds: How long it held a slot.
            factor: Time factor of the endpoint meanwhile.
        """
        sample = seconds / factor
        known = self._means.get(service, sample)
        self._means[service] = known + (sample - known) * _WEIGHT

    def find_queue_cost(self, service: str, slots: int) -> float | None:
        """Returns the delay per queued request, seconds; None if unknown."""
        mean = self._means.get(service)
        return None if mean is None else mean / max(slots, 1)
