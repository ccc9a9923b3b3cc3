"""Whether the lease's holder may order engines while nobody reaches the store.

An order is normally preceded by a write that keeps other instances away from
its engine. While the store answers nobody, nobody can write, and the holder of
the lease may go on without it, as long as every instance agrees: each says
that the store does not answer it and that it heard the holder just now. An
instance that heard so keeps away from all engines for `HOLD_OFF_SECONDS` and
the distance between holders, whatever it writes later. The store stays the only
place where the lease changes hands; the instances agree on nothing but that
it is away.
"""

from collections.abc import Iterable
import dataclasses

# An instance's word counts for this long after the holder sent what it
# answers, seconds: four reports of a fleet of 200, where each instance reports
# every 0.5 s and its word is 0.8 s old when the next one comes. Less than that
# turned every lost datagram of one instance into a pause of all orders.
STATUS_LIFETIME_SECONDS = 2.0
# An instance that reaches the store again is given to the holder for so long
# before it yields, seconds; the holder tries several times meanwhile.
YIELD_DELAY_SECONDS = 0.8
# An instance that fell silent without saying that it stops may be cut off from
# us and not from the store. It takes the lease then, within two seconds; one
# that has not done so after this long while ours was renewed is gone, or cut
# off from the store too, seconds.
MISSING_SECONDS = 4.0
# An order that was decided on an instance's word may still leave and travel,
# seconds.
_ORDER_TRANSIT_SECONDS = 0.5
# How long after a detached holder was last heard it may still order, seconds.
HOLD_OFF_SECONDS = STATUS_LIFETIME_SECONDS + _ORDER_TRANSIT_SECONDS


def make_stamp(now: float) -> int:
    """Returns a steady time as it is told: in whole microseconds.

    Whole milliseconds made the state that told of a proposal seem older than
    the proposal, so the first answers of all instances did not count; the next
    ones came half a second later.

    Args:
        now: Steady seconds.
    """
    return int(now * 1_000_000)


def read_stamp(stamp: int) -> float:
    """Returns the steady seconds of a time as it is told."""
    return stamp / 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What an instance said of itself.

    Attributes:
        echoed_at: When the holder sent the statement that it answers, steady
            seconds of the holder.
        is_disconnected: Whether the store did not answer it when it last tried.
    """

    echoed_at: float
    is_disconnected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Detachment:
    """What the holder may do without the store.

    Attributes:
        proposed_at: Since when the holder says that it goes on without the
            store, None while it does not.
        is_granted: Whether all have heard so, and it may order engines.
        store_reached_since: Since when an instance has reached the store,
            None while none does.
    """

    proposed_at: float | None = None
    is_granted: bool = False
    store_reached_since: float | None = None

    def judge(
        self,
        statuses: Iterable[PeerStatus],
        has_missing_instance: bool,
        now: float,
    ) -> "Detachment":
        """Returns what the holder may do, given all instances' last words.

        Old word of one instance pauses the orders and does not withdraw the
        proposal: what the others have heard of it stays true, and the next
        word of that one is enough to go on.

        Args:
            statuses: One of every other instance that runs.
            has_missing_instance: Whether one fell silent without saying why.
            now: Steady seconds.
        """
        known = list(statuses)
        if has_missing_instance:
            return NONE
        since = None
        if not all(w.is_disconnected for w in known):
            if not self.is_granted:
                return NONE
            since = (
                now
                if self.store_reached_since is None
                else self.store_reached_since
            )
            if now - since >= YIELD_DELAY_SECONDS:
                return NONE
        proposed = now if self.proposed_at is None else self.proposed_at
        oldest = max(proposed, now - STATUS_LIFETIME_SECONDS)
        has_all = all(w.echoed_at >= oldest for w in known)
        return Detachment(proposed, has_all, since)


NONE = Detachment()
