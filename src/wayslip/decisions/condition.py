"""How well an endpoint answers, judged by its answers alone.

A health check is priced and says little: some endpoints fail requests while
their health is good. Shares run from 0 to 1, times are seconds.
"""

import dataclasses

# Weight of the newest answer; the last dozen or so decide.
_WEIGHT = 0.12
# Rest after the first failure that kept an endpoint from being reached; it
# doubles with each further one.
_FIRST_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 4.0
# A rate falls to half in this time without answers, so that an endpoint that
# was avoided is tried again.
_HALF_LIFE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The condition of one endpoint.

    Attributes:
        rate: Share of failures among its last answers.
        at: When the last answer came.
        misses: Times in a row that it could not be reached.
        rests_until: Until when it should not be used.
    """

    rate: float = 0.0
    at: float = 0.0
    misses: int = 0
    rests_until: float = 0.0

    def failure_rate(self, now: float) -> float:
        """Returns the share of failures that is expected now."""
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
        """Returns the condition after it was not reached or broke off."""
        backoff = min(
            _FIRST_BACKOFF_SECONDS * 2**self.misses, _MAX_BACKOFF_SECONDS
        )
        rate = self.failure_rate(now) * (1 - _WEIGHT) + _WEIGHT
        return Condition(rate, now, self.misses + 1, now + backoff)

    def is_backing_off(self, now: float) -> bool:
        """Whether it should not be used now."""
        return now < self.rests_until
