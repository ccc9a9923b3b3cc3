"""The lease's holder's accounts of what organisations have sent.

Instances tell sums that only rise, so that a lost report is made up for by the
next. See `decisions.quota`.
"""

from collections.abc import Iterable
import dataclasses

from wayslip import clock
from wayslip.decisions import demand as demand_module
from wayslip.decisions import organisations
from wayslip.decisions import quota as quota_module
from wayslip.gateway import configuration
from wayslip.gateway import facts
from wayslip.gateway import limits

# Organisations told of with one state, those with the least left first; each
# takes some 20 bytes of it.
_WORDS_MOST = 200
# An instance that was silent for this long is charged what it last sent on, as
# it may be cut off and go on, seconds.
_SILENT_SECONDS = 0.6
# After this it has stopped, or comes back with its sums, seconds.
_GONE_SECONDS = 5.0


@dataclasses.dataclass
class _Account:
    """What one process of an instance told, for one organisation.

    Attributes:
        assumed: Charged for the time in which it is silent.
    """

    asked: float
    used: float
    assumed: float = 0.0


@dataclasses.dataclass
class _Member:
    """An instance that reports; its accounts by organisation."""

    process: str
    number: int
    heard: float
    accounts: dict[str, _Account]
    rates: demand_module.Rates[str]


class QuotaAccounts:
    """The lease's holder's accounts of all organisations."""

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
            quota_module.FADING_SECONDS
        )
        self._members: dict[str, _Member] = {}
        self._settled_at = 0.0
        self._began_at = 0.0

    def begin(self) -> None:
        """Begins a term with what the holder before told last."""
        now = clock.now()
        self._settled_at = now
        self._began_at = now
        self._members.clear()
        self._levels = {
            name: quota_module.Level(word.level, now)
            for name, word in self._limiter.levels.items()
        }
        for name, word in self._limiter.levels.items():
            self._demand.set(name, word.demand, now)

    def take(self, report: facts.Report) -> None:
        """Takes in an instance's sums."""
        now = clock.now()
        member = self._members.get(report.instance)
        if member is None or member.process != report.process:
            rates = demand_module.Rates[str](quota_module.FADING_SECONDS)
            member = _Member(report.process, -1, now, {}, rates)
            self._members[report.instance] = member
        if report.number <= member.number:
            return
        member.number, member.heard = report.number, now
        told = {s.organisation: s for s in report.spendings}
        for name, account in member.accounts.items():
            if name not in told and account.assumed:
                self._spend(name, -account.assumed, now)
                account.assumed = 0.0
        for name, spending in told.items():
            self._charge(member, name, spending, now)

    def _charge(
        self, member: _Member, name: str, spending: facts.Spending, now: float
    ) -> None:
        account = member.accounts.get(name)
        if account is None:
            # Before this the process told the holder before us, or nobody.
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
            level = quota_module.Level(self._find_start(name, now), now)
        self._levels[name] = level.spend(units)

    def _find_start(self, name: str, now: float) -> float:
        """Returns the level of an organisation that nobody told of.

        While others are told of, it has its whole burst. Where nothing is
        known, what was sent on before our term is not known either.
        """
        quota = self._quotas().get(name)
        if quota is None:
            return 0.0
        burst = self._allowance.stretch(quota.rate, quota.burst)
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

    def list_words(self) -> tuple[facts.Level, ...]:
        """Returns what is told of the levels now."""
        now = clock.now()
        self._charge_silent(now)
        quotas = self._quotas()
        self._levels = {n: v for n, v in self._levels.items() if n in quotas}
        found = []
        for name, level in self._levels.items():
            rate = quotas[name].rate
            burst = self._allowance.stretch(rate, quotas[name].burst)
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
        return tuple(level for _, level in found[:_WORDS_MOST])

    def is_news(self, told: Iterable[facts.Level]) -> bool:
        """Whether an organisation has come to its limit since that was told."""
        now = clock.now()
        before = {level.organisation: level.level for level in told}
        for name, quota in self._quotas().items():
            level = self._levels.get(name)
            if level is None:
                continue
            burst = self._allowance.stretch(quota.rate, quota.burst)
            demand = self._demand.get(name, now)
            low = quota_module.find_low(burst, demand)
            units = level.settle(quota.rate, burst, now).units
            if units <= low < before.get(name, burst):
                return True
        return False

    def _charge_silent(self, now: float) -> None:
        """Charges instances that are not heard what they may send on."""
        elapsed = now - self._settled_at
        self._settled_at = now
        for instance, member in list(self._members.items()):
            silence = now - member.heard
            if silence > _GONE_SECONDS:
                del self._members[instance]
            elif silence > _SILENT_SECONDS:
                self._assume(member, elapsed, now)

    def _assume(self, member: _Member, seconds: float, now: float) -> None:
        for name, account in member.accounts.items():
            units = member.rates.get(name, member.heard) * seconds
            account.assumed += units
            self._spend(name, units, now)
