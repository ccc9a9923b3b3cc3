"""Keeps organisations to their shares of services that are short of room.

Each instance reports what organisations asked for and used, and applies the
shares that the lease holder announces. See `decisions.fair_share`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import os
import time
import zlib

from wayslip import addresses
from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip.decisions import demand as demand_module
from wayslip.decisions import fair_share
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import selection
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module

# Interval between reports while requests are judged or a service is short of
# room, and otherwise.
_REPORT_INTERVAL_SECONDS = 0.25
_IDLE_INTERVAL_SECONDS = 1.0
# Reports that the holder receives from all instances together, as for demand.
_MAX_REPORTS_PER_SECOND = 400
# Sums are repeated for this long after their last change, and in at least this
# number of reports.
_REPEAT_SECONDS = 2.0
_REPEATS = 3
# Sums in one datagram; each takes up to 80 bytes of its 30 KB.
_MAX_USES = 300

_Key = tuple[str, str]


def find_report_seconds(instances: int) -> float:
    """Returns the seconds between reports while a service is short of room."""
    return max(_REPORT_INTERVAL_SECONDS, instances / _MAX_REPORTS_PER_SECOND)


class TermsCache:
    """Terms of the configuration in force, computed once for each."""

    def __init__(self, holder: configuration.Holder) -> None:
        self._holder = holder
        self._manifest: manifest_module.Manifest | None = None
        self._terms = fair_share.NO_TERMS

    @property
    def terms(self) -> fair_share.Terms:
        """The terms in force."""
        if self._holder.manifest is not self._manifest:
            self._manifest = self._holder.manifest
            self._terms = fair_share.find_terms(self._manifest)
        return self._terms


@dataclasses.dataclass
class _Sums:
    """Units of an organisation since reports to a lease holder began.

    Attributes:
        asked: Units of all requests.
        used: Units of requests that were sent to endpoints.
        changed_at: When one of the sums last changed, steady seconds.
    """

    asked: float = 0.0
    used: float = 0.0
    changed_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request that would wait in a queue may be sent.

    Attributes:
        wait: Seconds until it could be admitted; 0 if it is.
        share: Share of its organisation, None if it is not restricted.
        age: Seconds since the share was announced.
    """

    wait: float = 0.0
    share: fair_share.Share | None = None
    age: float = 0.0

    @property
    def is_admitted(self) -> bool:
        """Whether the request may be sent."""
        return self.wait <= 0.0


_ADMITTED = Verdict()


