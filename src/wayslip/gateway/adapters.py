"""Loads adapters when requests wait for them, and ahead where there is room.

While an engine loads a model it takes no order for an adapter, so what is
there before spares a refusal.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from wayslip import clock
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.decisions import loading
from wayslip.decisions import manifest
from wayslip.gateway import books as books_module
from wayslip.gateway import charges
from wayslip.gateway import engines
from wayslip.gateway import members as members_module
from wayslip.gateway import ordering as ordering_module
from wayslip.gateway import words as words_module

# Time that an adapter takes to load, seconds and seconds for each megabyte,
# twice what the users' sheets say (5 to 6.3 ms for 12 MB, 14 to 19 for 66);
# one that the engine has held before takes a tenth.
_SECONDS = 0.01
_SECONDS_PER_MB = 0.00045
_HELD_BEFORE = 0.1
# An adapter that was loaded for a request is not taken away before that
# request and its like were counted, seconds: some reports.
_SETTLE_SECONDS = 1.0
# An adapter in use at least so often is not taken away, requests a second.
_IN_USE = 0.5

Wish = tuple[str, str, str]
Starter = Callable[[Coroutine[Any, Any, None]], Any]


class Adapters:
    """Carries out wishes for adapters of models that are loaded."""

    def __init__(
        self,
        ordering: ordering_module.Ordering,
        members: members_module.Members,
        start: Starter,
        tell_all: Callable[[], None],
        tell_waiting: Callable[[Wish, books_module.Book], None] = (
            lambda wish, book: None
        ),
        words: words_module.Words | None = None,
    ) -> None:
        """Initializes without any series.

        Args:
            ordering: Gives the orders.
            members: Knows how often adapters are asked for.
            start: Starts a series.
            tell_all: Has the instances told soon what changed.
            tell_waiting: Tells those who wait for an adapter at once.
            words: What engines said of themselves.
        """
        self._words = words or words_module.Words()
        self._ordering = ordering
        self._members = members
        self._start = start
        self._tell_all = tell_all
        self._tell_waiting = tell_waiting
        self._coming: set[Wish] = set()

    def wish(
        self,
        service: str,
        pool: manifest.Pool,
        books: list[books_module.Book],
        item: tuple[str, str],
    ) -> bool:
        """Starts to load an adapter where its model is.

        Returns:
            Whether nothing more has to be done for it: it is there, on its
            way, or of a model that nobody knows.
        """
        wish = (service, *item)
        spec = pool.models.get(item[0])
        if spec is None or wish in self._coming:
            return True
        there = [b for b in books if item in b.charged() - b.withdrawn]
        if there:
            if item in there[0].usable():
                self._tell_waiting(wish, there[0])
            return True
        book = self._choose(pool, books, item[0])
        if book is None:
            return False
        self._coming.add(wish)
        self._start(self._carry_out(wish, book, pool, spec))
        return True

    def fill(
        self,
        service: str,
        pool: manifest.Pool,
        books: list[books_module.Book],
    ) -> None:
        """Loads adapters that are nowhere into free places, one an engine."""
        now = clock.now()
        anywhere = set().union(*(b.charged() for b in books)) | {
            (model, adapter)
            for name, model, adapter in self._coming
            if name == service
        }
        for book in books:
            may_claim = self._ordering.claims.may_claim(book.endpoint.name)
            if (
                self._is_in_need(book)
                or not charges.is_free(book, may_claim, now)
                or book.lock.locked()
                or charges.count_adapters(book) >= pool.adapter_slots
            ):
                continue
            item = self._find_missing(service, pool, book, anywhere)
            # A series that can only end at once would be started again and
            # again: it wakes the planner when it ends.
            if item is None or not _fits(book, pool, pool.models[item[0]]):
                continue
            anywhere.add(item)
            wish = (service, *item)
            self._coming.add(wish)
            self._start(
                self._carry_out(wish, book, pool, pool.models[item[0]], False)
            )

    def _find_missing(
        self,
        service: str,
        pool: manifest.Pool,
        book: books_module.Book,
        anywhere: set[tuple[str, str]],
    ) -> tuple[str, str] | None:
        """Returns the adapter that an engine should load ahead."""
        missing = [
            (model, adapter)
            for model, held in book.usable()
            if not held and model in pool.models
            for adapter in pool.models[model].adapters
            if (model, adapter) not in anywhere
        ]
        return max(
            missing,
            key=lambda item: (self._members.adapter_rate(service, item), item),
            default=None,
        )

    def _choose(
        self,
        pool: manifest.Pool,
        books: list[books_module.Book],
        model: str,
    ) -> books_module.Book | None:
        # While it loads a model, an engine takes no order for an adapter.
        now = clock.now()
        found = {
            b.endpoint.name: b
            for b in books
            if (model, "") in b.usable()
            and charges.is_resting(b, now)
            and self._ordering.claims.may_claim(b.endpoint.name)
        }
        able = {n: b for n, b in found.items() if not self._is_in_need(b)}
        found = able or found
        usages = self._members.total_usages()
        name = loading.choose_adapter_engine(
            {n: charges.count_adapters(b) for n, b in found.items()},
            pool.adapter_slots,
            {n: u.in_flight for n, u in usages.items()},
        )
        return found[name] if name is not None else None

    def _is_in_need(self, book: books_module.Book) -> bool:
        """Whether an engine takes less than it could."""
        endpoint = book.endpoint
        limit = self._words.find_limit(endpoint.start)
        return limit is not None or self._words.find_rest(endpoint) > 0

    async def _carry_out(
        self,
        wish: Wish,
        book: books_module.Book,
        pool: manifest.Pool,
        spec: manifest.Model,
        may_drop: bool = True,
    ) -> None:
        try:
            await self._load(book, pool, spec, wish[2], may_drop)
        finally:
            self._coming.discard(wish)

    async def _load(
        self,
        book: books_module.Book,
        pool: manifest.Pool,
        spec: manifest.Model,
        adapter: str,
        may_drop: bool,
    ) -> None:
        item = (spec.name, adapter)

        def fits() -> bool:
            return _fits(book, pool, spec)

        if not fits() and not (may_drop and await self._drop_one(book)):
            return
        outcome = await self._ordering.order(
            book, lease.Action.LOAD, item, fits
        )
        if outcome not in engines.DONE:
            return
        seconds = _SECONDS + spec.adapter_mb * _SECONDS_PER_MB
        if item in book.had:
            seconds *= _HELD_BEFORE
        book.had.add(item)
        if may_drop:
            book.adapter_at[item] = clock.now()
        if item in book.added:
            book.added[item] = clock.now() + seconds
        self._tell_waiting((book.endpoint.service, *item), book)
        self._tell_all()

    async def _drop_one(self, book: books_module.Book) -> bool:
        """Unloads the adapter that is used least; returns whether it went."""
        if not any(adapter for _, adapter in book.removable()):
            # What no report has shown in place yet can not be taken away.
            await self._ordering.sync(book)
        item = self._choose_victim(book)
        if item is None:
            return False
        # At once, so that another wish for this engine chooses another one.
        book.withdrawn.add(item)
        outcome = await self._ordering.order(book, lease.Action.UNLOAD, item)
        if outcome not in engines.DONE:
            book.withdrawn.discard(item)
        self._tell_all()
        # An adapter is unloaded by the time that is answered.
        return outcome is engines.OrderOutcome.HELD

    def _choose_victim(self, book: books_module.Book) -> fleet.Item | None:
        """Returns the adapter that is used least, None if all are needed."""
        service = book.endpoint.service
        limit = clock.now() - _SETTLE_SECONDS
        rates = sorted(
            (self._members.adapter_rate(service, item), item)
            for item in book.removable()
            if item[1] and book.adapter_at.get(item, limit) <= limit
        )
        if not rates or rates[0][0] > _IN_USE:
            return None
        return rates[0][1]


def _fits(
    book: books_module.Book, pool: manifest.Pool, spec: manifest.Model
) -> bool:
    """Whether an engine has a place and memory for an adapter of a model."""
    total, _ = charges.sum_charges(book, pool)
    has_place = charges.count_adapters(book) < pool.adapter_slots
    return has_place and total + spec.adapter_mb <= pool.weights_mb
