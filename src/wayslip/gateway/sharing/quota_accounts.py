"""The lease holder's accounts of what organisations have used.

Instances report cumulative sums, so that the next report compensates for a lost
one. See `decisions.quota`.
"""

from collections.abc import Iterable
import dataclasses

from wayslip import clock
from wayslip.decisions import demand as demand_module
from wayslip.decisions import organisations
from wayslip.decisions import quota as quota_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import limits

# Maximum number of organisations announced in one state, those with the least
# available units first. Each takes some 20 bytes.
_MAX_LEVELS = 200
# An instance not heard from for this long is charged at its last rate, because
# it may be disconnected and still forward requests.
_UNRESPONSIVE_SECONDS = 0.6
# After this time it is removed: it has stopped, or returns with its sums.
_REMOVAL_SECONDS = 5.0


@dataclasses.dataclass
class _Account:
    """Sums that one process of an instance reported for one organisation.

    Attributes:
        asked: Units of all requests.
        used: Units of the requests that were forwarded.
        assumed: Units charged for the time since its last report.
    """

    asked: float
    used: float
    assumed: float = 0.0


@dataclasses.dataclass
class _Member:
    """A reporting instance, with its accounts by organisation."""

    process: str
    number: int
    received_at: float
    accounts: dict[str, _Account]
    rates: demand_module.Rates[str]


class QuotaAccounts:
    """The lease holder's accounts of all organisations."""

    def __init__(
        self,
        holder: configuration.Holder,
        limiter: limits.Limiter,
        allowance: quota_module.Allowance,
    ) -> None:
        self._holder = holder
        self._allowance = allowance
        self._limiter = limiter
        self._levels: dict[str, quota_module.Level] = {}
        self._demand: demand_module.Rates[str] = demand_module.Rates(
            quota_module.DEMAND_DECAY_SECONDS
        )
        self._members: dict[str, _Member] = {}
        self._settled_at = 0.0
        self._began_at = 0.0

    def begin(self) -> None:
        """Starts a term with the levels that the previous holder announced."""
        now = clock.now()
        self._settled_at = now
        self._began_at = now
        self._members.clear()
        self._levels = {
            name: quota_module.Level(quota_level.level, now)
            for name, quota_level in self._limiter.levels.items()
        }
        for name, quota_level in self._limiter.levels.items():
            self._demand.set(name, quota_level.demand, now)

    def record_report(self, report: facts.Report) -> None:
        """Records an instance's sums, unless its report is outdated."""
        now = clock.now()
        member = self._members.get(report.instance)
        if member is None or member.process != report.process:
            rates = demand_module.Rates[str](quota_module.DEMAND_DECAY_SECONDS)
            member = _Member(report.process, -1, now, {}, rates)
            self._members[report.instance] = member
        if report.number <= member.number:
            return
        member.number, member.received_at = report.number, now
        reported = {s.organisation: s for s in report.spendings}
        for name, account in member.accounts.items():
            if name not in reported and account.assumed:
                self._spend(name, -account.assumed, now)
                account.assumed = 0.0
        for name, spending in reported.items():
            self._charge(member, name, spending, now)

    def _charge(
        self, member: _Member, name: str, spending: facts.Spending, now: float
    ) -> None:
        account = member.accounts.get(name)
        if account is None:
            # The earlier part of the sums was reported to a previous holder,
            # or to none.
            account = _Account(spending.asked, spending.known)
            member.accounts[name] = account
        asked = spending.asked - account.asked
        used = spending.used - account.used
        if asked > 0:
            self._demand.add(name, asked, now)
        if used > 0:
            member.rates.add(name, used, now)
        self._spend(name, used - account.assumed, now)
        member.accounts[name] = _Account(spending.asked, spending.used)

    def _spend(self, name: str, units: float, now: float) -> None:
        level = self._levels.get(name)
        if level is None:
            level = quota_module.Level(self._find_initial_units(name, now), now)
        self._levels[name] = level.spend(units)

    def _find_initial_units(self, name: str, now: float) -> float:
        """Returns the initial units of an organisation that was not announced.

        It has its whole burst if others were announced. If none was, the use
        before this term is unknown too, and the units accrue from its start.
        """
        quota = self._quotas().get(name)
        if quota is None:
            return 0.0
        burst = self._allowance.extend_burst(quota.rate, quota.burst)
        if self._limiter.levels:
            return burst
        return min(quota.rate * (now - self._began_at), burst)

    def _quotas(self) -> dict[str, organisations.Quota]:
        manifest = self._holder.manifest
        return {
            o.name: o.quota
            for o in (manifest.organisations if manifest else ())
            if o.quota.is_limited
        }

    def list_levels(self) -> tuple[facts.Level, ...]:
        """Returns the organisations' levels to announce."""
        now = clock.now()
        self._charge_unresponsive(now)
        quotas = self._quotas()
        self._levels = {n: v for n, v in self._levels.items() if n in quotas}
        found = []
        for name, level in self._levels.items():
            rate = quotas[name].rate
            burst = self._allowance.extend_burst(rate, quotas[name].burst)
            settled = level.settle(rate, burst, now)
            self._levels[name] = settled
            demand = self._demand.get(name, now)
            found.append(
                (
                    settled.units / (burst or rate),
                    facts.Level(name, round(settled.units), round(demand)),
                )
            )
        found.sort(key=lambda pair: pair[0])
        return tuple(level for _, level in found[:_MAX_LEVELS])

    def should_announce(self, announced: Iterable[facts.Level]) -> bool:
        """Whether an organisation reached its limit since the announcement."""
        now = clock.now()
        before = {level.organisation: level.level for level in announced}
        for name, quota in self._quotas().items():
            level = self._levels.get(name)
            if level is None:
                continue
            burst = self._allowance.extend_burst(quota.rate, quota.burst)
            demand = self._demand.get(name, now)
            low = quota_module.find_low_level(burst, demand)
            units = level.settle(quota.rate, burst, now).units
            if units <= low < before.get(name, burst):
                return True
        return False

    def _charge_unresponsive(self, now: float) -> None:
        """Charges instances not heard from for what they may forward."""
        elapsed = now - self._settled_at
        self._settled_at = now
        for instance, member in list(self._members.items()):
            silence = now - member.received_at
            if silence > _REMOVAL_SECONDS:
                del self._members[instance]
            elif silence > _UNRESPONSIVE_SECONDS:
                self._charge_assumed(member, elapsed, now)

    def _charge_assumed(
        self, member: _Member, seconds: float, now: float
    ) -> None:
        for name, account in member.accounts.items():
            units = member.rates.get(name, member.received_at) * seconds
            account.assumed += units
            self._spend(name, units, now)
