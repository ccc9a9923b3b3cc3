"""The places of one brittle endpoint: grants, returns, and how many there are.

See `places` for the load pattern. Times are steady seconds of the lease holder.
"""

import collections
import dataclasses
import math

from wayslip.decisions import concurrency

# Bounds of the wait that a refused instance is told.
_MIN_WAIT_SECONDS = 0.1
_MAX_WAIT_SECONDS = 5.0
# Time over which returns and refusals are counted for that wait.
_RATE_SECONDS = 1.0
# Places of an endpoint at which nothing is known to be in flight.
_FIRST_PLACES = 2
# No place is added for this long after a refusal, longer than the second in
# which refusals count.
_FROZEN_SECONDS = 1.5
# A request that was not returned for this long was sent and not refused. It is
# longer than an endpoint may be silent.
_ADMITTED_SECONDS = 2.0
# Questions that wait at an endpoint; more are refused at once.
_MAX_WAITING = 1000
# A report shows a request that was sent this long before it arrived.
_REPORT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A granted place; `number` identifies it among those of its instance."""

    number: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request for a place at an endpoint.

    Attributes:
        instance: The instance that asks.
        places: How many places the endpoint has, as far as it knows.
        number: Identifies the question among those of the instance, 0 if it
            does not.
        is_first: Whether its request asks for the first time, so that it adds
            to those that wait.
        max_wait: Seconds that it can wait for a place.
    """

    instance: str
    places: int
    number: int = 0
    is_first: bool = True
    max_wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A question that waits for a place."""

    question: Question
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """A place that is given back.

    Attributes:
        instance: The instance that held it.
        number: Number of the question that it was granted to; 0 if unknown.
        is_refused: Whether the endpoint refused the request for lack of room.
        exchange: How the endpoint answered, None if that is unknown or it took
            no request.
    """

    instance: str
    number: int = 0
    is_refused: bool = False
    exchange: concurrency.Exchange | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a request for a place.

    Attributes:
        is_granted: Whether it was granted.
        wait: Seconds until a place is expected to be free, if it was not.
        is_waiting: Whether it is granted the next place that is free.
    """

    is_granted: bool
    wait: float = 0.0
    is_waiting: bool = False


