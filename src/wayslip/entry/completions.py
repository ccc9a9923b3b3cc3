"""Completions: sends callers' requests to engines and returns the answers."""

from collections.abc import Mapping
import dataclasses
import json
import logging
from typing import Any
import uuid

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip import web
from wayslip.decisions import retry
from wayslip.endpoints import engine as engine_module
from wayslip.endpoints import exchange
from wayslip.entry import answers
from wayslip.entry import attempts
from wayslip.entry import callers as callers_module
from wayslip.entry import cancellations
from wayslip.entry import choosing
from wayslip.entry import relay as relay_module
from wayslip.entry import tokens
from wayslip.entry import view as view_module
from wayslip.peers import messages as messages_module
from wayslip.peers import node as node_module

_LOG = logging.getLogger(__name__)
_NOTIFY_TIMEOUT_SECONDS = 1.0
_RESUME_TIMEOUT_SECONDS = 5.0
_STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
    web.OUTCOME: web.RAN,
}


@dataclasses.dataclass(frozen=True)
class EngineResponse:
    """An engine's answer of which only the head was read, and its origin."""

    endpoint: str
    request_id: str
    upstream: exchange.Exchange


def read_prompt(body: Mapping[str, Any]) -> str:
    """Returns a request's prompt as one string.

    Raises:
        BadRequestError: There is no prompt, or it is malformed.
    """
    messages = body.get("messages")
    if isinstance(messages, list):
        parts = [
            f"{m.get('role')}\0{json.dumps(m.get('content'))}"
            for m in messages
            if isinstance(m, dict)
        ]
        if len(parts) == len(messages) and parts:
            return "\n".join(parts)
    prompt = body.get("prompt")
    if isinstance(prompt, str) and prompt:
        return prompt
    raise errors.BadRequestError(
        "the request has no prompt",
        'send "messages" with objects, or a "prompt"',
    )


