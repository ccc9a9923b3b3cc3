"""An instance's side of placement: tells the holder, hears its word."""

import asyncio
import collections
from collections.abc import Callable
import logging
import os
import random
import time

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip.decisions import backlog
from wayslip.gateway import announcements
from wayslip.gateway import dialect
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import limits as limits_module
from wayslip.gateway import members as members_module
from wayslip.gateway import options as options_module
from wayslip.gateway import view as view_module

_LOG = logging.getLogger(__name__)
# Between reports to the holder, seconds. Load moves by a few requests in this
# time; a report takes some 200 bytes.
_REPORT_INTERVAL_SECONDS = 0.25
# Reports that the holder takes a second, from all instances; each costs it
# about 0.1 ms. A fleet that would send more reports less often.
_MAX_REPORTS_PER_SECOND = 400
# Reports a second while all instances answer the same state: 195 take 0.1 s,
# and 80 KB of the holder's link.
_MAX_ANSWERS_PER_SECOND = 2000
# A holder that was silent for this long is asked after in the store, seconds:
# five reports in a row without an answer.
_SILENCE_SECONDS = 1.3
# While it is silent it is asked after this often, seconds; `Leadership` spaces
# the calls themselves.
_LEASE_CHECK_SECONDS = 0.25
# A wish is repeated after this, in case its datagram was lost, seconds.
_REQUEST_INTERVAL_SECONDS = 0.15
# Instances assumed before the holder has told how many there are; more than
# either first user runs, so that shared budgets are not overdrawn.
_ASSUMED_INSTANCES = 12


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
        self._requested_at: dict[tuple[str, str, str], float] = {}
        self._pending_loads: dict[tuple[str, str], float] = {}
        # When items that were ordered can serve; bounded by their number.
        self._ready_at: dict[tuple[str, str], float] = {}
        self._state_received_at = 0.0
        # When the holder last spoke, perhaps to say that it can not renew.
        self._last_contact_at = 0.0
        # The holder's last state; each report answers it.
        self._last_state: facts.State | None = None
        # Set when the next report must not wait for its time.
        self._is_report_due = asyncio.Event()
        self._is_leaving = False
        self.instances = _ASSUMED_INSTANCES

    @property
    def state_age(self) -> float:
        """Seconds since the holder's load of endpoints was last heard."""
        return clock.now() - self._state_received_at

    @property
    def has_recent_state(self) -> bool:
        """Whether the lease's holder was heard a moment ago."""
        return self.state_age <= _SILENCE_SECONDS

    @property
    def has_recent_contact(self) -> bool:
        """Whether the holder, or one that can not renew, spoke a moment ago.

        It goes on trying and tells of what it learns.
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
            service: Of its route.
            traits: Of the request.
            work: Seconds that an engine takes to read its prompt.
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
        """Asks for a model and waits for any news of endpoints.

        Returns:
            Whether news came; the caller looks again then.
        """
        holder = self._leadership.holder_address
        if holder is None:
            return False
        item = (service, traits.model, traits.adapter)
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
        """Returns the seconds until a model can serve, None if unknown."""
        now = clock.now()
        ready = self._ready_at.get((traits.model, traits.adapter), 0.0)
        if ready > now:
            return ready - now
        arrival = self._pending_loads.get((service, traits.model))
        return None if arrival is None else max(arrival - now, 0.0)

    def estimate_unreported_work(self, service: str, model: str) -> float:
        """Returns the work that comes for a model before all know of it.

        Returns:
            Seconds of reading, from all instances, in the time that a request
            takes at most to come back to them in the holder's state.
        """
        if not model:
            return 0.0
        age = self._find_report_seconds() + announcements.STATE_INTERVAL_SECONDS
        return self._members.work(service, model) * age

    def notify(self) -> None:
        """Wakes all requests that wait for a model."""
        self._changed.set()
        self._changed = asyncio.Event()

    # Telling and hearing

    async def run(self) -> None:
        """Reports until it is cancelled."""
        while True:
            await self._wait_to_report()
            self._report()

    async def watch_holder(self) -> None:
        """Has the lease looked at once its holder is silent, for ever.

        All instances find that out together, so that those with more
        processor and link, which wait less, take the lease.
        """
        while True:
            left = self._state_received_at + _SILENCE_SECONDS - clock.now()
            if left <= 0:
                self._leadership.ask()
            await asyncio.sleep(max(left, _LEASE_CHECK_SECONDS))

    async def _wait_to_report(self) -> None:
        """Waits for the next report's time, or for a reason to give it now."""
        try:
            async with asyncio.timeout(self._find_report_seconds()):
                await self._is_report_due.wait()
        except TimeoutError:
            return
        # Not all at the same moment: their datagrams meet at one link.
        await asyncio.sleep(
            random.uniform(0, self.instances / _MAX_ANSWERS_PER_SECOND)
        )
        self._is_report_due.clear()

    def report_soon(self) -> None:
        """Has the next report given soon, because the holder waits for it."""
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
                for sample in self._view.reading.take_untold()
            ),
            self._limiter.list_spendings(),
        )
        self._demand.clear()
        self._work.clear()
        self._can_wait.clear()
        self._hub.send(report, addresses.split_address(holder))

    def announce_leaving(self) -> None:
        """Tells the holder that this instance stops as planned."""
        self._is_leaving = True
        self._report()

    def apply_state(self, state: facts.State) -> None:
        """Takes in what the holder tells all the time."""
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
        self._limiter.hear(state)
        if not state.is_holder:
            self._leadership.receive_yield(state.term)
            return
        self._leadership.hear(state.revision)
        if state.is_detached:
            self._leadership.receive_detached(state.term)
        self._state_received_at = clock.now()
        self.instances = max(state.instances, 1)
        self._apply_usages(state)

    def apply_placement_update(
        self, placement_update: facts.PlacementUpdate
    ) -> None:
        """Takes in what is loaded, taken away or coming."""
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
            self._pending_loads[key] = min(self._pending_loads.get(key, at), at)

    def _apply_usages(self, state: facts.State) -> None:
        totals = {u.endpoint: u for u in state.usages}
        for name, tracked in self._view.tracked.items():
            total = totals.get(name)
            if total is None:
                tracked.others = (0, backlog.EMPTY)
                continue
            # Our own part of the total is as old as the total, ours is not;
            # the difference is what others have there.
            tracked.others = (
                max(total.in_flight - tracked.in_flight, 0),
                backlog.subtract(total.backlog, tracked.unread),
            )

    def _schedule_update(self, update: facts.ItemUpdate) -> None:
        if not update.seconds:
            self._apply_update(update)
            return
        item = (update.model, update.adapter)
        self._ready_at[item] = clock.now() + update.seconds
        loop = asyncio.get_running_loop()
        loop.call_later(update.seconds, self._apply_update, update)

    def _apply_update(self, update: facts.ItemUpdate) -> None:
        is_change = self._view.tell(
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


def _is_answered_at_once(last: facts.State | None, state: facts.State) -> bool:
    """Whether the holder needs to know at once that a state was heard.

    A holder that proposes to go on without the store waits until all have
    heard so. With the usual reports that takes 0.5 s and more.
    """
    if last is None or last.term != state.term:
        return True
    return state.is_detached and not last.is_detached
