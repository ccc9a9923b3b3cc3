"""A token bucket as an immutable value."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Permits that come at a rate, up to a burst.

    Attributes:
        rate: Permits a second.
        burst: Most permits that are saved up.
    """

    rate: float
    burst: float
    permits: float
    at: float

    def take(self, now: float) -> "Bucket | None":
        """Returns the bucket with one permit less, None if there is none."""
        filled = min(self.burst, self.permits + self.rate * (now - self.at))
        if filled < 1:
            return None
        return dataclasses.replace(self, permits=filled - 1, at=now)
