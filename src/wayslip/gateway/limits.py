"""An instance's parts of organisations' quotas; see `decisions.quota`."""

import dataclasses

from wayslip import clock
from wayslip.decisions import demand as demand_module
from wayslip.decisions import organisations
from wayslip.decisions import quota as quota_module
from wayslip.gateway import configuration
from wayslip.gateway import facts

# Part of a told level that an instance sends on before it reports at once.
_MAX_UNREPORTED_SHARE = 0.08
# Between reports that are given for that, seconds.
_MIN_EARLY_REPORT_SECONDS = 0.08
# Sums are told again for so long after their last change, seconds: several
# reports, so that a lost one delays an account and does not falsify it.
_REPORT_REPEAT_SECONDS = 2.0


@dataclasses.dataclass
class _UsageSums:
    """What an instance was asked and has sent on, since its start, in units.

    Attributes:
        reported: `used` as last reported.
        counted: The same when the holder was last heard: what its level counts.
        known: `counted` when a holder with a new term was first heard.
        changed_at: When one of the sums last changed.
        unreported: Sent on since the last report.
    """

    asked: float = 0.0
    used: float = 0.0
    reported: float = 0.0
    counted: float = 0.0
    known: float = 0.0
    changed_at: float = 0.0
    unreported: float = 0.0


class Limiter:
    """This instance's parts of all quotas. Used on the event loop only."""

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
            quota_module.FADING_SECONDS
        )
        self._levels: dict[str, quota_module.QuotaLevel] = {}
        self._term = 0
        self._received_at: float | None = None
        self._reported_at = 0.0

    @property
    def levels(self) -> dict[str, quota_module.QuotaLevel]:
        """What the holder last told, by organisation."""
        return self._levels

    def admit(
        self, organisation: organisations.Organisation, units: float
    ) -> float | None:
        """Takes a request in or not.

        Returns:
            None if it may be sent on, its units are then spent; else the
            seconds until it could be.
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
        """Returns the units of a request that was not run after all."""
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
        """Returns the share as it is now, under the quota in force."""
        share = self._shares.get(name)
        burst = self._allowance.stretch(quota.rate, quota.burst)
        if share is None:
            share = quota_module.Share.begin(quota.rate, burst, now)
            quota_level = self._find_level(name, quota)
            if quota_level is not None:
                share = share.hear(quota_level, self._received_at or now)
        elif (share.rate, share.burst) != (quota.rate, burst):
            credit = min(share.credit, burst)
            share = dataclasses.replace(
                share, rate=quota.rate, burst=burst, credit=credit
            )
        own = self._demand.get(name, now)
        return dataclasses.replace(share.settle(now), own=own)

    def _find_level(
        self, name: str, quota: organisations.Quota
    ) -> quota_module.QuotaLevel | None:
        """Returns what was told; an organisation not told of has its burst."""
        if self._received_at is None:
            return None
        burst = self._allowance.stretch(quota.rate, quota.burst)
        return self._levels.get(name, quota_module.QuotaLevel(burst, 0.0))

    # With the holder

    def apply_state(self, state: facts.State) -> None:
        """Takes in what the holder tells of the quotas."""
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
            self._shares[one.name] = found.hear(quota_level, now)

    @property
    def is_report_due(self) -> bool:
        """Whether so much was sent on that the holder should hear it now."""
        now = clock.now()
        if now - self._reported_at < _MIN_EARLY_REPORT_SECONDS:
            return False
        return any(
            share.is_free
            and share.word is not None
            and self._sums[name].unreported
            > share.word.level * _MAX_UNREPORTED_SHARE
            for name, share in self._shares.items()
        )

    def list_spendings(self) -> tuple[facts.Spending, ...]:
        """Returns the sums that a report tells."""
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
