"""What endpoints said of themselves in their answers.

Such a word is a fact with a source and an age of its own, beside the entry in
the platform's list, which may be seconds old or written before the answer. It
belongs to one start of an endpoint and only a later start ends it; an entry
that lapses and comes back does not.
"""

from wayslip import clock
from wayslip.decisions import fleet

# Starts whose words are kept; the oldest are forgotten.
_STARTS_MOST = 2000


class Words:
    """Words of endpoints, by their starts. Used on the event loop only."""

    def __init__(self) -> None:
        self._leaving: dict[fleet.Start, float] = {}
        self._rests: dict[fleet.Start, float] = {}

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
        if len(self._leaving) > _STARTS_MOST:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, endpoint: fleet.Endpoint) -> bool:
        """Whether an endpoint said that it takes no new work."""
        return endpoint.start in self._leaving

    def note_rest(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Notes that an endpoint wants nothing from us for some time."""
        start = endpoint.start
        until = clock.now() + seconds
        # One asked for earlier may last longer.
        self._rests[start] = max(until, self._rests.get(start, until))
        if len(self._rests) > _STARTS_MOST:
            del self._rests[next(iter(self._rests))]

    def find_rest(self, endpoint: fleet.Endpoint) -> float:
        """Returns the seconds for which an endpoint wants nothing from us."""
        if not self._rests:
            return 0.0
        start = endpoint.start
        left = self._rests.get(start, 0.0) - clock.now()
        if left <= 0:
            self._rests.pop(start, None)
        return max(left, 0.0)
