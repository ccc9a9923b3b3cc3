"""Decides which new connections of clients an instance serves.

Load pattern: for some seconds most new connections of a data hall go to one
instance, and clients open more than usual. A request that was read must be
served, or its client loses the time that it waited; a connection that is closed
unread costs its client a round trip, and the next try goes to another instance.
So an instance that can't keep up closes the connections beyond what it bears
before it reads them.

Two things limit it: descriptors, a fixed bound, and its processor. The sign of
the latter is the lag of the event loop. While the loop lags and connections
arrive far above their usual rate, the rate at which they are admitted is
lowered, never below the usual one, and raised again once the loop keeps up.

Times are steady seconds.
"""

import dataclasses

# Descriptors kept for the store, peers, tunnels for other instances and logs.
_RESERVED_DESCRIPTORS = 700
# A connection whose request is in progress needs another one to an endpoint.
_DESCRIPTORS_PER_CONNECTION = 2
_MIN_CONNECTIONS = 64
# Lag from which on the loop doesn't keep up, and below which it does again:
# latency targets begin at a few tenths of a second.
_HIGH_LAG_SECONDS = 0.1
_LOW_LAG_SECONDS = 0.04
# Connections a second are counted over this time.
_COUNT_SECONDS = 0.5
# Time constant of the usual rate.
_USUAL_SECONDS = 10.0
# Rate, as a multiple of the usual one, that no quiet instance sees.
_SURGE_FACTOR = 2.0
# Rate that any instance bears, connections a second.
_MIN_RATE = 100.0
# Steps by which the admitted rate changes, at most once in each period.
_LOWER_FACTOR = 0.7
_RAISE_FACTOR = 1.15
_STEP_SECONDS = 0.2
# Connections admitted at once, in seconds of the admitted rate.
_BURST_SECONDS = 0.1


def find_max_connections(descriptors: int) -> int:
    """Returns how many connections of clients an instance bears.

    Args:
        descriptors: Descriptors that its process may have open, 0 if unknown.
    """
    if not descriptors:
        return 0
    left = descriptors - _RESERVED_DESCRIPTORS
    return max(left // _DESCRIPTORS_PER_CONNECTION, _MIN_CONNECTIONS)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a connection is closed unread.

    Attributes:
        reason: "descriptors" or "lag".
        limit: Connections, or connections a second.
    """

    reason: str
    limit: float

    @property
    def is_full(self) -> bool:
        """Whether too many connections are open."""
        return self.reason == "descriptors"


class ConnectionGate:
    """Admits new connections of clients. It does no I/O."""

    def __init__(self, max_connections: int, now: float) -> None:
        """Initializes with all connections admitted.

        Args:
            max_connections: Connections that may be open, 0 for any number.
            now: Steady seconds.
        """
        self._max_connections = max_connections
        self._count = 0
        self._counted_since = now
        self._rate = 0.0
        self._usual: float | None = None
        # Admitted connections a second, None for all.
        self._limit: float | None = None
        self._tokens = 0.0
        self._refilled_at = now
        self._stepped_at = now

    @property
    def limit(self) -> float | None:
        """Connections a second that are admitted, None for all."""
        return self._limit

    def note_lag(self, lag: float, now: float) -> None:
        """Records by how many seconds the event loop is late."""
        self._roll(now)
        if now - self._stepped_at < _STEP_SECONDS:
            return
        if lag >= _HIGH_LAG_SECONDS and self._is_surge:
            self._lower(now)
        elif lag < _LOW_LAG_SECONDS and self._limit is not None:
            self._raise(now)

    def judge(self, open_connections: int, now: float) -> Refusal | None:
        """Returns why a new connection is closed, None if it is served.

        Args:
            open_connections: Those that are open already.
            now: Steady seconds.
        """
        self._roll(now)
        self._count += 1
        if self._max_connections and open_connections >= self._max_connections:
            return Refusal("descriptors", self._max_connections)
        if self._limit is None:
            return None
        self._refill(now)
        if self._tokens < 1.0:
            return Refusal("lag", self._limit)
        self._tokens -= 1.0
        return None

    @property
    def _floor(self) -> float:
        """The rate below which nothing is refused for lag."""
        return max(self._usual or 0.0, _MIN_RATE)

    @property
    def _is_surge(self) -> bool:
        return self._rate > self._floor * _SURGE_FACTOR

    def _lower(self, now: float) -> None:
        admitted = self._rate if self._limit is None else self._limit
        self._limit = max(
            min(admitted, self._rate) * _LOWER_FACTOR, self._floor
        )
        self._stepped_at = now

    def _raise(self, now: float) -> None:
        assert self._limit is not None
        self._limit *= _RAISE_FACTOR
        self._stepped_at = now
        if self._limit > self._rate:
            self._limit = None

    def _refill(self, now: float) -> None:
        assert self._limit is not None
        most = max(self._limit * _BURST_SECONDS, 1.0)
        added = (now - self._refilled_at) * self._limit
        self._tokens = min(self._tokens + added, most)
        self._refilled_at = now

    def _roll(self, now: float) -> None:
        """Ends a count; what came in a surge doesn't change the usual rate."""
        seconds = now - self._counted_since
        if seconds < _COUNT_SECONDS:
            return
        self._rate = self._count / seconds
        self._count = 0
        self._counted_since = now
        if self._usual is None:
            self._usual = self._rate
        elif self._limit is None and not self._is_surge:
            weight = min(seconds / _USUAL_SECONDS, 1.0)
            self._usual += (self._rate - self._usual) * weight
