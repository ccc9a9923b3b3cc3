"""Places in the limit that an endpoint names for all instances together.

The lease's holder keeps an account for each endpoint that names a limit and
gives out its places one at a time, on demand. Parts in proportion to demand, as
quotas have them, do not serve here: a limit may be one request a second, and a
part of that is less than a request at every instance.

Rates are requests a second, times seconds.
"""

import dataclasses

from wayslip.decisions import quota

# Places that may be saved up.
BURST = 2.0
# A place is promised for this far ahead at most, seconds, or for the next one:
# a holder's promises are kept while its successor gives places out anew.
MAX_ADVANCE_SECONDS = 1.0
# An endpoint that wants nothing at all is asked so often, requests a second:
# only its answers tell when the limit ends.
MIN_RATE = 0.1
# Part of the places that our own calls may take: reports and orders. They come
# several times a second while an order is under way.
INTERNAL_CALLS_SHARE = 0.25
# While no holder is heard about so many instances use a limited endpoint, each
# with an even part. Together they save up so many places at most.
MAX_USERS_WITHOUT_HOLDER = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What was decided on a request for a place.

    Attributes:
        is_granted: Whether the place is the asker's.
        wait: Seconds from now until it may be used; if it was not granted,
            until one is free.
    """

    is_granted: bool
    wait: float = 0.0


GRANTED = Verdict(True)


@dataclasses.dataclass(frozen=True, slots=True)
class PermitBucket:
    """The places of one endpoint.

    Attributes:
        rate: That places are given at.
        level: Of the places saved up; below zero they are promised already.
        burst: The most that are saved up.
    """

    rate: float
    level: quota.Level
    burst: float = BURST

    @classmethod
    def begin(
        cls, rate: float, now: float, burst: float = BURST
    ) -> "PermitBucket":
        """Returns the account of an endpoint of which nothing is known.

        What went there before the limit was named, or by a holder before,
        counts too.
        """
        return cls(max(rate, MIN_RATE), quota.Level(0.0, now), burst)

    def change_rate(self, rate: float, now: float) -> "PermitBucket":
        """Returns the account under another limit from now on."""
        settled = self._settle(now)
        return dataclasses.replace(settled, rate=max(rate, MIN_RATE))

    def _settle(self, now: float) -> "PermitBucket":
        level = self.level.settle(self.rate, self.burst, now)
        return dataclasses.replace(self, level=level)

    def take(
        self, max_wait: float, now: float
    ) -> tuple["PermitBucket", Verdict]:
        """Takes a place, or one that will be free soon.

        Args:
            max_wait: Seconds that the asker can wait for it.
            now: Steady seconds.

        Returns:
            The account afterwards, and what was decided.
        """
        settled = self._settle(now)
        wait = max(1.0 - settled.level.units, 0.0) / self.rate
        longest = max(MAX_ADVANCE_SECONDS, 1.0 / self.rate)
        if wait > min(max_wait, longest):
            return settled, Verdict(False, wait)
        level = settled.level.spend(1.0)
        return dataclasses.replace(settled, level=level), Verdict(True, wait)


def find_share(rate: float, instances: int, draw: float) -> float | None:
    """Returns the part of a limit that an instance keeps to by itself.

    Args:
        rate: The limit.
        instances: How many instances there are.
        draw: From [0, 1), the same each time for an instance and endpoint.

    Returns:
        None if the endpoint is left to other instances.
    """
    users = min(MAX_USERS_WITHOUT_HOLDER, float(instances))
    if draw >= users / instances:
        return None
    return rate / users
