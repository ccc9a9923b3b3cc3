"""What the lease holder announces to the instances, and how often."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from wayslip import clock
from wayslip.decisions import detachment
from wayslip.decisions import fleet
from wayslip.decisions import rate
from wayslip.gateway.planning import (
    detached_operation as detached_operation_module,
)
from wayslip.gateway.planning import order_sender as order_sender_module
from wayslip.gateway.planning import tracked_engines as tracked_engines_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module
from wayslip.gateway.sharing import quota_accounts as quota_accounts_module

# Interval between states: load changes by a few requests in this time.
STATE_INTERVAL_SECONDS = 0.25
# Interval of checks whether the holder must announce at once that it can not
# renew the lease or that it enters detached operation. All instances wait for
# either announcement, and no engine is ordered meanwhile.
_LEASE_CHECK_SECONDS = 0.05
# Interval between whole placement updates, which make up for lost partial ones.
_PLACEMENT_INTERVAL_SECONDS = 1.0
# Interval of the state for a successor; demand decays over 4 s.
_HANDOVER_INTERVAL_SECONDS = 1.0
# Changes are collected for this time, for each instance, before they are sent,
# so that a fleet receives at most about a thousand datagrams a second in total.
_COALESCE_SECONDS_PER_INSTANCE = 0.001
_MAX_COALESCE_SECONDS = 0.15
# Rates and claims in one datagram; each takes about 40 bytes of its 30 KB.
_MAX_ITEMS_PER_DATAGRAM = 400
# Whole lists sent to instances that lack changes and can not read them. A list
# takes 25 KB at 84 endpoints, so that they take 2 Mbit/s of the holder's link.
# An instance that gets none asks again with its next report.
MAX_LISTS_PER_SECOND = 10
# Changes of the list kept to be sent again: those of the last few seconds.
_MAX_CHANGES_KEPT = 20


@dataclasses.dataclass(frozen=True)
class StoreProgress:
    """How far this instance follows the store; see `facts.WatchProgress`."""

    configuration: facts.WatchProgress
    endpoints: facts.WatchProgress


class Announcer:
    """Creates the announcements of the lease holder and sends them."""

    def __init__(
        self,
        address: str,
        leadership: leadership_module.Leadership,
        order_sender: order_sender_module.OrderSender,
        members: members_module.Members,
        detached_operation: detached_operation_module.DetachedOperation,
        hub: hub_module.Hub,
        accounts: quota_accounts_module.QuotaAccounts,
    ) -> None:
        self._address = address
        self._accounts = accounts
        self._announced_levels: tuple[facts.Level, ...] = ()
        self._detached_operation = detached_operation
        self._leadership = leadership
        self._order_sender = order_sender
        self._members = members
        self._hub = hub
        self._placement_announced_at = 0.0
        self._handover_announced_at = 0.0
        self._announced_updates: set[facts.ItemUpdate] = set()
        self._announced_loads: set[tuple[str, str]] = set()
        # When models that wait for their turn are expected to serve, by
        # service.
        self._turns: dict[str, dict[str, float]] = {}
        self._list_bucket = rate.Bucket(
            MAX_LISTS_PER_SECOND,
            MAX_LISTS_PER_SECOND,
            MAX_LISTS_PER_SECOND,
            clock.now(),
        )
        self._flush: asyncio.TimerHandle | None = None
        self._changes: collections.deque[facts.Changes] = collections.deque(
            maxlen=_MAX_CHANGES_KEPT
        )

    @property
    def _tracked_engines(
        self,
    ) -> Mapping[str, tracked_engines_module.TrackedEngine]:
        return self._order_sender.tracked_engines

    def _broadcast(self, message: facts.Message) -> None:
        self._hub.broadcast(message, self._members.peers())

    # Periodic announcements

    async def run(
        self, find_store_progress: Callable[[], StoreProgress]
    ) -> None:
        """Announces states until cancelled, while the lease is held."""
        while True:
            if self._leadership.is_held:
                self.announce_state(find_store_progress())
            await self._wait_for_next_state()

    async def _wait_for_next_state(self) -> None:
        """Waits until the next state is due or must be sent early."""
        end = clock.now() + STATE_INTERVAL_SECONDS
        announced = self._find_lease_state()
        while (left := end - clock.now()) > 0:
            if not self._leadership.is_held:
                await asyncio.sleep(left)
                return
            await asyncio.sleep(min(left, _LEASE_CHECK_SECONDS))
            if self._find_lease_state() != announced:
                return
            if self._accounts.should_announce(self._announced_levels):
                return

    def _find_lease_state(self) -> tuple[bool, bool]:
        """Returns whether renewal is overdue, and detachment proposed."""
        return (
            self._leadership.is_renewal_overdue,
            self._detached_operation.is_proposed,
        )

    def announce_state(self, store_progress: StoreProgress) -> None:
        """Announces the load, and how far the store is followed."""
        peers = self._members.peers()
        is_detached = self._detached_operation.is_proposed
        self._announced_levels = self._accounts.list_levels()
        state = facts.State(
            term=self._leadership.seen_term,
            revision=self._leadership.revision,
            address=self._address,
            is_holder=self._leadership.is_valid or is_detached,
            instances=len(peers),
            configuration=store_progress.configuration,
            endpoints=store_progress.endpoints,
            usages=tuple(self._members.total_usages().values()),
            stamp=detachment.make_stamp(clock.now()),
            is_detached=is_detached,
            levels=self._announced_levels,
        )
        self._hub.broadcast(
            state, [*peers, *self._detached_operation.list_missing()]
        )
        now = clock.now()
        if now - self._placement_announced_at >= _PLACEMENT_INTERVAL_SECONDS:
            self._placement_announced_at = now
            self._announce_placement()
        if now - self._handover_announced_at >= _HANDOVER_INTERVAL_SECONDS:
            self._handover_announced_at = now
            self._announce_handover()

    def _announce_handover(self) -> None:
        term = self._leadership.seen_term
        peers = tuple((p.address, p.data_hall) for p in self._members.peers())
        claims = [
            facts.ClaimRevision(name, seen.revision)
            for name, seen in self._order_sender.claims.known.items()
        ]
        rates = self._members.list_rates()
        readings = self._members.list_readings()
        self._broadcast(facts.Handover(term, peers, (), (), readings))
        for i in range(
            0, max(len(claims), len(rates)), _MAX_ITEMS_PER_DATAGRAM
        ):
            part = facts.Handover(
                term,
                (),
                tuple(claims[i : i + _MAX_ITEMS_PER_DATAGRAM]),
                rates[i : i + _MAX_ITEMS_PER_DATAGRAM],
            )
            self._broadcast(part)

    # Changes of placement

    def announce_changes(self) -> None:
        """Announces changes of loaded items after a short delay."""
        if self._flush is not None or not self._leadership.is_held:
            # Order series that end because the lease was lost reach this too;
            # their updates would be taken for those of the next holder.
            return
        count = len(self._members.peers())
        delay = min(
            count * _COALESCE_SECONDS_PER_INSTANCE, _MAX_COALESCE_SECONDS
        )
        loop = asyncio.get_running_loop()
        self._flush = loop.call_later(delay, self._announce_pending_changes)

    def announce_turns(self, service: str, ready: dict[str, float]) -> None:
        """Announces when models that wait for a load are expected to serve.

        Args:
            service: Their service.
            ready: Seconds until each is expected to serve.
        """
        known = self._turns.get(service, {})
        now = clock.now()
        self._turns[service] = {m: now + s for m, s in ready.items()}
        if ready.keys() - known.keys():
            self.announce_changes()

    def _announce_pending_changes(self) -> None:
        self._flush = None
        if not self._leadership.is_held:
            return
        now = clock.now()
        updates = self._list_updates(now)
        pending_loads = self._list_pending_loads(now)
        # The remaining seconds change all the time and are not announced.
        new_updates = tuple(
            w
            for w in updates
            if _drop_seconds(w) not in self._announced_updates
        )
        new_loads = tuple(
            a
            for a in pending_loads
            if (a.endpoint, a.model) not in self._announced_loads
        )
        self._record_announced(updates, pending_loads)
        if new_updates or new_loads:
            term = self._leadership.seen_term
            self._broadcast(
                facts.PlacementUpdate(term, False, new_updates, new_loads)
            )

    def announce_to(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        item: fleet.Item,
        addresses: list[hub_module.Address],
    ) -> None:
        """Announces to some instances at once that an engine serves an item."""
        if not self._leadership.is_held:
            return
        now = clock.now()
        seconds = max(tracked_engine.added.get(item, now) - now, 0.0)
        update = facts.ItemUpdate(
            tracked_engine.endpoint.name, *item, True, round(seconds, 3)
        )
        message = facts.PlacementUpdate(
            self._leadership.seen_term, False, (update,), ()
        )
        for address in addresses:
            self._hub.send(message, address)

    def _announce_placement(self) -> None:
        now = clock.now()
        updates = self._list_updates(now)
        pending_loads = self._list_pending_loads(now)
        self._record_announced(updates, pending_loads)
        term = self._leadership.seen_term
        self._broadcast(
            facts.PlacementUpdate(
                term, True, tuple(updates), tuple(pending_loads)
            )
        )

    def _record_announced(
        self,
        updates: list[facts.ItemUpdate],
        pending_loads: list[facts.PendingLoad],
    ) -> None:
        self._announced_updates = {_drop_seconds(w) for w in updates}
        self._announced_loads = {(a.endpoint, a.model) for a in pending_loads}

    def _list_updates(self, now: float) -> list[facts.ItemUpdate]:
        updates = []
        for name, tracked_engine in self._tracked_engines.items():
            for model, adapter in sorted(tracked_engine.withdrawn):
                updates.append(
                    facts.ItemUpdate(name, model, adapter, False, 0.0)
                )
            listed = tracked_engine.listed()
            for item in sorted(tracked_engine.usable() - listed):
                seconds = max(tracked_engine.added.get(item, now) - now, 0.0)
                updates.append(
                    facts.ItemUpdate(name, *item, True, round(seconds, 3))
                )
        return updates

    def _list_pending_loads(self, now: float) -> list[facts.PendingLoad]:
        scheduled = [
            facts.PendingLoad(
                "", service, model, round(max(ready_at - now, 0.0), 2), False
            )
            for service, models in self._turns.items()
            for model, ready_at in models.items()
        ]
        return scheduled + [
            facts.PendingLoad(
                tracked_engine.endpoint.name,
                tracked_engine.endpoint.service,
                model,
                round(seconds, 2),
                (model, "") in tracked_engine.charged(),
            )
            for tracked_engine in self._tracked_engines.values()
            for model, seconds in tracked_engine.list_pending_loads(now).items()
        ]

    # The list of endpoints

    def announce_list_changes(self, changes: facts.Changes) -> None:
        """Announces changes of the platform's list."""
        if self._leadership.is_held:
            term = self._leadership.seen_term
            announced = dataclasses.replace(changes, term=term)
            if announced.revision:
                self._changes.append(announced)
            self._broadcast(announced)

    def repeat_changes(
        self, missing: facts.Missing, source: hub_module.Address
    ) -> None:
        """Sends missing changes to an instance again, if they are kept."""
        newer = [c for c in self._changes if c.revision > missing.revision]
        if newer and newer[0].since <= missing.revision:
            for changes in newer:
                self._hub.send(changes, source)

    def send_list(
        self, parts: list[facts.Changes], source: hub_module.Address
    ) -> None:
        """Sends the list to an instance that lacks it, limited in rate."""
        left = self._list_bucket.take(clock.now())
        if left is None:
            return
        self._list_bucket = left
        term = self._leadership.seen_term
        for part in parts:
            self._hub.send(dataclasses.replace(part, term=term), source)


def _drop_seconds(update: facts.ItemUpdate) -> facts.ItemUpdate:
    """Returns an update without its remaining seconds."""
    return dataclasses.replace(update, seconds=0.0)
