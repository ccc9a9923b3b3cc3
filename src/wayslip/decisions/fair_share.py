"""Weighted max-min fair shares of a service that is short of room.

Load pattern: an organisation sends several times its usual, below its quota, to
a service without room for all. Served in the order of arrival, all
organisations lose the same part of their requests. With shares, those that ask
for no more than their part of the room lose none to the others.

The lease holder computes one rate for each organisation. At each instance the
same fraction of an organisation's units is admitted, by a deficit counter, so
that the sum over all instances is the rate without splitting it among them.
Units are tokens of prompt and output.
"""

from collections.abc import Mapping
import dataclasses
import math

from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import profile

# Decay time of the measured rates. Shares that were lent return within a second
# of a change of demand: about half of it passes until reports and states have
# reached all instances.
DECAY_SECONDS = 0.5
# A service is short of room from the first share of units that could not be
# sent, until it falls below the second. Below a tenth, refusals are within what
# clients make up for by a retry; the gap keeps noise from toggling the state.
_SHORT_SHARE = 0.1
_ENOUGH_SHARE = 0.05
# Units a second below which no room is shared: a few requests, whose rate says
# nothing about what a service can run.
_MIN_RATE_SHARED = 1000.0
# Decay time of the room. It is overestimated while queues fill up, because more
# is sent to endpoints than they work off.
_ROOM_DECAY_SECONDS = 1.0
# Share of the room that is divided. The rest lets queues drain below the length
# at which anyone is refused; requests that start in time use it.
_DIVIDED_SHARE = 0.9
# Decay time of the sustained demand, and how many times the guaranteed part it
# must be to count: with seven requests a second it deviates by an eighth, and
# by twice as much in one of forty cases. A demand of six times the guaranteed
# part counts within half a second.
SUSTAINED_SECONDS = 4.0
_TOLERANCE = 1.25
# Shorter times between two reports count as this: datagrams that arrive
# together were not sent together.
_MIN_REPORT_SECONDS = 0.05
# An organisation's credit and debt at an instance, in seconds of its share: as
# long as lent room may take to return.
_MAX_CREDIT_SECONDS = 1.0
# Share of the largest credit that the least urgent requests leave to others.
# It is the same for all sizes: with more, large requests hardly ever pass.
_MAX_RESERVE = 0.5
# Age at which shares no longer count. It covers the expiry of a lease and the
# first second of the next holder.
KEEP_SECONDS = 5.0
# The least urgent rank; see `urgency`.
_MAX_RANK = 9
_MIN_RATE = 1e-6


