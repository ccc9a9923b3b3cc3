"""Request handling: resolve, admit, choose, attempt, relay, account."""

import asyncio
from collections.abc import Callable
import logging
import random

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import access
from wayslip.decisions import budget as budget_module
from wayslip.decisions import fleet
from wayslip.decisions import load_timing
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.decisions import urgency
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway import options as options_module
from wayslip.gateway.serving import attempts
from wayslip.gateway.serving import drain
from wayslip.gateway.serving import endpoint_chooser
from wayslip.gateway.serving import events
from wayslip.gateway.serving import jobs
from wayslip.gateway.serving import profiles
from wayslip.gateway.serving import share_gate
from wayslip.gateway.serving import stream_versions as stream_versions_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import endpoint_paths
from wayslip.gateway.sharing import fair_shares as fair_shares_module
from wayslip.gateway.sharing import limits as limits_module
from wayslip.gateway.sharing import permit_broker as permit_broker_module
from wayslip.gateway.sharing import place_broker as place_broker_module
from wayslip.gateway.sharing import placement as placement_module
from wayslip.gateway.sharing import quarantine as quarantine_module
from wayslip.gateway.sharing import stream_registry
from wayslip.gateway.sharing import version_records as version_records_module
from wayslip.gateway.sharing import view as view_module
from wayslip.http1 import server

_LOG = logging.getLogger(__name__)
# A request that met more unreachable endpoints than this is not retried.
_MAX_UNREACHABLE = 3
# Retry-After while it is not known whether the configuration is current.
_UNKNOWN_RETRY_AFTER_SECONDS = 1.0


