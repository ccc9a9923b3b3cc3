"""A token bucket as an immutable value."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        rate: Permits added per second.
        burst: Maximum number of permits.
        permits: Permits available at the time `at`.
        at: When `permits` was computed, seconds.
    """

    rate: float
    burst: float
    permits: float
    at: float

    def take(self, now: float) -> "Bucket | None":
        """Returns the bucket after taking a permit, None if there is none."""
        filled = min(self.burst, self.permits + self.rate * (now - self.at))
        if filled < 1:
            return None
        return dataclasses.replace(self, permits=filled - 1, at=now)
