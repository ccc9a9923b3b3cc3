"""Executes placements on engines through their ledgers.

Each engine has a usual owner among the live controls. Ownership only
distributes the work. Where two controls both consider themselves the owner of
an engine, the conditional updates of its ledger and of the replica sets
prevent conflicting orders.

One step consists of: (1) for an eviction, remove the engine from the item's
replica set, which checks that another replica is ready; (2) write the attempt
to the ledger; (3) for an eviction, check that the engine was not added to the
replica set again; (4) send the order; (5) settle the attempt by the answer.
After a crash at any point, the next owner can continue from the stored state.
"""

from collections.abc import Callable
import dataclasses
import logging
import threading
import time
import uuid

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip.control import evictions
from wayslip.control import world as world_module
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import ledger as ledger_module
from wayslip.decisions import membership
from wayslip.decisions import ownership
from wayslip.decisions import rate
from wayslip.decisions import reconcile
from wayslip.decisions import replicas
from wayslip.endpoints import engine as engine_module
from wayslip.objects import client as client_module
from wayslip.objects import kinds

_LOG = logging.getLogger(__name__)
LedgerStep = Callable[[ledger_module.Ledger], ledger_module.Ledger]
_REPORT_SECONDS = 1.0
_ORDER_SECONDS = 3.0
_STALE_ATTEMPT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class _ObservedEngine:
    """An engine with its ledger and its current report."""

    endpoint: kinds.Endpoint
    ledger: ledger_module.Ledger
    report: engine_module.Report