class Requests:
    """Serves clients' requests. Used on the event loop only."""

    def __init__(
        self,
        options: options_module.Options,
        dialect: dialect_module.Dialect,
        holder: configuration.Holder,
        view: view_module.EndpointView,
        placement: placement_module.Placement,
        metrics: metrics_module.Metrics,
        find_configuration_status: Callable[[], access.ConfigurationStatus],
        limiter: limits_module.Limiter,
        quarantine: quarantine_module.Quarantine,
        report_leaving: Callable[[fleet.Endpoint], None],
        permit_broker: permit_broker_module.PermitBroker,
        place_broker: place_broker_module.PlaceBroker,
        fair_shares: fair_shares_module.FairShares,
        paths: endpoint_paths.EndpointPaths,
        registry: stream_registry.StreamRegistry,
        version_records: version_records_module.VersionRecords,
        is_list_current: Callable[[], bool],
    ) -> None:
        """Initializes the handler.

        Args:
            options: Options of this instance.
            dialect: Parses requests and writes headers.
            holder: Holds the configuration in force.
            view: What this instance knows of the endpoints.
            placement: Requests loads of models.
            metrics: Counts outcomes.
            find_configuration_status: Returns whether the configuration in
                force is reliable and known to be the newest.
            limiter: Enforces organisations' quotas.
            quarantine: Tracks requests that crash endpoints.
            report_leaving: Called with an endpoint whose answer says that it
                takes no new work.
            permit_broker: Grants permits at endpoints with a rate limit.
            place_broker: Grants places at brittle endpoints.
            fair_shares: Keeps organisations to their shares of a service.
            paths: Opens connections to endpoints.
            registry: Knows which software version began a stream.
            version_records: Knows the versions that services ever had.
            is_list_current: Returns whether the list of endpoints is known to
                be current.
        """
        self._paths = paths
        self._quarantine = quarantine
        self._find_configuration_status = find_configuration_status
        self._limiter = limiter
        self._dialect = dialect
        self._holder = holder
        self._profiles = profiles.Profiles(holder)
        self._view = view
        self._placement = placement
        self._metrics = metrics
        self._responder = jobs.Responder(dialect, metrics)
        self._share_gate = share_gate.ShareGate(fair_shares, self._responder)
        self.stream_versions = stream_versions_module.StreamVersions(
            view,
            registry,
            version_records,
            is_list_current,
            self._find_service,
            self._responder,
        )
        self._drain = drain.Drain(
            lambda service: self._attempts.slot_times.estimate(service)
        )
        self._attempts = attempts.Attempts(
            dialect,
            view,
            self._responder,
            metrics,
            quarantine,
            report_leaving,
            permit_broker,
            place_broker,
            paths,
            self.stream_versions,
            self._drain,
        )
        self._endpoint_chooser = endpoint_chooser.EndpointChooser(
            options,
            view,
            placement,
            permit_broker,
            place_broker,
            self._responder,
            metrics,
            self._attempts.pool.has_idle,
            self._profiles,
            self._attempts.slot_times,
            self._share_gate.may_queue,
            lambda: paths.is_cut_off,
            self._drain,
        )
        self._attempts.on_end = self._endpoint_chooser.notify
        self._attempts.on_full = self._endpoint_chooser.note_full
        placement.on_change = self._endpoint_chooser.notify
        self._rng = random.Random()
        self._timings = load_timing.Timings()
        self._urgency = options.urgency
        bounds = options.bounds
        self._terms = budget_module.Terms(
            bounds.budget_ratio, bounds.budget_window, bounds.budget_slack
        )
        self._budgets: dict[str, budget_module.Budget] = {}

    def drop_endpoint(self, name: str) -> None:
        """Closes idle connections to an endpoint that was removed."""
        self._attempts.pool.drop(name)
        self._paths.forget(name)
        self._endpoint_chooser.notify()

    def begin_drain(self, ends_at: float) -> None:
        """Has requests wait no longer than this instance can answer them.

        Args:
            ends_at: When unfinished requests are aborted, steady seconds.
        """
        self._drain.begin(ends_at)
        # Requests whose wait is too long now are refused at once.
        self._placement.notify()

    def close(self) -> None:
        """Closes all idle connections."""
        self._attempts.pool.close()

    async def serve(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        began = clock.now()
        traits = self._dialect.read_request(exchange.request)
        manifest = self._holder.manifest
        if manifest is None:
            self._responder.refuse(
                exchange, "no_configuration", _UNKNOWN_RETRY_AFTER_SECONDS
            )
            return
        if traits is None:
            exchange.answer(400, (), b"send a request id\n")
            return
        exchange.name = traits.request_id
        route = manifest.resolve(traits.host, traits.path)
        if route is None:
            self._answer_unknown_route(exchange, traits.request_id, began)
            return
        job = self._make_job(exchange, traits, route, manifest, began)
        if not self._check_key(job) or not self._check_quota(job):
            return
        try:
            async with asyncio.timeout(job.deadline - clock.now()):
                await self._serve_job(job)
        except TimeoutError:
            self._responder.time_out(job)
        except errors.StoppingError:
            self._end_stopping(job)
        except asyncio.CancelledError:
            self._responder.record_job_outcome(job, "client_left", 0)
            raise
        finally:
            self._endpoint_chooser.give_back_place(job)
            self.stream_versions.note_ended(job)
            if job.caller is not None and not job.is_sent:
                self._limiter.refund(job.caller, job.units)
                self._share_gate.refund(job)

    def _answer_unknown_route(
        self, exchange: server.Exchange, request_id: str, began: float
    ) -> None:
        """Answers 404 if no route matches in the newest configuration.

        Clients treat 404 as final. If a newer configuration may exist, it may
        have the route, so the answer is 503 with a retry time.
        """
        if self._find_configuration_status().is_newest:
            self._responder.record_outcome(request_id, "no_route", 404, began)
            exchange.answer(404, (), b"no route has this host and path\n")
            return
        self._responder.record_outcome(
            request_id, "old_configuration", 503, began
        )
        self._responder.refuse(
            exchange, "old_configuration", _UNKNOWN_RETRY_AFTER_SECONDS
        )

    def _make_job(
        self,
        exchange: server.Exchange,
        traits: dialect_module.Traits,
        route: manifest_module.Route,
        manifest: manifest_module.Manifest,
        began: float,
    ) -> jobs.Job:
        name = route.choose_service(self._rng.random())
        service = manifest.services.get(name) or manifest_module.Service(
            name, 0
        )
        seconds = route.timeout
        if traits.deadline is not None:
            seconds = min(seconds, traits.deadline)
        return jobs.Job(
            exchange=exchange,
            traits=traits,
            route=route,
            service=service,
            began=began,
            deadline=began + seconds,
            progress=retry.Progress(route.may_repeat),
            splitter=events.EventSplitter(traits.last_event_id),
            timing=self._timings.find(manifest, name),
        )

    def _find_service(
        self, route: manifest_module.Route, name: str
    ) -> manifest_module.Service | None:
        """Returns a service by name if a route may lead to it."""
        manifest = self._holder.manifest
        if manifest is None or all(s.service != name for s in route.splits):
            return None
        return manifest.services.get(name)

    def _check_key(self, job: jobs.Job) -> bool:
        """Authenticates a request by its key; answers it if that fails.

        Runs before each attempt, because a key may be revoked while a request
        waits or between retries.
        """
        manifest = self._holder.manifest
        assert manifest is not None
        verdict, caller = access.judge(
            manifest,
            job.route,
            job.traits.key,
            self._find_configuration_status(),
        )
        if verdict is access.Verdict.ALLOWED:
            job.caller = caller
            job.rank = self._rank(job, manifest)
            return True
        if job.relayed or job.progress.may_have_run:
            self._responder.answer_verdict(job, retry.Verdict.UNKNOWN)
        elif verdict is access.Verdict.UNKNOWN_KEY:
            self._responder.deny_job(job, verdict)
        else:
            self._responder.refuse_job(
                job, verdict, _UNKNOWN_RETRY_AFTER_SECONDS
            )
        return False

    def _rank(self, job: jobs.Job, manifest: manifest_module.Manifest) -> int:
        if job.is_late:
            return urgency.LATE
        is_by_time = self._profiles.find(job.service.name).ranks_by_time
        policy = "time" if is_by_time else self._urgency
        return urgency.rank(policy, manifest, job.route, job.caller)

    def _check_quota(self, job: jobs.Job) -> bool:
        """Charges the organisation's quota, or refuses the request."""
        if job.caller is None:
            return True
        traits = job.traits
        tokens = traits.prompt_tokens + traits.output_tokens
        job.units = job.caller.quota.measure(tokens)
        wait = self._limiter.admit(job.caller, job.units)
        if wait is None:
            if self._limiter.is_report_due:
                self._placement.report_soon()
            return True
        self._responder.refuse_job(job, "over_quota", wait, 429)
        return False

    def _check_content(self, job: jobs.Job) -> bool:
        """Refuses a request that is blocked for crashing endpoints.

        Runs before each attempt, because another crash may be announced while
        a request waits. A crash aborts all other requests at the endpoint, so
        a blocked request is refused immediately with the time until it may be
        retried.
        """
        if not self._quarantine:
            return True
        blocked = self._quarantine.find_block(job.identity)
        if blocked is None:
            return True
        job.is_probe = job.is_probe or self._quarantine.begin_probe(blocked)
        if job.is_probe and not job.progress.attempts:
            return True
        if job.relayed or job.progress.may_have_run:
            self._responder.answer_verdict(job, retry.Verdict.UNKNOWN)
            return False
        wait = self._quarantine.find_left(blocked)
        self._responder.refuse_content(job, blocked, wait)
        return False

    def _budget(self, service: str) -> budget_module.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_module.Budget(self._terms)
            self._budgets[service] = budget
        return budget

    # Attempts

    async def _wait_for_looks(self, job: jobs.Job) -> bool:
        """Waits for looks at endpoints; returns whether there were any.

        The deadline of the request bounds the wait.
        """
        if not self._quarantine.is_looking:
            return False
        return await self._quarantine.wait_for_looks(job.content)

    def _end_stopping(self, job: jobs.Job) -> None:
        """Answers a request that waited here when the instance had to end."""
        if job.relayed or job.progress.may_have_run:
            self._responder.answer_verdict(job, retry.Verdict.UNKNOWN)
            return
        self._endpoint_chooser.refuse_stopping(job)

    async def _serve_job(self, job: jobs.Job) -> None:
        async with self._drain.limit_wait(job):
            await self._wait_for_looks(job)
            if not self._check_content(job):
                return
            if not await self.stream_versions.bind(job):
                return
        self._budget(job.service.name).note_request(job.began)
        if job.service.pool is not None:
            work = self._view.reading.estimate(
                job.traits.model, job.traits.prompt_tokens
            )
            self._placement.note_demand(
                job.service.name,
                job.traits,
                work,
                endpoint_chooser.can_wait_for_load(job),
            )
        while True:
            async with self._drain.limit_wait(job):
                choice = await self._endpoint_chooser.find(job)
                if choice is None:
                    return
                if await self._wait_for_looks(job):
                    # The endpoint may be gone after the wait.
                    continue
            if not self._check_key(job) or not self._check_content(job):
                return
            job.met_full_queue = False
            try:
                failure = await self._attempts.make(job, choice)
            finally:
                self._endpoint_chooser.give_back_place(job)
            if failure is None:
                return
            if job.met_full_queue:
                # It may take the request when it has room again.
                job.refused_by |= {choice.name}
            elif not self._may_detour(choice, failure):
                job.tried |= {choice.name}
            if failure is not retry.Failure.UNCLEAR:
                job.is_sent = job.progress.may_have_run
            if not self._retry_or_answer(job, choice.name, failure):
                return
            async with self._drain.limit_wait(job):
                await self._quarantine.wait_for_own_look(job.content)
                await self._wait_for_looks(job)

    def _may_detour(
        self, choice: selection.Choice, failure: retry.Failure
    ) -> bool:
        """Whether only the path to an endpoint was lost, not the endpoint."""
        return failure is retry.Failure.UNCLEAR and self._paths.is_lost(
            choice.name
        )

    def _retry_or_answer(
        self, job: jobs.Job, endpoint: str, failure: retry.Failure
    ) -> bool:
        """Returns whether to retry; otherwise answers the request."""
        if job.is_bound:
            self._log_failure(job, endpoint, failure, retry.Verdict.UNKNOWN)
            self._responder.answer_verdict(job, retry.Verdict.UNKNOWN)
            return False
        if failure is retry.Failure.NOT_SENT:
            job.unreachable_count += 1
            if job.unreachable_count <= _MAX_UNREACHABLE:
                return True
        else:
            job.progress = job.progress.fail(failure)
        now = clock.now()
        may_retry = job.progress.judge(
            job.route.max_attempts, job.deadline - now, True
        )
        verdict = may_retry
        if (
            may_retry is retry.Verdict.RETRY
            and job.unreachable_count <= _MAX_UNREACHABLE
        ):
            budget = self._budget(job.service.name)
            has_budget = budget.take(now, self._placement.instances)
            verdict = job.progress.judge(
                job.route.max_attempts, job.deadline - now, has_budget
            )
        elif may_retry is retry.Verdict.RETRY:
            verdict = job.progress.judge(0, 0, False)
        self._log_failure(job, endpoint, failure, verdict)
        if verdict is retry.Verdict.RETRY:
            return True
        wait = None
        if verdict is retry.Verdict.NOT_RUN:
            wait = self._endpoint_chooser.find_retry_after(job)
        self._responder.answer_verdict(
            job, verdict, wait or jobs.MIN_RETRY_AFTER_SECONDS
        )
        return False

    def _log_failure(
        self,
        job: jobs.Job,
        endpoint: str,
        failure: retry.Failure,
        verdict: retry.Verdict,
    ) -> None:
        logs.event(
            _LOG,
            "attempt_failed",
            request=job.traits.request_id,
            endpoint=endpoint,
            failure=failure,
            verdict=verdict,
        )
