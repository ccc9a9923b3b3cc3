"""Work of the lease holder: collects demand, plans loads, notifies peers."""

import asyncio
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import copies
from wayslip.decisions import fleet
from wayslip.decisions import load_timing
from wayslip.decisions import loading
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import rate
from wayslip.decisions import turns
from wayslip.gateway import background
from wayslip.gateway.planning import adapters as adapters_module
from wayslip.gateway.planning import loads as loads_module
from wayslip.gateway.planning import order_sender as order_sender_module
from wayslip.gateway.planning import planner_inputs
from wayslip.gateway.planning import tracked_engines as tracked_engines_module
from wayslip.gateway.planning import victims
from wayslip.gateway.sharing import announcements
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module
from wayslip.gateway.sharing import quota_accounts as quota_accounts_module
from wayslip.gateway.sharing import view as view_module

_LOG = logging.getLogger(__name__)
# Time between plans. It bounds how late a decision is, which is little against
# loads that take a second or more.
_PLAN_PERIOD_SECONDS = 0.15
# Minimum time between plans; making one takes up to a few milliseconds.
_MIN_PLAN_PERIOD_SECONDS = 0.005
# Loads from the weight store that may start together; see `rate.Bucket`.
_COLD_LOAD_BURST = 2.0
# Interval of the log lines about models that are refused and not planned.
_LOG_SECONDS = 1.0
# How long the claim of an engine is kept after the engine left the list: many
# times what an expired entry takes to reappear.
_CLAIM_RETENTION_SECONDS = 60.0
# How long a load request for an adapter stays valid; the waiting request
# repeats it.
_LOAD_REQUEST_SECONDS = 0.2


