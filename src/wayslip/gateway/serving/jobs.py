"""State of a request, and answers that this instance gives itself."""

import dataclasses
import functools
import logging

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import contents
from wayslip.decisions import load_timing
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations
from wayslip.decisions import retry
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway.serving import events
from wayslip.gateway.sharing import held_places
from wayslip.http1 import client
from wayslip.http1 import messages
from wayslip.http1 import server

_LOG = logging.getLogger(__name__)
# Lower bound of Retry-After: a few round trips, so that the cause of a refusal
# can have changed.
MIN_RETRY_AFTER_SECONDS = 0.1
# Parts of a prompt that can come under suspicion; limits what a crash of an
# endpoint is announced with.
_MAX_PARTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An endpoint's whole answer.

    Attributes:
        ending: How the end of its body was told.
    """

    head: messages.Head
    body: bytes
    ending: messages.BodyEnd

    def send(self, exchange: server.Exchange) -> None:
        """Answers a request with it."""
        headers = messages.find_end_to_end(self.head.headers)
        exchange.answer(
            self.head.status, headers, self.body, self.ending, self.head.length
        )


@dataclasses.dataclass
class Job:
    """A request from its arrival to its answer.

    Attributes:
        began: When it arrived, steady seconds.
        deadline: When the answer is due, steady seconds.
        unreachable_count: Attempts whose endpoint could not be reached.
        tried: Endpoints that were tried.
        refused_by: Endpoints that refused it for lack of room; they are tried
            again only where no other one is left.
        endpoint: The endpoint of the last attempt, empty before the first.
        relayed: Whether any part of an answer was sent to the client.
        is_bound: Whether a part of an answer was sent that only the endpoint
            of this attempt can continue.
        sent_after: Seconds from arrival until the first send.
        first_after: Seconds from arrival until the first event of a stream.
        fallback: An endpoint's own 5xx answer, forwarded if no retry succeeds.
        caller: The organisation, None if the request was not authenticated.
        units: Units charged to its quota.
        is_sent: Whether an endpoint may be running it or may have run it.
        rank: Urgency, 0 is the most urgent.
        is_late: Whether it is expected to miss its latency target.
        broken_attempts: Attempts without a complete answer of the endpoint's
            own.
        met_full_queue: Whether its last attempt was refused for lack of room.
        is_probe: Whether it is sent although its content is blocked.
        share_units: Units counted as used in the share of its organisation.
        timing: How long loads of its service take.
        place: Its place at a brittle endpoint.
        lacked_room: Whether its last attempt was refused for lack of room.
        room_wait: Seconds until a brittle endpoint is expected to have room.
        ending: How the end of the forwarded answer was told.
        connections: Those that its attempts used. A second copy of an answer
            to one of them may arrive late, and has the same request id.
        written_since: When the first event of its last attempt arrived, steady
            seconds; None before it.
    """

    exchange: server.Exchange
    traits: dialect_module.Traits
    route: manifest_module.Route
    service: manifest_module.Service
    began: float
    deadline: float
    progress: retry.Progress
    splitter: events.EventSplitter
    unreachable_count: int = 0
    tried: frozenset[str] = frozenset()
    refused_by: frozenset[str] = frozenset()
    endpoint: str = ""
    relayed: bool = False
    is_bound: bool = False
    sent_after: float | None = None
    first_after: float | None = None
    fallback: BufferedAnswer | None = None
    caller: organisations.Organisation | None = None
    units: float = 0.0
    is_sent: bool = False
    rank: int = 0
    is_late: bool = False
    broken_attempts: int = 0
    met_full_queue: bool = False
    is_probe: bool = False
    share_units: float = 0.0
    timing: load_timing.Timing = load_timing.DEFAULT
    place: held_places.Place | None = None
    lacked_room: bool = False
    room_wait: float = 0.0
    ending: messages.BodyEnd | None = None
    connections: set[client.Connection] = dataclasses.field(default_factory=set)
    written_since: float | None = None

    @property
    def written_seconds(self) -> float:
        """For how long the endpoint of the last attempt has sent events."""
        if self.written_since is None:
            return 0.0
        return clock.now() - self.written_since

    @functools.cached_property
    def content(self) -> bytes:
        """Content digest, the same for each retry that a client sends."""
        request, traits = self.exchange.request, self.traits
        return contents.make_digest(
            self.caller.name if self.caller else "",
            traits.host,
            request.method,
            request.target,
            f"{traits.model}/{traits.adapter}",
            request.body,
        )

    @functools.cached_property
    def identity(self) -> contents.Identity:
        """What this request has in common with others."""
        parts = contents.make_part_digests(
            self.service.name, self.traits.shared_parts[:_MAX_PARTS]
        )
        return contents.Identity(self.content, parts)


class Responder:
    """Answers requests and logs how each of them ended."""

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._dialect = dialect
        self._metrics = metrics

    def answer_verdict(
        self,
        job: Job,
        verdict: retry.Verdict,
        wait: float = MIN_RETRY_AFTER_SECONDS,
    ) -> None:
        """Answers a request that is not retried any further.

        Args:
            job: The request.
            verdict: Whether the request was run.
            wait: Retry-After in seconds if the request was not run.
        """
        if job.relayed:
            self.record_job_outcome(job, "broken_off", 0)
            job.exchange.abort()
            return
        if job.fallback is not None:
            status = job.fallback.head.status
            self.record_job_outcome(job, "endpoint_failed", status)
            job.fallback.send(job.exchange)
            return
        if verdict is retry.Verdict.NOT_RUN:
            self.refuse_job(job, "not_taken", wait)
            return
        self.record_job_outcome(job, "unclear", 502)
        job.exchange.answer(502, (), b"the endpoint broke off\n")

    def time_out(self, job: Job) -> None:
        """Answers a request whose deadline has passed."""
        if job.exchange.is_finished:
            return
        if job.exchange.is_started:
            self.record_job_outcome(job, "stream_timed_out", 0)
            job.exchange.abort()
        elif job.is_sent or job.progress.may_have_run:
            self.record_job_outcome(job, "timed_out", 504)
            job.exchange.answer(504, (), b"no answer in time\n")
        else:
            self.refuse_job(job, "timed_out_waiting", MIN_RETRY_AFTER_SECONDS)

    def refuse_job(
        self, job: Job, reason: str, wait: float, status: int = 503
    ) -> None:
        """Refuses a request that was not run, with a Retry-After header."""
        wait = max(wait, MIN_RETRY_AFTER_SECONDS)
        self.record_job_outcome(job, reason, status, f"{wait:.2f}")
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(wait)
        job.exchange.answer(status, headers, b"not run, come back later\n")

    def refuse_content(self, job: Job, blocked: bytes, wait: float) -> None:
        """Refuses a request because endpoints crashed under such requests.

        Args:
            job: The request.
            blocked: Its content, or the part of its prompt that is blocked.
            wait: Seconds until it may be tried again.
        """
        reason = "ends_endpoints"
        self.record_job_outcome(job, reason, 503, f"{wait:.2f}", blocked.hex())
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(wait)
        job.exchange.answer(503, headers, b"not run: engines ended under it\n")

    def deny_job(self, job: Job, reason: str) -> None:
        """Refuses a request with an invalid key; not worth a retry."""
        self.record_job_outcome(job, reason, 401)
        self._metrics.count("refused", reason=reason)
        job.exchange.answer(401, (), b"send a key that is in force\n")

    def refuse(
        self, exchange: server.Exchange, reason: str, wait: float
    ) -> None:
        """Refuses a request for which no job was created."""
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(wait)
        exchange.answer(503, headers, b"not run, come back later\n")

    def record_job_outcome(
        self,
        job: Job,
        outcome: str,
        status: int,
        retry_after: str = "",
        content: str = "",
    ) -> None:
        """Logs the outcome of a job and observes its latency."""
        self.record_outcome(
            job.traits.request_id,
            outcome,
            status,
            job.began,
            endpoint=job.endpoint,
            route=job.route.name,
            organisation=job.caller.name if job.caller else "",
            model=job.traits.model,
            adapter=job.traits.adapter,
            sent_after=_format_seconds(job.sent_after),
            first_after=_format_seconds(job.first_after),
            retry_after=retry_after,
            content=content,
            unreachable=str(job.unreachable_count),
            tried=str(len(job.tried)),
            ending=job.ending or "",
            resumes=job.traits.resumes,
            last_event=job.splitter.last_id,
        )

    def record_outcome(
        self,
        request_id: str,
        outcome: str,
        status: int,
        began: float,
        **fields: str,
    ) -> None:
        """Logs the outcome of a request and observes its latency."""
        seconds = clock.now() - began
        self._metrics.latency("request").observe(seconds)
        # When the log's reader is slow, warnings are dropped last.
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
