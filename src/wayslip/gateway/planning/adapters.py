"""Loads adapters that requests wait for, and preloads others into free slots.

While an engine loads a model it takes no order for an adapter. An adapter that
is preloaded can serve requests during that time.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

from wayslip import clock
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.decisions import loading
from wayslip.decisions import manifest
from wayslip.gateway.planning import engines
from wayslip.gateway.planning import order_sender as order_sender_module
from wayslip.gateway.planning import planner_inputs
from wayslip.gateway.planning import tracked_engines as tracked_engines_module
from wayslip.gateway.sharing import endpoint_notices as endpoint_notices_module
from wayslip.gateway.sharing import members as members_module

# Expected time to load an adapter, a constant and a part for each megabyte:
# twice the specified times (5 to 6.3 ms for 12 MB, 14 to 19 ms for 66 MB). An
# adapter that the engine has held before takes a tenth of it.
_LOAD_SECONDS = 0.01
_LOAD_SECONDS_PER_MB = 0.00045
_RELOAD_FACTOR = 0.1
# An adapter that was loaded for a request is not evicted until the reports have
# counted that request and similar ones, which takes some reports.
_SETTLE_SECONDS = 1.0
# Adapters with a higher rate of requests than this are not evicted.
_IN_USE_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """An adapter that requests wait for.

    Attributes:
        version: Software version of the engines that may serve them, None for
            any.
    """

    service: str
    model: str
    adapter: str
    version: str | None = None

    @property
    def item(self) -> fleet.Item:
        """The model and the adapter."""
        return (self.model, self.adapter)

    def is_served_by(self, endpoint: fleet.Endpoint) -> bool:
        """Whether an engine may serve the requests."""
        return self.version in (None, endpoint.version)


Starter = Callable[[Coroutine[Any, Any, None]], Any]


class Adapters:
    """Loads and evicts adapters of models that are loaded."""

    def __init__(
        self,
        order_sender: order_sender_module.OrderSender,
        members: members_module.Members,
        start: Starter,
        announce_changes: Callable[[], None],
        notify_waiting: Callable[
            [fleet.Item, tracked_engines_module.TrackedEngine], None
        ] = (lambda item, tracked_engine: None),
        notices: endpoint_notices_module.EndpointNotices | None = None,
    ) -> None:
        """Initializes without any task.

        Args:
            order_sender: Sends the orders.
            members: Provides the rates of requests for adapters.
            start: Starts a task.
            announce_changes: Schedules an announcement of what changed.
            notify_waiting: Immediately notifies instances that wait for an
                adapter.
            notices: Rate limits and back-offs that engines announced.
        """
        self._notices = notices or endpoint_notices_module.EndpointNotices()
        self._order_sender = order_sender
        self._members = members
        self._start = start
        self._announce_changes = announce_changes
        self._notify_waiting = notify_waiting
        self._loading: set[LoadRequest] = set()

    def request_load(
        self,
        request: LoadRequest,
        pool: manifest.Pool,
        tracked_engines: list[tracked_engines_module.TrackedEngine],
    ) -> bool:
        """Starts to load an adapter on an engine that holds its model.

        Returns:
            Whether the request needs no retry: the adapter is in place or
            loading, or its model is unknown.
        """
        item = request.item
        spec = pool.models.get(request.model)
        if spec is None or request in self._loading:
            return True
        serving = [
            b for b in tracked_engines if request.is_served_by(b.endpoint)
        ]
        holders = [b for b in serving if item in b.charged() - b.withdrawn]
        if holders:
            if item in holders[0].usable():
                self._notify_waiting(item, holders[0])
            return True
        tracked_engine = self._choose(pool, serving, request.model)
        if tracked_engine is None:
            return False
        self._loading.add(request)
        self._start(self._carry_out(request, tracked_engine, pool, spec))
        return True

    def preload(
        self,
        service: str,
        pool: manifest.Pool,
        tracked_engines: list[tracked_engines_module.TrackedEngine],
    ) -> None:
        """Loads adapters that no engine holds into free slots, one each."""
        now = clock.now()
        placed = set().union(*(b.charged() for b in tracked_engines)) | {
            request.item
            for request in self._loading
            if request.service == service
        }
        for tracked_engine in tracked_engines:
            may_claim = self._order_sender.claims.may_claim(
                tracked_engine.endpoint.name
            )
            if (
                self._is_constrained(tracked_engine)
                or not planner_inputs.is_free(tracked_engine, may_claim, now)
                or tracked_engine.lock.locked()
                or planner_inputs.count_adapters(tracked_engine)
                >= pool.adapter_slots
            ):
                continue
            item = self._find_missing(service, pool, tracked_engine, placed)
            # A task for an adapter that does not fit would end at once, wake
            # the planner and be started again in a busy loop.
            if item is None or not _fits(
                tracked_engine, pool, pool.models[item[0]]
            ):
                continue
            placed.add(item)
            request = LoadRequest(service, *item)
            self._loading.add(request)
            self._start(
                self._carry_out(
                    request, tracked_engine, pool, pool.models[item[0]], False
                )
            )

    def _find_missing(
        self,
        service: str,
        pool: manifest.Pool,
        tracked_engine: tracked_engines_module.TrackedEngine,
        placed: set[tuple[str, str]],
    ) -> tuple[str, str] | None:
        """Returns the most requested adapter that an engine should preload."""
        missing = [
            (model, adapter)
            for model, held in tracked_engine.usable()
            if not held and model in pool.models
            for adapter in pool.models[model].adapters
            if (model, adapter) not in placed
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
        # Engines that load a model are left out: they take no order for an
        # adapter meanwhile.
        now = clock.now()
        found = {
            b.endpoint.name: b
            for b in tracked_engines
            if (model, "") in b.usable()
            and planner_inputs.is_idle(b, now)
            and self._order_sender.claims.may_claim(b.endpoint.name)
        }
        unconstrained = {
            n: b for n, b in found.items() if not self._is_constrained(b)
        }
        found = unconstrained or found
        usages = self._members.total_usages()
        name = loading.choose_adapter_engine(
            {n: planner_inputs.count_adapters(b) for n, b in found.items()},
            pool.adapter_slots,
            {n: u.in_flight for n, u in usages.items()},
        )
        return found[name] if name is not None else None

    def _is_constrained(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Whether an engine is rate-limited or backing off."""
        endpoint = tracked_engine.endpoint
        limit = self._notices.find_limit(endpoint.incarnation)
        return limit is not None or self._notices.find_backoff(endpoint) > 0

    async def _carry_out(
        self,
        request: LoadRequest,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pool: manifest.Pool,
        spec: manifest.Model,
        may_evict: bool = True,
    ) -> None:
        try:
            await self._load(
                tracked_engine, pool, spec, request.adapter, may_evict
            )
        finally:
            self._loading.discard(request)

    async def _load(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pool: manifest.Pool,
        spec: manifest.Model,
        adapter: str,
        may_evict: bool,
    ) -> None:
        item = (spec.name, adapter)

        def fits() -> bool:
            return _fits(tracked_engine, pool, spec)

        if not fits() and not (
            may_evict and await self._evict_one(tracked_engine)
        ):
            return
        outcome = await self._order_sender.order(
            tracked_engine, lease.Action.LOAD, item, fits
        )
        if outcome not in engines.DONE:
            return
        seconds = _LOAD_SECONDS + spec.adapter_mb * _LOAD_SECONDS_PER_MB
        if item in tracked_engine.previously_held:
            seconds *= _RELOAD_FACTOR
        tracked_engine.previously_held.add(item)
        if may_evict:
            tracked_engine.adapter_loaded_at[item] = clock.now()
        if item in tracked_engine.added:
            tracked_engine.added[item] = clock.now() + seconds
        self._notify_waiting(item, tracked_engine)
        self._announce_changes()

    async def _evict_one(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Unloads the least used adapter; returns whether it is gone."""
        if not any(adapter for _, adapter in tracked_engine.removable()):
            # Only items that a report has shown in place can be unloaded.
            await self._order_sender.sync(tracked_engine)
        item = self._choose_victim(tracked_engine)
        if item is None:
            return False
        # Set before the order, so that another load request for this engine
        # selects another victim.
        tracked_engine.withdrawn.add(item)
        outcome = await self._order_sender.order(
            tracked_engine, lease.Action.UNLOAD, item
        )
        if outcome not in engines.DONE:
            tracked_engine.withdrawn.discard(item)
        self._announce_changes()
        # Engines answer the unload of an adapter once it is done.
        return outcome is engines.OrderOutcome.HELD

    def _choose_victim(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> fleet.Item | None:
        """Returns the least used adapter, None if all are in use."""
        service = tracked_engine.endpoint.service
        limit = clock.now() - _SETTLE_SECONDS
        rates = sorted(
            (self._members.adapter_rate(service, item), item)
            for item in tracked_engine.removable()
            if item[1]
            and tracked_engine.adapter_loaded_at.get(item, limit) <= limit
        )
        if not rates or rates[0][0] > _IN_USE_PER_S:
            return None
        return rates[0][1]


def _fits(
    tracked_engine: tracked_engines_module.TrackedEngine,
    pool: manifest.Pool,
    spec: manifest.Model,
) -> bool:
    """Whether an engine has a free slot and memory for a model's adapter."""
    total, _ = planner_inputs.sum_charges(tracked_engine, pool)
    has_slot = (
        planner_inputs.count_adapters(tracked_engine) < pool.adapter_slots
    )
    return has_slot and total + spec.adapter_mb <= pool.weights_mb
