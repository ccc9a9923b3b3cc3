"""Sends orders to engines, one at a time each, and keeps what they may hold.

An order names how many orders its engine has taken before. So of two orders
with the same count at most one is carried out, whenever they arrive. An order
without an answer is sent again unchanged until the engine's count has risen;
until then its item is charged.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import time

from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.gateway import engines as engines_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import options as options_module

_LOG = logging.getLogger(__name__)
# Between looks at an engine whose order had no answer, seconds. Its reports
# are some hundred milliseconds old.
_REPEAT_SECONDS = 0.35
# Between looks at an engine that is to finish an order, seconds; the list
# tells it a heartbeat later.
_POLL_SECONDS = 0.4
Item = tuple[str, str]


@dataclasses.dataclass
class Book:
    """What the lease's holder knows of one engine.

    Attributes:
        endpoint: Its entry, without what it has dropped since.
        listed: Its entry as the list has it.
        orders: Orders that it has taken; None until it was asked.
        added: Items ordered to load that the list does not show yet.
        removed: Items ordered to unload that the list still shows.
        ready_at: When models that are loading are expected to serve.
        loaded_at: When models finished loading.
        had: Adapters that it has held before.
        rests_until: When it may be planned for again after a failure.
        pending: The order whose effect is not known yet.
        task: The series of orders that is under way.
        lock: Held while an order is given.
    """

    endpoint: fleet.Endpoint
    listed: fleet.Endpoint | None = None
    orders: int | None = None
    added: dict[Item, float] = dataclasses.field(default_factory=dict)
    removed: dict[Item, float] = dataclasses.field(default_factory=dict)
    ready_at: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_at: dict[str, float] = dataclasses.field(default_factory=dict)
    had: set[Item] = dataclasses.field(default_factory=set)
    rests_until: float = 0.0
    pending: lease.Pending | None = None
    task: asyncio.Task[None] | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def charged(self) -> set[Item]:
        """Returns all items that take memory or may."""
        items = _list_items(self.endpoint.models) | set(self.added)
        if self.pending is not None and self.pending.action is (
            lease.Action.LOAD
        ):
            items.add((self.pending.model, self.pending.adapter))
        return items

    def usable(self) -> set[Item]:
        """Returns the items that can serve now, or will in moments."""
        items = self.charged() - set(self.removed)
        return {i for i in items if i[0] not in self.ready_at}

    def take_entry(self, endpoint: fleet.Endpoint) -> None:
        """Takes in the engine's entry in the list."""
        self.listed = endpoint
        self.endpoint = endpoint
        listed = _list_items(endpoint.models)
        self.had |= {i for i in listed if i[1]}
        for item in [i for i in self.added if i in listed]:
            del self.added[item]
        for item in [i for i in self.removed if i not in listed]:
            del self.removed[item]
        self.changed.set()

    def take_state(self, state: fleet.EngineState) -> bool:
        """Takes in a report; returns whether it was new enough."""
        if self.orders is not None and state.orders < self.orders:
            return False
        self.orders = state.orders
        held = _list_items(state.models)
        for item in [i for i in self.removed if i not in held]:
            self.drop(item)
        for item in [i for i in self.added if i in held]:
            del self.added[item]
        return True

    def drop(self, item: Item) -> None:
        """Takes out an item that the engine has dropped."""
        self.removed[item] = time.monotonic()
        model, adapter = item
        models = dict(self.endpoint.models)
        if adapter:
            models[model] = models.get(model, frozenset()) - {adapter}
        else:
            models.pop(model, None)
        self.endpoint = dataclasses.replace(self.endpoint, models=models)


def _list_items(models: dict[str, frozenset[str]]) -> set[Item]:
    items = {(m, "") for m in models}
    items |= {(m, a) for m, adapters in models.items() for a in adapters}
    return items