class Executor:
    """Executes placements on the engines of this control, in a thread."""

    def __init__(
        self,
        settings: settings_module.Settings,
        world: world_module.WorldView,
        client: client_module.ObjectClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._world = world
        self._client = client
        self._metrics = metrics
        self._dialect = engine_module.DIALECTS.get("openai")
        self._sender = world.node.process
        self._evictions = evictions.Evictions(world, client)
        self._stopping = threading.Event()
        share = settings.placement.load_rate
        self._bucket = rate.Bucket(share, 2.0, 1.0, clock.now())
        # When each unsettled attempt was first observed here, in seconds of
        # `clock.now`, by engine and attempt id.
        self._first_seen: dict[tuple[str, str], float] = {}
        # Ledger updates whose write was not answered, by engine and attempt
        # id. They are applied again with the engine's next report, since only
        # the sender of an attempt can report its result.
        self._pending_updates: dict[str, dict[str, LedgerStep]] = {}
        self._thread = threading.Thread(
            target=self._run, name="executor", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops after the current step."""
        self._stopping.set()
        self._thread.join(timeout=_ORDER_SECONDS + 1)

    def _run(self) -> None:
        while not self._stopping.wait(self._settings.placement.period):
            for endpoint in self._owned_engines():
                if self._stopping.is_set():
                    return
                try:
                    while self.work_on(endpoint):
                        pass
                except errors.WayslipError as e:
                    logs.event(
                        _LOG,
                        "engine_not_worked_on",
                        logging.WARNING,
                        engine=endpoint.name,
                        reason=e.reason,
                    )
                except Exception:
                    # A fault of one engine must not block the others.
                    _LOG.exception("engine_work_failed")

    def _owned_engines(self) -> list[kinds.Endpoint]:
        controls = self._world.node.live_names(membership.Role.CONTROL)
        own_name = self._world.node.identity.name
        return [
            e
            for e in self._world.engines()
            if ownership.find_owner(e.name, controls) == own_name
        ]

    def work_on(self, endpoint: kinds.Endpoint) -> bool:
        """Observes an engine and executes one step; returns whether it did."""
        try:
            report = self._dialect.report(endpoint.address, _REPORT_SECONDS)
        except errors.EndpointError:
            self._world.record_missing_report(endpoint.name)
            return False
        self._world.record_report(endpoint.name, report)
        ledger = self._observe(endpoint, report)
        observed = _ObservedEngine(endpoint, ledger, report)
        self._update_replica_sets(observed)
        if endpoint.phase is kinds.Phase.LEAVING:
            return False
        return self._run_step(observed)

    def _run_step(self, observed: _ObservedEngine) -> bool:
        name = observed.endpoint.name
        kept: frozenset[str] = frozenset()
        while True:
            step = self._choose(observed, kept)
            if step is None:
                return False
            is_unload = step.action is ledger_module.Action.UNLOAD
            if is_unload and not self._evictions.release(name, step.item):
                # Another step may be possible, such as the load of the
                # item that replaces the one retained here.
                kept |= {step.item}
                continue
            return self._execute(observed, step)

    # Observing

    def _observe(
        self, endpoint: kinds.Endpoint, report: engine_module.Report
    ) -> ledger_module.Ledger:
        quarantine = self._settings.placement.quarantine

        def step(
            known: ledger_module.Ledger | None,
        ) -> ledger_module.Ledger:
            ledger = known or ledger_module.Ledger(
                endpoint.name, endpoint.capacity, endpoint.checks_fence
            )
            now = time.time()
            for pending in self._pending_updates.get(
                endpoint.name, {}
            ).values():
                ledger = pending(ledger)
            ledger = self._give_up_stale_attempts(ledger, now)
            return ledger.observe(report.residency, now, quarantine)

        # Most reports change nothing, so the cached copy saves the call.
        copy = self._world.ledgers.objects.get(endpoint.name)
        has_pending = endpoint.name in self._pending_updates
        if copy is not None and not has_pending and step(copy) == copy:
            return copy
        stored = self._client.change(kinds.LEDGER, endpoint.name, step)
        assert not isinstance(stored, refusals.Refusal)
        self._pending_updates.pop(endpoint.name, None)
        return stored.value

    def _give_up_stale_attempts(
        self, ledger: ledger_module.Ledger, now: float
    ) -> ledger_module.Ledger:
        """Gives up attempts whose sender is gone or has stopped waiting."""
        live = {m.process for m in self._world.node.members()}
        open_ids = {a.id for a in ledger.attempts}
        for attempt in ledger.attempts:
            if attempt.given_up:
                continue
            key = (ledger.engine, attempt.id)
            first_seen = self._first_seen.setdefault(key, clock.now())
            is_old = clock.now() - first_seen > _STALE_ATTEMPT_SECONDS
            # A paused sender may still send its order, and an engine that
            # does not check fences would execute it. At such an engine an
            # attempt is given up only once its sender is no member any more.
            may_give_up = ledger.checks_fence or attempt.sender not in live
            if is_old and may_give_up:
                ledger = ledger.give_up(attempt.id, now)
        for engine, attempt_id in list(self._first_seen):
            if engine == ledger.engine and attempt_id not in open_ids:
                del self._first_seen[engine, attempt_id]
        return ledger

    def _update_replica_sets(self, observed: _ObservedEngine) -> None:
        """Adds the engine for ready items, removes it for items it has lost."""
        name = observed.endpoint.name
        wanted = self._world.catalog.placements.get(name, ())
        ready = {
            c.item
            for c in observed.ledger.charges
            if c.phase is ledger_module.Phase.RESIDENT
            and c.item in wanted
            and not any(a.item == c.item for a in observed.ledger.attempts)
        }
        charged = {c.item for c in observed.ledger.charges}
        for item in ready:
            known = self._world.replica_sets().get(item)
            if known is None or name not in known.engines:
                self._change_replica_set(item, lambda old: old.add(name))
        for item, known in self._world.replica_sets().items():
            if name in known.engines and item not in charged:
                self._change_replica_set(item, lambda old: old.lose(name))

    def _change_replica_set(self, item: str, step) -> None:  # type: ignore[no-untyped-def]
        self._client.change(
            kinds.REPLICA_SET,
            evictions.object_name(item),
            lambda known: step(known or replicas.ReplicaSet(item)),
        )

    # Choosing

    def _choose(
        self, observed: _ObservedEngine, kept: frozenset[str]
    ) -> reconcile.Step | None:
        catalog = self._world.catalog
        items = catalog.placements.get(observed.endpoint.name, ())
        sets = self._world.replica_sets()
        wanted = reconcile.Wanted(
            tuple(i for i in items if i in catalog.sizes),
            catalog.sizes,
            _find_bases(catalog),
            {i for i in items if i not in sets or not sets[i].engines},
            kept,
        )
        return reconcile.choose_step(observed.ledger, wanted, may_load=True)

    def _take_load_permit(self) -> bool:
        controls = self._world.node.live_names(membership.Role.CONTROL)
        share = self._settings.placement.load_rate / max(len(controls), 1)
        bucket = dataclasses.replace(self._bucket, rate=share)
        taken = bucket.take(clock.now())
        if taken is None:
            return False
        self._bucket = taken
        return True

    # Executing

    def _execute(self, observed: _ObservedEngine, step: reconcile.Step) -> bool:
        is_load = step.action is ledger_module.Action.LOAD
        if is_load and not self._take_load_permit():
            return False
        is_unload = step.action is ledger_module.Action.UNLOAD
        attempt_id = uuid.uuid4().hex
        try:
            written = self._write_attempt(observed, step, attempt_id)
        except errors.ObjectUnavailableError:
            # The attempt may have been written, but is never sent.
            self._defer_update(
                observed, attempt_id, lambda old: old.withdraw(attempt_id)
            )
            raise
        if isinstance(written, refusals.Refusal):
            logs.event(
                _LOG,
                "step_refused",
                engine=observed.endpoint.name,
                item=step.item,
                reason=written.reason,
            )
            return False
        if is_unload and not self._evictions.is_released(
            observed.endpoint.name, step.item
        ):
            self._update_attempt(
                observed, attempt_id, lambda old: old.withdraw(attempt_id)
            )
            return False
        return self._send(observed, written, attempt_id)

    def _write_attempt(
        self, observed: _ObservedEngine, step: reconcile.Step, attempt_id: str
    ) -> ledger_module.Ledger | refusals.Refusal:
        def begin(
            known: ledger_module.Ledger | None,
        ) -> ledger_module.Ledger | refusals.Refusal:
            assert known is not None
            if known.find_attempt(attempt_id) is not None:
                return known
            following = known.follow(self._world.catalog.generation)
            if isinstance(following, refusals.Refusal):
                return following
            return _begin(following, step, attempt_id, self._sender)

        name = observed.endpoint.name
        stored = self._client.change(kinds.LEDGER, name, begin)
        return stored if isinstance(stored, refusals.Refusal) else stored.value

    def _send(
        self,
        observed: _ObservedEngine,
        ledger: ledger_module.Ledger,
        attempt_id: str,
    ) -> bool:
        attempt = ledger.find_attempt(attempt_id)
        assert attempt is not None
        charge = ledger.get(attempt.item)
        order = engine_module.Order(
            attempt_id,
            attempt.action,
            attempt.item,
            charge.size if charge else 0,
            attempt.fence if ledger.checks_fence else 0,
            attempt.boot if ledger.checks_fence else 0,
        )
        name = observed.endpoint.name
        self._metrics.count("orders", action=attempt.action)
        try:
            answer = self._dialect.order(
                observed.endpoint.address, order, _ORDER_SECONDS
            )
        except errors.NotSentError:
            self._update_attempt(
                observed, attempt_id, lambda old: old.withdraw(attempt_id)
            )
            return False
        except errors.EndpointError as e:
            now = time.time()
            self._update_attempt(
                observed, attempt_id, lambda old: old.give_up(attempt_id, now)
            )
            logs.event(
                _LOG,
                "order_unclear",
                logging.WARNING,
                engine=name,
                action=attempt.action,
                item=attempt.item,
                reason=e.reason,
            )
            return False
        residency = answer.report.residency
        self._update_attempt(
            observed,
            attempt_id,
            lambda old: old.settle(attempt_id, answer.outcome, residency),
        )
        self._world.record_report(name, answer.report)
        logs.event(
            _LOG,
            "order_answered",
            engine=name,
            action=attempt.action,
            item=attempt.item,
            outcome=answer.outcome,
            detail=answer.detail,
        )
        return answer.outcome is ledger_module.Outcome.APPLIED

    def _update_attempt(
        self, observed: _ObservedEngine, attempt_id: str, step: LedgerStep
    ) -> None:
        """Updates an attempt of this sender in the engine's ledger.

        Raises:
            ObjectUnavailableError: The object API did not answer. The update is
                kept and applied with the engine's next report.
        """

        def change(known: ledger_module.Ledger | None) -> ledger_module.Ledger:
            assert known is not None
            return step(known)

        try:
            self._client.change(kinds.LEDGER, observed.endpoint.name, change)
        except errors.ObjectUnavailableError:
            self._defer_update(observed, attempt_id, step)
            raise

    def _defer_update(
        self, observed: _ObservedEngine, attempt_id: str, step: LedgerStep
    ) -> None:
        pending = self._pending_updates.setdefault(observed.endpoint.name, {})
        pending[attempt_id] = step


def _begin(
    ledger: ledger_module.Ledger,
    step: reconcile.Step,
    attempt_id: str,
    sender: str,
) -> ledger_module.Ledger | refusals.Refusal:
    match step.action:
        case ledger_module.Action.LOAD:
            return ledger.begin_load(step.item, step.size, attempt_id, sender)
        case ledger_module.Action.UNLOAD:
            return ledger.begin_unload(step.item, attempt_id, sender)
    return ledger.begin_fence(attempt_id, sender)


def _find_bases(catalog: catalogs.Catalog) -> dict[str, str]:
    return {
        target.items[1]: target.items[0]
        for target in catalog.targets.values()
        if len(target.items) > 1
    }