class FairShares:
    """An instance's part in fair shares. Used on the event loop only."""

    def __init__(
        self,
        name: str,
        holder: configuration.Holder,
        leadership: leadership_module.Leadership,
        hub: hub_module.Hub,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._name = name
        self._process = f"{name}-{os.getpid()}-{time.monotonic_ns()}"
        self._phase = zlib.crc32(name.encode()) / 2**32
        self._reported_term = 0
        self._number = 0
        self._terms_cache = TermsCache(holder)
        self._leadership = leadership
        self._hub = hub
        self._metrics = metrics
        self._sums: dict[_Key, _Sums] = {}
        self._local: demand_module.Rates[_Key] = demand_module.Rates(
            fair_share.DECAY_SECONDS
        )
        self._shares: dict[_Key, fair_share.Share] = {}
        self._received_at = 0.0
        # When a request was last judged.
        self._judged_at = 0.0
        self._term = 0
        self._deficits: dict[_Key, fair_share.Deficit] = {}

    # For requests

    def note_asked(self, service: str, organisation: str, units: float) -> None:
        """Counts a request that arrived and is within its quota."""
        key = (service, organisation)
        if not self._terms_cache.terms.covers(*key):
            return
        now = clock.now()
        sums = self._sums.setdefault(key, _Sums())
        sums.asked += units
        sums.changed_at = now
        self._local.add(key, units, now)
        share = self._find_share(key, now)
        if share is None:
            self._deficits.pop(key, None)
            return
        local = self._local.get(key, now)
        deficit = self._deficits.get(key)
        if deficit is None:
            deficit = fair_share.Deficit.begin(units, self._phase)
        self._deficits[key] = deficit.earn(units, share, local)

    def note_used(self, service: str, organisation: str, units: float) -> None:
        """Counts a request that is sent to an endpoint."""
        key = (service, organisation)
        if not self._terms_cache.terms.covers(*key):
            return
        sums = self._sums.setdefault(key, _Sums())
        sums.used += units
        sums.changed_at = clock.now()
        deficit = self._deficits.get(key)
        if deficit is not None:
            self._deficits[key] = deficit.spend(units)

    def refund(self, service: str, organisation: str, units: float) -> None:
        """Takes back the units of a request that was sent but not run."""
        key = (service, organisation)
        sums = self._sums.get(key)
        if sums is None or not units:
            return
        sums.used -= units
        sums.changed_at = clock.now()
        deficit = self._deficits.get(key)
        if deficit is not None:
            self._deficits[key] = deficit.refund(units)

    def is_judged(
        self, service: str, priority: int, choice: selection.Choice
    ) -> bool:
        """Whether a request would add to a queue that makes others late."""
        target = self._terms_cache.terms.targets.get((service, priority))
        if target is None:
            return False
        # The wait alone includes the reading of the request's own prompt, also
        # at an endpoint that is free.
        return choice.occupancy >= 1 and choice.wait > target

    def judge(self, service: str, organisation: str, rank: int) -> Verdict:
        """Decides whether a request may be sent to an endpoint with a queue.

        Args:
            service: Its service.
            organisation: Its organisation; the request was noted as asked.
            rank: Its urgency, 0 is the most urgent.
        """
        key = (service, organisation)
        if not self._terms_cache.terms.covers(*key):
            return _ADMITTED
        now = clock.now()
        self._judged_at = now
        share = self._find_share(key, now)
        deficit = self._deficits.get(key)
        if share is None or deficit is None:
            return _ADMITTED
        missing = deficit.find_missing(rank)
        wait = 0.0
        if missing > 0:
            local = self._local.get(key, now)
            wait = fair_share.find_wait(missing, share, local)
        self._metrics.count(
            "share_verdicts",
            organisation=organisation,
            outcome="refused" if wait else "admitted",
        )
        return Verdict(wait, share, now - self._received_at)

    def is_over_share(self, service: str, organisation: str) -> bool:
        """Whether an organisation has used up its share at this instance."""
        key = (service, organisation)
        if self._find_share(key, clock.now()) is None:
            return False
        deficit = self._deficits.get(key)
        return deficit is not None and deficit.credit <= 0

    def _find_share(self, key: _Key, now: float) -> fair_share.Share | None:
        """Returns the share of an organisation that exceeds it, else None."""
        share = self._shares.get(key)
        if share is None or not share.is_exceeded:
            return None
        is_stale = now - self._received_at > fair_share.KEEP_SECONDS
        return None if is_stale else share

    # Exchange with the lease holder

    def apply_state(self, state: facts.ShareState) -> None:
        """Applies the shares that a lease holder announced."""
        if state.term < max(self._term, self._leadership.seen_term):
            return
        self._term = state.term
        self._received_at = clock.now()
        self._shares = {
            (s.service, s.organisation): fair_share.Share(s.rate, s.demand)
            for s in state.shares
        }
        self._deficits = {
            key: deficit
            for key, deficit in self._deficits.items()
            if key in self._shares
        }

    async def run(self, find_instances: Callable[[], int]) -> None:
        """Reports until cancelled, while a service's room is shared."""
        reported_at = 0.0
        while True:
            interval = find_report_seconds(find_instances())
            await asyncio.sleep(interval)
            now = clock.now()
            is_idle = not self._shares and now > self._judged_at + interval
            if is_idle and now - reported_at < _IDLE_INTERVAL_SECONDS:
                continue
            reported_at = now
            self._report(interval)

    def _report(self, interval: float) -> None:
        holder = self._leadership.holder_address
        if holder is None:
            return
        address = addresses.split_address(holder)
        for report in self.make_reports(interval):
            self._hub.send(report, address)

    def make_reports(self, interval: float) -> Iterator[facts.ShareReport]:
        """Yields reports of the sums that changed recently.

        The sums begin at zero for each holder, which knows none of those
        before.

        Args:
            interval: Seconds between reports.
        """
        now = clock.now()
        term = self._leadership.seen_term
        if term != self._reported_term:
            if self._reported_term:
                self._sums.clear()
            self._reported_term = term
        terms = self._terms_cache.terms
        self._local.all(now)  # Drops those that ended.
        self._sums = {
            key: sums for key, sums in self._sums.items() if terms.covers(*key)
        }
        repeat_seconds = max(_REPEAT_SECONDS, _REPEATS * interval)
        uses = [
            facts.ShareUse(*key, round(sums.asked), round(sums.used))
            for key, sums in self._sums.items()
            if now - sums.changed_at < repeat_seconds
        ]
        for i in range(0, len(uses), _MAX_USES):
            self._number += 1
            yield facts.ShareReport(
                self._name,
                f"{self._process}-{self._reported_term}",
                self._number,
                tuple(uses[i : i + _MAX_USES]),
            )

    def dump(self) -> dict[str, object]:
        """Returns the shares in force for operators."""
        now = clock.now()
        return {
            "age": round(now - self._received_at, 2) if self._term else None,
            "shares": [
                {
                    "service": service,
                    "organisation": organisation,
                    "rate": round(share.rate),
                    "demand": round(share.demand),
                    "is_restricted": self._find_share(
                        (service, organisation), now
                    )
                    is not None,
                }
                for (service, organisation), share in self._shares.items()
            ],
        }
