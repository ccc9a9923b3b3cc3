"""The work of the lease's holder: hears demand, plans loads, tells peers."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import logging
import time

from wayslip import errors
from wayslip import logs
from wayslip.decisions import demand as demand_module
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.decisions import loading
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import rate
from wayslip.gateway import configuration
from wayslip.gateway import engines as engines_module
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import ordering as ordering_module
from wayslip.gateway import view as view_module

_LOG = logging.getLogger(__name__)
# Between plans, seconds; a decision is then at most this much late against
# loads of a second or more.
_PERIOD = 0.15
# How fast older requests fade from a model's demand, seconds: long enough
# that a model asked for every few seconds is remembered until it is loaded.
_FADING = 4.0
# Loads from the weight store that may begin together, see `rate.Bucket`.
_COLD_BURST = 2.0
# An instance that was silent for this long is no longer counted, seconds.
_MEMBER_SECONDS = 2.0
# Longest wait for an unload, which waits for the model's runs, seconds.
_UNLOAD_SECONDS = 8.0
# A load may take this many times what is expected before it is given up on.
_LOAD_FACTOR = 3.0
_LOAD_EXTRA = 5.0
# An engine that did not carry out a load is left alone for this long: its
# reports are some hundred milliseconds old, seconds.
_FAILED_REST = 0.6
# Time that an adapter takes to load, seconds and seconds for each megabyte;
# one that the engine has held before takes a tenth.
_ADAPTER_SECONDS = 0.035
_ADAPTER_SECONDS_PER_MB = 0.0025
_HELD_BEFORE = 0.1
# An adapter in use at least so often is not taken away, requests a second.
_ADAPTER_IN_USE = 0.35
_DONE = (
    engines_module.OrderOutcome.TAKEN,
    engines_module.OrderOutcome.HELD,
)


@dataclasses.dataclass
class _Member:
    """An instance that reports to us."""

    address: hub_module.Address
    process: str
    number: int
    heard: float
    usages: tuple[facts.Usage, ...]


class Planner:
    """Plans and carries out loads while this instance holds the lease."""

    def __init__(
        self,
        holder: configuration.Holder,
        view: view_module.EndpointView,
        leadership: leadership_module.Leadership,
        ordering: ordering_module.Ordering,
        hub: hub_module.Hub,
    ) -> None:
        self._holder = holder
        self._view = view
        self._leadership = leadership
        self._ordering = ordering
        self._hub = hub
        self._members: dict[str, _Member] = {}
        self._models: demand_module.Rates[tuple[str, str]] = (
            demand_module.Rates(_FADING)
        )
        self._adapters: demand_module.Rates[tuple[str, str, str]] = (
            demand_module.Rates(_FADING)
        )
        self._buckets: dict[str, rate.Bucket] = {}
        self._coming: set[tuple[str, str, str]] = set()
        self._wishes: set[tuple[str, str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_prepared = False
        self._soon = asyncio.Event()

    # The lease

    def begin(self) -> None:
        """Starts to plan; claims of the planner before are read first."""
        self._ordering.books.clear()
        self._buckets.clear()
        self._is_prepared = False
        self._start(self._prepare())

    async def _prepare(self) -> None:
        while True:
            try:
                await self._ordering.read_claims()
                break
            except errors.ObjectError as e:
                logs.event(
                    _LOG, "claims_not_read", logging.WARNING, reason=e.reason
                )
                await asyncio.sleep(_PERIOD)
        self._follow_list()
        for name, seen in self._ordering.claims.items():
            book = self._ordering.books.get(name)
            if book is not None and seen.claim.pending is not None:
                book.pending = seen.claim.pending
                book.task = self._start(self._ordering.settle(book))
        self._is_prepared = True

    def end(self) -> None:
        """Stops giving orders; what was sent stays in the claims."""
        self._is_prepared = False
        for task in list(self._tasks):
            task.cancel()
        self._members.clear()

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("order_series_failed", exc_info=task.exception())

    # Hearing and telling

    def take(self, message: facts.Message, source: hub_module.Address) -> None:
        """Takes in what an instance tells or asks for."""
        if not self._leadership.is_held:
            return
        if isinstance(message, facts.Report):
            self._take_report(message, source)
            self._hub.send(self._make_state(), source)
        elif isinstance(message, facts.Want):
            self._wishes.add((message.service, message.model, message.adapter))
            self._soon.set()

    def _take_report(
        self, report: facts.Report, source: hub_module.Address
    ) -> None:
        now = time.monotonic()
        known = self._members.get(report.instance)
        if (
            known is not None
            and known.process == report.process
            and known.number >= report.number
        ):
            return
        self._members[report.instance] = _Member(
            source, report.process, report.number, now, report.usages
        )
        for one in report.demands:
            self._models.add((one.service, one.model), one.count, now)
            if one.adapter:
                key = (one.service, one.model, one.adapter)
                self._adapters.add(key, one.count, now)

    def _make_state(self) -> facts.State:
        now = time.monotonic()
        for name in [
            n
            for n, m in self._members.items()
            if now - m.heard > _MEMBER_SECONDS
        ]:
            del self._members[name]
        return facts.State(
            term=self._leadership.seen_term,
            revision=self._leadership.revision,
            is_holder=self._leadership.is_valid,
            instances=len(self._members),
            usages=tuple(self._total_usages()),
            words=tuple(self._list_words()),
            arrivals=tuple(self._list_arrivals(now)),
            claims=tuple(
                facts.ClaimRevision(name, seen.revision)
                for name, seen in self._ordering.claims.items()
            ),
        )

    def _total_usages(self) -> list[facts.Usage]:
        totals: dict[str, tuple[int, int]] = {}
        for member in self._members.values():
            for usage in member.usages:
                in_flight, unread = totals.get(usage.endpoint, (0, 0))
                totals[usage.endpoint] = (
                    in_flight + usage.in_flight,
                    unread + usage.unread,
                )
        return [facts.Usage(n, *total) for n, total in totals.items()]

    def _list_words(self) -> list[facts.Word]:
        words = []
        now = time.monotonic()
        for name, book in self._ordering.books.items():
            for model, adapter in book.removed:
                words.append(facts.Word(name, model, adapter, False, 0.0))
            for (model, adapter), at in book.added.items():
                if model in book.ready_at:
                    continue
                seconds = max(at - now, 0.0)
                words.append(facts.Word(name, model, adapter, True, seconds))
        return words

    def _list_arrivals(self, now: float) -> list[facts.Arrival]:
        soonest: dict[tuple[str, str], float] = {}
        for book in self._ordering.books.values():
            for model, at in book.ready_at.items():
                key = (book.endpoint.service, model)
                soonest[key] = min(soonest.get(key, at), at)
        return [
            facts.Arrival(service, model, max(at - now, 0.0))
            for (service, model), at in soonest.items()
        ]

    def _tell_all(self) -> None:
        state = self._make_state()
        for member in self._members.values():
            self._hub.send(state, member.address)

    # Planning

    async def run(self) -> None:
        """Plans for as long as the process lives."""
        while True:
            try:
                async with asyncio.timeout(_PERIOD):
                    await self._soon.wait()
            except TimeoutError:
                pass
            self._soon.clear()
            self._follow_list()
            if self._leadership.is_valid and self._is_prepared:
                self._plan()

    def _follow_list(self) -> None:
        books = self._ordering.books
        for name in [n for n in books if n not in self._view.tracked]:
            del books[name]
            if self._leadership.is_valid:
                self._start(self._ordering.drop_claim(name))
        for name, tracked in self._view.tracked.items():
            book = books.get(name)
            if book is None:
                book = ordering_module.Book(tracked.endpoint)
                books[name] = book
                book.take_entry(tracked.endpoint)
            elif book.endpoint is not tracked.endpoint:
                book.take_entry(tracked.endpoint)

    def _plan(self) -> None:
        manifest = self._holder.manifest
        if manifest is None:
            return
        wishes, self._wishes = self._wishes, set()
        for service in manifest.services.values():
            if service.pool is None:
                continue
            for _, model, adapter in [
                w for w in wishes if w[0] == service.name
            ]:
                if adapter:
                    self._wish_adapter(service, model, adapter)
            while self._plan_one(service.name, service.pool):
                pass

    def _books_of(self, service: str) -> list[ordering_module.Book]:
        return [
            b
            for b in self._ordering.books.values()
            if b.endpoint.service == service and not b.endpoint.is_leaving
        ]

    def _make_engine(
        self,
        book: ordering_module.Book,
        pool: manifest_module.Pool,
        now: float,
    ) -> loading.Engine:
        endpoint = book.endpoint
        charged = book.charged()
        adapters_mb: dict[str, float] = {}
        total = 0.0
        for model, adapter in charged:
            spec = pool.models.get(model)
            if spec is None:
                continue
            if not adapter:
                total += spec.weights_mb
                continue
            total += spec.adapter_mb
            adapters_mb[model] = adapters_mb.get(model, 0) + spec.adapter_mb
        is_free = (
            (book.task is None or book.task.done())
            and book.pending is None
            and now >= book.rests_until
            and self._ordering.may_claim(endpoint.name)
        )
        return loading.Engine(
            name=endpoint.name,
            models=frozenset(m for m, a in charged if not a)
            | frozenset(book.ready_at),
            charged_mb=total,
            adapters_mb=adapters_mb,
            is_free=is_free,
            fresh=frozenset(
                m
                for m, at in book.loaded_at.items()
                if now - at < loading.SETTLE
            ),
            in_memory=endpoint.in_memory,
            on_disk=endpoint.on_disk,
        )

    def _plan_one(self, service: str, pool: manifest_module.Pool) -> bool:
        """Starts the load that gains most; returns whether there was one."""
        now = time.monotonic()
        books = {b.endpoint.name: b for b in self._books_of(service)}
        engines = {n: self._make_engine(b, pool, now) for n, b in books.items()}
        rates = {
            model: r
            for (s, model), r in self._models.all(now).items()
            if s == service
        }
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = rate.Bucket(pool.loads_per_s, _COLD_BURST, 0.0, now)
            self._buckets[service] = bucket
        spent = bucket.take(now)
        step = loading.plan_load(engines, pool, rates, spent is not None)
        if step is None:
            return False
        if step.is_cold:
            assert spent is not None
            self._buckets[service] = spent
        logs.event(
            _LOG,
            "load_planned",
            endpoint=step.engine,
            model=step.model,
            victims=",".join(step.victims),
            cold=step.is_cold,
            gain=f"{step.gain:.2f}",
            rate=f"{rates.get(step.model, 0):.2f}",
        )
        book = books[step.engine]
        # At once, so that the next plan counts this copy.
        book.ready_at[step.model] = now + step.seconds
        book.task = self._start(self._carry_out(book, step, pool))
        return True

    async def _carry_out(
        self,
        book: ordering_module.Book,
        step: loading.Step,
        pool: manifest_module.Pool,
    ) -> None:
        is_loaded = False
        try:
            if await self._make_room(book, step):
                is_loaded = await self._load(book, step, pool)
        finally:
            if not is_loaded:
                book.rests_until = time.monotonic() + _FAILED_REST
            book.ready_at.pop(step.model, None)
            self._tell_all()

    async def _make_room(
        self, book: ordering_module.Book, step: loading.Step
    ) -> bool:
        """Unloads the victims; returns whether all are gone."""
        state = await self._ordering.sync(book)
        if state is None or state.is_busy:
            return False
        for victim in step.victims:
            book.removed[(victim, "")] = False
            self._tell_all()
            outcome = await self._ordering.order(
                book, lease.Action.UNLOAD, (victim, "")
            )
            if outcome not in _DONE:
                book.removed.pop((victim, ""), None)
                return False
            if not await self._ordering.wait_for_model(
                book, victim, False, _UNLOAD_SECONDS
            ):
                return False
        return True

    async def _load(
        self,
        book: ordering_module.Book,
        step: loading.Step,
        pool: manifest_module.Pool,
    ) -> bool:
        need = pool.models[step.model].weights_mb

        def fits() -> bool:
            engine = self._make_engine(book, pool, time.monotonic())
            return engine.charged_mb + need <= pool.weights_mb

        book.ready_at[step.model] = time.monotonic() + step.seconds
        outcome = await self._ordering.order(
            book, lease.Action.LOAD, (step.model, ""), fits
        )
        if outcome not in _DONE:
            return False
        self._tell_all()
        limit = step.seconds * _LOAD_FACTOR + _LOAD_EXTRA
        await asyncio.sleep(step.seconds * 0.9)
        is_done = await self._ordering.wait_for_model(
            book, step.model, True, limit
        )
        book.loaded_at[step.model] = time.monotonic()
        logs.event(
            _LOG,
            "load_ended",
            endpoint=step.engine,
            model=step.model,
            loaded=is_done,
        )
        return is_done

    # Adapters

    def _wish_adapter(
        self, service: manifest_module.Service, model: str, adapter: str
    ) -> None:
        pool = service.pool
        assert pool is not None
        spec = pool.models.get(model)
        if spec is None:
            return
        books = {b.endpoint.name: b for b in self._books_of(service.name)}
        item = (model, adapter)
        if any(item in b.charged() - set(b.removed) for b in books.values()):
            return
        now = time.monotonic()
        engines = {
            n: self._make_engine(b, pool, now)
            for n, b in books.items()
            if (model, "") in b.usable()
        }
        # While it loads a model, an engine takes no order for an adapter.
        engines = {n: e for n, e in engines.items() if e.is_free}
        name = loading.choose_adapter_engine(
            engines,
            model,
            {n: _count_adapters(books[n]) for n in engines},
            pool.adapter_slots,
            {u.endpoint: float(u.in_flight) for u in self._total_usages()},
        )
        wish = (service.name, model, adapter)
        if name is None or wish in self._coming:
            return
        self._coming.add(wish)
        task = self._start(self._load_adapter(books[name], pool, spec, adapter))
        task.add_done_callback(lambda _: self._coming.discard(wish))

    async def _load_adapter(
        self,
        book: ordering_module.Book,
        pool: manifest_module.Pool,
        spec: manifest_module.Model,
        adapter: str,
    ) -> None:
        def fits() -> bool:
            engine = self._make_engine(book, pool, time.monotonic())
            has_place = _count_adapters(book) < pool.adapter_slots
            total = engine.charged_mb + spec.adapter_mb
            return has_place and total <= pool.weights_mb

        if not fits() and not await self._drop_adapter(book):
            return
        outcome = await self._ordering.order(
            book, lease.Action.LOAD, (spec.name, adapter), fits
        )
        if outcome not in _DONE:
            return
        seconds = _ADAPTER_SECONDS + spec.adapter_mb * _ADAPTER_SECONDS_PER_MB
        if (spec.name, adapter) in book.had:
            seconds *= _HELD_BEFORE
        book.had.add((spec.name, adapter))
        if (spec.name, adapter) in book.added:
            book.added[(spec.name, adapter)] = time.monotonic() + seconds
        self._tell_all()

    async def _drop_adapter(self, book: ordering_module.Book) -> bool:
        """Unloads the adapter that is used least; returns whether it went."""
        now = time.monotonic()
        service = book.endpoint.service
        rates = sorted(
            (self._adapters.get((service, m, a), now), m, a)
            for m, a in book.charged() - set(book.removed)
            if a
        )
        if not rates or rates[0][0] > _ADAPTER_IN_USE:
            return False
        _, model, adapter = rates[0]
        outcome = await self._ordering.order(
            book, lease.Action.UNLOAD, (model, adapter)
        )
        self._tell_all()
        if outcome is not engines_module.OrderOutcome.HELD:
            return False
        # Unloading an adapter is done when it is answered.
        book.note_gone((model, adapter))
        return True


def _count_adapters(book: ordering_module.Book) -> int:
    return sum(1 for _, adapter in book.charged() if adapter)


def describe_book(book: ordering_module.Book) -> dict[str, object]:
    """Returns a book for the state dump."""
    endpoint: fleet.Endpoint = book.endpoint
    return {
        "endpoint": endpoint,
        "orders": book.orders,
        "charged": sorted(book.charged()),
        "removed": sorted(book.removed),
        "pending": book.pending,
    }
