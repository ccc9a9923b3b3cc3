"""The planning lease, and the claims that permit orders to an engine.

The planning lease is advisory: it avoids duplicate work, and two instances
that both believe to hold it do no harm. Mutual exclusion comes from the claim
on each engine. It is written with a conditional update before every single
order, so an instance that has not written the claim has sent no order since.
Another instance may take over an engine once the claim has been unchanged for
longer than an order's transit time plus the minimum gap between the orders of
two holders. No clock is compared across instances, and no claim has to be
renewed: an engine without recent orders can be taken over at once.

The claim also holds the order whose effect is not known yet, so that a
successor knows what may still arrive.
"""

import dataclasses
import enum

from wayslip.decisions import position

# Validity of a written lease; covers two renewals, of which one may be lost.
HOLD_SECONDS = 1.2
# Interval between renewals.
RENEWAL_SECONDS = 0.5
# Time for which a lease must be observed unchanged before another instance
# takes it: the validity plus the duration of one slow store call.
EXPIRY_SECONDS = 1.7
# Time from the start of a claim's write within which its order must be sent.
SEND_LIMIT_SECONDS = 0.5
# Maximum time that an order may be in transit.
TRANSIT_SECONDS = 0.3
# Number of terms reserved for each era of the store.
_TERMS = 1_000_000


class Action(enum.StrEnum):
    """The operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """An order that may still take effect at an engine.

    Attributes:
        orders: Number of orders that the engine must have accepted before
            this one; the engine refuses it at any other count.
        adapter: Name of the adapter, empty for the model itself.
    """

    endpoint: str
    orders: int
    action: Action
    model: str
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim of an instance to send orders to an engine.

    Attributes:
        token: Fencing token, sent with each order; it increases with every
            change of the holder.
        pending: The last order, unless its effect was known when the claim
            was written.
    """

    endpoint: str
    holder: str
    token: int
    pending: Pending | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedClaim:
    """A claim as one instance last observed it.

    Attributes:
        revision: The store's revision of the claim; 0 if there is no claim.
        since: When this instance first observed the revision, seconds of the
            monotonic clock.
    """

    claim: Claim
    revision: int
    since: float


def next_claim(
    seen: ObservedClaim | None, holder: str, pending: Pending, min_token: int
) -> Claim:
    """Returns the claim to write before an order.

    Args:
        seen: The claim as last observed, None if there is none.
        holder: The instance that sends the order.
        pending: The order.
        min_token: The store's revision at which the holder took the lease.
            It is unique to the holder and higher for later holders, so tokens
            increase even if a claim was removed and created again.
    """
    if seen is None:
        return Claim(pending.endpoint, holder, min_token, pending)
    token = seen.claim.token
    if seen.claim.holder != holder:
        token += 1
    # Also for this instance's own claim: between two of its terms another
    # holder may have sent orders with higher tokens without writing a claim.
    token = max(token, min_token)
    return Claim(pending.endpoint, holder, token, pending)


def observe_claim(
    known: ObservedClaim | None, claim: Claim, revision: int, now: float
) -> ObservedClaim:
    """Returns the observed state of a claim after it was read.

    Args:
        known: The state observed before, None if there is none.
        claim: The claim as read.
        revision: Its position in the store's history.
        now: Seconds of the monotonic clock.
    """
    if known is None:
        return ObservedClaim(claim, revision, now)
    if known.revision == revision:
        return ObservedClaim(claim, revision, known.since)
    is_new_era = position.find_era(revision) > position.find_era(known.revision)
    if is_new_era and claim.token <= known.claim.token:
        # The store was restored from a copy and lost the known claim.
        return ObservedClaim(known.claim, revision, known.since)
    return ObservedClaim(claim, revision, now)


def may_claim(
    seen: ObservedClaim | None, holder: str, min_gap: float, now: float
) -> bool:
    """Whether an instance may write a claim with itself as the holder.

    Args:
        seen: The claim as last observed, None if there is none.
        holder: The instance.
        min_gap: Minimum seconds between the orders of two holders.
        now: Seconds of the monotonic clock.
    """
    if seen is None or seen.claim.holder == holder:
        return True
    return now - seen.since >= SEND_LIMIT_SECONDS + min_gap + TRANSIT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The planning lease as it is stored.

    Attributes:
        holder: The instance that holds it.
        address: Address of the holder for peers, "IP:PORT".
        term: Increases with every change of the holder.
        beat: Increases with every renewal.
        is_released: Whether the holder has released it.
    """

    holder: str
    address: str
    term: int
    beat: int = 0
    is_released: bool = False

    def renew(self) -> "Lease":
        """Returns the lease after a renewal."""
        return dataclasses.replace(self, beat=self.beat + 1)

    def release(self) -> "Lease":
        """Returns the lease after its holder released it."""
        return dataclasses.replace(self, beat=self.beat + 1, is_released=True)


def next_term(highest: int, era: int) -> int:
    """Returns the term of an instance that takes the lease.

    Args:
        highest: The highest known term.
        era: Era of the store's history. Terms of an earlier era may have been
            lost with its last writes, and no term may be used twice.
    """
    return max(highest, era * _TERMS) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease as one instance last observed it.

    Attributes:
        since: When this revision was first observed, seconds of the monotonic
            clock.
    """

    lease: Lease
    revision: int
    since: float


def observe_lease(
    observed: ObservedLease | None, lease: Lease, revision: int, now: float
) -> ObservedLease:
    """Returns the observed state after a lease was read."""
    if observed is not None and observed.revision == revision:
        return dataclasses.replace(observed, lease=lease)
    return ObservedLease(lease, revision, now)


def seconds_until_free(observed: ObservedLease, name: str, now: float) -> float:
    """Returns the seconds until an instance may take the lease.

    A restarted instance may take its own lease at once, as its previous
    process has ended.
    """
    if observed.lease.holder == name or observed.lease.is_released:
        return 0.0
    return max(EXPIRY_SECONDS - (now - observed.since), 0.0)


def may_take(observed: ObservedLease, name: str, now: float) -> bool:
    """Whether an instance may take the lease now."""
    return seconds_until_free(observed, name, now) <= 0.0
