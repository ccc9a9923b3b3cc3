"""Permits under the rate limit that an endpoint states for all instances.

The lease holder keeps a token bucket for each endpoint that states a limit and
grants its permits one at a time, on demand. Shares in proportion to demand, as
used for quotas, do not work here: a limit may be one request a second, and
each instance's share of that would be less than one request.

Rates are requests a second, times seconds.
"""

import dataclasses

from wayslip.decisions import quota

# Permits that may accumulate.
BURST = 2.0
# A permit is granted at most this long before it can be used, or for the next
# permit if that takes longer: permits granted in advance are still used after
# the lease changed hands, while the new holder grants permits of its own.
MAX_ADVANCE_SECONDS = 1.0
# Minimum rate, requests a second, for an endpoint with a limit of 0: only its
# answers tell when the limit ends.
MIN_RATE = 0.1
# Share of the permits for the instances' own calls, reports and orders. These
# are sent several times a second while an order is pending.
INTERNAL_CALLS_SHARE = 0.25
# Number of instances that use a limited endpoint, with equal shares, while the
# lease holder is not reachable. This also bounds the permits that they
# accumulate together.
MAX_USERS_WITHOUT_HOLDER = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a request for a permit.

    Attributes:
        is_granted: Whether the permit was granted.
        wait: Seconds from now until the permit may be used; if it was not
            granted, until one is available.
    """

    is_granted: bool
    wait: float = 0.0


GRANTED = Verdict(True)


@dataclasses.dataclass(frozen=True, slots=True)
class PermitBucket:
    """The token bucket of one endpoint.

    Attributes:
        rate: Permits granted per second.
        level: Available permits; below zero, permits were granted in advance.
        burst: Maximum number of available permits.
    """

    rate: float
    level: quota.Level
    burst: float = BURST

    @classmethod
    def begin(
        cls, rate: float, now: float, burst: float = BURST
    ) -> "PermitBucket":
        """Returns the bucket of an endpoint whose limit is newly known.

        It starts empty, to account for requests sent before the limit was
        stated or under a previous lease holder.
        """
        return cls(max(rate, MIN_RATE), quota.Level(0.0, now), burst)

    def change_rate(self, rate: float, now: float) -> "PermitBucket":
        """Returns the bucket with another limit from now on."""
        settled = self._settle(now)
        return dataclasses.replace(settled, rate=max(rate, MIN_RATE))

    def _settle(self, now: float) -> "PermitBucket":
        level = self.level.settle(self.rate, self.burst, now)
        return dataclasses.replace(self, level=level)

    def take(
        self, max_wait: float, now: float
    ) -> tuple["PermitBucket", Verdict]:
        """Takes a permit, or one that will be available soon.

        Args:
            max_wait: Seconds that the requester can wait for it.
            now: Seconds of the monotonic clock.

        Returns:
            The bucket afterwards, and the decision.
        """
        settled = self._settle(now)
        wait = max(1.0 - settled.level.units, 0.0) / self.rate
        longest = max(MAX_ADVANCE_SECONDS, 1.0 / self.rate)
        if wait > min(max_wait, longest):
            return settled, Verdict(False, wait)
        level = settled.level.spend(1.0)
        return dataclasses.replace(settled, level=level), Verdict(True, wait)

    def give_back(self, now: float) -> "PermitBucket":
        """Returns the bucket with a permit that was granted and not used."""
        settled = self._settle(now)
        level = settled.level.spend(-1.0)
        return dataclasses.replace(settled, level=level)._settle(now)


def find_share(rate: float, instances: int, draw: float) -> float | None:
    """Returns an instance's share of a limit without the lease holder.

    Args:
        rate: The limit.
        instances: Number of instances.
        draw: A number from [0, 1), constant for an instance and endpoint.

    Returns:
        The share, None if the endpoint is left to other instances.
    """
    users = min(MAX_USERS_WITHOUT_HOLDER, float(instances))
    if draw >= users / instances:
        return None
    return rate / users
