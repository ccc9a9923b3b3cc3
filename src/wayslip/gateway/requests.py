"""The way of a request: resolve, admit, choose, attempt, relay, account."""

import asyncio
import dataclasses
import logging
import random
import time

from wayslip import addresses
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import budget as budget_module
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.gateway import configuration
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway import events
from wayslip.gateway import options as options_module
from wayslip.gateway import placement as placement_module
from wayslip.gateway import view as view_module
from wayslip.http1 import client
from wayslip.http1 import messages
from wayslip.http1 import pool as pool_module
from wayslip.http1 import server

_LOG = logging.getLogger(__name__)
# Connecting inside a region takes 2 ms; a dropped packet is sent again after
# a few hundred. Beyond this the endpoint is taken as dark, seconds.
CONNECT_SECONDS = 0.4
# Endpoints that could not be reached before the request is given up.
_MISSES = 3
# An answer up to this size is read whole before it is passed on, so that one
# that breaks off can be asked for again, bytes.
_WHOLE_BYTES = 256 * 1024
# Share of the latency target that a request waits for its model. A refusal
# within a quarter of the target lets the client try again for a good part of
# the worth; this leaves it time to arrive.
_PATIENCE = 0.2
# The same for a model that is known to be there by then: it can still be
# answered in time.
_SURE_PATIENCE = 0.6
_SHORTEST_RETRY_AFTER = 0.1
_UNKNOWN_RETRY_AFTER = 1.0
# A request is refused if it would wait for more than this share of the time
# that is left.
_WAIT_SHARE = 0.9


