"""What the planner tells the instances, and how often."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from wayslip import clock
from wayslip.decisions import detachment
from wayslip.decisions import fleet
from wayslip.decisions import rate
from wayslip.gateway import detached_operation as detached_operation_module
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import members as members_module
from wayslip.gateway import order_sender as order_sender_module
from wayslip.gateway import quota_accounts as quota_accounts_module
from wayslip.gateway import tracked_engines as tracked_engines_module

# Between states of load, seconds: load moves by a few requests in this time.
STATE_INTERVAL_SECONDS = 0.25
# The holder looks this often whether it must tell at once that it can not renew
# or goes on without the store, seconds: each is waited for by the whole fleet,
# which orders nothing meanwhile.
_STANDING_SECONDS = 0.05
# Between whole statements of what is loaded, which make up for lost news.
_WHOLE_SECONDS = 1.0
# What a successor has to know is told this often, seconds; demand fades in 4.
_HANDOVER_SECONDS = 1.0
# News waits for more of it, seconds for each instance, so that all of a fleet
# hear at most some thousand datagrams a second.
_COALESCE_SECONDS_PER_INSTANCE = 0.001
_MAX_COALESCE_SECONDS = 0.15
# Demand and claims told with one datagram; each takes some 40 bytes of the 30
# KB that it may have.
_PART = 400
# Lists sent to instances that lack something and can not read it, a second; one
# takes 25 KB at 84 endpoints, so that they take 2 Mbit/s of the holder's link.
# An instance that gets none asks again with its next report.
MAX_LISTS_PER_SECOND = 10
# Changes of the list that are kept to be told again: those of some seconds.
_CHANGES_KEPT = 20


@dataclasses.dataclass(frozen=True)
class StoreProgress:
    """How far this instance follows the store; see `facts.WatchProgress`."""

    configuration: facts.WatchProgress
    endpoints: facts.WatchProgress


class Announcer:
    """Makes the planner's statements and sends them."""

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
        self._told_levels: tuple[facts.Level, ...] = ()
        self._detached_operation = detached_operation
        self._leadership = leadership
        self._order_sender = order_sender
        self._members = members
        self._hub = hub
        self._whole_told = 0.0
        self._handover_told = 0.0
        self._told_words: set[facts.ItemUpdate] = set()
        self._told_arrivals: set[tuple[str, str]] = set()
        self._lists = rate.Bucket(
            MAX_LISTS_PER_SECOND,
            MAX_LISTS_PER_SECOND,
            MAX_LISTS_PER_SECOND,
            clock.now(),
        )
        self._flush: asyncio.TimerHandle | None = None
        self._changes: collections.deque[facts.Changes] = collections.deque(
            maxlen=_CHANGES_KEPT
        )

    @property
    def _books(self) -> Mapping[str, tracked_engines_module.TrackedEngine]:
        return self._order_sender.tracked_engines

    def _broadcast(self, message: facts.Message) -> None:
        self._hub.broadcast(message, self._members.peers())

    # All the time

    async def run(
        self, find_store_progress: Callable[[], StoreProgress]
    ) -> None:
        """Tells the state until it is cancelled, while we hold the lease."""
        while True:
            if self._leadership.is_held:
                self.announce_state(find_store_progress())
            await self._wait_to_tell()

    async def _wait_to_tell(self) -> None:
        """Waits for the next state's time, or for what all must hear now."""
        end = clock.now() + STATE_INTERVAL_SECONDS
        told = self._find_standing()
        while (left := end - clock.now()) > 0:
            if not self._leadership.is_held:
                await asyncio.sleep(left)
                return
            await asyncio.sleep(min(left, _STANDING_SECONDS))
            if self._find_standing() != told:
                return
            if self._accounts.is_news(self._told_levels):
                return

    def _find_standing(self) -> tuple[bool, bool]:
        """Returns whether we can not renew, and whether we go on anyway."""
        return (
            self._leadership.is_renewal_overdue,
            self._detached_operation.is_proposed,
        )

    def announce_state(self, store_progress: StoreProgress) -> None:
        """Tells the load, and how far the store is followed."""
        peers = self._members.peers()
        is_detached = self._detached_operation.is_proposed
        self._told_levels = self._accounts.list_words()
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
            levels=self._told_levels,
        )
        self._hub.broadcast(
            state, [*peers, *self._detached_operation.list_missing()]
        )
        now = clock.now()
        if now - self._whole_told >= _WHOLE_SECONDS:
            self._whole_told = now
            self._tell_whole()
        if now - self._handover_told >= _HANDOVER_SECONDS:
            self._handover_told = now
            self._tell_handover()

    def _tell_handover(self) -> None:
        term = self._leadership.seen_term
        peers = tuple((p.address, p.data_hall) for p in self._members.peers())
        claims = [
            facts.ClaimRevision(name, seen.revision)
            for name, seen in self._order_sender.claims.known.items()
        ]
        rates = self._members.list_rates()
        readings = self._members.list_readings()
        self._broadcast(facts.Handover(term, peers, (), (), readings))
        for i in range(0, max(len(claims), len(rates)), _PART):
            part = facts.Handover(
                term, (), tuple(claims[i : i + _PART]), rates[i : i + _PART]
            )
            self._broadcast(part)

    # News

    def announce_changes(self) -> None:
        """Tells soon what changed of what is loaded."""
        if self._flush is not None or not self._leadership.is_held:
            # Series that end because the lease was lost come here too; their
            # word would be taken for the next holder's.
            return
        count = len(self._members.peers())
        delay = min(
            count * _COALESCE_SECONDS_PER_INSTANCE, _MAX_COALESCE_SECONDS
        )
        loop = asyncio.get_running_loop()
        self._flush = loop.call_later(delay, self._tell_news)

    def _tell_news(self) -> None:
        self._flush = None
        if not self._leadership.is_held:
            return
        now = clock.now()
        words = self._list_words(now)
        pending_loads = self._list_arrivals(now)
        # The seconds that are left change all the time and are no news.
        fresh = tuple(w for w in words if _identify(w) not in self._told_words)
        coming = tuple(
            a
            for a in pending_loads
            if (a.endpoint, a.model) not in self._told_arrivals
        )
        self._remember(words, pending_loads)
        if fresh or coming:
            term = self._leadership.seen_term
            self._broadcast(facts.PlacementUpdate(term, False, fresh, coming))

    def announce_to(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        item: fleet.Item,
        addresses: list[hub_module.Address],
    ) -> None:
        """Tells some instances at once that an engine serves an item soon."""
        if not self._leadership.is_held:
            return
        now = clock.now()
        seconds = max(tracked_engine.added.get(item, now) - now, 0.0)
        word = facts.ItemUpdate(
            tracked_engine.endpoint.name, *item, True, round(seconds, 3)
        )
        news = facts.PlacementUpdate(
            self._leadership.seen_term, False, (word,), ()
        )
        for address in addresses:
            self._hub.send(news, address)

    def _tell_whole(self) -> None:
        now = clock.now()
        words = self._list_words(now)
        pending_loads = self._list_arrivals(now)
        self._remember(words, pending_loads)
        term = self._leadership.seen_term
        self._broadcast(
            facts.PlacementUpdate(
                term, True, tuple(words), tuple(pending_loads)
            )
        )

    def _remember(
        self,
        words: list[facts.ItemUpdate],
        pending_loads: list[facts.PendingLoad],
    ) -> None:
        self._told_words = {_identify(w) for w in words}
        self._told_arrivals = {(a.endpoint, a.model) for a in pending_loads}

    def _list_words(self, now: float) -> list[facts.ItemUpdate]:
        words = []
        for name, tracked_engine in self._books.items():
            for model, adapter in sorted(tracked_engine.withdrawn):
                words.append(facts.ItemUpdate(name, model, adapter, False, 0.0))
            listed = tracked_engine.listed()
            for item in sorted(tracked_engine.usable() - listed):
                seconds = max(tracked_engine.added.get(item, now) - now, 0.0)
                words.append(
                    facts.ItemUpdate(name, *item, True, round(seconds, 3))
                )
        return words

    def _list_arrivals(self, now: float) -> list[facts.PendingLoad]:
        return [
            facts.PendingLoad(
                tracked_engine.endpoint.name,
                tracked_engine.endpoint.service,
                model,
                round(max(at - now, 0.0), 2),
                (model, "") in tracked_engine.charged(),
            )
            for tracked_engine in self._books.values()
            for model, at in tracked_engine.ready_at.items()
        ]

    # The list of endpoints

    def announce_list_changes(self, changes: facts.Changes) -> None:
        """Tells what changed in the platform's list."""
        if self._leadership.is_held:
            term = self._leadership.seen_term
            told = dataclasses.replace(changes, term=term)
            if told.revision:
                self._changes.append(told)
            self._broadcast(told)

    def repeat_changes(
        self, missing: facts.Missing, source: hub_module.Address
    ) -> None:
        """Tells an instance again what it lacks, if that is still known."""
        newer = [c for c in self._changes if c.revision > missing.revision]
        if newer and newer[0].since <= missing.revision:
            for changes in newer:
                self._hub.send(changes, source)

    def send_list(
        self, parts: list[facts.Changes], source: hub_module.Address
    ) -> None:
        """Sends the list to an instance that lacks it, within the limit."""
        left = self._lists.take(clock.now())
        if left is None:
            return
        self._lists = left
        term = self._leadership.seen_term
        for part in parts:
            self._hub.send(dataclasses.replace(part, term=term), source)


def _identify(word: facts.ItemUpdate) -> facts.ItemUpdate:
    """Returns a word without the seconds that are left."""
    return dataclasses.replace(word, seconds=0.0)
