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
from wayslip.gateway import endpoint_notices as endpoint_notices_module
from wayslip.gateway import engines
from wayslip.gateway import members as members_module
from wayslip.gateway import order_sender as order_sender_module
from wayslip.gateway import planner_inputs
from wayslip.gateway import tracked_engines as tracked_engines_module

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

LoadRequest = tuple[str, str, str]
Starter = Callable[[Coroutine[Any, Any, None]], Any]


class Adapters:
    """Carries out wishes for adapters of models that are loaded."""

    def __init__(
        self,
        order_sender: order_sender_module.OrderSender,
        members: members_module.Members,
        start: Starter,
        announce_changes: Callable[[], None],
        notify_waiting: Callable[
            [LoadRequest, tracked_engines_module.TrackedEngine], None
        ] = (lambda wish, tracked_engine: None),
        notices: endpoint_notices_module.EndpointNotices | None = None,
    ) -> None:
        """Initializes without any series.

        Args:
            order_sender: Gives the orders.
            members: Knows how often adapters are asked for.
            start: Starts a series.
            announce_changes: Has the instances told soon what changed.
            notify_waiting: Tells those who wait for an adapter at once.
            notices: What engines said of themselves.
        """
        self._words = notices or endpoint_notices_module.EndpointNotices()
        self._order_sender = order_sender
        self._members = members
        self._start = start
        self._announce_changes = announce_changes
        self._notify_waiting = notify_waiting
        self._coming: set[LoadRequest] = set()

    def wish(
        self,
        service: str,
        pool: manifest.Pool,
        tracked_engines: list[tracked_engines_module.TrackedEngine],
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
        there = [
            b for b in tracked_engines if item in b.charged() - b.withdrawn
        ]
        if there:
            if item in there[0].usable():
                self._notify_waiting(wish, there[0])
            return True
        tracked_engine = self._choose(pool, tracked_engines, item[0])
        if tracked_engine is None:
            return False
        self._coming.add(wish)
        self._start(self._carry_out(wish, tracked_engine, pool, spec))
        return True

    def fill(
        self,
        service: str,
        pool: manifest.Pool,
        tracked_engines: list[tracked_engines_module.TrackedEngine],
    ) -> None:
        """Loads adapters that are nowhere into free places, one an engine."""
        now = clock.now()
        anywhere = set().union(*(b.charged() for b in tracked_engines)) | {
            (model, adapter)
            for name, model, adapter in self._coming
            if name == service
        }
        for tracked_engine in tracked_engines:
            may_claim = self._order_sender.claims.may_claim(
                tracked_engine.endpoint.name
            )
            if (
                self._is_in_need(tracked_engine)
                or not planner_inputs.is_free(tracked_engine, may_claim, now)
                or tracked_engine.lock.locked()
                or planner_inputs.count_adapters(tracked_engine)
                >= pool.adapter_slots
            ):
                continue
            item = self._find_missing(service, pool, tracked_engine, anywhere)
            # A series that can only end at once would be started again and
            # again: it wakes the planner when it ends.
            if item is None or not _fits(
                tracked_engine, pool, pool.models[item[0]]
            ):
                continue
            anywhere.add(item)
            wish = (service, *item)
            self._coming.add(wish)
            self._start(
                self._carry_out(
                    wish, tracked_engine, pool, pool.models[item[0]], False
                )
            )

    def _find_missing(
        self,
        service: str,
        pool: manifest.Pool,
        tracked_engine: tracked_engines_module.TrackedEngine,
        anywhere: set[tuple[str, str]],
    ) -> tuple[str, str] | None:
        """Returns the adapter that an engine should load ahead."""
        missing = [
            (model, adapter)
            for model, held in tracked_engine.usable()
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
        tracked_engines: list[tracked_engines_module.TrackedEngine],
        model: str,
    ) -> tracked_engines_module.TrackedEngine | None:
        # While it loads a model, an engine takes no order for an adapter.
        now = clock.now()
        found = {
            b.endpoint.name: b
            for b in tracked_engines
            if (model, "") in b.usable()
            and planner_inputs.is_backing_off(b, now)
            and self._order_sender.claims.may_claim(b.endpoint.name)
        }
        able = {n: b for n, b in found.items() if not self._is_in_need(b)}
        found = able or found
        usages = self._members.total_usages()
        name = loading.choose_adapter_engine(
            {n: planner_inputs.count_adapters(b) for n, b in found.items()},
            pool.adapter_slots,
            {n: u.in_flight for n, u in usages.items()},
        )
        return found[name] if name is not None else None

    def _is_in_need(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Whether an engine takes less than it could."""
        endpoint = tracked_engine.endpoint
        limit = self._words.find_limit(endpoint.incarnation)
        return limit is not None or self._words.find_backoff(endpoint) > 0

    async def _carry_out(
        self,
        wish: LoadRequest,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pool: manifest.Pool,
        spec: manifest.Model,
        may_drop: bool = True,
    ) -> None:
        try:
            await self._load(tracked_engine, pool, spec, wish[2], may_drop)
        finally:
            self._coming.discard(wish)

    async def _load(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pool: manifest.Pool,
        spec: manifest.Model,
        adapter: str,
        may_drop: bool,
    ) -> None:
        item = (spec.name, adapter)

        def fits() -> bool:
            return _fits(tracked_engine, pool, spec)

        if not fits() and not (
            may_drop and await self._drop_one(tracked_engine)
        ):
            return
        outcome = await self._order_sender.order(
            tracked_engine, lease.Action.LOAD, item, fits
        )
        if outcome not in engines.DONE:
            return
        seconds = _SECONDS + spec.adapter_mb * _SECONDS_PER_MB
        if item in tracked_engine.had:
            seconds *= _HELD_BEFORE
        tracked_engine.had.add(item)
        if may_drop:
            tracked_engine.adapter_at[item] = clock.now()
        if item in tracked_engine.added:
            tracked_engine.added[item] = clock.now() + seconds
        self._notify_waiting(
            (tracked_engine.endpoint.service, *item), tracked_engine
        )
        self._announce_changes()

    async def _drop_one(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Unloads the adapter that is used least; returns whether it went."""
        if not any(adapter for _, adapter in tracked_engine.removable()):
            # What no report has shown in place yet can not be taken away.
            await self._order_sender.sync(tracked_engine)
        item = self._choose_victim(tracked_engine)
        if item is None:
            return False
        # At once, so that another wish for this engine chooses another one.
        tracked_engine.withdrawn.add(item)
        outcome = await self._order_sender.order(
            tracked_engine, lease.Action.UNLOAD, item
        )
        if outcome not in engines.DONE:
            tracked_engine.withdrawn.discard(item)
        self._announce_changes()
        # An adapter is unloaded by the time that is answered.
        return outcome is engines.OrderOutcome.HELD

    def _choose_victim(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> fleet.Item | None:
        """Returns the adapter that is used least, None if all are needed."""
        service = tracked_engine.endpoint.service
        limit = clock.now() - _SETTLE_SECONDS
        rates = sorted(
            (self._members.adapter_rate(service, item), item)
            for item in tracked_engine.removable()
            if item[1] and tracked_engine.adapter_at.get(item, limit) <= limit
        )
        if not rates or rates[0][0] > _IN_USE:
            return None
        return rates[0][1]


def _fits(
    tracked_engine: tracked_engines_module.TrackedEngine,
    pool: manifest.Pool,
    spec: manifest.Model,
) -> bool:
    """Whether an engine has a place and memory for an adapter of a model."""
    total, _ = planner_inputs.sum_charges(tracked_engine, pool)
    has_place = (
        planner_inputs.count_adapters(tracked_engine) < pool.adapter_slots
    )
    return has_place and total + spec.adapter_mb <= pool.weights_mb
