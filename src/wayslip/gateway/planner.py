"""The work of the lease's holder: hears demand, plans loads, tells peers."""

import asyncio
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import loading
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import rate
from wayslip.gateway import adapters as adapters_module
from wayslip.gateway import announcements
from wayslip.gateway import background
from wayslip.gateway import configuration
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import loads as loads_module
from wayslip.gateway import members as members_module
from wayslip.gateway import order_sender as order_sender_module
from wayslip.gateway import planner_inputs
from wayslip.gateway import quota_accounts as quota_accounts_module
from wayslip.gateway import tracked_engines as tracked_engines_module
from wayslip.gateway import view as view_module

_LOG = logging.getLogger(__name__)
# Between plans, seconds; a decision is then at most this much late against
# loads of a second or more.
_PERIOD = 0.15
# The least of that, seconds: a plan takes up to a few milliseconds.
_LEAST_PERIOD = 0.005
# Loads from the weight store that may begin together, see `rate.Bucket`.
_COLD_BURST = 2.0
# The claim of an engine is kept for so long after it left the list, seconds:
# many times what an entry that lapsed takes to come back.
_CLAIM_SECONDS = 60.0
# How long a request's wish for an adapter is tried again, seconds; the request
# repeats it while it waits.
_WISH_SECONDS = 0.2


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
        self._soon = asyncio.Event()
        self._background_tasks = background.BackgroundTasks(
            "order_series_failed", self._soon.set
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
        self._buckets: dict[str, rate.Bucket] = {}
        # Adapters that requests wait for, and until when.
        self._wishes: dict[adapters_module.LoadRequest, float] = {}
        # Where instances wait for an adapter, and until when.
        self._waiting: dict[
            adapters_module.LoadRequest, dict[hub_module.Address, float]
        ] = {}
        # Loads that the holder before us told of, by endpoint and model.
        self._heard_arrivals: dict[tuple[str, str], float] = {}
        self._missing_since: dict[str, float] = {}
        self._is_prepared = False
        # What `_find_held` found before the last plan: 400 reports a second
        # ask for it at the largest fleet, and it takes a pass over all books.
        self._held: set[tuple[str, str]] = set()

    # The lease

    def begin(self) -> None:
        """Starts to plan; claims of the planner before are read first."""
        self._order_sender.tracked_engines.clear()
        self._follow_list()
        self._held = self._find_held()
        self._order_sender.claims.least_token = self._leadership.revision
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
                await asyncio.sleep(_PERIOD)
        self._follow_list()
        self._adopt_loads()
        for name, seen in self._order_sender.claims.known.items():
            tracked_engine = self._order_sender.tracked_engines.get(name)
            if tracked_engine is not None and seen.claim.pending is not None:
                tracked_engine.pending = seen.claim.pending
                self._background_tasks.start(
                    self._loads.settle(tracked_engine, self._is_within)
                )
        self._is_prepared = True

    def _adopt_loads(self) -> None:
        now = clock.now()
        for (name, model), at in self._heard_arrivals.items():
            tracked_engine = self._order_sender.tracked_engines.get(name)
            if (
                tracked_engine is None
                or at < now
                or model in tracked_engine.endpoint.models
            ):
                continue
            tracked_engine.ready_at[model] = at
            tracked_engine.task = self._background_tasks.start(
                self._loads.see_loaded(tracked_engine, model, at - now)
            )

    def _is_within(
        self, tracked_engine: tracked_engines_module.TrackedEngine
    ) -> bool:
        """Whether what an engine holds and may take fits, as configured."""
        manifest = self._holder.manifest
        if manifest is None:
            return False
        service = manifest.services.get(tracked_engine.endpoint.service)
        if service is None or service.pool is None:
            return False
        return planner_inputs.is_within(tracked_engine, service.pool)

    def end(self) -> None:
        """Stops giving orders; what was sent stays in the claims."""
        self._is_prepared = False
        self._background_tasks.cancel()

    # Hearing and telling

    def take(self, message: facts.Message, source: hub_module.Address) -> None:
        """Takes in what an instance tells or asks for."""
        if not self._leadership.is_held:
            self._take_statement(message)
        elif isinstance(message, facts.Report):
            self.members.take(message, source, self._held)
            self._accounts.take(message)
        elif isinstance(message, facts.ItemRequest):
            self._take_want(message, source)

    def _take_want(
        self, want: facts.ItemRequest, source: hub_module.Address
    ) -> None:
        self.members.note_sender(want, source)
        if not want.adapter:
            return
        wish = (want.service, want.model, want.adapter)
        until = clock.now() + _WISH_SECONDS
        self._wishes[wish] = until
        self._waiting.setdefault(wish, {})[source] = until
        self._soon.set()

    def _notify_waiting(
        self,
        wish: adapters_module.LoadRequest,
        tracked_engine: tracked_engines_module.TrackedEngine,
    ) -> None:
        """Tells those who wait for an adapter that an engine loads it.

        News for all waits for more of it, in a fleet of 195 instances for 0.15
        s, and a request waits little longer than that.
        """
        waiting = self._waiting.pop(wish, {})
        self._announcer.announce_to(tracked_engine, wish[1:], list(waiting))

    def _take_statement(self, message: facts.Message) -> None:
        """Remembers what a successor of the holder needs."""
        if isinstance(message, facts.State):
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
                self._order_sender.claims.hear(claim.endpoint, claim.revision)
        elif isinstance(message, facts.PlacementUpdate):
            self._take_arrivals(message)

    def _take_arrivals(self, news: facts.PlacementUpdate) -> None:
        now = clock.now()
        if news.is_whole:
            self._heard_arrivals = {}
        for one in news.pending_loads:
            if one.is_ordered:
                key = (one.endpoint, one.model)
                self._heard_arrivals[key] = now + one.seconds

    def _find_held(self) -> set[tuple[str, str]]:
        """Returns services with the models that can serve now."""
        return {
            (tracked_engine.endpoint.service, model)
            for tracked_engine in self._order_sender.tracked_engines.values()
            for model, adapter in tracked_engine.usable()
            if not adapter
        }

    # Planning

    async def run(self) -> None:
        """Plans for as long as the process lives."""
        while True:
            try:
                async with asyncio.timeout(_PERIOD):
                    await self._soon.wait()
            except TimeoutError:
                pass
            # A series that ends at once must not make this loop spin.
            await asyncio.sleep(_LEAST_PERIOD)
            self._soon.clear()
            self._follow_list()
            if self._leadership.is_held:
                self._held = self._find_held()
            may_plan = (
                self._leadership.is_valid
                or self._order_sender.claims.is_detached()
            )
            if may_plan and self._is_prepared:
                self._plan()
                self._drop_claims()

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
                tracked_engine.take_entry(tracked.endpoint, now)
            elif tracked.endpoint.succeeds(tracked_engine.endpoint):
                tracked_engines[name] = tracked_engine.begin_anew(
                    tracked.endpoint, now
                )
            elif tracked_engine.endpoint is not tracked.endpoint:
                tracked_engine.take_entry(tracked.endpoint, now)

    def _drop_claims(self) -> None:
        """Removes the claims of engines that will not come back.

        An engine that lives may be missing from the list for a while, and
        its claim must then still be there.
        """
        limit = clock.now() - _CLAIM_SECONDS
        old = [n for n, at in self._missing_since.items() if at < limit]
        for name in old:
            del self._missing_since[name]
            self._background_tasks.start(self._order_sender.claims.drop(name))

    def _plan(self) -> None:
        manifest = self._holder.manifest
        if manifest is None:
            return
        now = clock.now()
        self.members.forget_misses()
        self._wishes = {w: at for w, at in self._wishes.items() if at > now}
        self._waiting = {
            wish: waiting
            for wish, waiting in self._waiting.items()
            if max(waiting.values()) > now
        }
        for service in manifest.services.values():
            pool = service.pool
            if pool is None:
                continue
            tracked_engines = self._books_of(service.name)
            for wish in [w for w in self._wishes if w[0] == service.name]:
                if self._adapters.wish(
                    wish[0], pool, tracked_engines, wish[1:]
                ):
                    del self._wishes[wish]
            while self._plan_one(service.name, pool):
                pass
            self._adapters.fill(service.name, pool, tracked_engines)

    def _books_of(
        self, service: str
    ) -> list[tracked_engines_module.TrackedEngine]:
        return [
            b
            for b in self._order_sender.tracked_engines.values()
            if b.endpoint.service == service and not b.endpoint.is_leaving
        ]

    def _plan_one(self, service: str, pool: manifest_module.Pool) -> bool:
        """Starts the load that gains most; returns whether there was one."""
        now = clock.now()
        tracked_engines = {b.endpoint.name: b for b in self._books_of(service)}
        found = {
            n: planner_inputs.make_engine(
                b,
                pool,
                self._order_sender.claims.may_claim(n),
                self._view.notices,
            )
            for n, b in tracked_engines.items()
        }
        demand = self.members.find_demand(service, pool)
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = rate.Bucket(pool.loads_per_s, _COLD_BURST, 0.0, now)
            self._buckets[service] = bucket
        spent = bucket.take(now)
        step = loading.plan_load(found, pool, demand, spent is not None)
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
            seconds=f"{step.seconds:.1f}",
            gain=f"{step.gain:.2f}",
            rate=f"{demand[step.model].rate:.2f}",
            work=f"{demand[step.model].work:.2f}",
        )
        tracked_engine = tracked_engines[step.engine]
        # At once, so that the next plan counts this copy.
        tracked_engine.ready_at[step.model] = now + step.seconds
        tracked_engine.task = self._background_tasks.start(
            self._loads.carry_out(tracked_engine, step, pool)
        )
        return True
