"""Forwards answers of endpoints to clients.

An answer is complete for the client exactly if it is for this instance: a body
that broke off is retried, taken up elsewhere or aborted, and one whose end was
not marked is sent without a mark.
"""

from wayslip import clock
from wayslip import errors
from wayslip import metrics as metrics_module
from wayslip.decisions import retry
from wayslip.gateway.serving import end_checks as end_checks_module
from wayslip.gateway.serving import jobs
from wayslip.gateway.serving import stream_versions as stream_versions_module
from wayslip.gateway.sharing import view as view_module
from wayslip.http1 import client
from wayslip.http1 import messages

# Answers up to this size are buffered before they are forwarded, so that a
# request whose answer breaks off can be retried.
_MAX_BUFFERED_BYTES = 256 * 1024
# Limit for an event of a stream, which is forwarded as a whole.
_MAX_EVENT_BYTES = 256 * 1024


class Forwarder:
    """Forwards answers. Used on the event loop only."""

    def __init__(
        self,
        view: view_module.EndpointView,
        responder: jobs.Responder,
        metrics: metrics_module.Metrics,
        end_checks: end_checks_module.EndChecks,
        stream_versions: stream_versions_module.StreamVersions,
    ) -> None:
        """Initializes the forwarder.

        Args:
            view: Records how endpoints answer.
            responder: Logs outcomes.
            metrics: Records latencies and how answers end.
            end_checks: Checks ends that were not marked.
            stream_versions: Binds streams to software versions.
        """
        self._view = view
        self._responder = responder
        self._metrics = metrics
        self._end_checks = end_checks
        self._stream_versions = stream_versions

    async def forward(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
        head: messages.Head,
    ) -> retry.Failure | None:
        """Forwards an answer, buffering it if it is small.

        Raises:
            EndpointUnclearError: The answer broke off.
        """
        parts: list[bytes] = []
        size = 0
        while part := await connection.read():
            parts.append(part)
            size += len(part)
            if size > _MAX_BUFFERED_BYTES:
                await self._forward_large(job, active, connection, head, parts)
                self._view.note_answer(active, False)
                return None
        ending = await self._find_ending(job, active, connection)
        answer = jobs.BufferedAnswer(head, b"".join(parts), ending)
        is_failure = head.status >= 500
        self._view.note_answer(active, is_failure)
        if is_failure and job.route.may_repeat:
            job.fallback = answer
            return retry.Failure.UNCLEAR
        job.relayed = True
        self._responder.record_job_outcome(job, "answered", head.status)
        answer.send(job.exchange)
        return None

    async def _forward_large(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
        head: messages.Head,
        parts: list[bytes],
    ) -> None:
        job.relayed = job.is_bound = True
        _start(job, head)
        await job.exchange.send(b"".join(parts))
        while part := await connection.read():
            await job.exchange.send(part)
        await self._find_ending(job, active, connection)
        self._responder.record_job_outcome(job, "answered", head.status)
        job.exchange.finish()

    async def forward_stream(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
        head: messages.Head,
    ) -> None:
        """Forwards a stream event by event.

        The head is sent with the first event, so that a stream that breaks off
        earlier can still be retried or answered with an error.

        Raises:
            EndpointUnclearError: The stream broke off.
        """
        job.splitter.drop_remainder()
        while part := await connection.read():
            self._view.note_bytes(active)
            whole = job.splitter.feed(part)
            if len(job.splitter.remainder) > _MAX_EVENT_BYTES:
                raise _make_error(
                    f"an event of the stream exceeds {_MAX_EVENT_BYTES} bytes"
                )
            if not whole:
                continue
            if job.written_since is None:
                job.written_since = clock.now()
            if not job.relayed:
                await self._stream_versions.begin(job, active.tracked.endpoint)
            self._start_stream(job, head)
            await job.exchange.send(whole)
            job.splitter.note_forwarded(whole)
        if job.splitter.is_inside_event:
            raise _make_error("the stream ended inside an event")
        ending = await self._find_ending(job, active, connection)
        if ending is messages.BodyEnd.UNMARKED:
            _check_unmarked_stream(job)
        self._view.note_answer(active, False, is_stream=True)
        self._start_stream(job, head)
        await job.exchange.send(job.splitter.remainder)
        self._responder.record_job_outcome(job, "answered", head.status)
        job.exchange.finish()

    def _start_stream(self, job: jobs.Job, head: messages.Head) -> None:
        if job.relayed:
            return
        job.relayed = True
        job.first_after = clock.now() - job.began
        self._metrics.latency("first_event").observe(job.first_after)
        _start(job, head)

    async def _find_ending(
        self,
        job: jobs.Job,
        active: view_module.ActiveRequest,
        connection: client.Connection,
    ) -> messages.BodyEnd:
        """Returns how the end of an answer was told, and records it.

        Raises:
            EndpointUnclearError: The end was not one of the answer.
        """
        ending = connection.ending
        assert ending is not None
        if ending is messages.BodyEnd.UNMARKED:
            await self._end_checks.check(
                active.tracked.endpoint, connection, job.traits.request_id
            )
        job.ending = ending
        self._metrics.count("answers_ended", ending=ending)
        return ending


def _start(job: jobs.Job, head: messages.Head) -> None:
    """Sends the head of an answer; its body is marked as the endpoint's is."""
    ending = messages.BodyEnd.MARKED
    if not head.is_framed:
        ending = messages.BodyEnd.UNMARKED
    headers = messages.find_end_to_end(head.headers)
    job.exchange.start(head.status, headers, head.length, ending)


def _check_unmarked_stream(job: jobs.Job) -> None:
    """Checks that a stream may end without a mark.

    Raises:
        EndpointUnclearError: It may not.
    """
    if not job.relayed:
        raise _make_error("the stream ended without an event or a mark")
    if job.exchange.is_marked:
        # Another endpoint began it, and its head promised a mark.
        raise _make_error("the rest of the stream has no marked end")


def _make_error(reason: str) -> errors.EndpointUnclearError:
    return errors.EndpointUnclearError(reason, "see the endpoint's log")
