"""A lower bound of the requests that an endpoint had at once.

Senders count a request from the grant of its place to the news of its end. The
endpoint has it for a shorter time. Only a time at which it surely had a request
counts here: after the request must have arrived and before its answer left.

Times are steady seconds. Instances state theirs by their own clock;
`ClockOffset` translates them to that of the instance that collects the stays.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

# Stays that are kept: two for each slot of a large endpoint.
_MAX_STAYS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Times of an exchange with an endpoint, by its sender's clock.

    Attributes:
        taken_at: When the place arrived.
        sent_at: When the request was sent.
        answered_at: When its answer began.
        returned_at: When this was stated.
        round_trip: Seconds that a message takes to the endpoint and back.
    """

    taken_at: float
    sent_at: float
    answered_at: float
    returned_at: float
    round_trip: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """A time during which an endpoint surely had a request."""

    begin: float
    end: float


class ClockOffset:
    """Bounds of what another instance's clock lacks to the own one.

    Every message narrows them by the time that it takes; the promptest ones
    decide. A machine that was replaced or whose clock stood still contradicts
    them, and they begin anew.
    """

    def __init__(self) -> None:
        self._least = -math.inf
        self._most = math.inf

    def note(self, exchange: Exchange, granted_at: float, now: float) -> None:
        """Narrows the bounds by a grant and the statement that followed it.

        Args:
            exchange: The other instance's times.
            granted_at: When the grant was sent, by the own clock.
            now: When the statement arrived, by the own clock.
        """
        least = granted_at - exchange.taken_at
        most = now - exchange.returned_at
        if least > self._most or most < self._least:
            self._least, self._most = least, most
            return
        self._least = max(self._least, least)
        self._most = min(self._most, most)

    def bound_stay(self, exchange: Exchange) -> Stay:
        """Returns when an endpoint surely had a request, by the own clock.

        Returns:
            The stay; it ends before it begins if nothing is sure.
        """
        one_way = exchange.round_trip / 2
        return Stay(
            exchange.sent_at + self._most + one_way,
            exchange.answered_at + self._least - one_way,
        )


class Stays:
    """Recent stays at one endpoint."""

    def __init__(self) -> None:
        self._stays: collections.deque[Stay] = collections.deque(
            maxlen=_MAX_STAYS
        )

    def note(self, stay: Stay) -> None:
        """Adds a stay, unless it is empty."""
        if stay.end > stay.begin:
            self._stays.append(stay)

    def forget(self) -> None:
        """Drops all stays, because the endpoint's room has changed."""
        self._stays.clear()

    def find_most(self, stay: Stay, others: Iterable[Stay] = ()) -> int:
        """Returns the most requests at once during a stay that was noted.

        Args:
            stay: The stay.
            others: Stays of requests that are still there.
        """
        if stay.end <= stay.begin:
            return 0
        found = [
            s
            for s in (*self._stays, *others)
            if s.begin < stay.end and s.end > stay.begin
        ]
        times = {max(s.begin, stay.begin) for s in found}
        return max(
            (sum(s.begin <= t < s.end for s in found) for t in times), default=0
        )