class Ledger:
    """The places of one endpoint."""

    def __init__(self, reported: dict[str, int]) -> None:
        """Initializes the ledger.

        Args:
            reported: What instances reported to have in flight there.
        """
        # Granted places, the oldest first, by instance.
        self.granted: dict[str, collections.deque[_Grant]] = {}
        self.reported = reported
        self.returned: collections.deque[float] = collections.deque()
        self.refused: collections.deque[float] = collections.deque()
        # Questions that wait for a place, the oldest first.
        self.waiting: dict[tuple[str, int], _Waiting] = {}
        self.limit = max(self.count(), _FIRST_PLACES)
        self._stays = concurrency.Stays()
        # Clocks of the instances that held places.
        self._offsets: dict[str, concurrency.ClockOffset] = {}
        self._refused_at = -math.inf
        self._grows_at = -math.inf

    def has_place(self, places: int) -> bool:
        """Whether an endpoint with so many places has a free one."""
        return self.count() < min(places, self.limit)

    def grant(self, question: Question, now: float) -> None:
        """Grants a place."""
        granted = self.granted.setdefault(
            question.instance, collections.deque()
        )
        granted.append(_Grant(question.number, now))

    def add_waiting(self, question: Question, now: float) -> bool:
        """Has a question wait for a place; returns whether it may."""
        if self.is_waiting(question):
            return True
        if not question.number or question.max_wait <= 0:
            return False
        if len(self.waiting) >= _MAX_WAITING:
            return False
        until = now + question.max_wait
        key = question.instance, question.number
        self.waiting[key] = _Waiting(question, until)
        return True

    def is_waiting(self, question: Question) -> bool:
        """Whether a question, or an earlier copy of it, waits for a place."""
        return (question.instance, question.number) in self.waiting

    def grant_waiting(self, now: float) -> list[Question]:
        """Grants free places to those that wait; returns whose they are."""
        found = []
        for key, waiting in list(self.waiting.items()):
            if waiting.until <= now:
                del self.waiting[key]
            elif self.has_place(waiting.question.places):
                del self.waiting[key]
                self.grant(waiting.question, now)
                found.append(waiting.question)
            else:
                break
        return found

    def is_granted(self, instance: str, number: int) -> bool:
        """Whether an instance holds the place of a number."""
        granted = self.granted.get(instance, ())
        return any(grant.number == number for grant in granted)

    def apply_return(self, place: Return, now: float) -> None:
        """Frees a place, and learns from a request that left the endpoint."""
        self.waiting.pop((place.instance, place.number), None)
        count = self.count()
        grant = self._pop_grant(place)
        was_sent = place.is_refused or place.exchange is not None
        if place.number and grant is None and not was_sent:
            # A question that was given up before it was granted.
            return
        reported = self.reported.get(place.instance, 0)
        self.reported[place.instance] = max(reported - 1, 0)
        self.returned.append(now)
        if place.is_refused:
            self._note_refusal(count, now)
        elif place.exchange is not None and grant is not None:
            offset = self._offsets.setdefault(
                place.instance, concurrency.ClockOffset()
            )
            offset.note(place.exchange, grant.at, now)
            self._note_stay(offset.bound_stay(place.exchange), now)

    def _pop_grant(self, place: Return) -> _Grant | None:
        """Removes and returns the grant of a place, None if it is unknown."""
        granted = self.granted.get(place.instance)
        if not granted:
            return None
        if not place.number:
            # An instance of a release before doesn't name it.
            return granted.popleft()
        found = next((g for g in granted if g.number == place.number), None)
        if found is not None:
            granted.remove(found)
        return found

    def _note_refusal(self, count: int, now: float) -> None:
        """Leaves fewer places than there were requests.

        Args:
            count: Requests in flight, with the refused one.
            now: Steady seconds.
        """
        self.limit = max(min(self.limit, count) - 1, 1)
        self._refused_at = now
        self._stays.forget()
        self._grows_at = now + _FROZEN_SECONDS

    def _note_stay(self, stay: concurrency.Stay, now: float) -> None:
        if stay.begin < self._refused_at:
            return
        self._stays.note(stay)
        admitted = (
            concurrency.Stay(grant.at + _ADMITTED_SECONDS, now)
            for granted in self.granted.values()
            for grant in granted
            if grant.at + _ADMITTED_SECONDS < now
        )
        self.note_concurrent(self._stays.find_most(stay, admitted), now, now)

    def note_concurrent(self, count: int, since: float, now: float) -> None:
        """Adds a place if the endpoint surely had as many requests at once.

        Args:
            count: Requests that it had.
            since: It had them at this time or later.
            now: Steady seconds.
        """
        if count < self.limit or since < self._refused_at:
            return
        if now >= self._grows_at:
            self.limit = count + 1

    def apply_report(self, instance: str, count: int, now: float) -> None:
        """Records how many requests an instance reports to have in flight.

        Places that it should show and does not were given back by a message
        that was lost.
        """
        self.reported[instance] = count
        granted = self.granted.get(instance, collections.deque())
        oldest_shown = now - _REPORT_SECONDS
        while len(granted) > count and granted[0].at < oldest_shown:
            granted.popleft()

    def count(self) -> int:
        """Returns the requests in flight, as far as is known."""
        return sum(
            max(len(self.granted.get(name, ())), self.reported.get(name, 0))
            for name in {*self.granted, *self.reported}
        )

    def estimate_wait(self, now: float) -> float:
        """Returns the seconds until a place is free that nobody waits for."""
        for times in (self.returned, self.refused):
            while times and now - times[0] > _RATE_SECONDS:
                times.popleft()
        rate = max(len(self.returned), 1) / _RATE_SECONDS
        wait = (len(self.refused) + 1) / rate
        return min(max(wait, _MIN_WAIT_SECONDS), _MAX_WAIT_SECONDS)
