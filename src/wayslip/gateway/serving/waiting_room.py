"""Queue of requests that wait at this instance for room at an endpoint."""

import asyncio
from collections.abc import Callable
import dataclasses

from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip.decisions import selection
from wayslip.gateway.serving import jobs

# Bounds of the queue. An instance gets some tens of requests a second and
# holds each for seconds at most; bodies may have megabytes.
_MAX_REQUESTS = 256
_MAX_BYTES = 8 * 1024 * 1024
# Changes that arrive together are handled together, so that a busy instance
# examines its queue at most this often.
_SWEEP_INTERVAL_SECONDS = 0.01
# A review computes a choice for each waiting request. Its share of the time is
# bounded, so that a long queue leaves the event loop to other requests.
_MAX_SWEEP_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """What a review of a waiting request found.

    Attributes:
        order: Position in the queue, see `waiting.order`.
        is_settled: Whether it leaves the queue: to start, to be refused or
            because no endpoint is left.
        choice: The endpoint at which it starts.
    """

    order: tuple[bool, float, float]
    is_settled: bool = False
    choice: selection.Choice | None = None


@dataclasses.dataclass(eq=False, slots=True)
class _Entry:
    review: Callable[[], Review]
    settled: asyncio.Future[selection.Choice | None]


class WaitingRoom:
    """The queue. Used on the event loop only."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._entries: dict[_Entry, None] = {}
        self._bytes = 0
        self._sweep: asyncio.TimerHandle | None = None
        self._sweep_interval = _SWEEP_INTERVAL_SECONDS

    def has_place(self, job: jobs.Job) -> bool:
        """Whether a request fits into the queue."""
        size = len(job.exchange.request.body)
        return (
            len(self._entries) < _MAX_REQUESTS
            and self._bytes + size <= _MAX_BYTES
        )

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._entries)

    async def wait(
        self, job: jobs.Job, review: Callable[[], Review], seconds: float
    ) -> selection.Choice | None:
        """Waits until a review settles the request or the time is over.

        The request leaves the queue with its client, whose leaving cancels
        this call, and at its deadline.

        Args:
            job: The request.
            review: Examines whether it can leave the queue.
            seconds: Maximum time.

        Returns:
            The endpoint at which it may start, None to choose again.
        """
        size = len(job.exchange.request.body)
        entry = _Entry(review, asyncio.get_running_loop().create_future())
        self._entries[entry] = None
        self._bytes += size
        self._observe()
        began = clock.now()
        try:
            async with asyncio.timeout(seconds):
                return await entry.settled
        except TimeoutError:
            return None
        finally:
            del self._entries[entry]
            self._bytes -= size
            self._observe()
            self._metrics.latency("held").observe(clock.now() - began)

    def notify(self) -> None:
        """Reviews the queue soon, because room may have been made."""
        if self._entries and self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(
                self._sweep_interval, self._review_all
            )

    def _review_all(self) -> None:
        """Settles requests in order, one for each endpoint.

        A request that starts is counted at its endpoint after this sweep; the
        next sweep sees what is left for the others.
        """
        self._sweep = None
        began = clock.now()
        reviews = [(e.review(), e) for e in self._entries]
        reviews.sort(key=lambda pair: pair[0].order)
        self._sweep_interval = max(
            _SWEEP_INTERVAL_SECONDS, (clock.now() - began) / _MAX_SWEEP_SHARE
        )
        taken: set[str] = set()
        for review, entry in reviews:
            if not review.is_settled or entry.settled.done():
                continue
            if review.choice is not None:
                if review.choice.name in taken:
                    continue
                taken.add(review.choice.name)
            entry.settled.set_result(review.choice)
        if taken:
            self.notify()

    def _observe(self) -> None:
        self._metrics.set_gauge("waiting_requests", len(self._entries))
        self._metrics.set_gauge("waiting_bytes", self._bytes)
