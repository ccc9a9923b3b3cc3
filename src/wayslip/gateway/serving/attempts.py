"""Attempts: sends a request to an endpoint and forwards the answer."""

import asyncio
from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.decisions import slot_times
from wayslip.gateway import background
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway.serving import drain as drain_module
from wayslip.gateway.serving import end_checks
from wayslip.gateway.serving import forwarding
from wayslip.gateway.serving import jobs
from wayslip.gateway.serving import stream_versions as stream_versions_module
from wayslip.gateway.sharing import endpoint_paths
from wayslip.gateway.sharing import permit_broker as permit_broker_module
from wayslip.gateway.sharing import place_broker as place_broker_module
from wayslip.gateway.sharing import quarantine as quarantine_module
from wayslip.gateway.sharing import view as view_module
from wayslip.http1 import client
from wayslip.http1 import messages
from wayslip.http1 import pool as pool_module

# Statuses from this one on are no answer to a prompt.
# Limits for the body of a refusal, of which only the head counts.
_MAX_REFUSAL_BYTES = 64 * 1024
_REFUSAL_SECONDS = 0.5
_FIRST_REDIRECT = 300
_LOG = logging.getLogger(__name__)
# After this time without an acknowledgement of a request, its path is verified.
# A lost packet is retransmitted after a few hundred milliseconds.
_ACKNOWLEDGE_SECONDS = 0.4


