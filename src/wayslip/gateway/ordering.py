"""Sends orders to engines, one at a time each, and keeps what they may hold.

An order names how many orders its engine has taken before. So of two orders
with the same count at most one is carried out, whenever they arrive. An order
without an answer is sent again unchanged until the engine's count has risen;
until then its item is charged.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import Any

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import detachment
from wayslip.decisions import fleet
from wayslip.decisions import inventory as inventory_module
from wayslip.decisions import lease
from wayslip.gateway import books as books_module
from wayslip.gateway import engines as engines_module
from wayslip.gateway import options as options_module
from wayslip.gateway import records
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
# Between looks at an engine whose order had no answer, seconds. Its reports
# are some hundred milliseconds old.
_REPEAT_SECONDS = 0.35
# Between looks at an engine that is to finish an order, seconds; the list
# tells it a heartbeat later.
_POLL_SECONDS = 0.4
# A report that is older than an order is asked for again after a while,
# seconds; reports are some hundred milliseconds old.
_LEARN_SECONDS = 0.15
_LEARN_TRIES = 5
# The first era of a store that has lost nothing yet.
_FIRST_ERA = 1
# An engine that was busy, or whose count we had wrong, is left alone for as
# long as its reports may be old, seconds.
_BUSY_REST = 0.2


class Ordering:
    """Gives orders to engines, claiming each engine before."""

    def __init__(
        self,
        options: options_module.Options,
        store: store_module.Store,
        client: engines_module.EngineClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._options = options
        self._store = store
        self._client = client
        self._metrics = metrics
        self.books: dict[str, books_module.Book] = {}
        # Whether we may order without the store; set by who knows.
        self.is_detached: Callable[[], bool] = lambda: False
        # Whether an engine's limit leaves room for a report or an order now;
        # set by who knows.
        self.may_call: Callable[[fleet.Endpoint], bool] = lambda endpoint: True
        # The configuration in force; set by who knows.
        self.find_version: Callable[[], int | None] = lambda: None
        # Until then a holder before us may still order without the store, as
        # was heard, and as the process before this one may have heard.
        self._kept_away_until = 0.0
        self._unsure_until = self._find_end_of_detached_orders()
        # Until then orders may be near that the store has lost the claims of.
        self._returned_until = 0.0
        self._store.on_return(self._note_return)
        # Whether we hold the lease for sure; set by who knows.
        self.holds_lease: Callable[[], bool] = lambda: False
        # The store's revision at which this instance took the lease.
        self.least_token = 0
        # Claims as they were read, written, or told by another holder.
        self.claims: dict[str, lease.SeenClaim] = {}

    # Claims

    def hear_claim(self, endpoint: str, revision: int) -> None:
        """Takes in a claim's revision as its holder tells it."""
        seen = self.claims.get(endpoint)
        if seen is not None and seen.revision >= revision:
            return
        # Whose it is, is read when we come to take it over.
        unknown = lease.Claim(endpoint, "", 0)
        self.claims[endpoint] = lease.SeenClaim(unknown, revision, clock.now())

    def keep_away(self) -> None:
        """Notes that a holder orders engines without writing claims."""
        self._kept_away_until = self._find_end_of_detached_orders()

    def follow_nobody(self) -> None:
        """Notes that no other instance held the lease before this one."""
        if self._store.era <= _FIRST_ERA:
            # A later one may lack the lease of another instance.
            self._unsure_until = 0.0

    def _note_return(self) -> None:
        """Keeps away from all engines once the store has lost writes.

        Another instance may have ordered them and the store have lost that,
        unless that was us. Nobody can write claims before this is over who
        knows less of it.
        """
        if self.holds_lease() or self.is_detached():
            return
        distance = self._options.bounds.lease + lease.TRAVEL
        self._returned_until = clock.now() + lease.SEND_LIMIT + distance

    def _find_end_of_detached_orders(self) -> float:
        """Returns until when a holder heard now may be too near with orders."""
        distance = self._options.bounds.lease + lease.TRAVEL
        return clock.now() + detachment.HOLD_OFF + distance

    async def read_claims(self) -> None:
        """Reads all claims, as a new planner.

        Raises:
            ObjectUnavailableError: The store did not answer.
        """
        listing = await self._store.list(records.CLAIM)
        for stored in listing.items:
            self._note_claim(stored)

    def _note_claim(self, stored: store_module.Stored[lease.Claim]) -> None:
        self.claims[stored.name] = lease.see_claim(
            self.claims.get(stored.name),
            stored.value,
            stored.revision,
            clock.now(),
        )

    async def drop_claim(self, endpoint: str) -> None:
        """Removes the claim of an engine that is gone."""
        seen = self.claims.pop(endpoint, None)
        if seen is None:
            return
        try:
            await self._store.remove(records.CLAIM, endpoint, seen.revision)
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_removed", endpoint=endpoint, reason=e.reason
            )

    def may_claim(self, endpoint: str) -> bool:
        """Whether an engine may be ordered by this instance now."""
        now = clock.now()
        away_until = max(
            self._kept_away_until, self._unsure_until, self._returned_until
        )
        return now >= away_until and lease.may_claim(
            self.claims.get(endpoint),
            self._options.name,
            self._options.bounds.lease,
            now,
        )

    async def _claim(self, pending: lease.Pending) -> lease.Claim | None:
        """Claims an engine for one order; returns None if it can not be."""
        endpoint = pending.endpoint
        if not self.may_claim(endpoint):
            return None
        seen = self.claims.get(endpoint)
        claim = lease.next_claim(
            seen, self._options.name, pending, self.least_token
        )
        if self.is_detached():
            return claim
        try:
            if seen is None:
                stored = await self._store.create(
                    records.CLAIM, endpoint, claim
                )
            else:
                stored = await self._store.replace(
                    records.CLAIM,
                    store_module.Stored(endpoint, seen.revision, claim),
                )
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_written", endpoint=endpoint, reason=e.reason
            )
            await self._read_claim(endpoint)
            return None
        self.claims[endpoint] = lease.SeenClaim(
            claim, stored.revision, clock.now()
        )
        return claim

    async def _read_claim(self, endpoint: str) -> None:
        """Reads a claim again whose write met another, or had no answer."""
        try:
            stored = await self._store.get(records.CLAIM, endpoint)
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_read", endpoint=endpoint, reason=e.reason
            )
            return
        if stored is not None:
            self._note_claim(stored)
        else:
            self.claims.pop(endpoint, None)

    # Orders

    async def sync(self, book: books_module.Book) -> fleet.EngineState | None:
        """Asks an engine for its count of orders and what it holds."""
        if not self.may_call(book.endpoint):
            return None
        try:
            state = await self._client.report(book.endpoint)
        except errors.EndpointError as e:
            logs.event(
                _LOG,
                "report_failed",
                endpoint=book.endpoint.name,
                reason=e.reason,
            )
            return None
        is_new = book.take_state(state, clock.now())
        logs.event(
            _LOG,
            "report",
            endpoint=book.endpoint.name,
            orders=state.orders,
            busy=state.is_busy,
            new=is_new,
        )
        return state if is_new else None

    async def learn(self, book: books_module.Book) -> bool:
        """Sees to it that an engine's count and content are known."""
        for attempt in range(_LEARN_TRIES):
            if book.is_certain:
                return True
            if attempt:
                await asyncio.sleep(_LEARN_SECONDS)
            await self.sync(book)
        return book.is_certain

    async def order(
        self,
        book: books_module.Book,
        action: lease.Action,
        item: fleet.Item,
        may_send: Callable[[], bool] = lambda: True,
    ) -> engines_module.OrderOutcome:
        """Gives an order; returns once its effect is certain.

        Args:
            book: Whose engine it is for.
            action: What to do.
            item: The model and adapter; the adapter is empty for the model.
            may_send: Asked when no other order is under way, so that what
                it finds free stays free until this order is charged.

        Returns:
            What came of it.
        """
        model, adapter = item
        async with book.lock:
            if not await self.learn(book) or not may_send():
                return engines_module.OrderOutcome.REFUSED
            assert book.inventory is not None
            known = _judge_without_asking(book.inventory, action, item)
            if known is not None:
                return known
            pending = lease.Pending(
                book.endpoint.name,
                book.inventory.orders,
                action,
                model,
                adapter,
            )
            return await self._give(book, pending)

    async def settle(
        self, book: books_module.Book, fits: Callable[[], bool]
    ) -> None:
        """Settles an order that a holder before us left open.

        Args:
            book: Whose engine it was for.
            fits: Whether all that is charged fits, this order included. The
                holder before us may have been wrong about the count, and
                what fitted then may not fit at that count now.
        """
        async with book.lock:
            pending = book.pending
            if pending is None:
                return
            outcome = await self._repeat(book, pending, fits)
            self._note(book, pending, outcome, {})

    async def _give(
        self, book: books_module.Book, pending: lease.Pending
    ) -> engines_module.OrderOutcome:
        room = book.describe_room(clock.now())
        book.pending = pending
        outcome = await self._send(book, pending)
        if outcome is None:
            # It was not sent, so nothing of it can take effect.
            book.pending = None
            return engines_module.OrderOutcome.REFUSED
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            outcome = await self._repeat(book, pending)
        self._note(book, pending, outcome, room)
        return outcome

    async def _send(
        self, book: books_module.Book, pending: lease.Pending
    ) -> engines_module.OrderOutcome | None:
        """Claims the engine and sends an order; None if it was not sent."""
        if not self.may_call(book.endpoint):
            return None
        began = clock.now()
        claim = await self._claim(pending)
        if claim is None or clock.now() - began > lease.SEND_LIMIT:
            return None
        authority = engines_module.Authority(claim.holder, claim.token)
        self._metrics.count("orders", action=pending.action.value)
        sent_at = clock.now()
        outcome = await self._client.order(book.endpoint, pending, authority)
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            book.note_unanswered(pending, sent_at)
        return outcome

    async def _repeat(
        self,
        book: books_module.Book,
        pending: lease.Pending,
        fits: Callable[[], bool] = lambda: True,
    ) -> engines_module.OrderOutcome:
        """Repeats an order until the engine's count tells what came of it."""
        outcomes = engines_module.OrderOutcome
        while self.books.get(pending.endpoint) is book:
            await asyncio.sleep(_REPEAT_SECONDS)
            state = await self.sync(book)
            if state is not None and state.orders > pending.orders:
                return outcomes.TAKEN
            if state is None or not book.is_certain:
                continue
            if state.orders < pending.orders or not fits():
                # It can not be taken now, and may arrive when it can.
                book.stray = pending
                return outcomes.REFUSED
            outcome = await self._send(book, pending)
            if outcome in (outcomes.TAKEN, outcomes.HELD, outcomes.ELSEWHERE):
                return outcome
        return outcomes.ELSEWHERE

    def _note(
        self,
        book: books_module.Book,
        pending: lease.Pending,
        outcome: engines_module.OrderOutcome,
        room: dict[str, Any],
    ) -> None:
        """Takes in what came of an order; logs what its room was."""
        logs.event(
            _LOG,
            "order",
            endpoint=pending.endpoint,
            action=pending.action,
            model=pending.model,
            adapter=pending.adapter,
            count=pending.orders,
            outcome=outcome,
            configuration=self.find_version(),
            **room,
        )
        book.pending = None
        now = clock.now()
        outcomes = engines_module.OrderOutcome
        if outcome is outcomes.TAKEN:
            book.note_taken(pending, now)
        elif outcome is outcomes.HELD and _is_adapters_unload(pending):
            book.note_dropped(pending, now)
        else:
            book.note_unclear()
        if outcome is outcomes.BUSY:
            # A report of the same moment would tell the same count again.
            book.rests_until = max(book.rests_until, now + _BUSY_REST)

    async def wait_for_model(
        self, book: books_module.Book, model: str, is_held: bool, seconds: float
    ) -> bool:
        """Waits until an engine holds a model, or does not.

        Returns:
            Whether that came true in time, on a live engine.
        """
        item = (model, "")
        end = clock.now() + seconds
        while clock.now() < end:
            if self.books.get(book.endpoint.name) is not book:
                return False
            if book.holds(item) if is_held else book.lacks(item):
                return True
            if await self._is_listed_anew(book, item, is_held):
                # Reports are a little older than what made the entry change.
                await asyncio.sleep(_LEARN_SECONDS)
            await self.sync(book)
        return False

    async def _is_listed_anew(
        self, book: books_module.Book, item: fleet.Item, is_held: bool
    ) -> bool:
        """Waits for a while until an engine's entry shows what is awaited.

        The entry may be old, so it is only a reason to ask the engine.
        """
        try:
            async with asyncio.timeout(_POLL_SECONDS):
                while True:
                    book.changed.clear()
                    await book.changed.wait()
                    if (item in book.listed()) is is_held:
                        return True
        except TimeoutError:
            return False


def _judge_without_asking(
    known: inventory_module.Inventory, action: lease.Action, item: fleet.Item
) -> engines_module.OrderOutcome | None:
    """Returns what would come of an order that an engine would not count.

    An answer to such an order looks like one to an order that was carried
    out, so it is not given.
    """
    if action is lease.Action.LOAD:
        is_done = item in known.items
    else:
        is_done = item not in known.items
    if is_done:
        return engines_module.OrderOutcome.HELD
    if action is lease.Action.UNLOAD and item not in known.in_place:
        return engines_module.OrderOutcome.REFUSED
    return None


def _is_adapters_unload(pending: lease.Pending) -> bool:
    return pending.action is lease.Action.UNLOAD and bool(pending.adapter)
