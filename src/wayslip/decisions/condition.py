"""Passive health of an endpoint: its failure rate and back-off.

Only answers to requests count. Health checks are charged for and are not
conclusive: some endpoints pass them and still fail requests. Rates are shares
from 0 to 1, times are seconds.
"""

import dataclasses

# Weight of the newest answer in the moving average; about the last twelve
# answers determine the rate.
_WEIGHT = 0.12
# Back-off after an endpoint was not reached for the first time; it doubles
# with each consecutive failure.
_FIRST_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 4.0
# Half-life of the failure rate without answers, so that an endpoint that was
# avoided gets requests again.
_HALF_LIFE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The health of one endpoint as seen in its answers.

    Attributes:
        rate: Share of failures among its last answers, at time `at`.
        at: When the last answer or connection failure was noted.
        misses: Consecutive failures to reach it.
        rests_until: End of its back-off; it should not be used before.
    """

    rate: float = 0.0
    at: float = 0.0
    misses: int = 0
    rests_until: float = 0.0

    def failure_rate(self, now: float) -> float:
        """Returns the failure rate, decayed to `now`."""
        return self.rate * 0.5 ** (max(now - self.at, 0.0) / _HALF_LIFE_SECONDS)

    def note(self, is_failure: bool, now: float) -> "Condition":
        """Returns the condition after an answer."""
        rate = self.failure_rate(now) * (1 - _WEIGHT)
        if is_failure:
            rate += _WEIGHT
        return dataclasses.replace(
            self, rate=rate, at=now, misses=0, rests_until=0.0
        )

    def note_unreachable(self, now: float) -> "Condition":
        """Returns the condition after a failed or broken connection."""
        backoff = min(
            _FIRST_BACKOFF_SECONDS * 2**self.misses, _MAX_BACKOFF_SECONDS
        )
        rate = self.failure_rate(now) * (1 - _WEIGHT) + _WEIGHT
        return Condition(rate, now, self.misses + 1, now + backoff)

    def is_backing_off(self, now: float) -> bool:
        """Whether the endpoint should not be used now."""
        return now < self.rests_until
