"""This instance's shares of organisations' quotas; see `decisions.quota`."""

import dataclasses

from wayslip import clock
from wayslip.decisions import demand as demand_module
from wayslip.decisions import organisations
from wayslip.decisions import quota as quota_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts

# Share of an announced level that may be used before an early report is due.
_MAX_UNREPORTED_SHARE = 0.08
# Minimum time between early reports.
_MIN_EARLY_REPORT_SECONDS = 0.08
# Sums are repeated in reports for this long after their last change. That is
# several reports, so that a lost one delays the accounting but doesn't distort
# it.
_REPORT_REPEAT_SECONDS = 2.0


@dataclasses.dataclass
class _UsageSums:
    """Units that this instance was asked for and used, since its start.

    Attributes:
        asked: Units of all requests.
        used: Units of requests that were admitted, less refunds.
        reported: `used` as last reported.
        counted: `reported` when the lease holder's state last arrived: what its
            levels take into account.
        known: `counted` when the first state of a new term arrived.
        changed_at: When one of the sums last changed, steady seconds.
        unreported: Units used since the last report.
    """

    asked: float = 0.0
    used: float = 0.0
    reported: float = 0.0
    counted: float = 0.0
    known: float = 0.0
    changed_at: float = 0.0
    unreported: float = 0.0


class Limiter:
    """Enforces this instance's quota shares. Used on the event loop only."""

    def __init__(
        self,
        holder: configuration.Holder,
        allowance: quota_module.Allowance,
    ) -> None:
        self._holder = holder
        self._allowance = allowance
        self._shares: dict[str, quota_module.Share] = {}
        self._sums: dict[str, _UsageSums] = {}
        self._demand: demand_module.Rates[str] = demand_module.Rates(
            quota_module.DEMAND_DECAY_SECONDS
        )
        self._levels: dict[str, quota_module.QuotaLevel] = {}
        self._term = 0
        self._received_at: float | None = None
        self._reported_at = 0.0

    @property
    def levels(self) -> dict[str, quota_module.QuotaLevel]:
        """Levels last received from the lease holder, by organisation."""
        return self._levels

    def admit(
        self, organisation: organisations.Organisation, units: float
    ) -> float | None:
        """Decides whether a request is within its organisation's quota.

        Returns:
            None if it is admitted, with its units used; otherwise the seconds
            until it could be.
        """
        name, quota = organisation.name, organisation.quota
        if not quota.is_limited:
            return None
        now = clock.now()
        self._demand.add(name, units, now)
        sums = self._sums.setdefault(name, _UsageSums())
        sums.asked += units
        sums.changed_at = now
        share = self._find_share(name, quota, now)
        self._shares[name] = share
        if not share.admits(units):
            return share.find_wait(units)
        self._spend(name, units)
        return None

    def refund(
        self, organisation: organisations.Organisation, units: float
    ) -> None:
        """Gives back the units of an admitted request that was not run."""
        if organisation.name in self._shares:
            self._spend(organisation.name, -units)

    def _spend(self, name: str, units: float) -> None:
        self._shares[name] = self._shares[name].spend(units)
        sums = self._sums[name]
        sums.used += units
        sums.unreported += units
        sums.changed_at = clock.now()

    def _find_share(
        self, name: str, quota: organisations.Quota, now: float
    ) -> quota_module.Share:
        """Returns the current share under the quota in force."""
        share = self._shares.get(name)
        burst = self._allowance.extend_burst(quota.rate, quota.burst)
        if share is None:
            share = quota_module.Share.begin(quota.rate, burst, now)
            quota_level = self._find_level(name, quota)
            if quota_level is not None:
                share = share.receive(quota_level, self._received_at or now)
        elif (share.rate, share.burst) != (quota.rate, burst):
            credit = min(share.credit, burst)
            share = dataclasses.replace(
                share, rate=quota.rate, burst=burst, credit=credit
            )
        own = self._demand.get(name, now)
        return dataclasses.replace(share.settle(now), local_demand=own)

    def _find_level(
        self, name: str, quota: organisations.Quota
    ) -> quota_module.QuotaLevel | None:
        """Returns the announced level, None before the first state.

        An organisation without an announced level has its whole burst.
        """
        if self._received_at is None:
            return None
        burst = self._allowance.extend_burst(quota.rate, quota.burst)
        return self._levels.get(name, quota_module.QuotaLevel(burst, 0.0))

    # Exchange with the lease holder

    def apply_state(self, state: facts.State) -> None:
        """Applies the quota levels in the lease holder's state."""
        now = clock.now()
        is_new = state.term != self._term
        for sums in self._sums.values():
            if is_new:
                sums.known = sums.counted
            sums.counted = sums.reported
        self._term = state.term
        self._received_at = now
        self._levels = {
            w.organisation: quota_module.QuotaLevel(w.level, w.demand)
            for w in state.levels
        }
        manifest = self._holder.manifest
        for one in manifest.organisations if manifest else ():
            share = self._shares.get(one.name)
            if share is None or not one.quota.is_limited:
                continue
            quota_level = self._find_level(one.name, one.quota)
            assert quota_level is not None
            found = self._find_share(one.name, one.quota, now)
            self._shares[one.name] = found.receive(quota_level, now)

    @property
    def is_report_due(self) -> bool:
        """Whether enough units were used that an early report is due."""
        now = clock.now()
        if now - self._reported_at < _MIN_EARLY_REPORT_SECONDS:
            return False
        return any(
            share.is_unrestricted
            and share.announced is not None
            and self._sums[name].unreported
            > share.announced.level * _MAX_UNREPORTED_SHARE
            for name, share in self._shares.items()
        )

    def list_spendings(self) -> tuple[facts.Spending, ...]:
        """Returns the sums for a report and marks them as reported."""
        now = clock.now()
        self._reported_at = now
        found = []
        for name, sums in self._sums.items():
            sums.unreported = 0.0
            sums.reported = sums.used
            if now - sums.changed_at < _REPORT_REPEAT_SECONDS:
                found.append(
                    facts.Spending(
                        name,
                        round(sums.asked),
                        round(sums.used),
                        round(sums.known),
                    )
                )
        return tuple(found)
