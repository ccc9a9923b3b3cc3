"""Quotas over all instances, without a shared counter on the request path.

Each instance reports the units requested and the units sent on as sums that
never decrease, so that the next report makes up for a lost one. The lease
holder keeps one level of available units for each organisation and announces
it together with the demand. While the level is high, an instance admits every
request, up to the level, until the next announcement. Once the level is low,
each instance gets a share of the rate in proportion to its local demand, and
the level is steered back to zero.

The level can fall below zero by the units that are sent on before the
instances learn that it is low. With a demand of `d` times the rate and an
announcement delay of `w` seconds that is at most (d - 1) w seconds of the
rate, less the `LOW_SHARE` of the burst that was left. With an allowance of a
tenth over 8 s and a burst of 1 s, 0.9 s of the rate, that tolerates a demand
of 4.2 times the rate at a delay of 0.35 s.
"""

import dataclasses

# Share of the burst below which instances keep to their shares of the rate.
LOW_SHARE = 0.25
# Delay until all instances know of a request: one report interval plus one
# state interval. Units requested in this time may have been sent on unnoticed.
_REPORT_DELAY_SECONDS = 0.5
# Share of the allowance that is added to the burst; the rest covers delayed
# announcements. Without it, requests that are large compared with the rate are
# refused below the quota: in a simulated fleet of 90 instances 6 % of the units
# at 0.55 of a quota of 4,200 a second in requests of 2,400, and none with it.
_ALLOWED_SHARE = 0.4
# An instance that has not received a level yet assumes that the rate is shared
# by this many instances, and starts with credit for a fraction of a second.
# With eight shares, and as much of the burst, a restart of all instances at
# 4.8 times the usual demand exceeds the allowance by 0.4 to 1.1 s of the rate.
_INITIAL_INSTANCES = 20.0
_INITIAL_CREDIT_SECONDS = 0.5
# Time in which a deviation of the level from zero is corrected: three times the
# delay of a report and a state, so that the level does not oscillate.
_CORRECTION_SECONDS = 1.0
# Decay time of the measured demand: long enough that clients with one or two
# requests a second give a steady value.
DEMAND_DECAY_SECONDS = 1.0
# While the level is low, an instance accumulates credit for at most this time.
# Rate that instances with little demand leave unused raises the common level.
_MAX_CREDIT_SECONDS = 1.0
# Age after which an announced level no longer counts as available units: four
# state intervals of the holder. Without newer announcements an instance
# continues with its share of the rate.
_STALE_SECONDS = 1.0
# Lower bound of the rate in the computation of a wait, units a second.
_MIN_RATE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """The excess over a quota that operators tolerate in any window.

    Attributes:
        window: Length of the window, seconds.
        over: Tolerated excess, as a share of the rate and burst in a window.
        slack: Tolerated units in addition.
    """

    window: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    def extend_burst(self, rate: float, burst: float) -> float:
        """Returns the burst that all instances together may use."""
        allowed = self.over * (rate * self.window + burst) + self.slack
        return burst + allowed * _ALLOWED_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLevel:
    """The lease holder's announcement for one organisation.

    Attributes:
        level: Units available in addition to the rate; negative if more was
            sent on already.
        demand: Units requested per second, at all instances.
    """

    level: float
    demand: float


def find_low_level(burst: float, demand: float) -> float:
    """Returns the level below which instances keep to their shares.

    Args:
        burst: Burst of the quota, with the allowance.
        demand: Units requested per second.
    """
    return max(burst * LOW_SHARE, demand * _REPORT_DELAY_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """The lease holder's count of one organisation's available units.

    Attributes:
        units: Available units at the time `at`.
        at: Seconds of the monotonic clock.
    """

    units: float
    at: float

    def settle(self, rate: float, burst: float, now: float) -> "Level":
        """Returns the current level; a lowered burst applies at once."""
        earned = rate * max(now - self.at, 0.0)
        return Level(min(self.units + earned, burst), now)

    def spend(self, units: float) -> "Level":
        """Returns the level after units were sent on."""
        return dataclasses.replace(self, units=self.units - units)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An instance's share of one organisation's quota.

    Attributes:
        rate: Units per second of the quota.
        burst: Burst of the quota.
        announced: The last announcement of the lease holder, None before any.
        announced_at: When it was received, seconds of the monotonic clock.
        credit: Units that may be sent on now.
        at: When `credit` was computed, seconds of the monotonic clock.
        local_demand: Units requested per second at this instance.
    """

    rate: float
    burst: float
    announced: QuotaLevel | None = None
    announced_at: float = 0.0
    credit: float = 0.0
    at: float = 0.0
    local_demand: float = 0.0

    @classmethod
    def begin(cls, rate: float, burst: float, now: float) -> "Share":
        """Returns the share of an instance without any announcement."""
        credit = rate * _INITIAL_CREDIT_SECONDS / _INITIAL_INSTANCES
        return cls(rate, burst, credit=credit, at=now)

    @property
    def is_unrestricted(self) -> bool:
        """Whether the level is high enough to ignore the shares of the rate."""
        if self.announced is None:
            return False
        return self.announced.level > find_low_level(
            self.burst, self.announced.demand
        )

    @property
    def refill(self) -> float:
        """Units a second that this instance may send on."""
        if self.announced is None:
            return self.rate / _INITIAL_INSTANCES
        level = self.announced.level
        if self.at - self.announced_at > _STALE_SECONDS:
            level = min(level, 0.0)
        return (
            max(self.rate + level / _CORRECTION_SECONDS, 0.0)
            * self.demand_share
        )

    @property
    def demand_share(self) -> float:
        """This instance's share of the total demand."""
        demand = max(
            self.announced.demand if self.announced else 0.0, self.local_demand
        )
        return self.local_demand / demand if demand else 0.0

    def receive(self, announced: QuotaLevel, now: float) -> "Share":
        """Returns the share after the lease holder announced a level."""
        before = self.settle(now)
        found = dataclasses.replace(
            before, announced=announced, announced_at=now
        )
        if found.is_unrestricted:
            return dataclasses.replace(found, credit=announced.level)
        if before.is_unrestricted:
            # The level fell below the threshold: the units left are divided
            # among the instances in proportion to their demand.
            max_credit = max(announced.level, 0.0) * found.demand_share
            return dataclasses.replace(
                found, credit=min(found.credit, max_credit)
            )
        return found

    def settle(self, now: float) -> "Share":
        """Returns the share with its current credit."""
        elapsed = max(now - self.at, 0.0)
        max_credit = max(self.credit, self.refill * _MAX_CREDIT_SECONDS)
        credit = min(self.credit + self.refill * elapsed, max_credit)
        return dataclasses.replace(self, credit=credit, at=now)

    def admits(self, units: float) -> bool:
        """Whether a request may be sent on; the share must be settled.

        A request that is larger than the maximum credit needs all of it, as a
        share of a small quota may be less than one request. At the limit,
        smaller requests are admitted more often, as with a single bucket.
        """
        needed = min(units, self.refill * _MAX_CREDIT_SECONDS)
        return self.credit > 0 and self.credit >= needed

    def spend(self, units: float) -> "Share":
        """Returns the share after units were sent on, or returned."""
        return dataclasses.replace(self, credit=self.credit - units)

    def find_wait(self, units: float) -> float:
        """Returns the seconds until a request can be admitted."""
        needed = min(units, self.refill * _MAX_CREDIT_SECONDS)
        missing = max(needed - self.credit, 0.0)
        return missing / max(self.refill, _MIN_RATE)
