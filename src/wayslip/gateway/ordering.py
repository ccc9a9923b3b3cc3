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
from wayslip.decisions import fleet
from wayslip.decisions import inventory as inventory_module
from wayslip.decisions import lease
from wayslip.gateway import books as books_module
from wayslip.gateway import claims as claims_module
from wayslip.gateway import engines as engines_module
from wayslip.gateway import options as options_module
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
        self._client = client
        self._metrics = metrics
        self.books: dict[str, books_module.Book] = {}
        # Whether an engine's limit leaves room for a report or an order now;
        # set by who knows.
        self.may_call: Callable[[fleet.Endpoint], bool] = lambda endpoint: True
        # The configuration in force; set by who knows.
        self.find_version: Callable[[], int | None] = lambda: None
        self.claims = claims_module.Claims(options, store)

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
        claim = await self.claims.write(pending)
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
