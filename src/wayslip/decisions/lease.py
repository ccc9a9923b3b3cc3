"""Who may order engines: one holder at a time, by an object in the store.

No clock is compared across instances. The holder proves itself by writing its
record again and again; it trusts a write for `HOLD` seconds from the moment
the write was begun. Anyone else may take the lease after seeing the record
unchanged for longer, and then waits until the last order of the holder before
lies `Bounds.lease` seconds back. A write that takes effect late fails on its
condition or delays the taker, so both stay safe.

The record also holds the orders whose effect is not known yet. They are
written before they are sent, so a successor knows what may still arrive.
"""

import dataclasses
import enum

# Seconds for which a written record entitles its holder to send orders; about
# two renewals of which one may be lost.
HOLD = 1.2
# Seconds between renewals.
RENEWAL = 0.5
# Seconds for which a record must be seen unchanged before another takes it;
# HOLD plus the time of one slow call of the store.
EXPIRY = 1.7
# Seconds added to the distance between two holders' orders, for the way that
# an order takes.
TRAVEL = 0.3


class Action(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """An order that an engine may still take.

    Attributes:
        orders: How many orders the engine must have taken before this one;
            with any other count it refuses.
        adapter: Empty for the model itself.
    """

    endpoint: str
    orders: int
    action: Action
    model: str
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The lease as it is written.

    Attributes:
        holder: The instance that holds it.
        address: Where peers reach the holder, "IP:PORT".
        token: Rises with every holder; orders carry it.
        beat: Rises with every write of a holder.
        is_released: Whether the holder has stopped sending orders for good.
    """

    holder: str
    address: str
    token: int
    beat: int = 0
    is_released: bool = False
    pending: tuple[Pending, ...] = ()

    def renew(self, pending: tuple[Pending, ...]) -> "Record":
        """Returns the record with a new beat and the orders that are out."""
        return dataclasses.replace(self, beat=self.beat + 1, pending=pending)

    def release(self) -> "Record":
        """Returns the record of a holder that sends no more orders."""
        return dataclasses.replace(self, beat=self.beat + 1, is_released=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Sight:
    """A record as an instance sees it.

    Attributes:
        since: When this very record was first seen, steady seconds.
    """

    record: Record
    revision: int
    since: float


def see(
    sight: Sight | None, record: Record, revision: int, now: float
) -> Sight:
    """Returns the sight after a record was read."""
    if sight is not None and sight.revision == revision:
        return dataclasses.replace(sight, record=record)
    return Sight(record, revision, now)


def may_take(sight: Sight, name: str, now: float) -> bool:
    """Whether an instance may write itself into the record.

    An instance whose process started again may take its own lease at once:
    the process before is gone.
    """
    if sight.record.holder == name or sight.record.is_released:
        return True
    return now - sight.since >= EXPIRY


def find_start(sight: Sight, name: str, distance: float, taken: float) -> float:
    """Returns when a new holder may send its first order, steady seconds.

    Args:
        sight: The record that was replaced.
        name: The new holder.
        distance: Seconds that two holders' orders keep apart.
        taken: When the lease was taken.
    """
    if sight.record.holder == name:
        return taken
    # A released record was written after the last order.
    last = sight.since if sight.record.is_released else sight.since + HOLD
    return max(taken, last + distance + TRAVEL)
