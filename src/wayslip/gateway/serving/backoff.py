"""Waiting and retry times while all suitable endpoints back off.

An endpoint backs off if it asked for no requests for some time, or if all
permits under the rate limit that it names are taken.
"""

import asyncio
import collections
from collections.abc import Callable
import random

from wayslip import clock
from wayslip.decisions import permits
from wayslip.gateway.serving import drain as drain_module
from wayslip.gateway.serving import jobs
from wayslip.gateway.sharing import view as view_module

# A request waits for a back-off that is shorter than this many latency targets,
# so that the answer can still be in time, and than this share of the time left.
_MAX_WAIT_TARGETS = 0.5
_MAX_WAIT_SHARE = 0.9
# Retries are spread over this time, so that not all refused requests arrive at
# the moment when the back-off ends.
_RETURN_JITTER_SECONDS = 0.5
# Retries at endpoints with rate limits are spread over at most this time. Most
# clients have a shorter deadline.
_MAX_RETURN_SPREAD_SECONDS = 10.0
# Models whose retries are tracked; the oldest entries are dropped.
_MAX_MODELS = 1000


class EndpointBackoff:
    """How long requests wait for endpoints that are backing off."""

    def __init__(
        self,
        view: view_module.EndpointView,
        count_instances: Callable[[], int],
        drain: drain_module.Drain,
    ) -> None:
        self._view = view
        self._drain = drain
        self._count_instances = count_instances
        # The latest retry time given to a client, by service and model.
        self._last_returns: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def is_backing_off(self, job: jobs.Job) -> bool:
        """Whether all endpoints that can serve a request are backing off."""
        return bool(self._find_backoff(job, job.tried))

    def _find_backoff(
        self, job: jobs.Job, excluded: frozenset[str]
    ) -> float | None:
        return self._view.find_backoff(job.service.name, job.traits, excluded)

    async def wait(self, job: jobs.Job) -> bool:
        """Waits until the first back-off ends, if that is soon enough.

        Returns:
            Whether it waited, so that the caller should choose again.
        """
        backoff_seconds = self._find_backoff(job, job.tried)
        if backoff_seconds is None or backoff_seconds > self.find_max_wait(job):
            return False
        await asyncio.sleep(backoff_seconds)
        return True

    def find_max_wait(self, job: jobs.Job) -> float:
        """Returns the seconds that a request can wait before it is sent."""
        now = clock.now()
        in_time = job.route.target * _MAX_WAIT_TARGETS - (now - job.began)
        left = self._drain.find_due(job) - now
        return max(min(left * _MAX_WAIT_SHARE, in_time), 0.0)

    def find_retry_after(self, job: jobs.Job) -> float | None:
        """Returns the seconds after which a client should retry.

        Returns:
            None unless all endpoints that can serve the request back off.
        """
        # Endpoints that were tried count too: they may accept the retry.
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
        """Returns the seconds until a permit that no other client waits for.

        Each instance assumes an equal share of the permits for its clients.
        """
        key = (job.service.name, job.traits.model)
        first = clock.now() + backoff_seconds
        interval = self._count_instances() / max(limit, permits.MIN_RATE)
        at = max(first, self._last_returns.pop(key, 0.0) + interval)
        if at > first + _MAX_RETURN_SPREAD_SECONDS:
            at = first + random.uniform(0, _MAX_RETURN_SPREAD_SECONDS)
        self._last_returns[key] = at
        if len(self._last_returns) > _MAX_MODELS:
            self._last_returns.popitem(last=False)
        return at - clock.now()
