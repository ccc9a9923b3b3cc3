"""Carries out loads: frees memory, sends orders, waits until models serve."""

import asyncio
from collections.abc import Callable
import functools
import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import copies
from wayslip.decisions import lease
from wayslip.decisions import load_timing
from wayslip.decisions import loading
from wayslip.decisions import manifest as manifest_module
from wayslip.gateway.planning import engines
from wayslip.gateway.planning import order_sender as order_sender_module
from wayslip.gateway.planning import planner_inputs
from wayslip.gateway.planning import tracked_engines as tracked_engines_module
from wayslip.gateway.planning import victims

_LOG = logging.getLogger(__name__)
# Maximum wait for an unload, which itself waits for the model's requests.
_UNLOAD_TIMEOUT_SECONDS = 8.0
# A load times out after this multiple of its expected time, plus a constant.
_LOAD_FACTOR = 3.0
_LOAD_EXTRA_SECONDS = 5.0
# Back-off for an engine that did not carry out a load, above the age of its
# reports, which are some hundred milliseconds old.
_FAILED_BACKOFF_SECONDS = 0.6


class Loads:
    """Tasks that each send the orders for one load and await their effects."""

    def __init__(
        self,
        order_sender: order_sender_module.OrderSender,
        announce_changes: Callable[[], None],
    ) -> None:
        """Initializes without any task.

        Args:
            order_sender: Sends the orders.
            announce_changes: Schedules an announcement of what changed.
        """
        self._order_sender = order_sender
        self._announce_changes = announce_changes

    async def carry_out(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        step: loading.Step,
        pool: manifest_module.Pool,
        may_unload: victims.Check,
        timing: load_timing.Timing = load_timing.DEFAULT,
    ) -> None:
        """Frees memory for a model and loads it.

        Args:
            tracked_engine: The engine.
            step: What to load and unload there.
            pool: The pool of its service.
            may_unload: Whether a victim may be unloaded now.
            timing: How often its orders' effects are looked for.
        """
        is_loaded = False
        try:
            if await self._make_room(
                tracked_engine, step, may_unload, timing.poll
            ):
                is_loaded = await self._load(
                    tracked_engine, step, pool, timing.poll
                )
        finally:
            if not is_loaded:
                tracked_engine.backoff_until = (
                    clock.now() + _FAILED_BACKOFF_SECONDS
                )
            tracked_engine.evicting.clear()
            tracked_engine.turn = ""
            tracked_engine.forget_load(step.model)
            self._announce_changes()

    async def _make_room(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        step: loading.Step,
        may_unload: victims.Check,
        poll_seconds: float,
    ) -> bool:
        """Unloads the eviction victims; returns whether all are gone."""
        if not await self._order_sender.sync_until_certain(tracked_engine):
            return False
        for victim in step.victims:
            if not may_unload(victim):
                self._note_spared(step, victim)
                return False
        for victim in step.victims:
            item = (victim, "")
            tracked_engine.withdrawn.add(item)
            self._announce_changes()
            outcome = await self._order_sender.order(
                tracked_engine,
                lease.Action.UNLOAD,
                item,
                functools.partial(may_unload, victim),
            )
            if outcome not in engines.DONE:
                tracked_engine.withdrawn.discard(item)
                return False
            if not await self._order_sender.wait_for_model(
                tracked_engine,
                victim,
                False,
                _UNLOAD_TIMEOUT_SECONDS,
                poll_seconds,
            ):
                return False
        return True

    def _note_spared(self, step: loading.Step, victim: str) -> None:
        self._order_sender.metrics.count("victims_spared")
        logs.event(
            _LOG,
            "victim_spared",
            endpoint=step.engine,
            model=step.model,
            victim=victim,
        )

    async def _load(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        step: loading.Step,
        pool: manifest_module.Pool,
        poll_seconds: float,
    ) -> bool:
        size_mb = pool.models[step.model].weights_mb

        def may_send() -> bool:
            # The model may be planned elsewhere once its load is overdue.
            is_overdue = step.model in tracked_engine.overdue
            total, _ = planner_inputs.sum_charges(tracked_engine, pool)
            return not is_overdue and total + size_mb <= pool.weights_mb

        outcome = await self._order_sender.order(
            tracked_engine, lease.Action.LOAD, (step.model, ""), may_send
        )
        if outcome not in engines.DONE:
            return False
        seconds = step.load_seconds
        tracked_engine.expect_load(step.model, clock.now() + seconds, seconds)
        self._announce_changes()
        limit = step.seconds * _LOAD_FACTOR + _LOAD_EXTRA_SECONDS
        await asyncio.sleep(seconds * 0.9)
        is_done = await self._order_sender.wait_for_model(
            tracked_engine, step.model, True, limit, poll_seconds
        )
        tracked_engine.loaded_at[step.model] = clock.now()
        logs.event(
            _LOG,
            "load_ended",
            endpoint=step.engine,
            model=step.model,
            loaded=is_done,
        )
        return is_done

    def note_overdue(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> None:
        """Logs loads that no longer count as copies on their way.

        Their orders are still settled, and their memory stays charged.
        """
        now = clock.now()
        for model in tracked_engine.take_overdue(now):
            self._order_sender.metrics.count("overdue_loads")
            load = tracked_engine.pending_loads[model]
            logs.event(
                _LOG,
                "load_overdue",
                endpoint=tracked_engine.endpoint.name,
                model=model,
                late=f"{now - load.ready_at:.2f}",
                seconds=f"{load.seconds:.2f}",
                unanswered=tracked_engine.pending is not None,
                report_age=f"{now - tracked_engine.reported_at:.2f}",
            )
            self._announce_changes()

    # Orders of the previous holder

    async def settle(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        find_manifest: Callable[[], manifest_module.Manifest | None],
    ) -> None:
        """Settles an order that the previous holder left open.

        Args:
            tracked_engine: The engine that it was for.
            find_manifest: Returns the configuration in force.
        """
        pending = tracked_engine.pending
        is_load = (
            pending is not None
            and pending.action is lease.Action.LOAD
            and not pending.adapter
        )
        if pending is not None and is_load:
            # Counts as a copy on its way until the outcome is known.
            load_seconds = planner_inputs.find_load_seconds(
                find_manifest(), tracked_engine, pending.model
            )
            ready_at = clock.now() + load_seconds
            tracked_engine.expect_load(pending.model, ready_at, load_seconds)
        await self._order_sender.settle(
            tracked_engine,
            lambda: planner_inputs.fits_service(
                tracked_engine, find_manifest()
            ),
        )
        if pending is None or not is_load:
            return
        if (pending.model, "") not in tracked_engine.added:
            tracked_engine.forget_load(pending.model)
            return
        await self.wait_for_adopted_load(
            tracked_engine, pending.model, load_seconds
        )

    async def wait_for_adopted_load(
        self,
        tracked_engine: tracked_engines_module.TrackedEngine,
        model: str,
        seconds: float,
    ) -> None:
        """Waits for a load that the previous holder ordered."""
        try:
            state = await self._order_sender.sync(tracked_engine)
            if state is not None and not state.is_busy:
                return
            await self._order_sender.wait_for_model(
                tracked_engine, model, True, seconds + _LOAD_EXTRA_SECONDS
            )
        finally:
            tracked_engine.forget_load(model)
            self._announce_changes()


def log_planned(step: loading.Step, asked: copies.Demand) -> None:
    """Logs a planned load with the demand that it answers."""
    logs.event(
        _LOG,
        "load_planned",
        endpoint=step.engine,
        model=step.model,
        victims=",".join(step.victims),
        cold=step.is_cold,
        seconds=f"{step.seconds:.1f}",
        gain=f"{step.gain:.2f}",
        turn=step.is_turn,
        rate=f"{asked.rate:.2f}",
        work=f"{asked.work:.2f}",
    )


def log_unplanned(
    model: str,
    refusals: int,
    waited: float,
    pending: int,
    obstacle: loading.Obstacle,
) -> None:
    """Logs why a model that was refused is not planned to be loaded."""
    logs.event(
        _LOG,
        "load_not_planned",
        model=model,
        refusals=refusals,
        waited=f"{waited:.1f}",
        pending=pending,
        bound=f"{obstacle.bound:.2f}",
        free=obstacle.free,
        loss="" if obstacle.loss is None else f"{obstacle.loss:.2f}",
        busy_loss=(
            "" if obstacle.busy_loss is None else f"{obstacle.busy_loss:.2f}"
        ),
    )
