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
from wayslip.gateway import claims as claims_module
from wayslip.gateway import engines as engines_module
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway import tracked_engines as tracked_engines_module

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


class OrderSender:
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
        self.tracked_engines: dict[
            str, tracked_engines_module.TrackedEngine
        ] = {}
        # Whether an engine's limit leaves room for a report or an order now;
        # set by who knows.
        self.may_call: Callable[[fleet.Endpoint], bool] = lambda endpoint: True
        # The configuration in force; set by who knows.
        self.find_version: Callable[[], int | None] = lambda: None
        self.claims = claims_module.Claims(options, store)

    # Orders

    async def sync(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> fleet.EngineState | None:
        """Asks an engine for its count of orders and what it holds."""
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
            return None
        is_new = tracked_engine.take_state(state, clock.now())
        logs.event(
            _LOG,
            "report",
            endpoint=tracked_engine.endpoint.name,
            orders=state.orders,
            busy=state.is_busy,
            new=is_new,
        )
        return state if is_new else None

    async def learn(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Sees to it that an engine's count and content are known."""
        for attempt in range(_LEARN_TRIES):
            if tracked_engine.is_certain:
                return True
            if attempt:
                await asyncio.sleep(_LEARN_SECONDS)
            await self.sync(tracked_engine)
        return tracked_engine.is_certain

    async def order(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        action: lease.Action,
        item: fleet.Item,
        may_send: Callable[[], bool] = lambda: True,
    ) -> engines_module.OrderOutcome:
        """Gives an order; returns once its effect is certain.

        Args:
            tracked_engine: Whose engine it is for.
            action: What to do.
            item: The model and adapter; the adapter is empty for the model.
            may_send: Asked when no other order is under way, so that what
                it finds free stays free until this order is charged.

        Returns:
            What came of it.
        """
        model, adapter = item
        async with tracked_engine.lock:
            if not await self.learn(tracked_engine) or not may_send():
                return engines_module.OrderOutcome.REFUSED
            assert tracked_engine.inventory is not None
            known = _judge_without_asking(
                tracked_engine.inventory, action, item
            )
            if known is not None:
                return known
            pending = lease.Pending(
                tracked_engine.endpoint.name,
                tracked_engine.inventory.orders,
                action,
                model,
                adapter,
            )
            return await self._give(tracked_engine, pending)

    async def settle(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        fits: Callable[[], bool],
    ) -> None:
        """Settles an order that a holder before us left open.

        Args:
            tracked_engine: Whose engine it was for.
            fits: Whether all that is charged fits, this order included. The
                holder before us may have been wrong about the count, and
                what fitted then may not fit at that count now.
        """
        async with tracked_engine.lock:
            pending = tracked_engine.pending
            if pending is None:
                return
            outcome = await self._repeat(tracked_engine, pending, fits)
            self._note(tracked_engine, pending, outcome, {})

    async def _give(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
    ) -> engines_module.OrderOutcome:
        room = tracked_engine.describe_room(clock.now())
        tracked_engine.pending = pending
        outcome = await self._send(tracked_engine, pending)
        if outcome is None:
            # It was not sent, so nothing of it can take effect.
            tracked_engine.pending = None
            return engines_module.OrderOutcome.REFUSED
        if outcome is engines_module.OrderOutcome.UNKNOWN:
            outcome = await self._repeat(tracked_engine, pending)
        self._note(tracked_engine, pending, outcome, room)
        return outcome

    async def _send(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        pending: lease.Pending,
    ) -> engines_module.OrderOutcome | None:
        """Claims the engine and sends an order; None if it was not sent."""
        if not self.may_call(tracked_engine.endpoint):
            return None
        began = clock.now()
        claim = await self.claims.write(pending)
        if claim is None or clock.now() - began > lease.SEND_LIMIT_SECONDS:
            return None
        authority = engines_module.Authority(claim.holder, claim.token)
        self._metrics.count("orders", action=pending.action.value)
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
        """Repeats an order until the engine's count tells what came of it."""
        outcomes = engines_module.OrderOutcome
        while self.tracked_engines.get(pending.endpoint) is tracked_engine:
            await asyncio.sleep(_REPEAT_SECONDS)
            state = await self.sync(tracked_engine)
            if state is not None and state.orders > pending.orders:
                return outcomes.TAKEN
            if state is None or not tracked_engine.is_certain:
                continue
            if state.orders < pending.orders or not fits():
                # It can not be taken now, and may arrive when it can.
                tracked_engine.abandoned = pending
                return outcomes.REFUSED
            outcome = await self._send(tracked_engine, pending)
            if outcome in (outcomes.TAKEN, outcomes.HELD, outcomes.ELSEWHERE):
                return outcome
        return outcomes.ELSEWHERE

    def _note(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
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
        tracked_engine.pending = None
        now = clock.now()
        outcomes = engines_module.OrderOutcome
        if outcome is outcomes.TAKEN:
            tracked_engine.note_taken(pending, now)
        elif outcome is outcomes.HELD and _is_adapters_unload(pending):
            tracked_engine.note_dropped(pending, now)
        else:
            tracked_engine.note_unclear()
        if outcome is outcomes.BUSY:
            # A report of the same moment would tell the same count again.
            tracked_engine.rests_until = max(
                tracked_engine.rests_until, now + _BUSY_REST
            )

    async def wait_for_model(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        model: str,
        is_held: bool,
        seconds: float,
    ) -> bool:
        """Waits until an engine holds a model, or does not.

        Returns:
            Whether that came true in time, on a live engine.
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
            if await self._is_listed_anew(tracked_engine, item, is_held):
                # Reports are a little older than what made the entry change.
                await asyncio.sleep(_LEARN_SECONDS)
            await self.sync(tracked_engine)
        return False

    async def _is_listed_anew(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        item: fleet.Item,
        is_held: bool,
    ) -> bool:
        """Waits for a while until an engine's entry shows what is awaited.

        The entry may be old, so it is only a reason to ask the engine.
        """
        try:
            async with asyncio.timeout(_POLL_SECONDS):
                while True:
                    tracked_engine.changed.clear()
                    await tracked_engine.changed.wait()
                    if (item in tracked_engine.listed()) is is_held:
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
    if action is lease.Action.UNLOAD and item not in known.resident:
        return engines_module.OrderOutcome.REFUSED
    return None


def _is_adapters_unload(pending: lease.Pending) -> bool:
    return pending.action is lease.Action.UNLOAD and bool(pending.adapter)
