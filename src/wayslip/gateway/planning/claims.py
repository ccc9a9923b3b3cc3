"""Claims on engines, written before each order; see `decisions.lease`."""

from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import detachment
from wayslip.decisions import lease
from wayslip.decisions import position
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import records

_LOG = logging.getLogger(__name__)
# Writes of a claim for one order; the second follows a conflict.
_MAX_WRITES = 2


class Claims:
    """Tracks which instance may order which engine.

    Attributes:
        known: Claims as they were read, written, or announced by a holder.
        min_token: The store's position at which this instance took the
            lease.
        is_detached: Whether this instance may order engines without writing
            to the store; set by the daemon.
        holds_lease: Whether this instance holds a valid lease; set by the
            daemon.
    """

    def __init__(
        self, options: options_module.Options, store: store_module.Store
    ) -> None:
        self._options = options
        self._store = store
        self.known: dict[str, lease.ObservedClaim] = {}
        self.min_token = 0
        self.is_detached: Callable[[], bool] = lambda: False
        self.holds_lease: Callable[[], bool] = lambda: False
        # Until then a previous holder may still order engines in detached
        # operation: by its announcements, and by those that only the process
        # before this one may have received.
        self._hold_off_until = 0.0
        self._startup_hold_off_until = self._find_end_of_detached_orders()
        # Until then orders may arrive whose claims the store has lost.
        self._store_hold_off_until = 0.0
        # Positions of the store's history that the lease holder announced.
        self._history = position.History()
        self._era = 0
        store.on_restore(lambda: self._note_era(store.era))

    def note_revision(self, endpoint: str, revision: int) -> None:
        """Records a claim's revision that its holder announced."""
        seen = self.known.get(endpoint)
        if seen is not None and seen.revision >= revision:
            return
        # The holder stays unknown until this instance reads the claim.
        unknown = lease.Claim(endpoint, "", 0)
        self.known[endpoint] = lease.ObservedClaim(
            unknown, revision, clock.now()
        )

    def note_position(self, heard: int) -> None:
        """Records a position of the store that the lease holder announced."""
        self._history.note(heard, clock.now())
        era = position.find_era(heard)
        # A restore before the start of this process is covered by the initial
        # hold-off.
        is_first = not max(self._era, self._store.era)
        self._note_era(era, is_first or era <= self._store.era)

    def _note_era(self, era: int, is_known: bool = False) -> None:
        """Starts the hold-off of a restore, unless it is known."""
        if era <= self._era:
            return
        self._era = era
        if not is_known:
            self._start_store_hold_off()

    def start_hold_off(self) -> None:
        """Starts the hold-off for a holder that orders without claims."""
        self._hold_off_until = self._find_end_of_detached_orders()

    def note_no_predecessor(self) -> None:
        """Ends the initial hold-off, as no other instance held the lease."""
        if self._store.era <= position.FIRST_ERA:
            # In a later era the store may have lost another instance's lease.
            self._startup_hold_off_until = 0.0

    def _start_store_hold_off(self) -> None:
        """Holds off from all engines after the store has lost writes.

        It counts from the first news of that, whoever told it. The lost writes
        may include claims of orders that another instance sent. The lease
        holder does not wait, because such orders are its own. No instance that
        knows less of them can write claims before this hold-off is over.
        """
        if self.holds_lease() or self.is_detached():
            return
        distance = self._options.bounds.lease + lease.TRANSIT_SECONDS
        self._store_hold_off_until = (
            clock.now() + lease.SEND_LIMIT_SECONDS + distance
        )

    def _find_end_of_detached_orders(self) -> float:
        """Returns until when orders of a detached holder may arrive."""
        distance = self._options.bounds.lease + lease.TRANSIT_SECONDS
        return clock.now() + detachment.HOLD_OFF_SECONDS + distance

    async def read_all(self) -> None:
        """Reads all claims, at the start of a term.

        Raises:
            ObjectUnavailableError: The store did not answer.
        """
        listing = await self._store.list(records.CLAIM)
        for stored in listing.items:
            self._observe(stored)

    def _observe(self, stored: store_module.Stored[lease.Claim]) -> None:
        # It was written before a later position of the store became known.
        heard_at = self._history.find_time(stored.revision)
        self.known[stored.name] = lease.observe_claim(
            self.known.get(stored.name),
            stored.value,
            stored.revision,
            clock.now() if heard_at is None else heard_at,
        )

    async def remove(self, endpoint: str) -> None:
        """Removes the claim of an engine that left the fleet."""
        seen = self.known.pop(endpoint, None)
        if seen is None:
            return
        try:
            await self._store.remove(records.CLAIM, endpoint, seen.revision)
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_removed", endpoint=endpoint, reason=e.reason
            )

    def may_claim(self, endpoint: str) -> bool:
        """Whether this instance may claim an engine now."""
        now = clock.now()
        hold_off_until = max(
            self._hold_off_until,
            self._startup_hold_off_until,
            self._store_hold_off_until,
        )
        return now >= hold_off_until and lease.may_claim(
            self.known.get(endpoint),
            self._options.name,
            self._options.bounds.lease,
            now,
        )

    async def write(self, pending: lease.Pending) -> lease.Claim | None:
        """Claims an engine for one order.

        Returns:
            The claim; None if the engine may not be claimed or the write
            failed.
        """
        for _ in range(_MAX_WRITES):
            if not self.may_claim(pending.endpoint):
                return None
            claim = lease.next_claim(
                self.known.get(pending.endpoint),
                self._options.name,
                pending,
                self.min_token,
            )
            if self.is_detached():
                return claim
            try:
                stored = await self._write(claim)
            except errors.ObjectError as e:
                logs.event(
                    _LOG,
                    "claim_not_written",
                    endpoint=pending.endpoint,
                    reason=e.reason,
                )
                await self._read(pending.endpoint)
                if not isinstance(e, errors.ObjectConflictError):
                    return None
                # What was read may be an own claim: after a restore of the
                # store, or after a write whose answer was lost.
                continue
            self.known[pending.endpoint] = lease.ObservedClaim(
                claim, stored.revision, clock.now()
            )
            return claim
        return None

    async def _write(
        self, claim: lease.Claim
    ) -> store_module.Stored[lease.Claim]:
        """Writes a claim in place of the one that is known.

        Raises:
            ObjectConflictError: Another claim is stored.
            ObjectUnavailableError: The store did not answer.
        """
        seen = self.known.get(claim.endpoint)
        if seen is None:
            return await self._store.create(
                records.CLAIM, claim.endpoint, claim
            )
        return await self._store.replace(
            records.CLAIM,
            store_module.Stored(claim.endpoint, seen.revision, claim),
        )

    async def _read(self, endpoint: str) -> None:
        """Reads a claim whose write met a conflict or had no answer."""
        try:
            stored = await self._store.get(records.CLAIM, endpoint)
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_read", endpoint=endpoint, reason=e.reason
            )
            return
        if stored is not None:
            self._observe(stored)
        else:
            self.known.pop(endpoint, None)
