"""Chooses which instances are asked for a tunnel to an endpoint.

An instance that lost its links to an endpoint asks others, one after the other,
until one opens a tunnel. Instances of a data hall tend to lose the same links
together, so the questions of one search alternate between the own data hall,
where bytes cost least, and the others. What peers answered is remembered: those
that helped are asked first, those that could not help last, for a pause that
grows while they refuse.

Times are steady seconds. Peers are known by address, endpoints by name.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import random

from wayslip.decisions import fanout


class Reason(enum.StrEnum):
    """Why an instance opens no tunnel; the values are sent between instances.

    Attributes:
        CUT_OFF: It reaches no endpoint itself.
        IN_DOUBT: It failed to connect, perhaps for lack of links of its own.
        STOPPING: It shuts down.
        TOO_MANY: It serves as many tunnels as it may.
        UNKNOWN_INSTANCE: It does not know who asks.
        PATH_LOST: It does not reach the endpoint, and others do.
        UNKNOWN_ENDPOINT: It does not know the endpoint.
        ENDPOINT_LEAVES: The endpoint takes no new work.
    """

    CUT_OFF = "cut_off"
    IN_DOUBT = "path_in_doubt"
    STOPPING = "stopping"
    TOO_MANY = "too_many"
    UNKNOWN_INSTANCE = "unknown_instance"
    PATH_LOST = "path_lost"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    ENDPOINT_LEAVES = "endpoint_leaves"


# Reasons that hold for all endpoints, not only for the one asked for.
_INSTANCE_REASONS = frozenset(
    (
        Reason.CUT_OFF,
        Reason.IN_DOUBT,
        Reason.STOPPING,
        Reason.TOO_MANY,
        Reason.UNKNOWN_INSTANCE,
    )
)
_MIN_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 4.0
# For how long a peer that opened a tunnel is preferred.
_HELPED_SECONDS = 3.0
# Helpers below which searches look for further ones, so that the traffic of an
# instance without links does not all go through one peer.
_MIN_HELPERS = 3
# Pauses above which expired ones are removed.
_MAX_PAUSES = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which a peer is asked last.

    Attributes:
        until: When it ends.
        seconds: How long it is.
    """

    until: float
    seconds: float


class Helpers:
    """What other instances answered to requests for tunnels. No I/O."""

    def __init__(self, data_hall: str, rng: random.Random) -> None:
        """Initializes without an answer.

        Args:
            data_hall: The data hall of this instance.
            rng: Random generator for the choice among equals.
        """
        self._data_hall = data_hall
        self._rng = rng
        self._helped_at: dict[str, float] = {}
        # By peer and endpoint; an empty endpoint stands for all of them.
        self._pauses: dict[tuple[str, str], _Pause] = {}

    def note_opened(self, peer: str, endpoint: str, now: float) -> None:
        """Records that a peer opened a tunnel."""
        self._helped_at[peer] = now
        self._pauses.pop((peer, endpoint), None)
        self._pauses.pop((peer, ""), None)

    def note_refused(
        self, peer: str, endpoint: str, reason: str, now: float
    ) -> None:
        """Records that a peer refused a tunnel.

        Args:
            peer: The peer.
            endpoint: The endpoint.
            reason: Its reason, empty if it told none.
            now: Steady seconds.
        """
        if reason in _INSTANCE_REASONS:
            self.note_unanswered(peer, now)
        else:
            self._pause((peer, endpoint), now)

    def note_unanswered(self, peer: str, now: float) -> None:
        """Records that a peer can open no tunnel to any endpoint."""
        self._helped_at.pop(peer, None)
        self._pause((peer, ""), now)

    def _pause(self, key: tuple[str, str], now: float) -> None:
        known = self._pauses.get(key)
        seconds = _MIN_PAUSE_SECONDS
        if known is not None and now < known.until + known.seconds:
            seconds = min(known.seconds * 2, _MAX_PAUSE_SECONDS)
        self._pauses[key] = _Pause(now + seconds, seconds)
        if len(self._pauses) > _MAX_PAUSES:
            self._pauses = {
                k: p for k, p in self._pauses.items() if p.until > now
            }

    def choose(
        self,
        peers: Iterable[fanout.Peer],
        endpoint: str,
        asked: Sequence[fanout.Peer],
        now: float,
    ) -> fanout.Peer | None:
        """Returns the next peer to ask, None if all were asked.

        Args:
            peers: The known instances, without this one.
            endpoint: The endpoint that is searched for.
            asked: Those that were asked in this search, in order.
            now: Steady seconds.
        """
        left = [p for p in peers if p not in asked]
        if not left:
            return None
        free = [p for p in left if self._pause_left(p, endpoint, now) <= 0.0]
        helpers = [p for p in free if self._has_helped(p, now)]
        unknown = [p for p in free if not self._has_helped(p, now)]
        # The first question may look for a further helper; the next ones go
        # to those that are known.
        is_looking = not asked and len(helpers) < _MIN_HELPERS
        groups = (unknown, helpers) if is_looking else (helpers, unknown)
        for candidates in groups:
            if candidates:
                return self._pick(candidates, asked)
        return min(left, key=lambda p: self._pause_left(p, endpoint, now))

    def _pick(
        self, candidates: list[fanout.Peer], asked: Sequence[fanout.Peer]
    ) -> fanout.Peer:
        """Returns a random candidate of the data hall whose turn it is."""
        near = [p for p in candidates if p.data_hall == self._data_hall]
        far = [p for p in candidates if p.data_hall != self._data_hall]
        asked_near = sum(p.data_hall == self._data_hall for p in asked)
        is_near_next = 2 * asked_near <= len(asked)
        pool = near if (near and is_near_next) or not far else far
        return self._rng.choice(pool)

    def _has_helped(self, peer: fanout.Peer, now: float) -> bool:
        helped_at = self._helped_at.get(peer.address)
        return helped_at is not None and now - helped_at < _HELPED_SECONDS

    def _pause_left(
        self, peer: fanout.Peer, endpoint: str, now: float
    ) -> float:
        pauses = (
            self._pauses.get((peer.address, "")),
            self._pauses.get((peer.address, endpoint)),
        )
        return max(
            (p.until - now for p in pauses if p is not None), default=0.0
        )
