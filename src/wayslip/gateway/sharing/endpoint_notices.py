"""Notices that endpoints give about themselves in their answers.

A notice has its own source and age, independent of the endpoint's entry in the
platform's list, which may be seconds old or written before the answer. It
holds for one incarnation of an endpoint: a later incarnation has none, while an
entry that lapses and reappears doesn't clear it.
"""

import dataclasses
import math
from typing import Any

from wayslip import clock
from wayslip.decisions import fleet
from wayslip.decisions import places

# Incarnations whose notices are kept; the oldest are dropped.
_MAX_STARTS = 2000
# How long an endpoint that has not answered yet counts as brittle after another
# one of its service said so. One that crashed is back after some seconds.
_SERVICE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """A number that an endpoint states; a lower one is stricter.

    Attributes:
        value: The number.
        received_at: When it was last stated, steady seconds.
    """

    value: float
    received_at: float


class EndpointNotices:
    """Notices by incarnation of an endpoint. Used on the event loop only."""

    def __init__(self) -> None:
        self._leaving: dict[fleet.Incarnation, float] = {}
        self._backoffs: dict[fleet.Incarnation, float] = {}
        # Until when all permits of a limited endpoint are taken.
        self._exhausted: dict[fleet.Incarnation, float] = {}
        # Until when a brittle endpoint is expected to have no free place.
        self._crowded: dict[fleet.Incarnation, float] = {}
        self._limits: dict[fleet.Incarnation, _Statement] = {}
        # Refusals a second that brittle endpoints bear, the same by service
        # with the time it was last stated, endpoints that are not brittle, and
        # how many requests they have room for.
        self._brittle: dict[fleet.Incarnation, _Statement] = {}
        self._brittle_services: dict[str, tuple[int, float]] = {}
        self._sound: dict[fleet.Incarnation, None] = {}
        self._depths: dict[fleet.Incarnation, places.Depth] = {}

    def note_leaving(self, start: fleet.Incarnation) -> bool:
        """Records that an endpoint takes no new work any more.

        Args:
            start: The incarnation that said so.

        Returns:
            Whether that was not known yet.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = clock.now()
        if len(self._leaving) > _MAX_STARTS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, endpoint: fleet.Endpoint) -> bool:
        """Whether an endpoint announced that it takes no new work."""
        return endpoint.incarnation in self._leaving

    def note_backoff(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Records that an endpoint asked for no requests for some time."""
        start = endpoint.incarnation
        until = clock.now() + seconds
        # An earlier notice may ask for a longer back-off.
        self._backoffs[start] = max(until, self._backoffs.get(start, until))
        if len(self._backoffs) > _MAX_STARTS:
            del self._backoffs[next(iter(self._backoffs))]

    def note_exhausted(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Records that all permits of a limited endpoint are taken."""
        self._exhausted[endpoint.incarnation] = clock.now() + seconds
        if len(self._exhausted) > _MAX_STARTS:
            del self._exhausted[next(iter(self._exhausted))]

    def note_crowded(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Records that a brittle endpoint had no free place."""
        self._crowded[endpoint.incarnation] = clock.now() + seconds
        _evict_oldest(self._crowded)

    def is_crowded(self, endpoint: fleet.Endpoint) -> bool:
        """Whether a brittle endpoint had no free place a moment ago."""
        return _find_left(self._crowded, endpoint.incarnation) > 0

    def find_backoff(self, endpoint: fleet.Endpoint) -> float:
        """Returns the seconds for which an endpoint asked for no requests."""
        return _find_left(self._backoffs, endpoint.incarnation)

    def find_pause(self, endpoint: fleet.Endpoint) -> float:
        """Returns the seconds until an endpoint may get a request.

        It may have asked for a back-off, or all permits under its rate limit
        may be taken.
        """
        exhausted = _find_left(self._exhausted, endpoint.incarnation)
        return max(self.find_backoff(endpoint), exhausted)

    # Limits

    def note_limit(
        self, start: fleet.Incarnation, rate: float | None, sent_at: float
    ) -> bool:
        """Records the rate limit that an answer names, or that it names none.

        Answers may arrive out of order. An answer to a request that was sent
        before the limit was last named may be older than that, so it may lower
        the limit but not raise or remove it.

        Args:
            start: The endpoint's incarnation.
            rate: Requests per second, None for no limit.
            sent_at: When the answer's request was sent, steady seconds.

        Returns:
            Whether the known limit changed.
        """
        is_new = _note(self._limits, start, rate, sent_at)
        if is_new and rate is not None:
            self._exhausted.pop(start, None)
        return is_new

    def find_limit(self, start: fleet.Incarnation) -> float | None:
        """Returns the rate limit that an endpoint names.

        Returns:
            Requests per second from all instances together, None for no limit.
        """
        known = self._limits.get(start)
        return None if known is None else known.value

    # Brittle endpoints

    def note_brittle(
        self, endpoint: fleet.Endpoint, allowed: int | None, sent_at: float
    ) -> bool:
        """Records that an answer names its endpoint brittle, or does not.

        Args:
            endpoint: The endpoint.
            allowed: Refusals a second that it bears, None if not brittle.
            sent_at: When the answer's request was sent, steady seconds.

        Returns:
            Whether that is news.
        """
        start = endpoint.incarnation
        is_new = _note(self._brittle, start, allowed, sent_at)
        if allowed is not None:
            self._brittle_services[endpoint.service] = (allowed, clock.now())
            return is_new
        if start not in self._brittle:
            self._depths.pop(start, None)
            self._sound[start] = None
            _evict_oldest(self._sound)
        return is_new

    def find_brittle(self, endpoint: fleet.Endpoint) -> int | None:
        """Returns the refusals a second that a brittle endpoint bears.

        An endpoint that has not answered yet counts as brittle if another one
        of its service lately was: it may be the successor of one that crashed.

        Returns:
            None for an endpoint that is not brittle.
        """
        known = self._brittle.get(endpoint.incarnation)
        if known is not None:
            return int(known.value)
        if endpoint.incarnation in self._sound:
            return None
        allowed, at = self._brittle_services.get(
            endpoint.service, (None, -math.inf)
        )
        return allowed if clock.now() - at < _SERVICE_SECONDS else None

    def note_depth(self, start: fleet.Incarnation, count: int) -> bool:
        """Records how many requests a brittle endpoint has room for."""
        known = self._depths.get(start)
        now = clock.now()
        if known is not None and known.find(count + 1, now) <= count:
            return False
        self._depths.pop(start, None)
        self._depths[start] = places.Depth(count, now)
        _evict_oldest(self._depths)
        return True

    def find_places(self, endpoint: fleet.Endpoint) -> int:
        """Returns how many requests a brittle endpoint may have at once."""
        known = self._depths.get(endpoint.incarnation)
        if known is None:
            return max(endpoint.slots, 1)
        return known.find(endpoint.slots, clock.now())


def _note(
    known: dict[fleet.Incarnation, _Statement],
    start: fleet.Incarnation,
    value: float | None,
    sent_at: float,
) -> bool:
    """Records a statement; returns whether it differs from what was known.

    Answers may arrive out of order. An answer to a request that was sent before
    the last statement arrived may be older than that, so that it may name a
    stricter number but not a higher one, or none.
    """
    last = known.get(start)
    if last is None and value is None:
        return False
    if last is not None and sent_at < last.received_at:
        allows_more = value is None or value >= last.value
        if allows_more:
            return False
    if value is None:
        del known[start]
        return True
    known[start] = _Statement(value, clock.now())
    _evict_oldest(known)
    return last is None or last.value != value


def _evict_oldest(entries: dict[fleet.Incarnation, Any]) -> None:
    if len(entries) > _MAX_STARTS:
        del entries[next(iter(entries))]


def _find_left(
    until: dict[fleet.Incarnation, float], start: fleet.Incarnation
) -> float:
    """Returns the seconds until a time; drops an entry that has expired."""
    if start not in until:
        return 0.0
    left = until[start] - clock.now()
    if left <= 0:
        del until[start]
    return max(left, 0.0)
