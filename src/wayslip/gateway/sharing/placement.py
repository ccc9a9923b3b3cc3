"""An instance's part in placement: reports to the lease holder, applies states.

The reports carry demand and load; the holder answers with states and placement
updates.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import logging
import os
import random
import time

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip.decisions import backlog
from wayslip.gateway import dialect
from wayslip.gateway import options as options_module
from wayslip.gateway.sharing import announcements
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import limits as limits_module
from wayslip.gateway.sharing import members as members_module
from wayslip.gateway.sharing import view as view_module

_LOG = logging.getLogger(__name__)
# Load changes by a few requests in this time; a report takes about 200 bytes.
_REPORT_INTERVAL_SECONDS = 0.25
# Reports that the holder receives from all instances together; each costs it
# about 0.1 ms. The instances of a larger fleet report less often.
_MAX_REPORTS_PER_SECOND = 400
# Spreads the reports of all instances that answer the same state: those of 195
# instances take 0.1 s, and 80 KB of the holder's link.
_MAX_ANSWERS_PER_SECOND = 2000
# If no state was received for this long, the lease is read from the store: five
# reports in a row were not answered.
_SILENCE_SECONDS = 1.3
# Interval of these checks while the holder is unresponsive; `Leadership` limits
# the calls themselves.
_LEASE_CHECK_SECONDS = 0.25
# An item request is repeated after this, in case its datagram was lost.
_REQUEST_INTERVAL_SECONDS = 0.15
# A report is in the holder's totals if it was sent this long before they came.
_REPORT_TRIP_SECONDS = 0.01
# Reports of this instance that are remembered; the holder's totals may lag
# behind by one or two.
_MAX_SENT_REPORTS = 4
# Assumed until the holder announces the number of instances. It is higher than
# in the first two deployments, so that shared budgets are not exceeded.
_ASSUMED_INSTANCES = 12


_NO_USAGE = facts.Usage("", 0, ())


@dataclasses.dataclass(frozen=True, slots=True)
class _SentReport:
    """What this instance reported to have at endpoints, and when."""

    at: float
    usages: dict[str, facts.Usage]


class Placement:
    """Reports demand and load, and waits for models that are loaded."""

    def __init__(
        self,
        options: options_module.Options,
        view: view_module.EndpointView,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
        lacks_list: Callable[[], bool],
        limiter: limits_module.Limiter,
    ) -> None:
        self._limiter = limiter
        self._options = options
        self._view = view
        self._hub = hub
        self._leadership = leadership
        self._members = members
        self._lacks_list = lacks_list
        self._process = f"{options.name}-{os.getpid()}-{time.monotonic_ns()}"
        self._number = 0
        self._demand: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._work: dict[tuple[str, str, str], float] = {}
        self._can_wait: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._changed = asyncio.Event()
        # By service, model, adapter and software version.
        self._requested_at: dict[tuple[str, str, str, str | None], float] = {}
        self._pending_loads: dict[tuple[str, str], float] = {}
        # When ordered items can serve; bounded by the number of items.
        self._ready_at: dict[tuple[str, str], float] = {}
        self._state_received_at = 0.0
        # Last contact, which may be a state that says renewal is overdue.
        self._last_contact_at = 0.0
        # Last state of the holder; each report answers it.
        self._last_state: facts.State | None = None
        # Set when the next report must be sent before its time.
        self._is_report_due = asyncio.Event()
        self._is_leaving = False
        self._sent_reports: list[_SentReport] = []
        self.instances = _ASSUMED_INSTANCES
        # Called when the known load or the loaded items change.
        self.on_change: Callable[[], None] = lambda: None

    @property
    def state_age(self) -> float:
        """Seconds since the last state of a holder with a valid lease."""
        return clock.now() - self._state_received_at

    @property
    def has_recent_state(self) -> bool:
        """Whether a state of a valid lease holder was received recently."""
        return self.state_age <= _SILENCE_SECONDS

    @property
    def has_recent_contact(self) -> bool:
        """Whether any state was received recently, of a valid holder or not.

        A holder whose renewal is overdue keeps trying, and announces what it
        learns.
        """
        return clock.now() - self._last_contact_at <= _SILENCE_SECONDS

    # For requests

    def note_demand(
        self,
        service: str,
        traits: dialect.Traits,
        work: float,
        will_wait: bool,
    ) -> None:
        """Counts a request for a model.

        Args:
            service: Service of its route.
            traits: Traits of the request.
            work: Seconds of prefill of its prompt.
            will_wait: Whether its client can wait for a load.
        """
        if not traits.model:
            return
        item = (service, traits.model, traits.adapter)
        self._demand[item] += 1
        self._work[item] = self._work.get(item, 0.0) + work
        self._can_wait[item] += will_wait

    async def request_item(
        self, service: str, traits: dialect.Traits, seconds: float
    ) -> bool:
        """Requests a model from the holder and waits for a change of endpoints.

        Returns:
            Whether the caller should look for an endpoint again.
        """
        holder = self._leadership.holder_address
        if holder is None:
            return False
        item = (service, traits.model, traits.adapter, traits.version)
        now = clock.now()
        if now - self._requested_at.get(item, 0.0) > _REQUEST_INTERVAL_SECONDS:
            self._requested_at[item] = now
            request = facts.ItemRequest(
                self._options.name, self._options.data_hall, *item
            )
            self._hub.send(request, addresses.split_address(holder))
        changed = self._changed
        try:
            async with asyncio.timeout(min(seconds, _REQUEST_INTERVAL_SECONDS)):
                await changed.wait()
        except TimeoutError:
            return seconds > _REQUEST_INTERVAL_SECONDS
        return True

    def estimate_ready_seconds(
        self, service: str, traits: dialect.Traits
    ) -> float | None:
        """Returns the seconds until a model can serve, negative if late.

        Returns:
            None if no load of it is known.
        """
        now = clock.now()
        ready = self._ready_at.get((traits.model, traits.adapter), 0.0)
        if ready > now:
            return ready - now
        arrival = self._pending_loads.get((service, traits.model))
        return None if arrival is None else arrival - now

    def estimate_unreported_work(self, service: str, model: str) -> float:
        """Returns the work of requests for a model that is not announced yet.

        Returns:
            Seconds of prefill, from all instances, in the longest time until a
            request is reported and appears in the holder's state. Without a
            model, seconds of queues, as if all instances sent as much as this.
        """
        age = self._find_report_seconds() + announcements.STATE_INTERVAL_SECONDS
        if not model:
            work = self._view.speeds.find_work(service)
            return work * self.instances * age
        return self._members.work(service, model) * age

    def notify(self) -> None:
        """Wakes all requests that wait for a model."""
        self._changed.set()
        self._changed = asyncio.Event()
        self.on_change()

    # Reports to the holder and its states

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await self._wait_to_report()
            self._report()

    async def watch_holder(self) -> None:
        """Triggers checks of the lease while its holder is unresponsive.

        All instances detect this at the same time, so that those with more
        processor time and bandwidth, which wait less, take the lease. It runs
        until cancelled.
        """
        while True:
            left = self._state_received_at + _SILENCE_SECONDS - clock.now()
            if left <= 0:
                self._leadership.request_check()
            await asyncio.sleep(max(left, _LEASE_CHECK_SECONDS))

    async def _wait_to_report(self) -> None:
        """Waits until the next report is due or must be sent early."""
        try:
            async with asyncio.timeout(self._find_report_seconds()):
                await self._is_report_due.wait()
        except TimeoutError:
            return
        # Spread in time, because all datagrams arrive at one link.
        await asyncio.sleep(
            random.uniform(0, self.instances / _MAX_ANSWERS_PER_SECOND)
        )
        self._is_report_due.clear()

    def report_soon(self) -> None:
        """Sends the next report early, because the holder waits for it."""
        self._is_report_due.set()

    def _find_report_seconds(self) -> float:
        return max(
            _REPORT_INTERVAL_SECONDS, self.instances / _MAX_REPORTS_PER_SECOND
        )

    def _report(self) -> None:
        holder = self._leadership.holder_address
        if holder is None:
            return
        self._number += 1
        report = facts.Report(
            self._options.name,
            self._options.data_hall,
            self._process,
            self._number,
            self._lacks_list(),
            tuple(
                facts.Usage.of(name, t.in_flight, t.unread)
                for name, t in self._view.tracked.items()
                if t.in_flight
            ),
            tuple(
                facts.Demand(
                    *item,
                    count,
                    round(self._work[item], 3),
                    self._can_wait[item],
                )
                for item, count in self._demand.items()
            ),
            self._last_state.term if self._last_state else 0,
            self._last_state.stamp if self._last_state else 0,
            self._leadership.is_cut_off,
            self._is_leaving,
            tuple(
                facts.Reading(*sample)
                for sample in self._view.reading.take_unreported()
            ),
            self._limiter.list_spendings(),
        )
        self._demand.clear()
        self._work.clear()
        self._can_wait.clear()
        usages = {u.endpoint: u for u in report.usages}
        self._sent_reports.append(_SentReport(clock.now(), usages))
        del self._sent_reports[:-_MAX_SENT_REPORTS]
        self._hub.send(report, addresses.split_address(holder))

    def announce_leaving(self) -> None:
        """Reports to the holder that this instance is shutting down."""
        self._is_leaving = True
        self._report()

    def apply_state(self, state: facts.State) -> None:
        """Applies a periodic state of the lease holder."""
        known = self._leadership.seen_term
        if state.term < known:
            return
        if state.term > known and state.is_holder:
            self._leadership.receive_holder(
                state.term, state.revision, state.address
            )
        if _is_answered_at_once(self._last_state, state):
            self.report_soon()
        self._last_state = state
        self._last_contact_at = clock.now()
        self._limiter.apply_state(state)
        if not state.is_holder:
            self._leadership.receive_yield(state.term)
            return
        self._leadership.note_renewal(state.revision)
        if state.is_detached:
            self._leadership.receive_detached(state.term)
        self._state_received_at = clock.now()
        self.instances = max(state.instances, 1)
        self._apply_usages(state)
        self.on_change()

    def apply_placement_update(
        self, placement_update: facts.PlacementUpdate
    ) -> None:
        """Applies loaded and removed items and pending loads."""
        if placement_update.term < self._leadership.seen_term:
            return
        for update in placement_update.updates:
            self._schedule_update(update)
        if placement_update.is_whole:
            self._pending_loads = {}
        now = clock.now()
        for one in placement_update.pending_loads:
            key = (one.service, one.model)
            at = now + one.seconds
            known = self._pending_loads.get(key, at)
            # A load that is late does not hide one that is expected later.
            self._pending_loads[key] = min(known, at) if known > now else at

    def _apply_usages(self, state: facts.State) -> None:
        totals = {u.endpoint: u for u in state.usages}
        # The totals include this instance's share as it was reported, whatever
        # it has in flight now; the rest is from others.
        reported = self._find_counted_usages(totals)
        for name, tracked in self._view.tracked.items():
            total = totals.get(name)
            if total is None:
                tracked.others = (0, backlog.EMPTY)
                continue
            own = reported.get(name, _NO_USAGE)
            tracked.others = (
                max(total.in_flight - own.in_flight, 0),
                backlog.subtract(total.backlog, own.backlog),
            )

    def _find_counted_usages(
        self, totals: dict[str, facts.Usage]
    ) -> dict[str, facts.Usage]:
        """Returns this instance's usages that the holder's totals include.

        These are of the last report that can have arrived before, unless only
        another one fits into the totals: one may have been lost or overtaken.
        """
        limit = clock.now() - _REPORT_TRIP_SECONDS
        newest_first = self._sent_reports[::-1]
        arrived = [r.usages for r in newest_first if r.at <= limit]
        under_way = [r.usages for r in newest_first if r.at > limit]
        candidates = [*arrived, *under_way]
        fitting = (c for c in candidates if _fit_into(c, totals))
        return next(fitting, candidates[0] if candidates else {})

    def _schedule_update(self, update: facts.ItemUpdate) -> None:
        if not update.seconds:
            self._apply_update(update)
            return
        item = (update.model, update.adapter)
        self._ready_at[item] = clock.now() + update.seconds
        loop = asyncio.get_running_loop()
        loop.call_later(update.seconds, self._apply_update, update)

    def _apply_update(self, update: facts.ItemUpdate) -> None:
        is_change = self._view.note_item(
            update.endpoint, update.model, update.adapter, update.is_held
        )
        if not is_change:
            return
        logs.event(
            _LOG,
            "item_told",
            endpoint=update.endpoint,
            model=update.model,
            adapter=update.adapter,
            held=update.is_held,
        )
        self.notify()


def _fit_into(
    usages: dict[str, facts.Usage], totals: dict[str, facts.Usage]
) -> bool:
    """Whether totals over all instances can include an instance's usages."""
    for name, own in usages.items():
        total = totals.get(name, _NO_USAGE)
        if own.in_flight > total.in_flight:
            return False
        pairs = itertools.zip_longest(own.unread, total.unread, fillvalue=0)
        if any(part > whole for part, whole in pairs):
            return False
    return True


def _is_answered_at_once(last: facts.State | None, state: facts.State) -> bool:
    """Whether the holder needs the answer to a state at once.

    A holder that proposes detached operation waits until all instances have
    received the proposal. With periodic reports this takes 0.5 s and more.
    """
    if last is None or last.term != state.term:
        return True
    return state.is_detached and not last.is_detached
