"""Detached operation: orders to engines while the store is unreachable.

An order is normally preceded by a write to the store that keeps other
instances from ordering the same engine. While no instance can reach the store,
none can write, and the lease holder may order engines without it as long as
every instance agrees: each reports that the store does not answer it and that
it received the holder's recent messages. An instance that received the
holder's proposal sends no orders for `HOLD_OFF_SECONDS` plus the time kept
between the orders of two holders, whatever it writes later. The lease changes
hands only in the store; the instances agree only that it is unreachable.
"""

from collections.abc import Iterable
import dataclasses

# An instance's status is valid for this long after the holder sent the message
# that it answers. This spans four reports in a fleet of 200, where each
# instance reports every 0.5 s and its status is 0.8 s old when the next one
# arrives. With a shorter time, every lost datagram of one instance paused all
# orders.
STATUS_LIFETIME_SECONDS = 2.0
# When another instance reaches the store again, a granted holder goes on for
# this long before it yields; meanwhile it tries several times to reach the
# store itself.
YIELD_DELAY_SECONDS = 0.8
# An instance that stopped reporting without announcing that it stops may be
# disconnected from the holder but not from the store. It would then take the
# lease within two seconds. If it has not done so after this time, while the
# holder's lease was renewed, it has ended or can not reach the store either.
MISSING_SECONDS = 4.0
# Time to send and deliver an order that was decided on an instance's status.
_ORDER_TRANSIT_SECONDS = 0.5
# After a detached holder's last message, its orders may arrive for this long.
HOLD_OFF_SECONDS = STATUS_LIFETIME_SECONDS + _ORDER_TRANSIT_SECONDS


def make_stamp(now: float) -> int:
    """Returns a monotonic time as it is sent: in whole microseconds.

    With whole milliseconds, the message that announced a proposal seemed older
    than the proposal, so the first answers of all instances did not count; the
    next ones arrived half a second later.

    Args:
        now: Seconds of a monotonic clock.
    """
    return int(now * 1_000_000)


def read_stamp(stamp: int) -> float:
    """Returns the seconds of a time as it is sent."""
    return stamp / 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """The last status that an instance reported.

    Attributes:
        echoed_at: When the holder sent the message that the status answers,
            seconds of the holder's monotonic clock.
        is_disconnected: Whether the store did not answer the instance's last
            try.
    """

    echoed_at: float
    is_disconnected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Detachment:
    """State of detached operation at the lease holder.

    Attributes:
        proposed_at: Since when the holder proposes detached operation, None
            while it does not.
        is_granted: Whether all instances have received the proposal recently,
            so that the holder may order engines.
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
        is_deserted: bool = False,
    ) -> "Detachment":
        """Returns the state that follows from all instances' last statuses.

        An expired status of one instance pauses the orders but does not
        withdraw the proposal: the other instances have still received it, and
        the next status of that instance is enough to continue.

        Args:
            statuses: One of every other running instance.
            has_missing_instance: Whether one stopped reporting without
                announcing that it stops.
            now: Seconds of the holder's monotonic clock.
            is_deserted: Whether no other instance reports although some did
                in this term, and did not announce that they stop. It is then
                more likely that this instance is cut off from them than that
                all have ended, and they may reach the store.
        """
        known = list(statuses)
        if has_missing_instance or is_deserted:
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
