"""Calls to plain services, including calls that may not be repeated."""

import dataclasses

from wayslip import clock
from wayslip import errors
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip import web
from wayslip.decisions import admission
from wayslip.decisions import configuration
from wayslip.decisions import membership
from wayslip.decisions import retry
from wayslip.endpoints import service as service_module
from wayslip.entry import answers
from wayslip.entry import attempts
from wayslip.entry import callers as callers_module
from wayslip.entry import view as view_module
from wayslip.peers import messages
from wayslip.peers import node as node_module

# Delay that admission assumes for every service.
_SERVICE_DELAY_SECONDS = 0.01
_PROMPT = view_module.Prompt(1)


@dataclasses.dataclass(frozen=True)
class Job:
    """A call to a service.

    Attributes:
        deadline: Monotonic seconds.
        may_repeat: Whether it may be retried after an attempt that may have
            run.
    """

    caller: settings_module.Caller
    service: configuration.Service
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    may_repeat: bool


class Services:
    """Routes calls to the endpoints of services."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        view: view_module.EndpointView,
        in_flight: callers_module.InFlight,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._node = node
        self._view = view
        self._in_flight = in_flight
        self._metrics = metrics
        self._admit = admission.POLICIES.get(settings.admission.policy)

    def find(self, name: str) -> configuration.Service | refusals.Refusal:
        """Returns a service by name, or a refusal if it is unknown."""
        service = self._node.holder.catalog.services.get(name)
        if service is not None:
            return service
        return refusals.Refusal(
            refusals.Reason.UNKNOWN_SERVICE,
            f"there is no service {name!r}; ask its operator for the name",
        )

    def run(self, job: Job) -> web.Answer:
        """Calls endpoints until one answers or the verdict is not to retry."""
        with self._in_flight.counted(job.caller.name):
            return self._run(job)

    def _run(self, job: Job) -> web.Answer:
        tries = attempts.Attempts(
            self._in_flight,
            self._settings.admission,
            self._metrics,
            job.may_repeat,
            job.deadline,
        )
        tried: set[str] = set()
        while True:
            name = self._choose(job.service, tried)
            if name is None:
                return self._answer_none(tries.may_have_run)
            refusal = None if tried else self._check_load(job, name)
            if refusal is not None:
                self._metrics.count("refused", reason=refusal.reason)
                return answers.answer_refusal(refusal)
            result = self._attempt(job, name)
            if isinstance(result, web.Answer):
                return result
            tried.add(name)
            verdict = tries.fail(result)
            if verdict is not retry.Verdict.RETRY:
                return self._answer_none(verdict is retry.Verdict.UNKNOWN)

    def _choose(
        self, service: configuration.Service, tried: set[str]
    ) -> str | None:
        usable = self._view.usable(service.endpoints)
        left = [n for n in usable if n not in tried]
        return min(left, key=self._view.in_flight, default=None)

    def _check_load(self, job: Job, name: str) -> refusals.Refusal | None:
        entries = self._node.live_names(membership.Role.ENTRY)
        load = admission.Load(
            total=self._in_flight.total - 1,
            caller=self._in_flight.of(job.caller.name) - 1,
            endpoint=self._view.in_flight(name),
            entries=len(entries),
            predicted=_SERVICE_DELAY_SECONDS,
            seconds_left=job.deadline - clock.now(),
        )
        return self._admit(load, job.caller, self._settings.admission)

    def _attempt(self, job: Job, name: str) -> web.Answer | retry.Failure:
        address = self._view.address(name)
        if address is None:
            return retry.Failure.NOT_SENT
        headers = {"Content-Type": job.content_type} if job.body else {}
        timeout = max(job.deadline - clock.now(), 0.001)
        limit = self._settings.limits.answer_bytes
        self._view.begin(name, _PROMPT)
        try:
            response = service_module.call_service(
                address,
                job.method,
                job.path,
                headers,
                job.body,
                timeout,
                limit,
            )
        except errors.NotSentError:
            self._view.note_failure(name)
            return retry.Failure.NOT_SENT
        except errors.EndpointError:
            return retry.Failure.UNCLEAR
        finally:
            self._view.end(name)
        if response.is_not_started:
            self._view.note_refusal(name)
            return retry.Failure.REFUSED
        return web.Answer(
            response.status,
            response.body,
            response.content_type,
            {web.OUTCOME: web.RAN},
        )

    def _answer_none(self, may_have_run: bool) -> web.Answer:
        if may_have_run:
            return self._answer_unknown()
        return answers.answer_refusal(
            refusals.Refusal(
                refusals.Reason.NO_ENDPOINT,
                "no endpoint of the service accepts requests;"
                " retry after Retry-After",
                1.0,
            )
        )

    def _answer_unknown(self) -> web.Answer:
        self._metrics.count("unknown")
        return answers.answer_unknown(
            "the connection to the endpoint failed after the call may have run;"
            " check whether it did before sending it again"
        )


def to_forwarded(answer: web.Answer) -> messages.Forwarded:
    """Returns a complete answer as a message between entries."""
    return messages.Forwarded(
        answer.status,
        answer.headers.get(web.OUTCOME, web.RAN),
        answer.content_type,
        answer.body,
        float(answer.headers.get("Retry-After", 0)),
    )


def from_forwarded(forwarded: messages.Forwarded) -> web.Answer:
    """Returns the answer to a caller from a message between entries."""
    headers = {web.OUTCOME: forwarded.outcome}
    if forwarded.retry_after:
        headers["Retry-After"] = str(int(forwarded.retry_after))
    return web.Answer(
        forwarded.status, forwarded.body, forwarded.content_type, headers
    )
