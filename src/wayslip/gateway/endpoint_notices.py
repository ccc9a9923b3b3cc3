"""What endpoints said of themselves in their answers.

Such a word is a fact with a source and an age of its own, beside the entry in
the platform's list, which may be seconds old or written before the answer. It
belongs to one start of an endpoint and only a later start ends it; an entry
that lapses and comes back does not.
"""

import dataclasses

from wayslip import clock
from wayslip.decisions import fleet

# Starts whose words are kept; the oldest are forgotten.
_MAX_STARTS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class _Limit:
    """A limit that an endpoint names.

    Attributes:
        rate: Requests a second.
        received_at: When it was last named, steady seconds.
    """

    rate: float
    received_at: float


class EndpointNotices:
    """Words of endpoints, by their starts. Used on the event loop only."""

    def __init__(self) -> None:
        self._leaving: dict[fleet.Start, float] = {}
        self._backoffs: dict[fleet.Start, float] = {}
        # Until when all places of a limited endpoint are taken.
        self._exhausted: dict[fleet.Start, float] = {}
        self._limits: dict[fleet.Start, _Limit] = {}

    def note_leaving(self, start: fleet.Start) -> bool:
        """Notes that an endpoint takes no new work, for good.

        Args:
            start: Of the endpoint; what it said holds until that ends.

        Returns:
            Whether it was news.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = clock.now()
        if len(self._leaving) > _MAX_STARTS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, endpoint: fleet.Endpoint) -> bool:
        """Whether an endpoint said that it takes no new work."""
        return endpoint.start in self._leaving

    def note_backoff(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Notes that an endpoint wants nothing from us for some time."""
        start = endpoint.start
        until = clock.now() + seconds
        # One asked for earlier may last longer.
        self._backoffs[start] = max(until, self._backoffs.get(start, until))
        if len(self._backoffs) > _MAX_STARTS:
            del self._backoffs[next(iter(self._backoffs))]

    def note_exhausted(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Notes that all places of a limited endpoint are taken for a while."""
        self._exhausted[endpoint.start] = clock.now() + seconds
        if len(self._exhausted) > _MAX_STARTS:
            del self._exhausted[next(iter(self._exhausted))]

    def find_backoff(self, endpoint: fleet.Endpoint) -> float:
        """Returns the seconds for which an endpoint wants nothing from us."""
        return _find_left(self._backoffs, endpoint.start)

    def find_pause(self, endpoint: fleet.Endpoint) -> float:
        """Returns the seconds until an endpoint may take a request of ours.

        It asked for rest, or all places in its limit are taken.
        """
        exhausted = _find_left(self._exhausted, endpoint.start)
        return max(self.find_backoff(endpoint), exhausted)

    # Limits

    def note_limit(
        self, start: fleet.Start, rate: float | None, sent_at: float
    ) -> bool:
        """Notes the limit that an answer names, or that it names none.

        Answers overtake one another. One to a request that was sent before
        the limit was last named may be older than that, so it can lower the
        limit and not raise or end it.

        Args:
            start: Of the endpoint.
            rate: Requests a second, None for no limit.
            sent_at: When the answer's request was sent, steady seconds.

        Returns:
            Whether it was news.
        """
        known = self._limits.get(start)
        if known is None and rate is None:
            return False
        if known is not None and sent_at < known.received_at:
            allows_more = rate is None or rate >= known.rate
            if allows_more:
                return False
        is_new = known is None or known.rate != rate
        if is_new:
            self._exhausted.pop(start, None)
        if rate is None:
            del self._limits[start]
            return True
        self._limits[start] = _Limit(rate, clock.now())
        if len(self._limits) > _MAX_STARTS:
            del self._limits[next(iter(self._limits))]
        return is_new

    def find_limit(self, start: fleet.Start) -> float | None:
        """Returns the requests a second that an endpoint takes from all.

        Returns:
            None if it names no limit.
        """
        known = self._limits.get(start)
        return None if known is None else known.rate


def _find_left(until: dict[fleet.Start, float], start: fleet.Start) -> float:
    """Returns the seconds that are left of a time; forgets one that is over."""
    if start not in until:
        return 0.0
    left = until[start] - clock.now()
    if left <= 0:
        del until[start]
    return max(left, 0.0)
