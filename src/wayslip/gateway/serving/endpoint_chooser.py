"""Chooses the endpoint of a request, or decides to wait or refuse it."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import load_timing
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.decisions import slot_times as slot_times_module
from wayslip.decisions import wait_policies
from wayslip.decisions import waiting
from wayslip.gateway import options as options_module
from wayslip.gateway.serving import backoff
from wayslip.gateway.serving import drain as drain_module
from wayslip.gateway.serving import full_queues
from wayslip.gateway.serving import jobs
from wayslip.gateway.serving import profiles as profiles_module
from wayslip.gateway.serving import waiting_room
from wayslip.gateway.sharing import permit_broker as permit_broker_module
from wayslip.gateway.sharing import place_broker as place_broker_module
from wayslip.gateway.sharing import placement as placement_module
from wayslip.gateway.sharing import view as view_module

_LOG = logging.getLogger(__name__)
# Retry-After if no endpoint of a plain service is known.
_UNKNOWN_RETRY_AFTER_SECONDS = 1.0
# Retry-After if no endpoint of a stream's software version is left. One may
# have been silent for a moment.
_NO_VERSION_RETRY_AFTER_SECONDS = 1.0
# How long an endpoint that had no free place is expected to have none.
_CROWDED_SECONDS = 0.1
# Range of Retry-After while this instance reaches no endpoint. Clients return
# to any instance, so that it only has to spread them.
_CUT_OFF_RETRY_SECONDS = (0.1, 0.3)
# Clients retry after at most this share of the time that they have left,
# whatever Retry-After says (from the operators' documentation).
_MAX_RETRY_AFTER_SHARE = 1 / 3


class EndpointChooser:
    """Chooses endpoints for requests. Used on the event loop only."""

    def __init__(
        self,
        options: options_module.Options,
        view: view_module.EndpointView,
        placement: placement_module.Placement,
        permit_broker: permit_broker_module.PermitBroker,
        place_broker: place_broker_module.PlaceBroker,
        responder: jobs.Responder,
        metrics: metrics_module.Metrics,
        has_idle: Callable[[str], bool],
        profiles: profiles_module.Profiles,
        slot_times: slot_times_module.SlotTimes,
        may_queue: Callable[[jobs.Job, selection.Choice], bool],
        is_cut_off: Callable[[], bool],
        drain: drain_module.Drain,
    ) -> None:
        """Initializes the chooser.

        Args:
            options: Options of this instance.
            view: What this instance knows of the endpoints.
            placement: Requests loads of models.
            permit_broker: Grants permits at endpoints with a rate limit.
            place_broker: Grants places at brittle endpoints.
            responder: Answers requests and logs outcomes.
            metrics: Records the age of the known load.
            has_idle: Returns whether an endpoint has an idle connection.
            profiles: Profiles of services.
            slot_times: How long requests take a slot.
            may_queue: Whether a request may be sent to an endpoint or wait for
                it; if not, it has been answered. Asked once, before any wait.
            is_cut_off: Whether this instance reaches no endpoint.
            drain: Until when this instance can answer requests.
        """
        self._drain = drain
        self._is_cut_off = is_cut_off
        self._may_queue = may_queue
        self._profiles = profiles
        self._slot_times = slot_times
        self._waiting_room = waiting_room.WaitingRoom(metrics)
        self._full_queues = full_queues.FullQueues(view)
        self._view = view
        self._placement = placement
        self._permit_broker = permit_broker
        self._place_broker = place_broker
        self._responder = responder
        self._metrics = metrics
        self._has_idle = has_idle
        self._endpoint_backoff = backoff.EndpointBackoff(
            view, lambda: placement.instances, drain
        )
        self._rng = random.Random()
        self._wait_policy = wait_policies.WAIT_POLICIES.get(options.max_wait)

    async def find(self, job: jobs.Job) -> selection.Choice | None:
        """Returns an endpoint that a request may be sent to now.

        Returns:
            None if there is none; the request has been answered then.
        """
        while True:
            choice = await self._find(job)
            if choice is None or await self._take_permit(job, choice):
                return choice

    def find_retry_after(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should retry.

        Returns:
            None if that is not known; see `backoff`.
        """
        seconds = self._endpoint_backoff.find_retry_after(job)
        if seconds is None and self._profiles.may_hold(job.service.name):
            seconds = self._find_queue_time(job)
        return seconds

    def _find_queue_time(self, job: jobs.Job) -> float | None:
        """Returns the seconds until half of the shortest queue is served."""
        choice = self._pick(job, frozenset())
        if choice is None:
            return None
        queued = max(choice.in_flight - choice.slots, choice.slots)
        slot_seconds = self._slot_times.estimate(job.service.name)
        return queued * slot_seconds / max(choice.slots, 1) / 2

    def note_full(self, job: jobs.Job, endpoint: str) -> None:
        """Records that an endpoint refused a request for lack of room."""
        if not self._profiles.may_hold(job.service.name):
            return
        slot_seconds = self._slot_times.estimate(job.service.name)
        # Otherwise the same endpoint would be chosen again at once.
        job.met_full_queue = self._full_queues.note(
            endpoint, slot_seconds, job.route.target
        )

    def notify(self) -> None:
        """Reviews waiting requests, because room may have been made."""
        self._waiting_room.notify()

    async def _find(self, job: jobs.Job) -> selection.Choice | None:
        """Returns an endpoint when the request may start there.

        Returns:
            None if there is none; the request has been answered then.
        """
        choice = await self._find_loaded(job)
        if choice is not None and not self._may_queue(job, choice):
            return None
        while choice is not None:
            has_place = self._waiting_room.has_place(job)
            decision = self._decide(job, choice, has_place)
            if decision.verdict is waiting.Verdict.START:
                job.is_late = decision.is_late
                return choice
            if decision.verdict is waiting.Verdict.REFUSE:
                seconds = decision.seconds
                if self._full_queues.find_seconds(choice.name):
                    seconds = max(seconds, self._find_queue_time(job) or 0.0)
                self._responder.refuse_job(job, "too_long_a_wait", seconds)
                return None
            choice = await self._hold(job, choice, decision)
            if choice is None:
                choice = await self._find_loaded(job)
        self._refuse_unavailable(job)
        return None

    async def _find_loaded(self, job: jobs.Job) -> selection.Choice | None:
        """Returns an endpoint that can serve, also if it has to wait for it."""
        choice = self._choose(job)
        if choice is None and await self._endpoint_backoff.wait(job):
            choice = self._choose(job)
        if choice is None and self._may_be_loaded(job):
            choice = await self._wait_for_model(job)
        return choice

    # Admission

    def _review(self, job: jobs.Job) -> waiting_room.Review:
        """Examines whether a waiting request can leave the queue."""
        choice = self._pick(job)
        if choice is None:
            return waiting_room.Review(waiting.FIRST, True)
        decision = self._decide(job, choice, True)
        key = waiting.order(decision, job.rank)
        if decision.verdict is waiting.Verdict.START:
            return waiting_room.Review(key, True, choice)
        return waiting_room.Review(
            key, decision.verdict is waiting.Verdict.REFUSE
        )

    def _decide(
        self, job: jobs.Job, choice: selection.Choice, may_hold: bool
    ) -> waiting.Decision:
        now = clock.now()
        holds = self._profiles.may_hold(job.service.name)
        situation = waiting.Situation(
            waited=now - job.began,
            left=self._drain.find_due(job) - now,
            target=job.route.target,
            room=waiting.Room(
                choice.wait,
                choice.in_flight,
                choice.slots,
                self._slot_times.estimate(job.service.name),
                self._placement.state_age,
                self._full_queues.find_seconds(choice.name),
            ),
            may_hold=may_hold,
            may_refuse=not job.progress.may_have_run,
        )
        rule = waiting.ADMISSION_RULES.get("hold" if holds else "immediate")
        return rule(situation)

    async def _hold(
        self,
        job: jobs.Job,
        choice: selection.Choice,
        decision: waiting.Decision,
    ) -> selection.Choice | None:
        """Waits for room; returns the endpoint that is best afterwards."""
        began = clock.now()
        found: selection.Choice | None = None
        try:
            found = await self._waiting_room.wait(
                job, lambda: self._review(job), decision.seconds
            )
        finally:
            logs.event(
                _LOG,
                "held",
                request=job.traits.request_id,
                route=job.route.name,
                rank=job.rank,
                seconds=f"{clock.now() - began:.3f}",
                allowed=f"{decision.seconds:.3f}",
                late=decision.is_late,
                occupancy=f"{choice.occupancy:.2f}",
                state_age=f"{self._placement.state_age:.3f}",
                queue=len(self._waiting_room),
                endpoint=found.name if found else "",
            )
        if found is None or found.name not in self._view.tracked:
            found = self._choose(job)
        return found

    async def _take_permit(
        self, job: jobs.Job, choice: selection.Choice
    ) -> bool:
        """Takes a permit at an endpoint that names a rate limit.

        Returns:
            Whether the request may be sent there now. If not, the caller
            chooses again.
        """
        endpoint = self._view.tracked[choice.name].endpoint
        max_wait = self._endpoint_backoff.find_max_wait(job)
        verdict = await self._permit_broker.take(
            endpoint, max_wait, job.traits.request_id
        )
        if not verdict.is_granted:
            self._view.notices.note_exhausted(endpoint, verdict.wait)
            return False
        if verdict.wait:
            await asyncio.sleep(verdict.wait)
        if not await self._take_place(job, endpoint):
            return False
        tracked = self._view.tracked.get(choice.name)
        return tracked is not None and not tracked.endpoint.is_leaving

    async def _take_place(
        self, job: jobs.Job, endpoint: fleet.Endpoint
    ) -> bool:
        """Takes a place at a brittle endpoint; returns whether there was one.

        The request asks for a place that is free now first, at each endpoint
        that can serve it. Once all of them are crowded it waits at one.

        A place at another endpoint, which was not used, is given back.
        """
        self.give_back_place(job)
        if self._view.notices.find_brittle(endpoint) is None:
            return True
        max_wait = self._endpoint_backoff.find_max_wait(job)
        is_crowded = self._view.notices.is_crowded(endpoint)
        admission = await self._place_broker.take(
            endpoint,
            job.traits.request_id,
            not job.room_wait,
            max_wait,
            may_queue=is_crowded,
        )
        if admission.is_granted:
            job.place = admission.place
            return True
        job.room_wait = admission.wait
        pause = min(admission.wait, _CROWDED_SECONDS)
        if max_wait > 0 and not is_crowded:
            # Another endpoint may have a place now; else it waits for one.
            self._view.notices.note_crowded(endpoint, pause)
        else:
            self._view.notices.note_exhausted(endpoint, pause)
        return False

    def give_back_place(self, job: jobs.Job) -> None:
        """Gives the place of a request back, if it holds one."""
        place, job.place = job.place, None
        if place is not None:
            self._place_broker.give_back(place, job.lacked_room)

    def _choose(self, job: jobs.Job) -> selection.Choice | None:
        """Returns the endpoint that is best for a request, with a log line."""
        choice = self._pick(job)
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
                version=self._view.tracked[choice.name].endpoint.version,
                candidates=choice.candidates,
                unseen=f"{choice.unseen:.3f}",
                wait=f"{choice.wait:.3f}",
                occupancy=f"{choice.occupancy:.2f}",
            )
        return choice

    def _pick(
        self, job: jobs.Job, excluded: frozenset[str] | None = None
    ) -> selection.Choice | None:
        """Returns the endpoint that is best for a request.

        Args:
            job: The request.
            excluded: Endpoints not to choose, by default those tried.
        """
        pool = job.service.pool
        candidates = self._view.candidates(
            job.service.name,
            job.traits,
            pool.kv_tokens if pool else 0,
            job.rank,
            job.tried if excluded is None else excluded,
            self._has_idle,
        )
        others = [c for c in candidates if c.name not in job.refused_by]
        candidates = others or candidates
        if self._profiles.may_hold(job.service.name):
            # Where speeds are known, each endpoint's queue cost is more exact.
            slot_seconds = (
                0.0
                if self._view.speeds.is_active(job.service.name)
                else self._slot_times.estimate(job.service.name)
            )
            candidates = [
                dataclasses.replace(c, slot_seconds=slot_seconds)
                for c in self._prefer_open(candidates)
            ]
        unseen = self._placement.estimate_unreported_work(
            job.service.name, job.traits.model
        )
        return selection.choose(candidates, self._rng.random(), unseen)

    def _prefer_open(
        self, candidates: list[selection.Candidate]
    ) -> list[selection.Candidate]:
        """Returns the candidates that are not full, or the first to be open."""
        full = {
            c.name: self._full_queues.find_seconds(c.name) for c in candidates
        }
        least = min(full.values(), default=0.0)
        return [c for c in candidates if full[c.name] <= least]

    def _may_be_loaded(self, job: jobs.Job) -> bool:
        """Whether a load could help: no endpoint with the model backs off."""
        if not job.traits.model or self._endpoint_backoff.is_backing_off(job):
            return False
        return self._view.has_version(job.service.name, job.traits)

    async def _wait_for_model(self, job: jobs.Job) -> selection.Choice | None:
        """Requests a load and waits for it as long as the policy allows."""
        while not job.progress.attempts:
            left = self._find_max_load_wait(job)
            if left <= 0:
                return None
            is_changed = await self._placement.request_item(
                job.service.name, job.traits, left
            )
            choice = self._choose(job)
            if choice is not None or not is_changed:
                return choice
        return None

    def _find_max_load_wait(self, job: jobs.Job) -> float:
        """Returns the seconds that a request may still wait for its model."""
        now = clock.now()
        expected = self._estimate_ready_seconds(job)
        wait_left = self._drain.find_wait_left(job)
        if expected is not None and expected > wait_left:
            return 0.0
        situation = wait_policies.Situation(
            waited=now - job.began,
            target=job.route.target,
            expected=expected,
            lacks_adapter_only=self._lacks_adapter_only(job),
            timing=job.timing,
        )
        return min(self._wait_policy(situation), wait_left)

    def _estimate_ready_seconds(self, job: jobs.Job) -> float | None:
        """Returns the seconds until a request's model can serve.

        Returns:
            None if no load of it is known, or only an overdue one.
        """
        expected = self._placement.estimate_ready_seconds(
            job.service.name, job.traits
        )
        if expected is None or self._lacks_adapter_only(job):
            return expected
        return load_timing.estimate_remaining(expected, _find_load_time(job))

    def _lacks_adapter_only(self, job: jobs.Job) -> bool:
        """Whether an engine holds the model and only the adapter is missing."""
        traits = job.traits
        return bool(traits.adapter) and self._view.holds_anywhere(
            job.service.name, traits.model
        )

    def refuse_stopping(self, job: jobs.Job) -> None:
        """Refuses a request that was not run, since the instance is stopping.

        Another instance can take it at once, unless no endpoint can serve it.
        """
        wait = self._endpoint_backoff.find_retry_after(job)
        if wait is None and self._pick(job, frozenset()) is None:
            wait = self._estimate_ready_seconds(job)
        self._responder.refuse_job(job, "stopping", wait or 0.0)

    def _refuse_unavailable(self, job: jobs.Job) -> None:
        if job.relayed or job.progress.may_have_run:
            self._responder.answer_verdict(job, retry.Verdict.UNKNOWN)
            return
        if job.unreachable_count and self._is_cut_off():
            # Another instance can serve the client at once.
            self._responder.refuse_job(
                job, "not_reached", self._rng.uniform(*_CUT_OFF_RETRY_SECONDS)
            )
            return
        if not self._view.has_version(job.service.name, job.traits):
            self._responder.refuse_job(
                job, "no_version", _NO_VERSION_RETRY_AFTER_SECONDS
            )
            return
        wait = self._estimate_ready_seconds(job)
        reason = "not_loaded" if job.traits.model else "no_endpoint"
        if job.unreachable_count:
            reason = "not_reached"
        backoff_seconds = self._endpoint_backoff.find_retry_after(job)
        if backoff_seconds is not None:
            reason = "endpoints_rest"
            backoff_seconds = max(backoff_seconds, job.room_wait)
            wait = (
                backoff_seconds if wait is None else min(wait, backoff_seconds)
            )
        if wait is None:
            is_missing = bool(job.traits.model)
            wait = (
                job.timing.come_back
                if is_missing
                else _UNKNOWN_RETRY_AFTER_SECONDS
            )
            if job.timing.is_prompt and is_missing:
                wait = job.timing.find_return(
                    _find_load_time(job), job.route.target
                )
            elif can_wait_for_load(job):
                wait = _find_load_time(job)
        self._responder.refuse_job(job, reason, wait)


def _find_load_time(job: jobs.Job) -> float:
    """Returns the load time from the weight store in seconds, 0 if unknown."""
    pool = job.service.pool
    model = pool.models.get(job.traits.model) if pool else None
    return model.load_s if model else 0.0


def can_wait_for_load(job: jobs.Job) -> bool:
    """Whether a load that begins now finishes in time for a retry.

    The client retries after at most a share of the time that it has left, and
    the retry then waits as long as the policy allows for a pending load.
    """
    left = job.deadline - job.began
    max_wait = (
        left * _MAX_RETRY_AFTER_SHARE
        + job.route.target * job.timing.expected_wait_share
    )
    return 0.0 < _find_load_time(job) <= max_wait
