"""Which software version began a stream, and which instances remember it.

What two versions of an endpoint's software write doesn't fit together, so a
stream goes on only at the version that began it. A client may take it up at any
instance, also after the one that began it has ended. So a few others, its
keepers, are told the version before the first event. They are chosen by
rendezvous hashing, so that every instance finds them by the stream's id, and
most of them stay the same when instances come and go.
"""

from collections.abc import Iterable
import dataclasses

from wayslip.decisions import fanout
from wayslip.decisions import ownership

# Keepers of each stream. Two of them may be lost at once.
KEEPERS = 3
# Further instances that are asked, in case the one that told the keepers knew
# others.
_MORE_ASKED = 2
# For how long an origin is kept: longer than a client waits for a whole stream.
# It begins anew each time that the stream is taken up.
_KEPT_SECONDS = 60.0
# Origins kept at once; the oldest are dropped. Each takes about 300 bytes.
_MAX_ORIGINS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The service and version that began a stream.

    Attributes:
        service: The service; a route may have several.
        version: The version of the endpoint's software.
        number: Counts the versions that the stream was sent to before its
            first event; the highest one holds.
    """

    service: str
    version: str
    number: int = 0


class Origins:
    """Origins of streams, by the id of the request that began them."""

    def __init__(self) -> None:
        # Origins and when they are dropped, the oldest first.
        self._known: dict[str, tuple[Origin, float]] = {}

    def __len__(self) -> int:
        """Returns the number of origins."""
        return len(self._known)

    def note(self, stream: str, origin: Origin, now: float) -> None:
        """Records an origin, unless a later one is known."""
        known = self._known.pop(stream, None)
        if known is not None and known[0].number > origin.number:
            origin = known[0]
        self._known[stream] = (origin, now + _KEPT_SECONDS)
        self._drop(now)

    def find(self, stream: str, now: float) -> Origin | None:
        """Returns a stream's origin, None if it is not known."""
        origin, until = self._known.get(stream, (None, 0.0))
        return origin if now < until else None

    def _drop(self, now: float) -> None:
        while self._known:
            oldest = next(iter(self._known))
            is_over = self._known[oldest][1] <= now
            if not is_over and len(self._known) <= _MAX_ORIGINS:
                return
            del self._known[oldest]


def choose_keepers(stream: str, peers: Iterable[fanout.Peer]) -> list[str]:
    """Returns the addresses of the instances that keep a stream's origin.

    Args:
        stream: The stream's id.
        peers: The other instances.
    """
    return _rank(stream, peers)[:KEEPERS]


def choose_asked(stream: str, peers: Iterable[fanout.Peer]) -> list[str]:
    """Returns the addresses of the instances that are asked first."""
    return _rank(stream, peers)[: KEEPERS + _MORE_ASKED]


def _rank(stream: str, peers: Iterable[fanout.Peer]) -> list[str]:
    """Returns addresses by their draw; the best of each data hall come first.

    A data hall may be lost as a whole.
    """
    by_address = {p.address: p for p in peers}
    ranked = ownership.rank_owners(stream, by_address)
    seen: dict[str, int] = {}
    order: list[tuple[int, int, str]] = []
    for position, address in enumerate(ranked):
        peer = by_address[address]
        turn = seen.get(peer.data_hall, 0)
        seen[peer.data_hall] = turn + 1
        order.append((turn, position, address))
    return [address for _, _, address in sorted(order)]
