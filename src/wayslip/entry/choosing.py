"""Chooses the engine for a completion, or refuses the completion."""

from collections.abc import Mapping
import dataclasses
import random
import time
from typing import Any

from wayslip import clock
from wayslip import refusals
from wayslip import settings as settings_module
from wayslip.decisions import admission
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import membership
from wayslip.decisions import routing
from wayslip.entry import callers as callers_module
from wayslip.entry import view as view_module
from wayslip.peers import node as node_module

_COLD_RETRY_SECONDS = 2.0
# Polls to wait for once an engine lacks an item that its last report showed.
# The next report may have been requested before the item was evicted, so the
# report after it is needed as well.
_MAX_AWAITED_REPORTS = 2
# Allowance for reports that are delayed on a busy machine.
_REPORT_SLACK_SECONDS = 0.5
_RECHECK_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class Job:
    """A checked completion request.

    Attributes:
        body: The body for the engine, before the model's name and the
            priority are replaced.
        text: The prompt.
        started: When the request came in, monotonic seconds.
        deadline: Monotonic seconds.
        may_repeat: Whether it may be retried after an attempt that may have
            run.
    """

    caller: settings_module.Caller
    path: str
    body: Mapping[str, Any]
    target: catalogs.Target
    text: str
    is_stream: bool
    started: float
    deadline: float
    may_repeat: bool = True


@dataclasses.dataclass(frozen=True)
class Chosen:
    """A chosen engine, the model's name there and the prompt for routing."""

    choice: routing.Choice
    engine_model: str
    prompt: view_module.Prompt


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """The engine of a failed attempt, and the model's name sent to it."""

    endpoint: str
    engine_model: str


class Chooser:
    """Chooses engines by this entry's view of them. Safe for many threads."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        view: view_module.EndpointView,
        in_flight: callers_module.InFlight,
    ) -> None:
        self._settings = settings
        self._node = node
        self._view = view
        self._in_flight = in_flight
        self._choose = routing.POLICIES.get(settings.routing.policy)
        self._admit = admission.POLICIES.get(settings.admission.policy)
        self._rng = random.Random()

    def choose(
        self, job: Job, tried: frozenset[FailedAttempt]
    ) -> Chosen | refusals.Refusal:
        """Returns the engine for a job's next attempt.

        If no engine is known to hold the model and reports that may show one
        are due, this waits for them before it refuses the job.

        Args:
            job: The request.
            tried: Its failed attempts so far. An engine that lacks a model's
                old version may hold the new one, so it is excluded only for
                the model name that was tried there.

        Returns:
            The choice, or why the job is refused.
        """
        polls = _MAX_AWAITED_REPORTS * self._settings.routing.poll_seconds
        limit = clock.now() + polls + _REPORT_SLACK_SECONDS
        found = self._choose_now(job, tried)
        while isinstance(found, refusals.Refusal):
            is_over = clock.now() >= min(limit, job.deadline)
            is_missing = found.reason is refusals.Reason.NOT_LOADED
            if is_over or not is_missing or not self._is_report_due(job, tried):
                break
            time.sleep(_RECHECK_SECONDS)
            found = self._choose_now(job, tried)
        return found

    def _is_report_due(self, job: Job, tried: frozenset[FailedAttempt]) -> bool:
        """Whether new reports may show an engine that holds a job's model.

        An engine that lacks a model's old version may hold the new one, since
        the old version is evicted once the new one is resident. And when the
        only known holder leaves, another engine may have loaded the model since
        its last report. Without the wait, such requests would be refused though
        an engine can serve them.
        """
        return any(
            self._view.lacks(t.endpoint, t.engine_model) for t in tried
        ) or self._view.is_report_due(job.target.engines)

    def _choose_now(
        self, job: Job, tried: frozenset[FailedAttempt]
    ) -> Chosen | refusals.Refusal:
        items, engine_model = view_module.resolve_items(self._view, job.target)
        blocks = routing.hash_blocks(engine_model, job.text)
        rank = self._settings.admission.classes[job.caller.priority].rank
        prompt = view_module.Prompt(
            routing.count_tokens(job.text), blocks, rank
        )
        excluded = frozenset(
            t.endpoint for t in tried if t.engine_model == engine_model
        )
        found = self._view.candidates(
            job.target.engines, items, prompt, excluded
        )
        if not found:
            return refusals.Refusal(
                refusals.Reason.NOT_LOADED,
                f"{job.target.name} is not ready on any endpoint now;"
                " it is being loaded, retry after Retry-After",
                _COLD_RETRY_SECONDS,
            )
        limits = self._settings.admission
        share = limits.classes[job.caller.priority].share
        room = [
            c for c in found if c.in_flight < limits.endpoint_in_flight * share
        ]
        sample = routing.sample_candidates(room or found, self._rng)
        choice = self._choose(sample, prompt.tokens, self._rng)
        refusal = self._check_load(job, choice)
        if refusal is not None and not tried:
            return refusal
        return Chosen(choice, engine_model, prompt)

    def _check_load(
        self, job: Job, choice: routing.Choice
    ) -> refusals.Refusal | None:
        entries = self._node.live_names(membership.Role.ENTRY)
        load = admission.Load(
            # This request itself is already counted.
            total=self._in_flight.total - 1,
            caller=self._in_flight.of(job.caller.name) - 1,
            endpoint=self._view.in_flight(choice.name),
            entries=len(entries),
            predicted=choice.predicted,
            seconds_left=job.deadline - clock.now(),
            occupancy=choice.occupancy,
        )
        return self._admit(load, job.caller, self._settings.admission)
