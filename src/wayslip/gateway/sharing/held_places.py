"""Places at brittle endpoints, as a request of this instance holds them."""

import dataclasses

from wayslip import clock
from wayslip.decisions import concurrency
from wayslip.decisions import fleet

# Least time for the way to an endpoint and back: that of one pass of its event
# loop and of this one.
_MIN_ROUND_TRIP_SECONDS = 0.005


@dataclasses.dataclass(slots=True)
class Place:
    """A place that a request of this instance holds.

    Attributes:
        start: The endpoint's incarnation.
        number: Number of the question that it was granted to, 0 without one.
        taken_at: When it was granted, as known here, steady seconds.
        sent_at: When the request was sent, None before.
        answered_at: When the head of its answer arrived, None before.
        round_trip: Seconds that a message takes to the endpoint and back.
    """

    start: fleet.Incarnation
    number: int
    taken_at: float
    sent_at: float | None = None
    answered_at: float | None = None
    round_trip: float = 0.0

    def note_sent(self, round_trip: float) -> None:
        """Records that the request is being sent."""
        self.sent_at = clock.now()
        self.answered_at = None
        self.round_trip = max(round_trip, _MIN_ROUND_TRIP_SECONDS)

    def find_exchange(self) -> concurrency.Exchange | None:
        """Returns the exchange with the endpoint, None without an answer."""
        if self.sent_at is None or self.answered_at is None:
            return None
        return concurrency.Exchange(
            taken_at=self.taken_at,
            sent_at=self.sent_at,
            answered_at=self.answered_at,
            returned_at=clock.now(),
            round_trip=self.round_trip,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on a request for a place.

    Attributes:
        is_granted: Whether the request may be sent.
        wait: Seconds until a place is expected to be free, if it was refused.
        place: The place, which has to be given back; None if it was refused or
            none is needed.
    """

    is_granted: bool
    wait: float = 0.0
    place: Place | None = None