def measure(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the units of a request; at least 1."""
    return float(max(prompt_tokens + output_tokens, 1))


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a configuration says about shares.

    Attributes:
        services: Services whose room is shared.
        weights: Weight of each organisation; their sum is 1.
        targets: The shortest latency target of the requests that one of a
            service and route priority delays, seconds: those of the same
            priority and less urgent ones.
    """

    services: frozenset[str] = frozenset()
    weights: Mapping[str, float] = dataclasses.field(default_factory=dict)
    targets: Mapping[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )

    def covers(self, service: str, organisation: str) -> bool:
        """Whether an organisation has a share of a service."""
        return service in self.services and organisation in self.weights


NO_TERMS = Terms()


def find_terms(manifest: manifest_module.Manifest | None) -> Terms:
    """Returns the terms of a configuration, `NO_TERMS` without one."""
    if manifest is None:
        return NO_TERMS
    services = frozenset(
        name
        for name in manifest.services
        if profile.find_profile(manifest, name).shares_room
    )
    if not services:
        return NO_TERMS
    targets = {
        (name, route.priority): _find_target(manifest, name, route.priority)
        for name in services
        for route in _list_routes(manifest, name)
    }
    return Terms(services, _find_weights(manifest), targets)


def _list_routes(
    manifest: manifest_module.Manifest, service: str
) -> list[manifest_module.Route]:
    return [
        route
        for route in manifest.routes
        if any(split.service == service for split in route.splits)
    ]


def _find_target(
    manifest: manifest_module.Manifest, service: str, priority: int
) -> float:
    """Returns the shortest target of a priority and those less urgent."""
    return min(
        route.target
        for route in _list_routes(manifest, service)
        if route.priority >= priority
    )


def _find_weights(manifest: manifest_module.Manifest) -> dict[str, float]:
    """Weighs by quota rates, equally if these can not be compared."""
    quotas = {o.name: o.quota for o in manifest.organisations}
    units = {q.unit for q in quotas.values()}
    is_comparable = len(units) == 1 and all(
        q.is_limited for q in quotas.values()
    )
    weights = {n: q.rate if is_comparable else 1.0 for n, q in quotas.items()}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def divide(
    room: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Returns the rate of each organisation that asks for something.

    Args:
        room: Units a second that the service can run.
        demands: Units a second that organisations ask for.
        weights: Weights of all organisations; their sum is 1.
    """
    rates: dict[str, float] = {}
    left = room * _DIVIDED_SHARE
    weight_left = sum(weights[name] for name in demands)
    # By the level that would satisfy each: whoever needs less leaves the rest
    # to those behind.
    for name in sorted(demands, key=lambda n: demands[n] / weights[n]):
        part = left * weights[name] / weight_left if weight_left > 0 else 0.0
        granted = min(part, demands[name])
        left = max(left - granted, 0.0)
        weight_left -= weights[name]
        rates[name] = max(granted, find_guaranteed(room, weights[name]))
    return rates


def find_guaranteed(room: float, weight: float) -> float:
    """Returns the rate that an organisation has whatever others ask for."""
    return room * _DIVIDED_SHARE * weight


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a service was able to run lately.

    Attributes:
        rate: Units a second.
        is_short: Whether more is asked for.
        at: When it was observed, seconds of the monotonic clock.
    """

    rate: float = 0.0
    is_short: bool = False
    at: float = 0.0

    def observe(self, asked: float, used: float, now: float) -> "Room":
        """Returns the room after another observation.

        Args:
            asked: Units a second that arrive.
            used: Units a second that are sent to endpoints.
            now: Seconds of the monotonic clock.
        """
        elapsed = max(now - self.at, 0.0)
        decayed = self.rate * math.exp(-elapsed / _ROOM_DECAY_SECONDS)
        limit = _ENOUGH_SHARE if self.is_short else _SHORT_SHARE
        rate = max(used, decayed)
        # Refusals because of shares alone must not keep a service short: more
        # must be asked for than it could run.
        is_short = (
            asked - used > limit * asked
            and asked > rate
            and rate >= _MIN_RATE_SHARED
        )
        return Room(rate, is_short, now)


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Rates of one organisation at one instance, updated by each report.

    They hold until the next report, so that their sum over all instances is
    steady whenever these report.

    Attributes:
        demand: Units a second asked for, over `DECAY_SECONDS`.
        sustained_demand: The same over `SUSTAINED_SECONDS`.
        used: Units a second sent to endpoints, over `DECAY_SECONDS`.
    """

    demand: float = 0.0
    sustained_demand: float = 0.0
    used: float = 0.0

    def update(self, asked: float, used: float, seconds: float) -> "Flow":
        """Returns the rates after a report.

        Args:
            asked: Units asked for since the report before.
            used: Units sent to endpoints since then, less those that were not
                run; may be negative.
            seconds: Time since then; long if reports were lost.
        """
        seconds = max(seconds, _MIN_REPORT_SECONDS)
        asked_rate, used_rate = asked / seconds, used / seconds
        fast = math.exp(-seconds / DECAY_SECONDS)
        slow = math.exp(-seconds / SUSTAINED_SECONDS)
        return Flow(
            self.demand * fast + asked_rate * (1 - fast),
            self.sustained_demand * slow + asked_rate * (1 - slow),
            self.used * fast + used_rate * (1 - fast),
        )

    def replace(self, before: "Flow", after: "Flow") -> "Flow":
        """Returns a sum of rates in which those of one instance changed."""
        return Flow(
            max(self.demand + after.demand - before.demand, 0.0),
            max(
                self.sustained_demand
                + after.sustained_demand
                - before.sustained_demand,
                0.0,
            ),
            max(self.used + after.used - before.used, 0.0),
        )


NO_FLOW = Flow()


def find_excess_demand(flow: Flow, rate: float, guaranteed: float) -> float:
    """Returns the demand that counts against an organisation's rate.

    It exceeds the rate only if the sustained demand is well above what the
    weight guarantees: with some requests a second, the momentary demand is
    often half as much again.

    Args:
        flow: Its rates over all instances.
        rate: Units a second that it may use.
        guaranteed: Its part of the room under its weight.
    """
    if flow.sustained_demand > guaranteed * _TOLERANCE:
        return flow.demand
    return min(flow.demand, rate)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An organisation's share of a service that is short of room.

    Attributes:
        rate: Units a second that it may use over all instances.
        demand: Units a second that it asks for over all instances.
    """

    rate: float
    demand: float

    @property
    def fraction(self) -> float:
        """Fraction of its units that it may use."""
        return min(self.rate / max(self.demand, _MIN_RATE), 1.0)

    @property
    def is_exceeded(self) -> bool:
        """Whether it asks for more than its share."""
        return self.demand > self.rate


@dataclasses.dataclass(frozen=True, slots=True)
class Deficit:
    """Deficit counter of an organisation above its share at one instance.

    Attributes:
        credit: Units that it may use; negative if it used more.
        limit: Largest credit or debt.
    """

    credit: float = 0.0
    limit: float = 0.0

    @classmethod
    def begin(cls, units: float, phase: float) -> "Deficit":
        """Returns the counter before the first request.

        Args:
            units: Units of that request.
            phase: Share of it that is owed, from [0, 1), spread evenly over the
                instances. Otherwise each would admit its first request, which
                is many times the share where it gets one in some seconds.
        """
        return cls(-units * phase, units)

    def earn(self, units: float, share: Share, local: float) -> "Deficit":
        """Returns the counter after a request arrived.

        Args:
            units: Units of the request.
            share: The share of its organisation.
            local: Units a second that it asks for at this instance.
        """
        fraction = share.fraction
        limit = max(units, local * fraction * _MAX_CREDIT_SECONDS)
        return Deficit(min(self.credit + units * fraction, limit), limit)

    def spend(self, units: float) -> "Deficit":
        """Returns the counter after a request was sent to an endpoint."""
        limit = max(self.limit, units)
        return dataclasses.replace(
            self, credit=max(self.credit - units, -limit)
        )

    def refund(self, units: float) -> "Deficit":
        """Returns the counter after a request that was sent was not run."""
        credit = min(self.credit + units, self.limit)
        return dataclasses.replace(self, credit=credit)

    def find_missing(self, rank: int) -> float:
        """Returns the units that a request lacks; 0 or less admits it.

        Args:
            rank: Its urgency, 0 is the most urgent. Ranks that are less urgent
                leave credit to those before them.
        """
        urgent_part = min(max(rank, 0), _MAX_RANK) / _MAX_RANK
        needed = self.limit * urgent_part * _MAX_RESERVE
        if self.credit > 0 and self.credit >= needed:
            return 0.0
        return max(needed - self.credit, _MIN_RATE)


def find_wait(missing: float, share: Share, local: float) -> float:
    """Returns the seconds until an organisation has earned missing units.

    At most those after which its share may be another one.

    Args:
        missing: Units that it lacks at this instance.
        share: Its share.
        local: Units a second that it asks for at this instance.
    """
    earned = max(share.fraction * local, _MIN_RATE)
    return min(missing / earned, KEEP_SECONDS)