@dataclasses.dataclass
class Job:
    """A request under way.

    Attributes:
        deadline: When the answer is due, steady seconds.
        relayed: Whether a part of an answer went to the client.
        sent_after: Seconds from its arrival until it was first sent.
        first_after: The same until the first part of its answer.
        fallback: An endpoint's own failure, passed on if no retry helps.
    """

    exchange: server.Exchange
    traits: dialect_module.Traits
    route: manifest_module.Route
    service: manifest_module.Service
    began: float
    deadline: float
    progress: retry.Progress
    splitter: events.EventSplitter
    misses: int = 0
    tried: frozenset[str] = frozenset()
    endpoint: str = ""
    relayed: bool = False
    sent_after: float | None = None
    first_after: float | None = None
    fallback: tuple[messages.Head, bytes] | None = None


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
    ) -> None:
        self._dialect = dialect
        self._holder = holder
        self._view = view
        self._placement = placement
        self._metrics = metrics
        self._pool = pool_module.Pool(CONNECT_SECONDS)
        self._rng = random.Random()
        bounds = options.bounds
        self._terms = budget_module.Terms(
            bounds.budget_ratio, bounds.budget_window, bounds.budget_slack
        )
        self._budgets: dict[str, budget_module.Budget] = {}

    def drop_endpoint(self, name: str) -> None:
        """Closes idle connections to an endpoint that is gone."""
        self._pool.drop(name)

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    async def serve(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        began = time.monotonic()
        traits = self._dialect.read_request(exchange.request)
        manifest = self._holder.manifest
        if manifest is None:
            self._refuse(exchange, "no_configuration", _UNKNOWN_RETRY_AFTER)
            return
        if traits is None:
            exchange.answer(400, (), b"send a request id\n")
            return
        route = manifest.resolve(traits.host, traits.path)
        if route is None:
            self._end(traits.request_id, "no_route", 404, began)
            exchange.answer(404, (), b"no route has this host and path\n")
            return
        job = self._make_job(exchange, traits, route, manifest, began)
        try:
            async with asyncio.timeout_at(job.deadline):
                await self._serve_job(job)
        except TimeoutError:
            self._time_out(job)
        except asyncio.CancelledError:
            self._end_job(job, "client_left", 0)
            raise

    def _make_job(
        self,
        exchange: server.Exchange,
        traits: dialect_module.Traits,
        route: manifest_module.Route,
        manifest: manifest_module.Manifest,
        began: float,
    ) -> Job:
        name = route.choose_service(self._rng.random())
        service = manifest.services.get(name) or manifest_module.Service(
            name, 0
        )
        seconds = route.timeout
        if traits.deadline is not None:
            seconds = min(seconds, traits.deadline)
        return Job(
            exchange=exchange,
            traits=traits,
            route=route,
            service=service,
            began=began,
            deadline=began + seconds,
            progress=retry.Progress(route.may_repeat),
            splitter=events.EventSplitter(traits.last_event_id),
        )

    def _budget(self, service: str) -> budget_module.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_module.Budget(self._terms)
            self._budgets[service] = budget
        return budget

    # Attempts

    async def _serve_job(self, job: Job) -> None:
        self._budget(job.service.name).note_request(job.began)
        if job.service.pool is not None:
            work = self._view.reading.estimate(
                job.traits.model, job.traits.prompt_tokens
            )
            self._placement.note_demand(job.service.name, job.traits, work)
        while True:
            choice = await self._find(job)
            if choice is None:
                return
            failure = await self._attempt(job, choice)
            if failure is None:
                return
            job.tried |= {choice.name}
            if not self._go_on(job, choice.name, failure):
                return

    def _go_on(self, job: Job, endpoint: str, failure: retry.Failure) -> bool:
        """Decides whether another attempt follows; else answers."""
        if failure is retry.Failure.NOT_SENT:
            job.misses += 1
            if job.misses <= _MISSES:
                return True
        else:
            job.progress = job.progress.fail(failure)
        now = time.monotonic()
        may_retry = job.progress.judge(
            job.route.max_attempts, job.deadline - now, True
        )
        verdict = may_retry
        if may_retry is retry.Verdict.RETRY and job.misses <= _MISSES:
            budget = self._budget(job.service.name)
            has_budget = budget.take(now, self._placement.instances)
            verdict = job.progress.judge(
                job.route.max_attempts, job.deadline - now, has_budget
            )
        elif may_retry is retry.Verdict.RETRY:
            verdict = job.progress.judge(0, 0, False)
        logs.event(
            _LOG,
            "attempt_failed",
            request=job.traits.request_id,
            endpoint=endpoint,
            failure=failure,
            verdict=verdict,
        )
        if verdict is retry.Verdict.RETRY:
            return True
        self._answer_verdict(job, verdict)
        return False

    def _answer_verdict(self, job: Job, verdict: retry.Verdict) -> None:
        if job.relayed:
            self._end_job(job, "broken_off", 0)
            job.exchange.abort()
            return
        if job.fallback is not None:
            head, body = job.fallback
            self._end_job(job, "endpoint_failed", head.status)
            job.exchange.answer(
                head.status, messages.find_end_to_end(head.headers), body
            )
            return
        if verdict is retry.Verdict.NOT_RUN:
            self._refuse_job(job, "not_taken", _SHORTEST_RETRY_AFTER)
            return
        self._end_job(job, "unclear", 502)
        job.exchange.answer(502, (), b"the endpoint broke off\n")

    async def _attempt(
        self, job: Job, choice: selection.Choice
    ) -> retry.Failure | None:
        """Sends the request to one endpoint; returns None once answered."""
        job.endpoint = choice.name
        tracked = self._view.tracked[choice.name]
        use = self._view.begin(choice.name, job.traits)
        connection = self._pool.take(choice.name)
        is_reused = connection is not None
        try:
            if connection is None:
                address = addresses.split_address(tracked.endpoint.address)
                connection = await self._pool.open(address)
            return await self._exchange(job, use, connection, is_reused)
        except errors.NotSentError:
            self._view.note_miss(use)
            return retry.Failure.NOT_SENT
        except errors.EndpointError as e:
            self._view.note_miss(use)
            logs.event(
                _LOG,
                "attempt_unclear",
                request=job.traits.request_id,
                endpoint=choice.name,
                reused=is_reused,
                reason=e.reason,
            )
            return retry.Failure.UNCLEAR
        finally:
            self._view.end(use)
            if connection is not None and not connection.is_kept:
                connection.close()

    async def _exchange(
        self,
        job: Job,
        use: view_module.Use,
        connection: client.Connection,
        is_reused: bool,
    ) -> retry.Failure | None:
        traits = job.traits
        endpoint = use.tracked.endpoint.name
        order = dialect_module.Order(
            endpoint=endpoint,
            seconds_left=job.deadline - time.monotonic(),
            priority=job.route.priority,
            last_event_id=job.splitter.last_id,
        )
        if job.sent_after is None:
            job.sent_after = time.monotonic() - job.began
        connection.send(
            self._dialect.format_request(job.exchange.request, order),
            self._dialect.match_answer(traits.request_id, is_reused),
        )
        head = await connection.read_head()
        self._view.hear(use)
        answer = self._dialect.read_answer(head)
        if answer.is_refusal:
            await self._read_rest(connection)
            logs.event(
                _LOG,
                "endpoint_refused",
                request=traits.request_id,
                endpoint=endpoint,
                status=head.status,
                load=answer.load,
            )
            self._note_refusal(job, use, answer)
            self._keep(endpoint, connection, head)
            return retry.Failure.REFUSED
        if not answer.is_genuine:
            raise errors.EndpointUnclearError(
                f"{endpoint} sent an answer that is not its own",
                "see the endpoint's log",
            )
        if answer.is_stream and head.status < 300:
            failure = await self._relay(job, use, connection, head)
        else:
            failure = await self._pass_on(job, use, connection, head)
        if failure is None:
            self._keep(endpoint, connection, head)
        return failure

    def _note_refusal(
        self, job: Job, use: view_module.Use, answer: dialect_module.Answer
    ) -> None:
        traits = job.traits
        if answer.is_misdirected and traits.model:
            self._view.tell(
                use.tracked.endpoint.name, traits.model, traits.adapter, False
            )
        elif answer.is_misdirected:
            self._view.note_miss(use)

    def _keep(
        self, endpoint: str, connection: client.Connection, head: messages.Head
    ) -> None:
        connection.is_kept = True
        self._pool.give_back(endpoint, connection, head.header(b"keep-alive"))

    async def _read_rest(self, connection: client.Connection) -> bytes:
        parts = []
        while part := await connection.read():
            parts.append(part)
        return b"".join(parts)

    # Answers

    async def _pass_on(
        self,
        job: Job,
        use: view_module.Use,
        connection: client.Connection,
        head: messages.Head,
    ) -> retry.Failure | None:
        """Passes an answer on, whole where it is small."""
        headers = messages.find_end_to_end(head.headers)
        parts: list[bytes] = []
        size = 0
        while part := await connection.read():
            parts.append(part)
            size += len(part)
            if size > _WHOLE_BYTES:
                await self._pass_on_large(job, connection, head, parts)
                self._view.note_answer(use, False)
                return None
        body = b"".join(parts)
        is_failure = head.status >= 500
        self._view.note_answer(use, is_failure)
        if is_failure and job.route.may_repeat:
            job.fallback = (head, body)
            return retry.Failure.UNCLEAR
        job.relayed = True
        self._end_job(job, "answered", head.status)
        job.exchange.answer(head.status, headers, body)
        return None

    async def _pass_on_large(
        self,
        job: Job,
        connection: client.Connection,
        head: messages.Head,
        parts: list[bytes],
    ) -> None:
        job.relayed = True
        headers = messages.find_end_to_end(head.headers)
        job.exchange.start(head.status, headers, head.length)
        await job.exchange.send(b"".join(parts))
        while part := await connection.read():
            await job.exchange.send(part)
        self._end_job(job, "answered", head.status)
        job.exchange.finish()

    async def _relay(
        self,
        job: Job,
        use: view_module.Use,
        connection: client.Connection,
        head: messages.Head,
    ) -> retry.Failure | None:
        """Passes a stream on, event by event.

        The head is held back until the first event, so that a stream that
        breaks off before can still be answered or sent elsewhere.
        """
        job.splitter.drop_rest()
        while part := await connection.read():
            self._view.hear(use)
            whole = job.splitter.feed(part)
            if not whole:
                continue
            self._start_stream(job, head)
            await job.exchange.send(whole)
        self._view.note_answer(use, False)
        self._start_stream(job, head)
        await job.exchange.send(job.splitter.rest)
        self._end_job(job, "answered", head.status)
        job.exchange.finish()
        return None

    def _start_stream(self, job: Job, head: messages.Head) -> None:
        if job.relayed:
            return
        job.relayed = True
        job.first_after = time.monotonic() - job.began
        self._metrics.latency("first_event").observe(job.first_after)
        headers = messages.find_end_to_end(head.headers)
        job.exchange.start(head.status, headers, None)

    # Choosing

    async def _find(self, job: Job) -> selection.Choice | None:
        """Returns an endpoint; answers the request if there is none."""
        choice = self._choose(job)
        if choice is None and job.traits.model:
            choice = await self._wait_for_model(job)
        if choice is None:
            self._refuse_missing(job)
            return None
        left = job.deadline - time.monotonic()
        if choice.wait > left * _WAIT_SHARE and not job.progress.may_have_run:
            self._refuse_job(job, "too_long_a_wait", choice.wait / 2)
            return None
        return choice

    def _choose(self, job: Job) -> selection.Choice | None:
        pool = job.service.pool
        candidates = self._view.candidates(
            job.service.name,
            job.traits,
            pool.kv_tokens if pool else 0,
            job.tried,
            self._pool.has_idle,
        )
        choice = selection.choose(candidates, self._rng.random())
        if choice is not None:
            logs.event(
                _LOG,
                "chosen",
                request=job.traits.request_id,
                route=job.route.name,
                model=job.traits.model,
                adapter=job.traits.adapter,
                endpoint=choice.name,
                candidates=len(candidates),
                wait=f"{choice.wait:.3f}",
                occupancy=f"{choice.occupancy:.2f}",
            )
        return choice

    async def _wait_for_model(self, job: Job) -> selection.Choice | None:
        """Has a model or adapter loaded; waits while that is worth it."""
        while not job.progress.attempts:
            left = self._find_patience(job) - time.monotonic()
            if left <= 0:
                return None
            is_told = await self._placement.want(
                job.service.name, job.traits, left
            )
            choice = self._choose(job)
            if choice is not None or not is_told:
                return choice
        return None

    def _find_patience(self, job: Job) -> float:
        """Returns until when a request should wait for its model."""
        target = job.route.target
        expected = self._placement.expect(job.service.name, job.traits)
        sure = job.began + _SURE_PATIENCE * target
        if expected is not None and time.monotonic() + expected < sure:
            return sure
        return job.began + _PATIENCE * target

    def _refuse_missing(self, job: Job) -> None:
        if job.relayed or job.progress.may_have_run:
            self._answer_verdict(job, retry.Verdict.UNKNOWN)
            return
        wait = self._placement.expect(job.service.name, job.traits)
        reason = "not_loaded" if job.traits.model else "no_endpoint"
        self._refuse_job(
            job, reason, _UNKNOWN_RETRY_AFTER if wait is None else wait
        )

    # Ends

    def _time_out(self, job: Job) -> None:
        if job.exchange.is_finished:
            return
        if job.exchange.is_started:
            self._end_job(job, "stream_timed_out", 0)
            job.exchange.abort()
        elif job.endpoint:
            self._end_job(job, "timed_out", 504)
            job.exchange.answer(504, (), b"no answer in time\n")
        else:
            self._refuse_job(job, "timed_out_waiting", _SHORTEST_RETRY_AFTER)

    def _refuse_job(self, job: Job, reason: str, wait: float) -> None:
        """Says that a request was not run, and when to come back."""
        self._end_job(job, reason, 503, f"{wait:.2f}")
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(
            max(wait, _SHORTEST_RETRY_AFTER)
        )
        job.exchange.answer(503, headers, b"not run, come back later\n")

    def _refuse(
        self, exchange: server.Exchange, reason: str, wait: float
    ) -> None:
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(wait)
        exchange.answer(503, headers, b"not run, come back later\n")

    def _end_job(
        self, job: Job, outcome: str, status: int, retry_after: str = ""
    ) -> None:
        self._end(
            job.traits.request_id,
            outcome,
            status,
            job.began,
            endpoint=job.endpoint,
            route=job.route.name,
            model=job.traits.model,
            adapter=job.traits.adapter,
            sent_after=_format_seconds(job.sent_after),
            first_after=_format_seconds(job.first_after),
            retry_after=retry_after,
        )

    def _end(
        self,
        request_id: str,
        outcome: str,
        status: int,
        began: float,
        **fields: str,
    ) -> None:
        seconds = time.monotonic() - began
        self._metrics.latency("request").observe(seconds)
        # A warning is the last to be left out when the reader is slow.
        level = logging.INFO if outcome == "answered" else logging.WARNING
        logs.event(
            _LOG,
            "ended",
            level,
            request=request_id,
            outcome=outcome,
            status=status,
            seconds=f"{seconds:.3f}",
            **fields,
        )


def _format_seconds(seconds: float | None) -> str:
    return "" if seconds is None else f"{seconds:.3f}"
