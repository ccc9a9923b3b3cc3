"""Requests while the endpoints that could serve them want none.

They asked for rest, or all places in the limit that they name are taken.
"""

import asyncio
import collections
from collections.abc import Callable
import random

from wayslip import clock
from wayslip.decisions import permits
from wayslip.gateway import jobs
from wayslip.gateway import view as view_module

# A rest is waited for if it is shorter than this many latency targets, so that
# the answer can still be in time, and than this share of the time left.
_MAX_WAIT_TARGETS = 0.5
_MAX_WAIT_SHARE = 0.9
# The return of those who are refused is spread over this, seconds: not all in
# the moment in which an endpoint has rested.
_RETURN_JITTER_SECONDS = 0.5
# Returns to endpoints with limits are spread over this much at most, seconds:
# most clients have less time than that.
_MAX_RETURN_SPREAD_SECONDS = 10.0
# Models whose returns are kept apart; the oldest are forgotten.
_MAX_MODELS = 1000


class EndpointBackoff:
    """How long requests have to wait for endpoints that want none now."""

    def __init__(
        self,
        view: view_module.EndpointView,
        count_instances: Callable[[], int],
    ) -> None:
        self._view = view
        self._count_instances = count_instances
        # When the last client was told to return, by service and model.
        self._last_returns: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def is_backing_off(self, job: jobs.Job) -> bool:
        """Whether endpoints hold what a request needs, and all rest."""
        return bool(self._find_backoff(job, job.tried))

    def _find_backoff(
        self, job: jobs.Job, excluded: frozenset[str]
    ) -> float | None:
        return self._view.find_backoff(job.service.name, job.traits, excluded)

    async def wait(self, job: jobs.Job) -> bool:
        """Waits for the first one to have rested, if that is soon.

        Returns:
            Whether one may have, and should be looked for.
        """
        backoff_seconds = self._find_backoff(job, job.tried)
        if backoff_seconds is None or backoff_seconds > self.find_max_wait(job):
            return False
        await asyncio.sleep(backoff_seconds)
        return True

    def find_max_wait(self, job: jobs.Job) -> float:
        """Returns the seconds that a request can still wait to be sent."""
        now = clock.now()
        in_time = job.route.target * _MAX_WAIT_TARGETS - (now - job.began)
        return max(min((job.deadline - now) * _MAX_WAIT_SHARE, in_time), 0.0)

    def find_retry_after(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should come back.

        Returns:
            None if not all that could serve it rest.
        """
        # Those that turned it away now may take it then.
        backoff_seconds = self._find_backoff(job, frozenset())
        if not backoff_seconds:
            return None
        limit = self._view.find_limit(job.service.name, job.traits)
        if limit is None:
            return backoff_seconds + random.uniform(0, _RETURN_JITTER_SECONDS)
        return self._find_permit_time(job, backoff_seconds, limit)

    def _find_permit_time(
        self, job: jobs.Job, backoff_seconds: float, limit: float
    ) -> float:
        """Returns the seconds until a place is free that nobody was told of.

        Every instance tells its clients of an even part of the places.
        """
        key = (job.service.name, job.traits.model)
        first = clock.now() + backoff_seconds
        interval = self._count_instances() / max(limit, permits.LEAST_RATE)
        at = max(first, self._last_returns.pop(key, 0.0) + interval)
        if at > first + _MAX_RETURN_SPREAD_SECONDS:
            at = first + random.uniform(0, _MAX_RETURN_SPREAD_SECONDS)
        self._last_returns[key] = at
        if len(self._last_returns) > _MAX_MODELS:
            self._last_returns.popitem(last=False)
        return at - clock.now()
