"""Limits waits at an instance that is stopping.

An instance ends with its grace time, and every request that still waits there
ends unanswered. So a stop limits all waits before a request is sent: one that
would end too late is refused at once, while the client has time to send the
request to another instance. A request that need not wait is still sent.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math

from wayslip import clock
from wayslip import errors
from wayslip.gateway.serving import jobs

# Least time reserved for an answer; also lets refusals reach slow clients.
_MIN_ANSWER_SECONDS = 0.5
# Time for questions to other instances, which are no waits: an answer takes a
# few milliseconds.
_BRIEF_SECONDS = 0.2


class Drain:
    """The planned end of an instance. Used on the event loop only.

    Attributes:
        ends_at: When unfinished requests are aborted, steady seconds; infinite
            until the instance is stopping.
    """

    def __init__(self, estimate_answer_time: Callable[[str], float]) -> None:
        """Initializes for an instance that is not stopping.

        Args:
            estimate_answer_time: Returns how long answers of a service usually
                take, seconds; 0 if that is not known.
        """
        self.ends_at = math.inf
        self._estimate_answer_time = estimate_answer_time
        # Waits under way, and what waits.
        self._waits: dict[asyncio.Timeout, jobs.Job] = {}

    def begin(self, ends_at: float) -> None:
        """Limits all waits from now on, also those under way."""
        self.ends_at = ends_at
        for wait, job in self._waits.items():
            if not wait.expired():
                wait.reschedule(self._find_limit(job))

    def find_due(self, job: jobs.Job) -> float:
        """Returns when a request must be answered here, steady seconds."""
        return min(job.deadline, self.ends_at)

    def find_wait_left(self, job: jobs.Job) -> float:
        """Returns the seconds that a request may wait and be answered here.

        Returns:
            Infinite unless the instance is stopping.
        """
        # What is left of a stream that has begun is not known.
        usual = (
            0.0 if job.relayed else self._estimate_answer_time(job.service.name)
        )
        return self.ends_at - max(usual, _MIN_ANSWER_SECONDS) - clock.now()

    def _find_limit(self, job: jobs.Job) -> float | None:
        """Returns when a wait ends, in the event loop's time."""
        left = self.find_wait_left(job)
        if math.isinf(left):
            return None
        return asyncio.get_running_loop().time() + max(left, _BRIEF_SECONDS)

    @contextlib.asynccontextmanager
    async def limit_wait(self, job: jobs.Job) -> AsyncIterator[None]:
        """Limits how long a request waits in a block.

        Raises:
            StoppingError: The request can't be answered here any more.
        """
        if clock.now() > self.ends_at - _MIN_ANSWER_SECONDS:
            raise _make_error()
        wait = asyncio.timeout_at(self._find_limit(job))
        self._waits[wait] = job
        try:
            async with wait:
                yield
        except TimeoutError:
            if not wait.expired():
                raise
            raise _make_error() from None
        finally:
            del self._waits[wait]


def _make_error() -> errors.StoppingError:
    return errors.StoppingError(
        "the instance ends before it can answer",
        "send the request to another instance",
    )