class Planner:
    """Plans and carries out loads while this instance holds the lease."""

    def __init__(
        self,
        holder: configuration.Holder,
        view: view_module.EndpointView,
        leadership: leadership_module.Leadership,
        order_sender: order_sender_module.OrderSender,
        members: members_module.Members,
        announcer: announcements.Announcer,
        accounts: quota_accounts_module.QuotaAccounts,
    ) -> None:
        self._accounts = accounts
        self._holder = holder
        self._view = view
        self._leadership = leadership
        self._order_sender = order_sender
        self.members = members
        self._announcer = announcer
        self._wake = asyncio.Event()
        self._background_tasks = background.BackgroundTasks(
            "order_series_failed", self._wake.set
        )
        self._loads = loads_module.Loads(
            order_sender, announcer.announce_changes
        )
        self._adapters = adapters_module.Adapters(
            order_sender,
            self.members,
            self._background_tasks.start,
            self._announcer.announce_changes,
            self._notify_waiting,
            view.notices,
        )
        self._timings = load_timing.Timings()
        self._buckets: dict[str, rate.Bucket] = {}
        # Adapters that requests wait for, and when each load request expires.
        self._load_requests: dict[adapters_module.LoadRequest, float] = {}
        # Addresses of instances that wait for an adapter, with expiry times.
        self._waiting: dict[
            adapters_module.LoadRequest, dict[hub_module.Address, float]
        ] = {}
        # When loads announced by the previous holder end, by endpoint and
        # model.
        self._announced_loads: dict[tuple[str, str], float] = {}
        self._missing_since: dict[str, float] = {}
        # When models without a load were last logged, by service.
        self._unplanned_logged_at: dict[str, float] = {}
        self._is_prepared = False
        # Result of `find_held` before the last plan. It is cached because it
        # takes a pass over all engines, and the largest fleet sends 400 reports
        # a second that need it.
        self._held: set[tuple[str, str]] = set()

    # The lease

    def begin(self) -> None:
        """Starts to plan, once the claims in the store have been read."""
        self._order_sender.tracked_engines.clear()
        self._follow_list()
        self._held = planner_inputs.find_held(
            self._order_sender.tracked_engines
        )
        self._order_sender.claims.min_token = self._leadership.revision
        if not self._leadership.follows_another:
            self._order_sender.claims.note_no_predecessor()
        self._buckets.clear()
        self._is_prepared = False
        self.members.begin()
        self._accounts.begin()
        self._background_tasks.start(self._prepare())

    async def _prepare(self) -> None:
        while True:
            try:
                await self._order_sender.claims.read_all()
                break
            except errors.ObjectError as e:
                logs.event(
                    _LOG, "claims_not_read", logging.WARNING, reason=e.reason
                )
                await asyncio.sleep(_PLAN_PERIOD_SECONDS)
        self._follow_list()
        self._adopt_loads()
        for name, seen in self._order_sender.claims.known.items():
            tracked_engine = self._order_sender.tracked_engines.get(name)
            if tracked_engine is not None and seen.claim.pending is not None:
                tracked_engine.pending = seen.claim.pending
                self._background_tasks.start(
                    self._loads.settle(
                        tracked_engine, lambda: self._holder.manifest
                    )
                )
        self._is_prepared = True

    def _adopt_loads(self) -> None:
        now = clock.now()
        for (name, model), at in self._announced_loads.items():
            tracked_engine = self._order_sender.tracked_engines.get(name)
            if (
                tracked_engine is None
                or at < now
                or model in tracked_engine.endpoint.models
            ):
                continue
            seconds = planner_inputs.find_load_seconds(
                self._holder.manifest, tracked_engine, model
            )
            tracked_engine.expect_load(model, at, seconds)
            tracked_engine.task = self._background_tasks.start(
                self._loads.wait_for_adopted_load(
                    tracked_engine, model, at - now
                )
            )

    def end(self) -> None:
        """Stops sending orders; the last ones stay recorded in the claims."""
        self._is_prepared = False
        self._background_tasks.cancel()

    # Messages from and to peers

    def process(
        self, message: facts.Message, source: hub_module.Address
    ) -> None:
        """Processes a message of another instance.

        The lease holder processes reports and item requests, other instances
        the statements of the holder.
        """
        if not self._leadership.is_held:
            self._process_holder_message(message)
        elif isinstance(message, facts.Report):
            self.members.take(message, source, self._held)
            self._accounts.record_report(message)
        elif isinstance(message, facts.ItemRequest):
            self._process_item_request(message, source)

    def _process_item_request(
        self, item_request: facts.ItemRequest, source: hub_module.Address
    ) -> None:
        self.members.note_sender(item_request, source)
        if not item_request.adapter:
            return
        request = adapters_module.LoadRequest(
            item_request.service,
            item_request.model,
            item_request.adapter,
            item_request.version,
        )
        until = clock.now() + _LOAD_REQUEST_SECONDS
        self._load_requests[request] = until
        self._waiting.setdefault(request, {})[source] = until
        self._wake.set()

    def _notify_waiting(
        self,
        item: fleet.Item,
        tracked_engine: tracked_engines_module.TrackedEngine,
    ) -> None:
        """Notifies instances that wait for an adapter that an engine loads it.

        Announcements to all instances are coalesced, for 0.15 s in a fleet of
        195 instances. A request waits little longer than that.
        """
        endpoint = tracked_engine.endpoint
        served = [
            r
            for r in self._waiting
            if r.service == endpoint.service
            and r.item == item
            and r.is_served_by(endpoint)
        ]
        waiting = {a for r in served for a in self._waiting.pop(r)}
        self._announcer.announce_to(tracked_engine, item, list(waiting))

    def _process_holder_message(self, message: facts.Message) -> None:
        """Records what this instance needs if it becomes the next holder."""
        if isinstance(message, facts.State):
            self._order_sender.claims.note_position(
                max(message.revision, message.endpoints.revision)
            )
            if message.is_detached:
                self._order_sender.claims.start_hold_off()
            return
        if isinstance(message, facts.Handover):
            if message.term < self._leadership.seen_term:
                return
            self.members.adopt(message.rates)
            self.members.adopt_readings(message.readings)
            if message.peers:
                self.members.adopt_peers(message.peers)
            for claim in message.claims:
                self._order_sender.claims.note_revision(
                    claim.endpoint, claim.revision
                )
        elif isinstance(message, facts.PlacementUpdate):
            self._process_arrivals(message)

    def _process_arrivals(self, update: facts.PlacementUpdate) -> None:
        now = clock.now()
        if update.is_whole:
            self._announced_loads = {}
        for one in update.pending_loads:
            if one.is_ordered:
                key = (one.endpoint, one.model)
                self._announced_loads[key] = now + one.seconds

    # Planning

    async def run(self) -> None:
        """Plans while this instance may order engines; runs until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_PLAN_PERIOD_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            # Limits the loop's rate when background tasks end immediately.
            await asyncio.sleep(_MIN_PLAN_PERIOD_SECONDS)
            self._wake.clear()
            self._follow_list()
            if self._leadership.is_held:
                self._held = planner_inputs.find_held(
                    self._order_sender.tracked_engines
                )
            may_plan = (
                self._leadership.is_valid
                or self._order_sender.claims.is_detached()
            )
            if may_plan and self._is_prepared:
                self._plan()
                self._remove_claims()

    def _follow_list(self) -> None:
        tracked_engines = self._order_sender.tracked_engines
        now = clock.now()
        for name in [n for n in tracked_engines if n not in self._view.tracked]:
            del tracked_engines[name]
            self._missing_since[name] = now
        for name, tracked in self._view.tracked.items():
            self._missing_since.pop(name, None)
            tracked_engine = tracked_engines.get(name)
            if tracked_engine is None:
                tracked_engine = tracked_engines_module.TrackedEngine(
                    tracked.endpoint
                )
                tracked_engines[name] = tracked_engine
                tracked_engine.apply_entry(tracked.endpoint, now)
            elif tracked.endpoint.succeeds(tracked_engine.endpoint):
                tracked_engines[name] = tracked_engine.begin_incarnation(
                    tracked.endpoint, now
                )
            elif tracked_engine.endpoint is not tracked.endpoint:
                tracked_engine.apply_entry(tracked.endpoint, now)

    def _remove_claims(self) -> None:
        """Removes the claims of engines that left the list for good.

        A running engine may be missing from the list for a while, and its
        claim must persist for that time.
        """
        limit = clock.now() - _CLAIM_RETENTION_SECONDS
        old = [n for n, at in self._missing_since.items() if at < limit]
        for name in old:
            del self._missing_since[name]
            self._background_tasks.start(self._order_sender.claims.remove(name))

    def _plan(self) -> None:
        manifest = self._holder.manifest
        if manifest is None:
            return
        now = clock.now()
        self.members.forget_misses()
        self._load_requests = {
            w: at for w, at in self._load_requests.items() if at > now
        }
        self._waiting = {
            request: waiting
            for request, waiting in self._waiting.items()
            if max(waiting.values()) > now
        }
        for service in manifest.services.values():
            pool = service.pool
            if pool is None:
                continue
            tracked_engines = self._list_engines(service.name)
            for tracked_engine in tracked_engines:
                self._loads.note_overdue(tracked_engine)
            for request in [
                r for r in self._load_requests if r.service == service.name
            ]:
                if self._adapters.request_load(request, pool, tracked_engines):
                    del self._load_requests[request]
            timing = self._timings.find(manifest, service.name)
            while self._plan_one(service.name, pool, timing):
                pass
            self._schedule_turns(service.name, pool)
            self._adapters.preload(service.name, pool, tracked_engines)

    def _schedule_turns(self, service: str, pool: manifest_module.Pool) -> None:
        """Has the times announced at which waiting models are expected."""
        now = clock.now()
        tracked_engines = self._list_engines(service)
        present = {m for b in tracked_engines for m, a in b.usable() if not a}
        pending: dict[str, float] = {}
        for tracked_engine in tracked_engines:
            pending |= tracked_engine.list_pending_loads(now)
        waiting = [
            w
            for w in self.members.list_waiting(service)
            if w.model not in present and w.model not in pending
        ]
        running = [pending.get(b.turn, 0.0) for b in tracked_engines if b.turn]
        self._announcer.announce_turns(
            service,
            turns.estimate_ready(waiting, running, pool, len(tracked_engines)),
        )

    def _log_unplanned(self, service: str, world: copies.World) -> None:
        """Logs what stands against loads of models that were refused."""
        for model, refusals, waited in self.members.list_missed(service):
            copies_known = world.copies.get(model)
            if copies_known is None or copies_known.held:
                continue
            obstacle = loading.find_obstacle(world, world.pool.models[model])
            loads_module.log_unplanned(
                model, refusals, waited, copies_known.pending_loads, obstacle
            )

    def _list_engines(
        self, service: str
    ) -> list[tracked_engines_module.TrackedEngine]:
        return [
            b
            for b in self._order_sender.tracked_engines.values()
            if b.endpoint.service == service and not b.endpoint.is_leaving
        ]

    def _plan_one(
        self,
        service: str,
        pool: manifest_module.Pool,
        timing: load_timing.Timing,
    ) -> bool:
        """Starts the load with the highest gain; returns whether one exists."""
        now = clock.now()
        tracked_engines = {
            b.endpoint.name: b for b in self._list_engines(service)
        }
        found = {
            n: planner_inputs.make_engine(
                b,
                pool,
                self._order_sender.claims.may_claim(n),
                self._view.notices,
                self._view.find_slowness(b.endpoint),
                timing,
            )
            for n, b in tracked_engines.items()
        }
        demand = planner_inputs.find_demand(
            self.members, service, pool, found, timing
        )
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = rate.Bucket(pool.loads_per_s, _COLD_LOAD_BURST, 0.0, now)
            self._buckets[service] = bucket
        spent = bucket.take(now)
        world = copies.World(found, pool, demand, timing)
        step = turns.plan_turn(
            world,
            self.members.list_waiting(service),
            sum(bool(b.turn) for b in tracked_engines.values()),
            spent is not None,
        ) or loading.plan_best(world, spent is not None)
        if step is None:
            if now - self._unplanned_logged_at.get(service, 0.0) > _LOG_SECONDS:
                self._unplanned_logged_at[service] = now
                self._log_unplanned(service, world)
            return False
        if step.is_cold:
            assert spent is not None
            self._buckets[service] = spent
        loads_module.log_planned(step, demand[step.model])
        tracked_engine = tracked_engines[step.engine]
        may_unload = victims.make_check(
            step,
            lambda: self._list_engines(service),
            lambda: self.members.model_rates(service),
        )
        # Set before the task starts, so that the next plan counts them.
        tracked_engine.evicting = set(step.victims)
        tracked_engine.turn = step.model if step.is_turn else ""
        tracked_engine.expect_load(
            step.model, now + step.seconds, step.load_seconds
        )
        tracked_engine.task = self._background_tasks.start(
            self._loads.carry_out(
                tracked_engine, step, pool, may_unload, timing
            )
        )
        return True
