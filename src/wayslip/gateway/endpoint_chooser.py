"""Which endpoint a request goes to, and when it has to wait or be refused."""

import asyncio
from collections.abc import Callable
import logging
import random

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.decisions import wait_policies
from wayslip.gateway import backoff
from wayslip.gateway import jobs
from wayslip.gateway import options as options_module
from wayslip.gateway import permit_broker as permit_broker_module
from wayslip.gateway import placement as placement_module
from wayslip.gateway import view as view_module

_LOG = logging.getLogger(__name__)
# Told where no endpoint of a plain service is known, seconds.
_UNKNOWN_RETRY_AFTER = 1.0
# The same for a model that nobody loads yet: the planner begins within a
# moment, and a load takes two seconds from an engine's disk and nine from the
# weight store, so that who comes back after one second is refused again.
_LOAD_RETRY_AFTER = 2.5
# Share of the time that a client has left after which it comes back at the
# latest, whatever it is told; from the operators' pages.
_RETURN_MOST = 1 / 3
# A request is refused if it would wait for more than this share of the time
# that is left, or for more than this many times its latency target. A queue
# that is longer makes everybody late; refused at once, most can be answered
# in time when they come back. Waits are overestimated: of those predicted at
# 1.0 to 1.25 targets a fifth was late, at 2.5 targets half.
_WAIT_SHARE = 0.9
_TARGET_SHARE = 2.0
# One that is refused so should find about half a target's queue, targets.
_RETURN_SHARE = 0.5


