"""Time-out of the lease holder's renewals."""

import asyncio
import logging

from wayslip import logs

_LOG = logging.getLogger(__name__)
# After this time without an answer the holder yields the lease. It covers two
# renewals and is less than what remains of the lease.
_TIMEOUT_SECONDS = 0.6


class RenewalTimeout:
    """Timer that starts with the first unanswered renewal.

    Attributes:
        has_expired: Whether no renewal was answered in time.
    """

    def __init__(self) -> None:
        """Initializes without a pending renewal."""
        self._timer: asyncio.TimerHandle | None = None
        self.has_expired = False

    @property
    def is_pending(self) -> bool:
        """Whether a renewal is in progress or was not answered."""
        return self._timer is not None

    def begin(self) -> None:
        """Starts the timer, unless it runs for an earlier renewal."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TIMEOUT_SECONDS, self.expire)

    def expire(self) -> None:
        """Marks the time-out as expired, so that the lease is yielded."""
        self.has_expired = True
        logs.event(_LOG, "lease_doubtful", logging.WARNING)

    def end(self) -> None:
        """Stops the timer, after an answer or the loss of the lease."""
        self.has_expired = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
