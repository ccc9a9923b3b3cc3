"""Whether the lease's holder may still rely on being able to renew it."""

import asyncio
import logging

from wayslip import logs

_LOG = logging.getLogger(__name__)
# Renewals without an answer for so long let another instance plan, seconds:
# two of them, and less than what is left of the lease.
_TIMEOUT_SECONDS = 0.6


class RenewalTimeout:
    """Runs from the first of the renewals that were not answered.

    Attributes:
        has_expired: Whether none was answered for too long.
    """

    def __init__(self) -> None:
        """Initializes without a doubt."""
        self._timer: asyncio.TimerHandle | None = None
        self.has_expired = False

    @property
    def is_pending(self) -> bool:
        """Whether a renewal is under way or was not answered."""
        return self._timer is not None

    def begin(self) -> None:
        """Begins with a renewal, unless an earlier one is unanswered."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TIMEOUT_SECONDS, self.expire)

    def expire(self) -> None:
        """Has the lease yielded, because its renewals are not answered."""
        self.has_expired = True
        logs.event(_LOG, "lease_doubtful", logging.WARNING)

    def end(self) -> None:
        """Ends with an answer, or with the lease."""
        self.has_expired = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