class Attempts:
    """Makes attempts. Used on the event loop only."""

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        view: view_module.EndpointView,
        responder: jobs.Responder,
        metrics: metrics_module.Metrics,
        quarantine: quarantine_module.Quarantine,
        report_leaving: Callable[[fleet.Endpoint], None],
        permit_broker: permit_broker_module.PermitBroker,
        place_broker: place_broker_module.PlaceBroker,
        paths: endpoint_paths.EndpointPaths,
        stream_versions: stream_versions_module.StreamVersions,
        drain: drain_module.Drain,
    ) -> None:
        """Initializes without open connections.

        Args:
            dialect: Parses answers and writes headers.
            view: What this instance knows of the endpoints.
            responder: Answers requests and logs outcomes.
            metrics: Records latencies.
            quarantine: Tracks requests that crash endpoints.
            report_leaving: Called with an endpoint whose answer says that it
                takes no new work.
            permit_broker: Records the rate limits that answers name.
            place_broker: Records which endpoints are brittle.
            paths: Opens connections to endpoints.
            stream_versions: Records which software version began a stream.
            drain: Until when this instance can answer requests.
        """
        self._drain = drain
        self._place_broker = place_broker
        self._paths = paths
        self._permit_broker = permit_broker
        self._report_leaving = report_leaving
        self._quarantine = quarantine
        self._dialect = dialect
        self._view = view
        self._metrics = metrics
        self.pool = pool_module.Pool(endpoint_paths.CONNECT_TIMEOUT_SECONDS)
        paths.on_found = self.pool.add
        self._end_checks = end_checks.EndChecks(paths, self.pool)
        self._forwarder = forwarding.Forwarder(
            view, responder, metrics, self._end_checks, stream_versions
        )
        self._stream_versions = stream_versions
        self.slot_times = slot_times.SlotTimes()
        self._tasks = background.BackgroundTasks("path_not_verified")
        # Called when a request of this instance has left an endpoint.
        self.on_end: Callable[[], None] = lambda: None
        # Called when an endpoint refused a request for lack of room.
        self.on_full: Callable[[jobs.Job, str], None] = lambda job, name: None

    async def make(
        self, job: jobs.Job, choice: selection.Choice
    ) -> retry.Failure | None:
        """Sends a request to an endpoint; returns None once it is answered.

        Raises:
            StoppingError: Nothing was sent, and the instance is stopping.
        """
        job.endpoint = choice.name
        job.lacked_room = False
        job.written_since = None
        tracked = self._view.tracked[choice.name]
        active = self._view.begin(choice.name, job.traits, job.rank)
        depth = self._find_depth(job)
        found_slot = choice.in_flight < choice.slots
        connection = self.pool.take(
            choice.name,
            self._paths.find_trusted_since(
                choice.name, job.progress.may_repeat
            ),
            job.connections,
        )
        is_reused = connection is not None
        began = clock.now()
        idle = began - connection.idle_since if connection else None
        try:
            if connection is None:
                async with self._drain.limit_wait(job):
                    connection = await self._paths.open(
                        tracked.endpoint, job.traits.request_id
                    )
            job.connections.add(connection)
            self._end_checks.note_used(choice.name, connection)
            if connection.peer:
                self._log_tunnel(job, connection)
            failure = await self._exchange(job, active, connection, is_reused)
            if failure is None and found_slot:
                seconds = clock.now() - active.began
                self.slot_times.learn(job.service.name, seconds)
            return failure
        except errors.NotSentError as e:
            self._note_not_sent(job, active, clock.now() - began, e)
            return retry.Failure.NOT_SENT
        except errors.StreamNotKeptError as e:
            self._note_not_kept(job, clock.now() - active.began, e)
            return retry.Failure.UNCLEAR
        except errors.EndpointError as e:
            self._note_unclear(job, active, depth, e, reused_after=idle)
            return retry.Failure.UNCLEAR
        finally:
            self._view.end(active)
            self.on_end()
            if connection is not None:
                self._end_checks.note_unused(choice.name, connection)
                if not connection.is_pooled:
                    connection.close()

    def _note_not_sent(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        seconds: float,
        error: errors.NotSentError,
    ) -> None:
        """Records that no connection to an endpoint could be opened."""
        if not self._paths.is_cut_off:
            # Otherwise it is this instance's fault, as far as is known.
            self._view.note_failed_attempt(active)
        logs.event(
            _LOG,
            "attempt_not_sent",
            request=job.traits.request_id,
            endpoint=job.endpoint,
            seconds=f"{seconds:.3f}",
            reason=error.reason,
        )
        self._metrics.count("failed_attempts", kind="not_sent")

    def _note_not_kept(
        self, job: jobs.Job, seconds: float, error: errors.StreamNotKeptError
    ) -> None:
        """Records that a stream was dropped, though its endpoint is sound."""
        logs.event(
            _LOG,
            "stream_not_kept",
            request=job.traits.request_id,
            endpoint=job.endpoint,
            seconds=f"{seconds:.3f}",
            reason=error.reason,
        )
        self._metrics.count("failed_attempts", kind="not_kept")

    def _note_unclear(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        depth: int,
        error: errors.EndpointError,
        reused_after: float | None,
    ) -> None:
        """Records that an attempt broke off after it was sent.

        Args:
            job: The request.
            active: The attempt.
            depth: The request's suspicion depth when it was sent.
            error: Why it broke off.
            reused_after: For how long its connection had been idle, seconds;
                None for a new connection.
        """
        self._view.note_failed_attempt(active)
        logs.event(
            _LOG,
            "attempt_unclear",
            request=job.traits.request_id,
            endpoint=job.endpoint,
            content=job.content.hex(),
            parts=",".join(job.traits.shared_parts),
            written_for=f"{job.written_seconds:.3f}",
            reused=reused_after is not None,
            idle=f"{reused_after or 0.0:.3f}",
            seconds=f"{clock.now() - active.began:.3f}",
            reason=error.reason,
        )
        self._metrics.count("failed_attempts", kind="unclear")
        job.broken_attempts += 1
        self._quarantine.note_broken_attempt(
            active.tracked.endpoint,
            job.identity,
            depth,
            self._paths.probe,
            job.written_seconds,
        )

    def _log_tunnel(self, job: jobs.Job, connection: client.Connection) -> None:
        logs.event(
            _LOG,
            "sent_through_peer",
            request=job.traits.request_id,
            endpoint=job.endpoint,
            peer=connection.peer,
            age=f"{clock.now() - connection.opened_at:.3f}",
        )
        self._metrics.count("requests_through_peers")

    def _find_depth(self, job: jobs.Job) -> int:
        """Returns the request's suspicion depth at the time it is sent."""
        if not self._quarantine:
            return job.broken_attempts
        return max(
            self._quarantine.find_depth(job.content), job.broken_attempts
        )

    async def _exchange(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
        is_reused: bool,
    ) -> retry.Failure | None:
        traits = job.traits
        endpoint = active.tracked.endpoint.name
        parameters = dialect_module.SendParameters(
            endpoint=endpoint,
            seconds_left=job.deadline - clock.now(),
            priority=job.rank,
            last_event_id=job.splitter.last_id,
            organisation=job.caller.name if job.caller else "",
        )
        if job.sent_after is None:
            job.sent_after = clock.now() - job.began
        job.is_sent = True
        self._stream_versions.note_sent(job, active.tracked.endpoint)
        sent_at = clock.now()
        if job.place is not None:
            job.place.note_sent(connection.opening_seconds)
        connection.send(
            self._dialect.format_request(job.exchange.request, parameters),
            self._dialect.match_answer(traits.request_id, is_reused),
        )
        watch = asyncio.get_running_loop().call_later(
            _ACKNOWLEDGE_SECONDS, self._check_sent, job, active, connection
        )
        try:
            head = await connection.read_head()
        finally:
            watch.cancel()
        if job.place is not None:
            job.place.answered_at = connection.heard_at
        answer = self._dialect.read_answer(head)
        if answer.is_genuine and not answer.is_misdirected:
            self._view.note_load(active, answer.load)
        self._view.note_bytes(active)
        if answer.is_leaving:
            self._report_leaving(active.tracked.endpoint)
        if answer.limit is not None or answer.is_genuine:
            # An answer that is not the endpoint's own doesn't lift a limit.
            self._permit_broker.note_answer(
                active.tracked.endpoint, answer.limit, sent_at
            )
        if answer.brittle is not None or answer.is_genuine:
            self._place_broker.note_answer(
                active.tracked.endpoint, answer.brittle, sent_at
            )
        if answer.is_genuine and not answer.is_refusal:
            self._place_broker.note_load(
                active.tracked.endpoint, answer.load, sent_at
            )
        if answer.is_refusal:
            is_read = await self._skip_body(job, connection)
            logs.event(
                _LOG,
                "endpoint_refused",
                request=traits.request_id,
                endpoint=endpoint,
                status=head.status,
                load=answer.load,
                rest="" if answer.backoff is None else f"{answer.backoff:.2f}",
            )
            self._note_refusal(job, active, answer)
            if is_read:
                self._return_to_pool(endpoint, connection, head)
            return retry.Failure.REFUSED
        if not answer.is_genuine:
            raise errors.EndpointUnclearError(
                f"{endpoint} sent an answer that is not marked as its own",
                "see the endpoint's log",
            )
        if answer.is_stream and head.status < 300:
            failure = None
            await self._forwarder.forward_stream(job, active, connection, head)
        else:
            failure = await self._forwarder.forward(
                job, active, connection, head
            )
        if failure is None:
            self._return_to_pool(endpoint, connection, head)
        self._quarantine.note_answer(
            job.identity, failure is None and head.status < _FIRST_REDIRECT
        )
        return failure

    def _check_sent(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
    ) -> None:
        """Has a path verified on which a request was not acknowledged."""
        if connection.peer or not connection.is_unacknowledged:
            return
        self._tasks.start(self._verify_path(job, active, connection))

    async def _verify_path(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
    ) -> None:
        """Ends a request that may be repeated if its path is lost."""
        endpoint = active.tracked.endpoint
        sent_at = connection.heard_at
        is_lost = await self._paths.verify(endpoint)
        may_end = (
            is_lost
            and job.progress.may_repeat
            and connection.heard_at == sent_at
            and not connection.is_pooled
        )
        logs.event(
            _LOG,
            "send_not_acknowledged",
            request=job.traits.request_id,
            endpoint=endpoint.name,
            path_lost=is_lost,
            ended=may_end,
        )
        if may_end:
            connection.fail("its path is lost")

    def _note_refusal(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        answer: dialect_module.Answer,
    ) -> None:
        traits = job.traits
        if answer.backoff is not None:
            self._view.note_backoff(active, answer.backoff)
        if answer.is_misdirected and traits.model:
            self._view.note_item(
                active.tracked.endpoint.name,
                traits.model,
                traits.adapter,
                False,
            )
        elif answer.is_misdirected:
            self._view.note_failed_attempt(active)
        elif not answer.is_leaving and answer.backoff is None:
            job.lacked_room = True
            self._place_broker.note_refusal(
                active.tracked.endpoint, answer.load
            )
            self.on_full(job, active.tracked.endpoint.name)

    def _return_to_pool(
        self, endpoint: str, connection: client.Connection, head: messages.Head
    ) -> None:
        connection.is_pooled = True
        self.pool.give_back(endpoint, connection, head.header(b"keep-alive"))

    async def _skip_body(
        self, job: jobs.Job, connection: client.Connection
    ) -> bool:
        """Reads the body of a refusal; returns whether it was whole.

        What the head says holds in any case.
        """
        try:
            async with asyncio.timeout(_REFUSAL_SECONDS):
                await connection.read_whole(_MAX_REFUSAL_BYTES)
        except (errors.EndpointError, TimeoutError) as e:
            logs.event(
                _LOG,
                "refusal_not_read",
                logging.WARNING,
                request=job.traits.request_id,
                endpoint=job.endpoint,
                reason=getattr(e, "reason", f"over {_REFUSAL_SECONDS} s"),
            )
            return False
        return True
