"""Requests while the endpoints that could serve them rest."""

import asyncio
import random

from wayslip import clock
from wayslip.gateway import jobs
from wayslip.gateway import view as view_module

# A rest is waited for if it is shorter than this many latency targets, so that
# the answer can still be in time, and than this share of the time left.
_TARGET_SHARE = 0.5
_LEFT_SHARE = 0.9
# The return of those who are refused is spread over this, seconds: not all in
# the moment in which an endpoint has rested.
_RETURN_SPREAD = 0.5


class Resting:
    """How long requests have to wait for endpoints that asked for rest."""

    def __init__(self, view: view_module.EndpointView) -> None:
        self._view = view

    def is_due(self, job: jobs.Job) -> bool:
        """Whether endpoints hold what a request needs, and all rest."""
        return bool(self._find(job, job.tried))

    def _find(self, job: jobs.Job, besides: frozenset[str]) -> float | None:
        return self._view.find_rest(job.service.name, job.traits, besides)

    async def wait(self, job: jobs.Job) -> bool:
        """Waits for the first one to have rested, if that is soon.

        Returns:
            Whether one may have, and should be looked for.
        """
        rest = self._find(job, job.tried)
        left = job.deadline - clock.now()
        limit = min(left * _LEFT_SHARE, job.route.target * _TARGET_SHARE)
        if rest is None or rest > limit:
            return False
        await asyncio.sleep(rest)
        return True

    def find_return(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should come back.

        Returns:
            None if not all that could serve it rest.
        """
        # Those that turned it away now may take it then.
        rest = self._find(job, frozenset())
        return rest + random.uniform(0, _RETURN_SPREAD) if rest else None
