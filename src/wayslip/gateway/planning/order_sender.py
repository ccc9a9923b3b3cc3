"""Sends orders to engines, one at a time to each, and tracks their effects.

An order names how many orders its engine has taken before. Of two orders with
the same count at most one is therefore carried out, whenever they arrive. An
order without an answer is sent again unchanged until the engine's count has
risen; until then its item is charged.
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
from wayslip.decisions import load_timing
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.planning import claims as claims_module
from wayslip.gateway.planning import engines as engines_module
from wayslip.gateway.planning import tracked_engines as tracked_engines_module

_LOG = logging.getLogger(__name__)
# Interval between reports that are requested from an engine whose order had no
# answer. Reports are some hundred milliseconds old.
_REPEAT_SECONDS = 0.35
# Interval before the next report is requested where the last one was older than
# an order. Reports are some hundred milliseconds old.
_SYNC_RETRY_SECONDS = 0.15
_MAX_SYNC_ATTEMPTS = 5
# Back-off for an engine that was busy or had another count of orders: as long
# as its reports may be outdated.
_BUSY_BACKOFF_SECONDS = 0.2


class OrderSender:
    """Sends orders to engines, and writes a claim before each order."""

    def __init__(
        self,
        options: options_module.Options,
        store: store_module.Store,
        client: engines_module.EngineClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self.metrics = metrics
        self.tracked_engines: dict[
            str, tracked_engines_module.TrackedEngine
        ] = {}
        # Whether an engine's rate limit permits a report or an order now; set
        # by the daemon.
        self.may_call: Callable[[fleet.Endpoint], bool] = lambda endpoint: True
        # Returns the version of the configuration in force; set by the daemon.
        self.find_version: Callable[[], int | None] = lambda: None
        # Told of an engine to which no connection could be opened, and whether
        # it did not answer at all; set by the daemon.
        self.on_unreachable: Callable[[fleet.Endpoint, bool], None] = (
            lambda endpoint, is_silent: None
        )
        self.claims = claims_module.Claims(options, store)

    # Orders

    async def sync(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> fleet.EngineState | None:
        """Requests and applies an engine's report.

        Returns:
            The report; None if there was none or it was outdated.
        """
        if not self.may_call(tracked_engine.endpoint):
            return None
        try:
            state = await self._client.report(tracked_engine.endpoint)
        except errors.EndpointError as e:
            logs.event(
                _LOG,
                "report_failed",
                endpoint=tracked_engine.endpoint.name,
                reason=e.reason,
            )
            if isinstance(e, errors.NotSentError):
                is_silent = not isinstance(e, errors.NobodyListensError)
                self.on_unreachable(tracked_engine.endpoint, is_silent)
            return None
        is_new = tracked_engine.apply_report(state, clock.now())
        logs.event(
            _LOG,
            "report",
            endpoint=tracked_engine.endpoint.name,
            orders=state.orders,
            busy=state.is_busy,
            new=is_new,
        )
        return state if is_new else None

    async def sync_until_certain(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Requests reports until an engine's inventory is certain.

        Returns:
            Whether it is certain; False if no report made it so.
        """
        for attempt in range(_MAX_SYNC_ATTEMPTS):
            if tracked_engine.is_certain:
                return True
            if attempt:
                await asyncio.sleep(_SYNC_RETRY_SECONDS)
            await self.sync(tracked_engine)
        return tracked_engine.is_certain

    async def order(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        action: lease.Action,
        item: fleet.Item,
        may_send: Callable[[], bool] = lambda: True,
    ) -> engines_module.OrderOutcome:
        """Sends an order; returns once its effect is certain.

        Args:
            tracked_engine: The engine that it is for.
            action: What to do.
            item: The model and adapter; the adapter is empty for the model.
            may_send: Called when no other order is in progress, so that
                memory it finds free stays free until this order is charged.

        Returns:
            The order's outcome.
        """
        model, adapter = item
        async with tracked_engine.lock:
            if (
                not await self.sync_until_certain(tracked_engine)
                or not may_send()
            ):
                return engines_module.OrderOutcome.REFUSED
            assert tracked_engine.inventory is not None
            known = _predict_outcome(tracked_engine.inventory, action, item)
            if known is not None:
                return known
            pending = lease.Pending(
                tracked_engine.endpoint.name,
                tracked_engine.inventory.orders,
                action,
                model,
                adapter,
            )
            return await self._execute(tracked_engine, pending)

    async def settle(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        fits: Callable[[], bool],
    ) -> None:
        """Determines the outcome of an order that a previous holder left open.

        Args:
            tracked_engine: The engine that it was for.
            fits: Whether all charged items fit, this order's included. The
                previous holder may have named a wrong count, and what fitted
                then may not fit at that count now.
        """
        async with tracked_engine.lock:
            pending = tracked_engine.pending
            if pending is None:
                return
            outcome = await self._repeat(tracked_engine, pending, fits)
            self._record_outcome(tracked_engine, pending, outcome, {})

    async def _execute(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
    ) -> engines_module.OrderOutcome:
        room = tracked_engine.describe_room(clock.now())
        tracked_engine.pending = pending
        outcome = await self._send(tracked_engine, pending)
        if outcome is None:
            # It was not sent, so it can't take effect.
            tracked_engine.pending = None
            return engines_module.OrderOutcome.REFUSED
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            outcome = await self._repeat(tracked_engine, pending)
        self._record_outcome(tracked_engine, pending, outcome, room)
        return outcome

    async def _send(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
    ) -> engines_module.OrderOutcome | None:
        """Claims the engine and sends an order; returns None if not sent."""
        if not self.may_call(tracked_engine.endpoint):
            return None
        began = clock.now()
        claim = await self.claims.write(pending)
        if claim is None or clock.now() - began > lease.SEND_LIMIT_SECONDS:
            return None
        authority = engines_module.Authority(claim.holder, claim.token)
        self.metrics.count("orders", action=pending.action.value)
        sent_at = clock.now()
        outcome = await self._client.order(
            tracked_engine.endpoint, pending, authority
        )
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            tracked_engine.note_unanswered(pending, sent_at)
        return outcome

    async def _repeat(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
        fits: Callable[[], bool] = lambda: True,
    ) -> engines_module.OrderOutcome:
        """Repeats an order until the engine's count shows its outcome."""
        outcomes = engines_module.OrderOutcome
        while self.tracked_engines.get(pending.endpoint) is tracked_engine:
            await asyncio.sleep(_REPEAT_SECONDS)
            state = await self.sync(tracked_engine)
            if state is not None and state.orders > pending.orders:
                return outcomes.TAKEN
            if state is None or not tracked_engine.is_certain:
                continue
            if state.orders < pending.orders or not fits():
                # The engine can't take it now, but could if it arrives later.
                tracked_engine.abandoned = pending
                return outcomes.REFUSED
            outcome = await self._send(tracked_engine, pending)
            if outcome in (outcomes.TAKEN, outcomes.HELD, outcomes.ELSEWHERE):
                return outcome
        return outcomes.ELSEWHERE

    def _record_outcome(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
        outcome: engines_module.OrderOutcome,
        room: dict[str, Any],
    ) -> None:
        """Applies and logs an order's outcome.

        Args:
            tracked_engine: The engine.
            pending: The order.
            outcome: Its outcome.
            room: The state that it was based on, as fields for the log.
        """
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
        tracked_engine.pending = None
        now = clock.now()
        outcomes = engines_module.OrderOutcome
        if outcome is outcomes.TAKEN:
            tracked_engine.note_taken(pending, now)
        elif outcome is outcomes.HELD and _is_adapter_unload(pending):
            tracked_engine.note_unloaded(pending, now)
        else:
            tracked_engine.note_uncertain()
        if outcome is outcomes.BUSY:
            # A report requested now would show the same count again.
            tracked_engine.backoff_until = max(
                tracked_engine.backoff_until, now + _BUSY_BACKOFF_SECONDS
            )

    async def wait_for_model(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        model: str,
        is_held: bool,
        seconds: float,
        poll_seconds: float = load_timing.DEFAULT.poll,
    ) -> bool:
        """Waits until an engine holds a model, or does not.

        Args:
            tracked_engine: The engine.
            model: The model.
            is_held: Whether to wait for it to be in place or to be gone.
            seconds: Maximum wait.
            poll_seconds: Maximum interval between reports that are requested.

        Returns:
            Whether that state was reached in time, on the same incarnation.
        """
        item = (model, "")
        end = clock.now() + seconds
        while clock.now() < end:
            if (
                self.tracked_engines.get(tracked_engine.endpoint.name)
                is not tracked_engine
            ):
                return False
            if (
                tracked_engine.holds(item)
                if is_held
                else tracked_engine.lacks(item)
            ):
                return True
            if await self._wait_for_entry(
                tracked_engine, item, is_held, poll_seconds
            ):
                # Reports lag a little behind the change that the entry shows.
                await asyncio.sleep(min(_SYNC_RETRY_SECONDS, poll_seconds))
            await self.sync(tracked_engine)
        return False

    async def _wait_for_entry(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        item: fleet.Item,
        is_held: bool,
        seconds: float,
    ) -> bool:
        """Waits some seconds until an engine's entry shows a state.

        The entry may be outdated, so it only triggers a report.
        """
        try:
            async with asyncio.timeout(seconds):
                while True:
                    tracked_engine.changed.clear()
                    await tracked_engine.changed.wait()
                    if (item in tracked_engine.listed()) is is_held:
                        return True
        except TimeoutError:
            return False


def _predict_outcome(
    known: inventory_module.Inventory, action: lease.Action, item: fleet.Item
) -> engines_module.OrderOutcome | None:
    """Returns the outcome of an order that the engine would not count.

    Such an order is not sent, because its answer looks like that to an order
    that was carried out. None means that the order has to be sent.
    """
    if action is lease.Action.LOAD:
        is_done = item in known.items
    else:
        is_done = item not in known.items
    if is_done:
        return engines_module.OrderOutcome.HELD
    if action is lease.Action.UNLOAD and item not in known.resident:
        return engines_module.OrderOutcome.REFUSED
    return None


def _is_adapter_unload(pending: lease.Pending) -> bool:
    return pending.action is lease.Action.UNLOAD and bool(pending.adapter)
