"""Which instance plans loads, and which may order an engine.

The lease on planning is soft: it spares double work, and two instances that
both think they hold it do no harm. What keeps orders apart is the claim on
each engine. It is written, on the condition that nobody wrote it meanwhile,
before every single order, so a claim that was not written has sent nothing
since. Another instance may take an engine over once it knows that the claim
has stood unchanged for longer than an order's way and the distance that two
holders must keep. No clock is compared across instances, and nothing has to
be renewed: an engine without recent orders changes hands at once.

The claim also holds the order whose effect is not known yet, so a successor
knows what may still arrive.
"""

import dataclasses
import enum

from wayslip.decisions import position

# Seconds for which a written lease entitles its holder to plan; about two
# renewals of which one may be lost.
HOLD_SECONDS = 1.2
# Seconds between renewals.
RENEWAL_SECONDS = 0.5
# Seconds for which a lease must be known unchanged before another takes it;
# HOLD and the time of one slow call of the store.
EXPIRY_SECONDS = 1.7
# Seconds after the start of a claim's write in which its order must leave.
SEND_LIMIT_SECONDS = 0.5
# Seconds that an order may take on its way.
TRANSIT_SECONDS = 0.3
# Terms of one era of the store.
_TERMS = 1_000_000


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
class Claim:
    """Who orders an engine.

    Attributes:
        token: Rises with every change of the holder; orders carry it.
        pending: The last order, unless its effect was known when the claim
            was written.
    """

    endpoint: str
    holder: str
    token: int
    pending: Pending | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedClaim:
    """A claim as one instance knows it.

    Attributes:
        revision: Of the store; 0 if there is no claim.
        since: When this instance first knew of the revision, steady seconds.
    """

    claim: Claim
    revision: int
    since: float


def next_claim(
    seen: ObservedClaim | None, holder: str, pending: Pending, min_token: int
) -> Claim:
    """Returns the claim to write before an order.

    Args:
        seen: The claim as known, None if there is none.
        holder: Who gives the order.
        pending: The order.
        min_token: The store's revision at which the holder took the lease.
            No two holders share one and later ones are higher, so tokens
            rise even where a claim was removed and made anew.
    """
    if seen is None:
        return Claim(pending.endpoint, holder, min_token, pending)
    token = seen.claim.token
    if seen.claim.holder != holder:
        token += 1
    # Also a claim of our own: others may have ordered the engine between two
    # terms of ours without a claim, with higher tokens.
    token = max(token, min_token)
    return Claim(pending.endpoint, holder, token, pending)


def observe_claim(
    known: ObservedClaim | None, claim: Claim, revision: int, now: float
) -> ObservedClaim:
    """Returns what is known of a claim after it was read.

    Args:
        known: What was known before, None for nothing.
        claim: As it was read.
        revision: Its position in the store's history.
        now: Steady seconds.
    """
    if known is None:
        return ObservedClaim(claim, revision, now)
    if known.revision == revision:
        return ObservedClaim(claim, revision, known.since)
    is_new_era = position.find_era(revision) > position.find_era(known.revision)
    if is_new_era and claim.token <= known.claim.token:
        # The store has lost what is known.
        return ObservedClaim(known.claim, revision, known.since)
    return ObservedClaim(claim, revision, now)


def may_claim(
    seen: ObservedClaim | None, holder: str, min_gap: float, now: float
) -> bool:
    """Whether an instance may write itself into a claim.

    Args:
        seen: The claim as known, None if there is none.
        holder: The instance.
        min_gap: Seconds that two holders' orders keep apart.
        now: Steady seconds.
    """
    if seen is None or seen.claim.holder == holder:
        return True
    return now - seen.since >= SEND_LIMIT_SECONDS + min_gap + TRANSIT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease on planning as it is written.

    Attributes:
        holder: The instance that holds it.
        address: Where peers reach the holder, "IP:PORT".
        term: Rises with every holder.
        beat: Rises with every renewal.
        is_released: Whether the holder has given it back.
    """

    holder: str
    address: str
    term: int
    beat: int = 0
    is_released: bool = False

    def renew(self) -> "Lease":
        """Returns the lease with a new beat."""
        return dataclasses.replace(self, beat=self.beat + 1)

    def release(self) -> "Lease":
        """Returns the lease of a holder that gives it back."""
        return dataclasses.replace(self, beat=self.beat + 1, is_released=True)


def next_term(highest: int, era: int) -> int:
    """Returns the term of an instance that takes the lease.

    Args:
        highest: The highest term that is known.
        era: Of the store's history. Terms of an earlier one may have been lost
            with the last writes, and none may be given out twice.
    """
    return max(highest, era * _TERMS) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease as an instance sees it.

    Attributes:
        since: When this very revision was first heard of, steady seconds.
    """

    lease: Lease
    revision: int
    since: float


def observe_lease(
    observed: ObservedLease | None, lease: Lease, revision: int, now: float
) -> ObservedLease:
    """Returns the sight after a lease was read."""
    if observed is not None and observed.revision == revision:
        return dataclasses.replace(observed, lease=lease)
    return ObservedLease(lease, revision, now)


def seconds_until_free(observed: ObservedLease, name: str, now: float) -> float:
    """Returns the seconds until an instance may take the lease.

    An instance whose process started again may take its own lease at once:
    the process before is gone.
    """
    if observed.lease.holder == name or observed.lease.is_released:
        return 0.0
    return max(EXPIRY_SECONDS - (now - observed.since), 0.0)


def may_take(observed: ObservedLease, name: str, now: float) -> bool:
    """Whether an instance may write itself into the lease."""
    return seconds_until_free(observed, name, now) <= 0.0
