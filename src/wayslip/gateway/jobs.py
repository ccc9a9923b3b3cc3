"""A request under way, and how it can end without an endpoint's answer."""

import dataclasses
import functools
import logging

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import contents
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations
from wayslip.decisions import retry
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway import events
from wayslip.http1 import messages
from wayslip.http1 import server

_LOG = logging.getLogger(__name__)
# The shortest time that a client is told to stay away, seconds: some round
# trips, so that what refused it can have changed.
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclasses.dataclass
class Job:
    """A request under way.

    Attributes:
        deadline: When the answer is due, steady seconds.
        relayed: Whether a part of an answer went to the client.
        sent_after: Seconds from its arrival until it was first sent.
        first_after: The same until the first part of its answer.
        fallback: An endpoint's own failure, passed on if no retry helps.
        caller: Whose request it is, None where nobody has to say.
        units: That its quota was charged.
        is_sent: Whether an endpoint may run it now, or has.
        rank: Its urgency, 0 is the most urgent.
        broken_attempts: Attempts that broke off.
        is_probe: Whether it is sent though its content is condemned.
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
    endpoint: str = ""
    relayed: bool = False
    sent_after: float | None = None
    first_after: float | None = None
    fallback: tuple[messages.Head, bytes] | None = None
    caller: organisations.Organisation | None = None
    units: float = 0.0
    is_sent: bool = False
    rank: int = 0
    broken_attempts: int = 0
    is_probe: bool = False

    @functools.cached_property
    def content(self) -> bytes:
        """Digest of what it asks for, alike in all attempts of a client."""
        request, traits = self.exchange.request, self.traits
        return contents.make_digest(
            self.caller.name if self.caller else "",
            traits.host,
            request.method,
            request.target,
            f"{traits.model}/{traits.adapter}",
            request.body,
        )


class Responder:
    """Ends requests, with a log line each."""

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
        """Answers a request that no further attempt is made at.

        Args:
            job: The request.
            verdict: Whether it was run.
            wait: Seconds until it can be, if it was not.
        """
        if job.relayed:
            self.record_job_outcome(job, "broken_off", 0)
            job.exchange.abort()
            return
        if job.fallback is not None:
            head, body = job.fallback
            self.record_job_outcome(job, "endpoint_failed", head.status)
            job.exchange.answer(
                head.status, messages.find_end_to_end(head.headers), body
            )
            return
        if verdict is retry.Verdict.NOT_RUN:
            self.refuse_job(job, "not_taken", wait)
            return
        self.record_job_outcome(job, "unclear", 502)
        job.exchange.answer(502, (), b"the endpoint broke off\n")

    def time_out(self, job: Job) -> None:
        """Answers a request whose time is over."""
        if job.exchange.is_finished:
            return
        if job.exchange.is_started:
            self.record_job_outcome(job, "stream_timed_out", 0)
            job.exchange.abort()
        elif job.endpoint:
            self.record_job_outcome(job, "timed_out", 504)
            job.exchange.answer(504, (), b"no answer in time\n")
        else:
            self.refuse_job(job, "timed_out_waiting", MIN_RETRY_AFTER_SECONDS)

    def refuse_job(
        self, job: Job, reason: str, wait: float, status: int = 503
    ) -> None:
        """Says that a request was not run, and when to come back."""
        self.record_job_outcome(job, reason, status, f"{wait:.2f}")
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(
            max(wait, MIN_RETRY_AFTER_SECONDS)
        )
        job.exchange.answer(status, headers, b"not run, come back later\n")

    def refuse_content(self, job: Job, wait: float) -> None:
        """Says that a request ended endpoints and was not run again."""
        reason = "ends_endpoints"
        self.record_job_outcome(
            job, reason, 503, f"{wait:.2f}", job.content.hex()
        )
        self._metrics.count("refused", reason=reason)
        headers = self._dialect.make_retry_after(wait)
        job.exchange.answer(503, headers, b"not run: engines ended under it\n")

    def deny_job(self, job: Job, reason: str) -> None:
        """Says for good that a request's key lets nobody in."""
        self.record_job_outcome(job, reason, 401)
        self._metrics.count("refused", reason=reason)
        job.exchange.answer(401, (), b"send a key that is in force\n")

    def refuse(
        self, exchange: server.Exchange, reason: str, wait: float
    ) -> None:
        """Refuses a request that has no job yet."""
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
        """Logs and counts the end of a job."""
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
        )

    def record_outcome(
        self,
        request_id: str,
        outcome: str,
        status: int,
        began: float,
        **fields: str,
    ) -> None:
        """Logs and counts the end of a request."""
        seconds = clock.now() - began
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
