"""Claims on engines, written before every order; see `decisions.lease`."""

from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import detachment
from wayslip.decisions import lease
from wayslip.gateway import options as options_module
from wayslip.gateway import records
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
# The first era of a store that has lost nothing yet.
_FIRST_ERA = 1


class Claims:
    """Who may order which engine, as this instance knows it.

    Attributes:
        known: Claims as they were read, written, or told by another holder.
        min_token: The store's position at which this instance took the
            lease.
        is_detached: Whether we may order without the store; set by who knows.
        holds_lease: Whether we hold the lease for sure; set by who knows.
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
        # Until then a holder before us may still order without the store, as
        # was heard, and as the process before this one may have heard.
        self._kept_away_until = 0.0
        self._unsure_until = self._find_end_of_detached_orders()
        # Until then orders may be near that the store has lost the claims of.
        self._returned_until = 0.0
        store.on_restore(self._note_return)

    def hear(self, endpoint: str, revision: int) -> None:
        """Takes in a claim's revision as its holder tells it."""
        seen = self.known.get(endpoint)
        if seen is not None and seen.revision >= revision:
            return
        # Whose it is, is read when we come to take it over.
        unknown = lease.Claim(endpoint, "", 0)
        self.known[endpoint] = lease.ObservedClaim(
            unknown, revision, clock.now()
        )

    def start_hold_off(self) -> None:
        """Notes that a holder orders engines without writing claims."""
        self._kept_away_until = self._find_end_of_detached_orders()

    def note_no_predecessor(self) -> None:
        """Notes that no other instance held the lease before this one."""
        if self._store.era <= _FIRST_ERA:
            # A later one may lack the lease of another instance.
            self._unsure_until = 0.0

    def _note_return(self) -> None:
        """Keeps away from all engines once the store has lost writes.

        Another instance may have ordered them and the store have lost that,
        unless that was us. Nobody can write claims before this is over who
        knows less of it.
        """
        if self.holds_lease() or self.is_detached():
            return
        distance = self._options.bounds.lease + lease.TRANSIT_SECONDS
        self._returned_until = clock.now() + lease.SEND_LIMIT_SECONDS + distance

    def _find_end_of_detached_orders(self) -> float:
        """Returns until when a holder heard now may be too near with orders."""
        distance = self._options.bounds.lease + lease.TRANSIT_SECONDS
        return clock.now() + detachment.HOLD_OFF_SECONDS + distance

    async def read_all(self) -> None:
        """Reads all claims, as a new planner.

        Raises:
            ObjectUnavailableError: The store did not answer.
        """
        listing = await self._store.list(records.CLAIM)
        for stored in listing.items:
            self._note(stored)

    def _note(self, stored: store_module.Stored[lease.Claim]) -> None:
        self.known[stored.name] = lease.observe_claim(
            self.known.get(stored.name),
            stored.value,
            stored.revision,
            clock.now(),
        )

    async def drop(self, endpoint: str) -> None:
        """Removes the claim of an engine that is gone."""
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
        """Whether an engine may be ordered by this instance now."""
        now = clock.now()
        away_until = max(
            self._kept_away_until, self._unsure_until, self._returned_until
        )
        return now >= away_until and lease.may_claim(
            self.known.get(endpoint),
            self._options.name,
            self._options.bounds.lease,
            now,
        )

    async def write(self, pending: lease.Pending) -> lease.Claim | None:
        """Claims an engine for one order; returns None if it can not be."""
        endpoint = pending.endpoint
        if not self.may_claim(endpoint):
            return None
        seen = self.known.get(endpoint)
        claim = lease.next_claim(
            seen, self._options.name, pending, self.min_token
        )
        if self.is_detached():
            return claim
        try:
            if seen is None:
                stored = await self._store.create(
                    records.CLAIM, endpoint, claim
                )
            else:
                stored = await self._store.replace(
                    records.CLAIM,
                    store_module.Stored(endpoint, seen.revision, claim),
                )
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_written", endpoint=endpoint, reason=e.reason
            )
            await self._read(endpoint)
            return None
        self.known[endpoint] = lease.ObservedClaim(
            claim, stored.revision, clock.now()
        )
        return claim

    async def _read(self, endpoint: str) -> None:
        """Reads a claim again whose write met another, or had no answer."""
        try:
            stored = await self._store.get(records.CLAIM, endpoint)
        except errors.ObjectError as e:
            logs.event(
                _LOG, "claim_not_read", endpoint=endpoint, reason=e.reason
            )
            return
        if stored is not None:
            self._note(stored)
        else:
            self.known.pop(endpoint, None)