class Completions:
    """Serves completions. Safe for many threads."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        view: view_module.EndpointView,
        relay: relay_module.Relay,
        in_flight: callers_module.InFlight,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._node = node
        self._view = view
        self._relay = relay
        self._in_flight = in_flight
        self._metrics = metrics
        self._dialect = engine_module.DIALECTS.get("openai")
        self._chooser = choosing.Chooser(settings, node, view, in_flight)
        self._resume_key = settings.security.resume_key.encode()
        self.cancellations = cancellations.Cancellations(
            view, metrics, settings.limits.resume_seconds
        )

    # Checking

    def check(
        self, request: web.Request, caller: settings_module.Caller
    ) -> choosing.Job | refusals.Refusal:
        """Checks a request and returns its job, or why it is refused.

        Raises:
            BadRequestError: The body or a header is malformed.
        """
        started = clock.now()
        body = request.read_json()
        model = body.get("model")
        if not isinstance(model, str):
            raise errors.BadRequestError(
                "the request names no model",
                'send "model", see GET /v1/models',
            )
        target = self._node.holder.catalog.resolve(model)
        if isinstance(target, refusals.Refusal):
            return target
        rules = self._settings.admission.classes[caller.priority]
        seconds = read_deadline(request, rules.deadline)
        return choosing.Job(
            caller=caller,
            path=request.path,
            body=body,
            target=target,
            text=read_prompt(body),
            is_stream=body.get("stream") is True,
            started=started,
            deadline=started + seconds,
        )

    # Running

    def serve(
        self, request: web.Request, job: choosing.Job
    ) -> web.Answer | None:
        """Answers a job; returns None if the relay streams the answer."""
        if self._relay.active >= self._settings.limits.streams:
            return answers.answer_refusal(_refuse_streams())
        self._in_flight.begin(job.caller.name)
        try:
            response = self._send(job)
            if isinstance(response, web.Answer):
                return response
            if response.upstream.is_stream:
                self._hand_over(request, job, response)
                return None
            return self._read_buffered(job, response)
        finally:
            if not request.is_detached:
                self._in_flight.end(job.caller.name)

    def run_buffered(self, job: choosing.Job) -> web.Answer:
        """Returns the complete answer of a job that is not a stream."""
        with self._in_flight.counted(job.caller.name):
            response = self._send(job)
            if isinstance(response, web.Answer):
                return response
            return self._read_buffered(job, response)

    def _send(self, job: choosing.Job) -> EngineResponse | web.Answer:
        """Tries engines until one answers or the verdict is not to retry."""
        tries = attempts.Attempts(
            self._in_flight,
            self._settings.admission,
            self._metrics,
            job.may_repeat,
            job.deadline,
        )
        tried: frozenset[choosing.FailedAttempt] = frozenset()
        while True:
            chosen = self._chooser.choose(job, tried)
            if isinstance(chosen, refusals.Refusal):
                return self._answer_refused(chosen, tries.may_have_run)
            result = self._attempt(job, chosen)
            if isinstance(result, EngineResponse):
                return result
            tried |= {
                choosing.FailedAttempt(chosen.choice.name, chosen.engine_model)
            }
            verdict = tries.fail(result)
            if verdict is not retry.Verdict.RETRY:
                return self._answer_verdict(verdict)

    def _answer_refused(
        self, refusal: refusals.Refusal, may_have_run: bool
    ) -> web.Answer:
        self._metrics.count("refused", reason=refusal.reason)
        if may_have_run:
            return answers.answer_unknown(refusal.detail, refusal.retry_after)
        return answers.answer_refusal(refusal)

    def _answer_verdict(self, verdict: retry.Verdict) -> web.Answer:
        if verdict is retry.Verdict.UNKNOWN:
            self._metrics.count("unknown")
            return answers.answer_unknown(
                "the connection to an endpoint failed after the request may"
                " have started; send it again if it may be repeated"
            )
        return answers.answer_refusal(
            refusals.Refusal(
                refusals.Reason.NO_ENDPOINT,
                "no endpoint accepted the request; retry after Retry-After",
                1.0,
            )
        )

    # Attempting

    def _attempt(
        self, job: choosing.Job, chosen: choosing.Chosen
    ) -> EngineResponse | retry.Failure:
        name = chosen.choice.name
        address = self._view.address(name)
        if address is None:
            return retry.Failure.NOT_SENT
        request_id = uuid.uuid4().hex
        # Engines serve lower priority numbers first.
        changes = {"model": chosen.engine_model, "priority": chosen.prompt.rank}
        body = json.dumps({**job.body, **changes}).encode()
        timeout = max(job.deadline - clock.now(), 0.001)
        self._view.begin(name, chosen.prompt)
        result = self._begin(chosen, address, job, body, request_id, timeout)
        if not isinstance(result, EngineResponse):
            self._view.end(name)
        return result

    def _begin(
        self,
        chosen: choosing.Chosen,
        address: str,
        job: choosing.Job,
        body: bytes,
        request_id: str,
        timeout: float,
    ) -> EngineResponse | retry.Failure:
        name, model = chosen.choice.name, chosen.engine_model
        try:
            upstream = self._dialect.begin(
                address, job.path, body, request_id, timeout
            )
        except errors.NotSentError:
            self._view.note_failure(name)
            return retry.Failure.NOT_SENT
        except errors.EndpointError as e:
            self._view.note_failure(name)
            logs.event(
                _LOG,
                "attempt_unclear",
                endpoint=name,
                request=request_id,
                reason=e.reason,
            )
            return retry.Failure.UNCLEAR
        if engine_module.NOT_STARTED in upstream.headers:
            upstream.close()
            if upstream.status == 503:
                self._view.note_refusal(name)
            elif upstream.status == 404:
                self._view.note_missing(name, model)
            return retry.Failure.REFUSED
        if upstream.status >= 500:
            upstream.close()
            return retry.Failure.UNCLEAR
        return EngineResponse(name, request_id, upstream)

    # Answering

    def _read_buffered(
        self, job: choosing.Job, response: EngineResponse
    ) -> web.Answer:
        try:
            data = response.upstream.read(self._settings.limits.answer_bytes)
        except errors.EndpointError as e:
            self._metrics.count("unknown")
            return answers.answer_unknown(f"{e.reason}; {e.remedy}")
        finally:
            self._view.end(response.endpoint)
        seconds = clock.now() - job.started
        self._metrics.latency("completion").observe(seconds)
        kind = response.upstream.headers.get("Content-Type", "application/json")
        headers = {web.OUTCOME: web.RAN}
        return web.Answer(response.upstream.status, data, kind, headers)

    def _hand_over(
        self, request: web.Request, job: choosing.Job, response: EngineResponse
    ) -> None:
        token = tokens.StreamToken(
            response.endpoint, response.request_id, self._node.identity.name
        )
        self._relay_stream(
            request, job.caller, token, response.upstream, -1, job.started
        )

    def _relay_stream(
        self,
        request: web.Request,
        caller: settings_module.Caller,
        token: tokens.StreamToken,
        upstream: exchange.Exchange,
        after: int,
        started: float,
    ) -> None:
        name = token.endpoint

        def resume(last: int) -> exchange.Exchange:
            address = self._view.address(name)
            if address is None:
                raise errors.NotSentError(
                    f"{name} is no longer listed", "send the request again"
                )
            return self._dialect.resume(
                address, token.request_id, last, _RESUME_TIMEOUT_SECONDS
            )

        def on_end(end: relay_module.End) -> None:
            self._view.end(name)
            self._in_flight.end(caller.name)
            if end is relay_module.End.HUNG_UP:
                self.cancellations.add(token)

        spec = relay_module.StreamSpec(
            tokens.seal_stream(self._resume_key, caller.name, token),
            after,
            resume,
            on_end,
            started,
        )
        sock, owner = request.detach(_STREAM_HEADERS)
        self._relay.add(sock, owner, upstream, spec)

    # Resuming

    def resume(
        self,
        request: web.Request,
        caller: settings_module.Caller,
        event_id: str,
    ) -> web.Answer | None:
        """Resumes a stream after the last event that a caller received.

        Returns:
            An error answer, or None if the relay streams the rest.

        Raises:
            BadRequestError: The event id is not one of this caller's.
        """
        opened = tokens.open_event_id(self._resume_key, caller.name, event_id)
        if opened is None:
            raise errors.BadRequestError(
                "Last-Event-ID is not one of this caller's",
                "send the last event id of the stream unchanged",
            )
        token, after = opened
        self.cancellations.drop(token.request_id)
        self._notify_first_entry(token)
        address = self._view.address(token.endpoint)
        if address is None:
            return self._answer_gone()
        try:
            upstream = self._dialect.resume(
                address, token.request_id, after, _RESUME_TIMEOUT_SECONDS
            )
        except errors.EndpointError:
            return answers.answer_unknown(
                "the engine does not answer; resume again or send a new request"
            )
        if not upstream.is_stream:
            upstream.close()
            return self._answer_gone()
        self._metrics.count("resumed_by_caller")
        self._in_flight.begin(caller.name)
        self._view.begin(token.endpoint, view_module.Prompt(1))
        self._relay_stream(request, caller, token, upstream, after, clock.now())
        return None

    def _answer_gone(self) -> web.Answer:
        return answers.answer_unknown(
            "the stream is no longer available; send a new request"
        )

    def _notify_first_entry(self, token: tokens.StreamToken) -> None:
        if token.entry == self._node.identity.name:
            return
        member = self._node.find(token.entry)
        if member is None:
            return
        try:
            self._node.call(
                member,
                messages_module.Resumed(token.request_id),
                messages_module.Noted,
                _NOTIFY_TIMEOUT_SECONDS,
            )
        except errors.WayslipError:
            # An entry that has stopped does not cancel the stream.
            return


def _refuse_streams() -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.OVERLOADED,
        "this entry has reached its limit of streams; connect to another entry",
        1.0,
    )


def read_deadline(request: web.Request, longest: float) -> float:
    """Returns the seconds until the caller's deadline.

    Raises:
        BadRequestError: The header is not a positive number.
    """
    text = request.header("Wayslip-Deadline")
    if not text:
        return longest
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not seconds > 0:
        raise errors.BadRequestError(
            "Wayslip-Deadline is not a positive number",
            "send seconds, such as 2.5",
        )
    return min(seconds, longest)