class Ordering:
    """Gives orders while this instance holds the lease."""

    def __init__(
        self,
        options: options_module.Options,
        client: engines_module.EngineClient,
        leadership: leadership_module.Leadership,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._options = options
        self._client = client
        self._leadership = leadership
        self._metrics = metrics
        self.books: dict[str, Book] = {}

    def list_pending(self) -> tuple[lease.Pending, ...]:
        """Returns the orders whose effect is not known yet."""
        return tuple(b.pending for b in self.books.values() if b.pending)

    async def sync(self, book: Book) -> fleet.EngineState | None:
        """Asks an engine for its count of orders and what it holds."""
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
        return state if book.take_state(state) else None

    async def order(
        self,
        book: Book,
        action: lease.Action,
        item: Item,
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
            What came of it. Only UNKNOWN leaves that open: the lease was
            lost meanwhile.
        """
        model, adapter = item
        async with book.lock:
            if book.orders is None and await self.sync(book) is None:
                return engines_module.OrderOutcome.REFUSED
            if not may_send():
                return engines_module.OrderOutcome.REFUSED
            assert book.orders is not None
            pending = lease.Pending(
                book.endpoint.name, book.orders, action, model, adapter
            )
            return await self._give(book, pending)

    async def settle(self, book: Book) -> None:
        """Settles an order that a holder before us left open."""
        async with book.lock:
            pending = book.pending
            if pending is None:
                return
            outcome = await self._repeat(book, pending)
            self._note(book, pending, outcome)

    async def _give(
        self, book: Book, pending: lease.Pending
    ) -> engines_module.OrderOutcome:
        book.pending = pending
        try:
            await self._leadership.write()
        except errors.ObjectError as e:
            # It was not sent, so nothing of it can take effect.
            book.pending = None
            logs.event(
                _LOG,
                "order_not_written",
                endpoint=pending.endpoint,
                reason=e.reason,
            )
            return engines_module.OrderOutcome.REFUSED
        if not self._leadership.may_order:
            book.pending = None
            return engines_module.OrderOutcome.REFUSED
        outcome = await self._send(book, pending)
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            outcome = await self._repeat(book, pending)
        self._note(book, pending, outcome)
        return outcome

    async def _send(
        self, book: Book, pending: lease.Pending
    ) -> engines_module.OrderOutcome:
        authority = engines_module.Authority(
            self._options.name, self._leadership.token
        )
        self._metrics.count("orders", action=pending.action.value)
        return await self._client.order(book.endpoint, pending, authority)

    async def _repeat(
        self, book: Book, pending: lease.Pending
    ) -> engines_module.OrderOutcome:
        """Repeats an order until the engine's count tells what came of it."""
        while self.books.get(pending.endpoint) is book:
            await asyncio.sleep(_REPEAT_SECONDS)
            state = await self.sync(book)
            if state is not None and state.orders > pending.orders:
                return engines_module.OrderOutcome.TAKEN
            if not self._leadership.may_order:
                if not self._leadership.is_valid:
                    return engines_module.OrderOutcome.UNKNOWN
                continue
            if state is None:
                continue
            outcome = await self._send(book, pending)
            if outcome in (
                engines_module.OrderOutcome.TAKEN,
                engines_module.OrderOutcome.HELD,
                engines_module.OrderOutcome.ELSEWHERE,
            ):
                return outcome
        return engines_module.OrderOutcome.ELSEWHERE

    def _note(
        self,
        book: Book,
        pending: lease.Pending,
        outcome: engines_module.OrderOutcome,
    ) -> None:
        logs.event(
            _LOG,
            "order",
            endpoint=pending.endpoint,
            action=pending.action,
            model=pending.model,
            adapter=pending.adapter,
            count=pending.orders,
            fence=self._leadership.token,
            outcome=outcome,
        )
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            return
        book.pending = None
        if outcome is engines_module.OrderOutcome.TAKEN:
            book.orders = max(pending.orders + 1, book.orders or 0)
        else:
            # Whether the count rose is not told; it is asked for next time.
            book.orders = None
        if outcome in (
            engines_module.OrderOutcome.TAKEN,
            engines_module.OrderOutcome.HELD,
        ):
            self._apply(book, pending)

    def _apply(self, book: Book, pending: lease.Pending) -> None:
        item = (pending.model, pending.adapter)
        now = time.monotonic()
        if pending.action is lease.Action.LOAD:
            book.removed.pop(item, None)
            book.added[item] = now
            return
        book.added.pop(item, None)
        dropped = {
            i
            for i in book.charged()
            if i == item or (not pending.adapter and i[0] == pending.model)
        }
        for one in dropped:
            book.added.pop(one, None)
            book.removed[one] = now

    async def wait_for_model(
        self, book: Book, model: str, is_held: bool, seconds: float
    ) -> bool:
        """Waits until an engine holds a model, or does not.

        Returns:
            Whether that came true in time, on a live engine.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.books.get(book.endpoint.name) is not book:
                return False
            book.changed.clear()
            if self._is_settled(book, model, is_held):
                return True
            try:
                async with asyncio.timeout(_POLL_SECONDS):
                    await book.changed.wait()
            except TimeoutError:
                state = await self.sync(book)
                if (
                    state is not None
                    and not state.is_busy
                    and (model in state.models) is is_held
                ):
                    return True
        return False

    def _is_settled(self, book: Book, model: str, is_held: bool) -> bool:
        listed = model in book.endpoint.models
        if is_held:
            return listed
        return not listed and (model, "") not in book.added
