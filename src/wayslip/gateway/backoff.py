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
_TARGET_SHARE = 0.5
_LEFT_SHARE = 0.9
# The return of those who are refused is spread over this, seconds: not all in
# the moment in which an endpoint has rested.
_RETURN_SPREAD = 0.5
# Returns to endpoints with limits are spread over this much at most, seconds:
# most clients have less time than that.
_RETURN_MOST = 10.0
# Models whose returns are kept apart; the oldest are forgotten.
_MODELS_MOST = 1000


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
        self._returns: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def is_due(self, job: jobs.Job) -> bool:
        """Whether endpoints hold what a request needs, and all rest."""
        return bool(self._find(job, job.tried))

    def _find(self, job: jobs.Job, besides: frozenset[str]) -> float | None:
        return self._view.find_backoff(job.service.name, job.traits, besides)

    async def wait(self, job: jobs.Job) -> bool:
        """Waits for the first one to have rested, if that is soon.

        Returns:
            Whether one may have, and should be looked for.
        """
        rest = self._find(job, job.tried)
        if rest is None or rest > self.find_max_wait(job):
            return False
        await asyncio.sleep(rest)
        return True

    def find_max_wait(self, job: jobs.Job) -> float:
        """Returns the seconds that a request can still wait to be sent."""
        now = clock.now()
        in_time = job.route.target * _TARGET_SHARE - (now - job.began)
        return max(min((job.deadline - now) * _LEFT_SHARE, in_time), 0.0)

    def find_return(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should come back.

        Returns:
            None if not all that could serve it rest.
        """
        # Those that turned it away now may take it then.
        rest = self._find(job, frozenset())
        if not rest:
            return None
        limit = self._view.find_limit(job.service.name, job.traits)
        if limit is None:
            return rest + random.uniform(0, _RETURN_SPREAD)
        return self._find_place(job, rest, limit)

    def _find_place(self, job: jobs.Job, rest: float, limit: float) -> float:
        """Returns the seconds until a place is free that nobody was told of.

        Every instance tells its clients of an even part of the places.
        """
        key = (job.service.name, job.traits.model)
        first = clock.now() + rest
        space = self._count_instances() / max(limit, permits.MIN_RATE)
        at = max(first, self._returns.pop(key, 0.0) + space)
        if at > first + _RETURN_MOST:
            at = first + random.uniform(0, _RETURN_MOST)
        self._returns[key] = at
        if len(self._returns) > _MODELS_MOST:
            self._returns.popitem(last=False)
        return at - clock.now()
