"""Quotas over all instances, without a counter on the way of a request.

The instances report what is asked of them and what they sent on, as sums that
only rise, so that a lost report is made up for by the next. The lease's holder
keeps one level for each organisation and tells it with the demand. While the
level is high an instance admits whatever comes, up to the level until it hears
again. Once it is low each instance has a part of the rate in proportion to the
demand that it sees, and the level is steered back to zero.

The level can fall below zero by what is sent on before the instances hear that
it is low. With a demand of `d` times the rate and word that is `w` seconds late
that is at most (d - 1) w seconds of the rate, less the `LOW_SHARE` part of the
burst that was left. Of an allowance of a tenth over 8 s and a burst of 1 s,
0.9 s of the rate, that leaves room for a demand of 4.2 times the rate at
0.35 s.
"""

import dataclasses

# Part of the burst below which instances keep to their parts of the rate.
LOW_SHARE = 0.25
# What is asked for in this time may have been sent on before all have heard of
# it, seconds: a report and a state.
_REPORT_DELAY_SECONDS = 0.5
# Part of what is allowed beyond a quota that is given to the burst; the rest is
# for late word. Without it 6 in 100 of the units of an organisation with 4,200
# a second, asked for 0.55 of that in requests of 2,400, are refused beneath its
# quota, 17 at the worst of six days; with it none (simulated fleet of 90).
_ALLOWED_SHARE = 0.4
# An instance that has not heard a level yet takes the rate as spread over this
# many instances, and has saved up nothing but a part of a second. Where all
# instances were killed amid a demand of 4.8 times the usual, eight parts, and
# as much of the burst, exceed what is allowed by 0.4 to 1.1 s of the rate.
_INITIAL_INSTANCES = 20.0
_INITIAL_CREDIT_SECONDS = 0.5
# A difference from level zero is made up for in this time, seconds: three
# times what a report and a state take, so that it does not swing.
_CORRECTION_SECONDS = 1.0
# Demand fades in this time, seconds: long enough that clients who ask once or
# twice a second make an even demand.
DEMAND_DECAY_SECONDS = 1.0
# Once it is low, an instance saves up what it earns in so long, seconds. What
# more comes to instances that are seldom asked raises the level for all.
_MAX_CREDIT_SECONDS = 1.0
# Word that is older than this may be wrong about what is left, seconds: four
# states of the holder. An instance that hears nobody goes on with its part of
# the rate.
_STALE_SECONDS = 1.0
# Rates below this are none, units a second.
_MIN_RATE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What operators allow beyond a quota, over any window.

    Attributes:
        window: Seconds.
        over: Share of the rate and the burst in a window.
        slack: Units on top.
    """

    window: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    def extend_burst(self, rate: float, burst: float) -> float:
        """Returns the burst that instances keep to together."""
        allowed = self.over * (rate * self.window + burst) + self.slack
        return burst + allowed * _ALLOWED_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLevel:
    """What the holder tells of one organisation.

    Attributes:
        level: Units that may be sent on beside the rate; below zero they were
            sent on already.
        demand: Units asked for a second, at all instances.
    """

    level: float
    demand: float


def find_low_level(burst: float, demand: float) -> float:
    """Returns the level beneath which instances keep to their parts.

    Args:
        burst: Of the quota, stretched.
        demand: Units asked for a second.
    """
    return max(burst * LOW_SHARE, demand * _REPORT_DELAY_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """The holder's account of one organisation.

    Attributes:
        units: As of `at`.
        at: Steady seconds.
    """

    units: float
    at: float

    def settle(self, rate: float, burst: float, now: float) -> "Level":
        """Returns the level now; a burst that was lowered counts at once."""
        earned = rate * max(now - self.at, 0.0)
        return Level(min(self.units + earned, burst), now)

    def spend(self, units: float) -> "Level":
        """Returns the level after units were sent on."""
        return dataclasses.replace(self, units=self.units - units)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An instance's part of one organisation's quota.

    Attributes:
        rate, burst: Of the quota.
        announced: What the holder last told, None before that.
        announced_at: When it told that, steady seconds.
        credit: Units that may be sent on now.
        at: When that was worked out, steady seconds.
        local_demand: Units asked for a second, here.
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
        """Returns the share of an instance that has heard nothing."""
        credit = rate * _INITIAL_CREDIT_SECONDS / _INITIAL_INSTANCES
        return cls(rate, burst, credit=credit, at=now)

    @property
    def is_unrestricted(self) -> bool:
        """Whether the level is so high that parts of the rate do not count."""
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
        """This instance's part of what is asked of all."""
        demand = max(
            self.announced.demand if self.announced else 0.0, self.local_demand
        )
        return self.local_demand / demand if demand else 0.0

    def receive(self, announced: QuotaLevel, now: float) -> "Share":
        """Returns the share after the holder told a level."""
        before = self.settle(now)
        found = dataclasses.replace(
            before, announced=announced, announced_at=now
        )
        if found.is_unrestricted:
            return dataclasses.replace(found, credit=announced.level)
        if before.is_unrestricted:
            # What was free is not once the level is low; what is left of that
            # is for all in proportion.
            max_credit = max(announced.level, 0.0) * found.demand_share
            return dataclasses.replace(
                found, credit=min(found.credit, max_credit)
            )
        return found

    def settle(self, now: float) -> "Share":
        """Returns the share now."""
        elapsed = max(now - self.at, 0.0)
        max_credit = max(self.credit, self.refill * _MAX_CREDIT_SECONDS)
        credit = min(self.credit + self.refill * elapsed, max_credit)
        return dataclasses.replace(self, credit=credit, at=now)

    def admits(self, units: float) -> bool:
        """Whether a request may be sent on, of a share that is settled.

        One that is larger than what can be saved up needs all of that: parts
        of a small quota are less than a request. At the limit the smaller
        requests find their units there more often, as in one bucket for all.
        """
        needed = min(units, self.refill * _MAX_CREDIT_SECONDS)
        return self.credit > 0 and self.credit >= needed

    def spend(self, units: float) -> "Share":
        """Returns the share after units were sent on, or given back."""
        return dataclasses.replace(self, credit=self.credit - units)

    def find_wait(self, units: float) -> float:
        """Returns the seconds until a request of some units can be admitted."""
        needed = min(units, self.refill * _MAX_CREDIT_SECONDS)
        missing = max(needed - self.credit, 0.0)
        return missing / max(self.refill, _MIN_RATE)