class EndpointChooser:
    """Finds endpoints for requests. Used on the event loop only."""

    def __init__(
        self,
        options: options_module.Options,
        view: view_module.EndpointView,
        placement: placement_module.Placement,
        permit_broker: permit_broker_module.PermitBroker,
        endings: jobs.Endings,
        metrics: metrics_module.Metrics,
        has_idle: Callable[[str], bool],
    ) -> None:
        """Initializes without any request.

        Args:
            options: Of this instance.
            view: Of the endpoints.
            placement: Has models loaded.
            permit_broker: At endpoints that name a limit.
            endings: End requests.
            metrics: Where the age of what is known is counted.
            has_idle: Whether a connection to an endpoint is idle.
        """
        self._view = view
        self._placement = placement
        self._permit_broker = permit_broker
        self._endings = endings
        self._metrics = metrics
        self._has_idle = has_idle
        self._endpoint_backoff = backoff.EndpointBackoff(
            view, lambda: placement.instances
        )
        self._rng = random.Random()
        self._patience = wait_policies.WAIT_POLICIES.get(options.max_wait)

    async def find(self, job: jobs.Job) -> selection.Choice | None:
        """Returns an endpoint that the request may be sent to now.

        Returns:
            None if there is none; the request is answered then.
        """
        while True:
            choice = await self._find(job)
            if choice is None or await self._take_place(job, choice):
                return choice

    def find_return(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should come back.

        Returns:
            None if nothing says when; see `resting`.
        """
        return self._endpoint_backoff.find_return(job)

    async def _find(self, job: jobs.Job) -> selection.Choice | None:
        """Returns an endpoint; answers the request if there is none."""
        choice = self._choose(job)
        if choice is None and await self._endpoint_backoff.wait(job):
            choice = self._choose(job)
        if choice is None and self._may_be_loaded(job):
            choice = await self._wait_for_model(job)
        if choice is None:
            self._refuse_missing(job)
            return None
        left = job.deadline - clock.now()
        target = job.route.target
        limit = min(left * _WAIT_SHARE, target * _TARGET_SHARE)
        if choice.wait > limit and not job.progress.may_have_run:
            drained = choice.wait - target * _RETURN_SHARE
            self._endings.refuse_job(job, "too_long_a_wait", drained)
            return None
        return choice

    async def _take_place(
        self, job: jobs.Job, choice: selection.Choice
    ) -> bool:
        """Takes a place in an endpoint's limit, if it names one.

        Returns:
            Whether the request may be sent there now; else another endpoint
            is to be chosen.
        """
        endpoint = self._view.tracked[choice.name].endpoint
        max_wait = self._endpoint_backoff.find_max_wait(job)
        verdict = await self._permit_broker.take(
            endpoint, max_wait, job.traits.request_id
        )
        if not verdict.is_granted:
            self._view.notices.note_spent(endpoint, verdict.wait)
            return False
        if verdict.wait:
            await asyncio.sleep(verdict.wait)
        tracked = self._view.tracked.get(choice.name)
        return tracked is not None and not tracked.endpoint.is_leaving

    def _choose(self, job: jobs.Job) -> selection.Choice | None:
        pool = job.service.pool
        candidates = self._view.candidates(
            job.service.name,
            job.traits,
            pool.kv_tokens if pool else 0,
            job.rank,
            job.tried,
            self._has_idle,
        )
        unseen = self._placement.estimate_unreported_work(
            job.service.name, job.traits.model
        )
        choice = selection.choose(candidates, self._rng.random(), unseen)
        self._metrics.latency("word_age").observe(self._placement.state_age)
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
                unseen=f"{unseen:.3f}",
                wait=f"{choice.wait:.3f}",
                occupancy=f"{choice.occupancy:.2f}",
            )
        return choice

    def _may_be_loaded(self, job: jobs.Job) -> bool:
        """Whether a load could help: no endpoint that rests has the model."""
        return bool(job.traits.model) and not self._endpoint_backoff.is_due(job)

    async def _wait_for_model(self, job: jobs.Job) -> selection.Choice | None:
        """Has a model or adapter loaded; waits while that is worth it."""
        while not job.progress.attempts:
            left = self._find_patience(job)
            if left <= 0:
                return None
            is_told = await self._placement.request_item(
                job.service.name, job.traits, left
            )
            choice = self._choose(job)
            if choice is not None or not is_told:
                return choice
        return None

    def _find_patience(self, job: jobs.Job) -> float:
        """Returns for how long a request should wait for its model."""
        now = clock.now()
        situation = wait_policies.Situation(
            waited=now - job.began,
            target=job.route.target,
            expected=self._placement.estimate_ready_seconds(
                job.service.name, job.traits
            ),
            lacks_adapter_only=self._lacks_adapter_only(job),
        )
        return self._patience(situation)

    def _lacks_adapter_only(self, job: jobs.Job) -> bool:
        """Whether an engine holds the model, but not the adapter."""
        traits = job.traits
        return bool(traits.adapter) and self._view.holds_anywhere(
            job.service.name, traits.model
        )

    def _refuse_missing(self, job: jobs.Job) -> None:
        if job.relayed or job.progress.may_have_run:
            self._endings.answer_verdict(job, retry.Verdict.UNKNOWN)
            return
        wait = self._placement.estimate_ready_seconds(
            job.service.name, job.traits
        )
        reason = "not_loaded" if job.traits.model else "no_endpoint"
        rest = self._endpoint_backoff.find_return(job)
        if rest is not None:
            reason = "endpoints_rest"
            wait = rest if wait is None else min(wait, rest)
        if wait is None:
            is_missing = bool(job.traits.model)
            wait = _LOAD_RETRY_AFTER if is_missing else _UNKNOWN_RETRY_AFTER
            if can_wait_for_load(job):
                wait = _find_load_time(job)
        self._endings.refuse_job(job, reason, wait)


def _find_load_time(job: jobs.Job) -> float:
    """Returns the seconds of a load from the weight store, 0 if unknown."""
    pool = job.service.pool
    model = pool.models.get(job.traits.model) if pool else None
    return model.load_s if model else 0.0


def can_wait_for_load(job: jobs.Job) -> bool:
    """Whether a load that begins now can still serve the request's client.

    It comes back after a part of the time that it has left at most, and waits
    then for as long as the request may wait for a model that is on its way.
    """
    left = job.deadline - job.began
    longest = left * _RETURN_MOST + job.route.target * wait_policies.SURE_SHARE
    return 0.0 < _find_load_time(job) <= longest
