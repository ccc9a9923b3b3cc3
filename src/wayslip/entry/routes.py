"""The callers' HTTP paths: authentication and dispatch of requests."""

import json
import re
from typing import Any

from wayslip import clock
from wayslip import errors
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip import web
from wayslip.entry import answers
from wayslip.entry import callers as callers_module
from wayslip.entry import choosing
from wayslip.entry import completions as completions_module
from wayslip.entry import keyed as keyed_module
from wayslip.entry import services as services_module
from wayslip.peers import messages
from wayslip.peers import node as node_module

_COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
_SERVICES = "/v1/services/"
_KEY = re.compile(r"[\x21-\x7e]{1,400}")
_MAX_ISSUED = 1_000


class Routes:
    """The application on the callers' port."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        completions: completions_module.Completions,
        services: services_module.Services,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._node = node
        self._completions = completions
        self._services = services
        self._metrics = metrics
        self._callers = callers_module.Callers(settings.callers)
        self._by_name = {c.name: c for c in settings.callers}
        self.keyed: keyed_module.Keyed | None = None
        self.is_draining = False

    def answer(self, request: web.Request) -> web.Answer | None:
        """Answers a request; returns None if the relay streams the answer."""
        started = clock.now()
        answer = self._answer(request)
        if answer is not None:
            outcome = answer.headers.get(web.OUTCOME, "")
            self._metrics.count("answers", outcome=outcome)
            self._metrics.latency("answer").observe(clock.now() - started)
        return answer

    def _answer(self, request: web.Request) -> web.Answer | None:
        caller = self._callers.find(request.header("Authorization"))
        if caller is None:
            return answers.answer_refusal(
                refusals.Refusal(
                    refusals.Reason.UNAUTHORIZED,
                    "no caller has this key; send 'Authorization: Bearer KEY'",
                )
            )
        if self.is_draining:
            return answers.answer_refusal(
                refusals.Refusal(
                    refusals.Reason.DRAINING,
                    "this instance is stopping; connect again",
                    1.0,
                ),
                web.UNKNOWN
                if request.header("Idempotency-Key")
                else web.NOT_RUN,
            )
        try:
            return self._dispatch(request, caller)
        except errors.BadRequestError as e:
            return answers.answer_refusal(
                refusals.Refusal(refusals.Reason.BAD_REQUEST, str(e))
            )

    def _dispatch(
        self, request: web.Request, caller: settings_module.Caller
    ) -> web.Answer | None:
        path = request.path
        if path in _COMPLETION_PATHS:
            event_id = request.header("Last-Event-ID")
            if event_id:
                return self._completions.resume(request, caller, event_id)
            if request.method == "POST":
                return self._complete(request, caller)
        if path.startswith(_SERVICES):
            return self._call_service(request, caller)
        match request.method, path:
            case "GET", "/v1/models":
                return self._list_models()
            case "POST", "/v1/keys":
                return self._issue_keys(request, caller)
        raise errors.BadRequestError(
            f"unknown path: {request.method} {path}", "see the README"
        )

    # Completions

    def _complete(
        self, request: web.Request, caller: settings_module.Caller
    ) -> web.Answer | None:
        key = read_key(request)
        job = self._completions.check(request, caller)
        if isinstance(job, refusals.Refusal):
            return answers.answer_refusal(job)
        if not key:
            return self._completions.serve(request, job)
        if job.is_stream:
            raise errors.BadRequestError(
                "Idempotency-Key cannot be combined with stream",
                "send it without stream, or resume streams by Last-Event-ID",
            )
        body = web.answer_json(200, dict(job.body)).body
        forward = messages.Forward(
            caller.name,
            key,
            "",
            "POST",
            job.path,
            "application/json",
            body,
            job.deadline - clock.now(),
        )
        return self._serve_keyed(forward)

    def _list_models(self) -> web.Answer:
        catalog = self._node.holder.catalog
        rows = [
            {"id": name, "object": "model", "owned_by": "wayslip"}
            for name in sorted(catalog.targets)
        ]
        answer = web.answer_json(200, {"object": "list", "data": rows})
        headers = {web.OUTCOME: web.RAN}
        return web.Answer(200, answer.body, headers=headers)

    # Services

    def _call_service(
        self, request: web.Request, caller: settings_module.Caller
    ) -> web.Answer:
        name, _, path = request.raw_path[len(_SERVICES) :].partition("/")
        service = self._services.find(name)
        if isinstance(service, refusals.Refusal):
            return answers.answer_refusal(service)
        key = read_key(request)
        rules = self._settings.admission.classes[caller.priority]
        seconds = completions_module.read_deadline(request, rules.deadline)
        body = request.read()
        kind = request.header("Content-Type", "application/octet-stream")
        may_repeat = request.method in service.repeatable
        if key and not may_repeat:
            return self._serve_keyed(
                messages.Forward(
                    caller.name,
                    key,
                    name,
                    request.method,
                    f"/{path}",
                    kind,
                    body,
                    seconds,
                )
            )
        if service.requires_key and not may_repeat:
            raise errors.BadRequestError(
                f"{request.method} to {name} needs an Idempotency-Key",
                "send a new key with each request",
            )
        job = services_module.Job(
            caller,
            service,
            request.method,
            f"/{path}",
            kind,
            body,
            clock.now() + seconds,
            may_repeat,
        )
        return self._services.run(job)

    # Keys

    def _serve_keyed(self, forward: messages.Forward) -> web.Answer:
        assert self.keyed is not None
        return services_module.from_forwarded(self.keyed.serve(forward))

    def _issue_keys(
        self, request: web.Request, caller: settings_module.Caller
    ) -> web.Answer:
        assert self.keyed is not None
        text = request.query.get("count", "1")
        if not text.isdecimal() or not 1 <= int(text) <= _MAX_ISSUED:
            raise errors.BadRequestError(
                "count is not a number from 1 to 1000", "send ?count=10"
            )
        keys = self.keyed.issue(caller.name, int(text))
        if isinstance(keys, refusals.Refusal):
            return answers.answer_refusal(keys)
        answer = web.answer_json(200, {"keys": keys})
        headers = {web.OUTCOME: web.RAN}
        return web.Answer(200, answer.body, headers=headers)

    def execute(self, forward: messages.Forward) -> messages.Forwarded:
        """Runs a keyed request whose record permits it.

        Raises:
            BadRequestError: The caller is unknown to this entry.
        """
        caller = self._by_name.get(forward.caller)
        if caller is None:
            raise errors.BadRequestError(
                f"caller {forward.caller} is not in this entry's settings",
                "use the same settings on all instances",
            )
        deadline = clock.now() + forward.seconds_left
        if not forward.service:
            return self._execute_completion(forward, caller, deadline)
        service = self._services.find(forward.service)
        if isinstance(service, refusals.Refusal):
            return services_module.to_forwarded(answers.answer_refusal(service))
        job = services_module.Job(
            caller,
            service,
            forward.method,
            forward.path,
            forward.content_type,
            forward.body,
            deadline,
            may_repeat=False,
        )
        return services_module.to_forwarded(self._services.run(job))

    def _execute_completion(
        self,
        forward: messages.Forward,
        caller: settings_module.Caller,
        deadline: float,
    ) -> messages.Forwarded:
        body: Any = json.loads(forward.body)
        target = self._node.holder.catalog.resolve(body["model"])
        if isinstance(target, refusals.Refusal):
            return services_module.to_forwarded(answers.answer_refusal(target))
        job = choosing.Job(
            caller,
            forward.path,
            body,
            target,
            completions_module.read_prompt(body),
            False,
            clock.now(),
            deadline,
            may_repeat=False,
        )
        return services_module.to_forwarded(self._completions.run_buffered(job))


def read_key(request: web.Request) -> str:
    """Returns the request's Idempotency-Key, an empty string for none.

    Raises:
        BadRequestError: The key is longer than 400 characters, or has
            characters other than visible ASCII.
    """
    key = request.header("Idempotency-Key")
    if key and not _KEY.fullmatch(key):
        raise errors.BadRequestError(
            "Idempotency-Key is not 1 to 400 visible ASCII characters",
            "send, for example, a UUID",
        )
    return key
