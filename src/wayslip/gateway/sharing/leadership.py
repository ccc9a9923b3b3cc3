"""Acquires and renews the lease on planning, or tracks its holder."""

import asyncio
from collections.abc import Callable
import logging
import random

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import lease
from wayslip.decisions import position
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import renewal_timeout

_LOG = logging.getLogger(__name__)
NAME = "placement"
# Interval between reads of the lease while its holder is unresponsive.
_CHECK_PERIOD_SECONDS = 0.6
# Shorter waits are skipped, because sums of times are not exact.
_MIN_WAIT_SECONDS = 0.001
# Interval between writes of a holder whose last write had no answer.
_REPEAT_SECONDS = 0.05
# The same once it has announced that it can't renew the lease. It is still the
# first to learn that the store is available again.
_OVERDUE_REPEAT_SECONDS = 0.2
# Time-out of a renewal: above what the store takes when it is fifty times as
# slow as usual. The renewal is then repeated on a new connection, because its
# answer may have been lost.
_ANSWER_TIMEOUT_SECONDS = 0.3
# Random delay before an attempt to take a free lease, so that instances that
# see it at the same time try at different times.
_JITTER_SECONDS = 0.3
# Delay before an attempt to take the lease, divided by one plus the instance's
# cores. It favours instances with more processor time: planning for a large
# fleet takes a considerable part of a core, and delays requests there.
_CORES_DELAY_SECONDS = 0.3
# Delay that favours instances with more bandwidth: the full delay at none, half
# of it at `_LINK_HALF_BYTES_PER_S` (25 Mbit/s). A large configuration reaches
# the holder before all others, and 1 MB takes it 1.7 s over 5 Mbit/s. With 40
# instances, 3 of them on wide links, the last one had a second change after
# 2.9 s where the holder was on a narrow link, and after 0.5 s otherwise.
_LINK_DELAY_SECONDS = 0.25
_LINK_HALF_BYTES_PER_S = 3_125_000.0
# Delay of an instance that reaches no endpoint, and so could not order any:
# longer than all other delays together.
_IMPAIRED_DELAY_SECONDS = 1.0


class Leadership:
    """This instance's view of the lease, and its attempts to hold it.

    Attributes:
        observed: The record as last read, written or announced.
        seen_term: The highest term seen; messages of older ones are dropped.
        is_impaired: Returns whether others should take the lease if they can.
    """

    def __init__(
        self,
        options: options_module.Options,
        store: store_module.Store,
        kind: store_module.Kind[lease.Lease],
        on_taken: Callable[[], None],
        on_lost: Callable[[], None],
        find_pause: Callable[[float], float] = lambda usual: usual,
        on_cut_off: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes without the lease.

        Args:
            options: The instance's options.
            store: Where the lease is stored.
            kind: The kind of the stored record.
            on_taken: Called when this instance has taken the lease.
            on_lost: Called when it has lost it.
            find_pause: Returns the seconds to wait before an attempt that
                other instances make too; given what a single instance would
                wait.
            on_cut_off: Called when the store has stopped answering.
        """
        self._options = options
        self._store = store
        self._kind = kind
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._find_pause = find_pause
        self._on_cut_off = on_cut_off
        self._check_requested = asyncio.Event()
        self._check_requested.set()
        # Set when a holder announces that it has renewed the lease.
        self._renewed = asyncio.Event()
        self._lock = asyncio.Lock()
        self._is_held = False
        # The term whose holder announced that it can't renew the lease.
        self._yielded_term = 0
        # The store counts as unreachable until its first answer.
        self._is_cut_off = True
        self._own_term = 0
        # Includes terms of records that the store has lost.
        self._highest_term = 0
        # Whether the store lost this instance's lease, so that it may be
        # written again.
        self._may_retake = False
        self._follows_another = False
        self._is_stopping = False
        self._valid_until = 0.0
        self._renewal_timeout = renewal_timeout.RenewalTimeout()
        self.observed: lease.ObservedLease | None = None
        self.is_impaired: Callable[[], bool] = lambda: False

    # State

    @property
    def seen_term(self) -> int:
        """The highest term seen; while the lease is held, its own term."""
        term = self.observed.lease.term if self.observed else 0
        return max(term, self._highest_term)

    @property
    def revision(self) -> int:
        """Revision of the observed record, 0 if there is none."""
        return self.observed.revision if self.observed else 0

    @property
    def is_held(self) -> bool:
        """Whether this instance holds the lease, even if it can't renew it."""
        return self._is_held

    @property
    def follows_another(self) -> bool:
        """Whether another instance held the lease before this one."""
        return self._follows_another

    @property
    def is_first_term(self) -> bool:
        """Whether this instance holds the first lease that was ever given."""
        era = self._store.era
        is_first = self._own_term == lease.next_term(0, era)
        return self._is_held and is_first and era <= position.FIRST_ERA

    def note_renewal(self, revision: int) -> None:
        """Records the revision of the last renewal, as the holder announced.

        A follower that knows since when the record is unchanged can take an
        expired lease without observing the record for that time first.
        """
        if self.observed is None or self._is_held:
            return
        if revision > self.observed.revision:
            self.observed = lease.ObservedLease(
                self.observed.lease, revision, clock.now()
            )
            # The store answers the holder, at least. Whether it answers this
            # instance too shows at the next read, see `request_check`.
            self._is_cut_off = False
            self._renewed.set()

    def receive_detached(self, term: int) -> None:
        """Records that the holder runs and is in detached operation."""
        if self.observed is None or self._is_held:
            return
        if self._yielded_term == term:
            self._yielded_term = 0
        self.observed = lease.ObservedLease(
            self.observed.lease, self.observed.revision, clock.now()
        )

    def receive_yield(self, term: int) -> None:
        """Records that the holder of a term announced that it can't renew."""
        self._yielded_term = term
        self._check_requested.set()

    def receive_holder(self, term: int, revision: int, address: str) -> None:
        """Records a new holder, as it announced itself.

        This saves a read of the store, and it also reaches a previous holder
        that is disconnected from the store.
        """
        if self._is_held:
            self._lose("a holder with a higher term announced itself")
        announced = lease.Lease("", address, term)
        self._may_retake = False
        self._highest_term = max(self.seen_term, term)
        self.observed = lease.ObservedLease(announced, revision, clock.now())

    @property
    def holder_address(self) -> str | None:
        """The holder's address for peers, None if no holder is known."""
        return self.observed.lease.address if self.observed else None

    @property
    def is_renewal_overdue(self) -> bool:
        """Whether renewals by this instance got no answer for too long."""
        return self._renewal_timeout.has_expired

    @property
    def is_cut_off(self) -> bool:
        """Whether the store has not answered yet, or not the last call."""
        return self._is_cut_off

    @property
    def is_valid(self) -> bool:
        """Whether this instance holds a lease that has not expired."""
        return (
            self._is_held
            and not self._renewal_timeout.has_expired
            and clock.now() < self._valid_until
        )

    async def look_up(self) -> None:
        """Reads who holds the lease, without taking it if it is free."""
        try:
            await self._read(may_be_stale=True)
        except errors.ObjectError as e:
            logs.event(_LOG, "lease_not_read", reason=e.reason)

    def request_check(self) -> None:
        """Requests a check of the lease, because its holder is unresponsive."""
        self._check_requested.set()

    # The loop

    async def run(self) -> None:
        """Renews the lease, or checks its holder, until cancelled."""
        while True:
            try:
                await self._step()
            except errors.ObjectConflictError:
                await self._refresh()
            except errors.ObjectError as e:
                await self._note_outage(e)

    async def _step(self) -> None:
        if not self._is_held:
            await self._check_requested.wait()
            self._check_requested.clear()
            await self._check()
            return
        # A holder whose lease expired continues to write: if a write succeeds
        # on the old revision, no other instance has taken the lease meanwhile.
        is_answered = self.is_valid and not self._renewal_timeout.is_pending
        pause = lease.RENEWAL_SECONDS if is_answered else _REPEAT_SECONDS
        if self._renewal_timeout.has_expired:
            pause = _OVERDUE_REPEAT_SECONDS
        await asyncio.sleep(pause)
        await self.renew()

    async def _note_outage(self, error: errors.ObjectError) -> None:
        logs.event(
            _LOG,
            "lease_not_reached",
            logging.WARNING,
            reason=error.reason,
            held=self._is_held,
        )
        if not self._is_cut_off:
            self._is_cut_off = True
            self._on_cut_off()
        if not self._is_held:
            await self._wait_to_check()
        self._check_requested.set()

    async def _wait_to_check(self) -> None:
        """Waits for the next check of the lease, or for a holder's renewal."""
        self._renewed.clear()
        began = clock.now()
        jitter = random.uniform(0.7, 1.0)
        # Repeated in short intervals, since the pause depends on whether the
        # holder is responsive.
        while True:
            end = began + self._find_pause(_CHECK_PERIOD_SECONDS) * jitter
            left = end - clock.now()
            if left < _MIN_WAIT_SECONDS:
                return
            try:
                async with asyncio.timeout(min(left, _CHECK_PERIOD_SECONDS)):
                    await self._renewed.wait()
                    return
            except TimeoutError:
                pass

    async def _refresh(self) -> None:
        """Reads the record after a write conflicted with another one."""
        try:
            await self._read()
        except errors.ObjectError as e:
            await self._note_outage(e)

    async def _read(
        self, may_be_stale: bool = False
    ) -> lease.ObservedLease | None:
        async with self._lock:
            began = clock.now()
            stored = await self._store.get(self._kind, NAME, may_be_stale)
            self._is_cut_off = False
            if stored is None:
                if self._is_held:
                    self._lose_to_rollback()
                return None
            self._observe(stored, began)
            return self.observed

    def _observe(
        self, stored: store_module.Stored[lease.Lease], began: float
    ) -> None:
        """Applies a record that was read; it may be an own late write."""
        if (
            self.observed is not None
            and stored.revision < self.observed.revision
        ):
            # An outdated answer, or one that an announcement has overtaken.
            return
        self._highest_term = self.seen_term
        observed = lease.observe_lease(
            self.observed, stored.value, stored.revision, clock.now()
        )
        self.observed = observed
        if not self._is_held:
            return
        is_ours = (
            observed.lease.holder == self._options.name
            and observed.lease.term == self._own_term
        )
        if not is_ours and observed.lease.term < self._own_term:
            self._lose_to_rollback()
            return
        if not is_ours:
            self._lose("another instance took it")
            return
        # A renewal whose answer was lost has taken effect.
        self._renewal_timeout.end()
        self._valid_until = max(self._valid_until, began + lease.HOLD_SECONDS)

    async def _check(self) -> None:
        if self._is_stopping:
            return
        if self._may_retake:
            await self._retake()
            return
        await self._wait_until_free()
        await self._delay_attempt()
        # An instance that the store did not answer continues with the read,
        # because the store may turn away the holder only.
        if not self._is_cut_off and not await self._wait_for_silence():
            return
        # A stale read is harmless: the record is replaced only if it is still
        # the newest one.
        observed = await self._read(may_be_stale=True)
        if observed is None:
            await self._take(None)
            return
        is_free = self._yielded_term == observed.lease.term or lease.may_take(
            observed, self._options.name, clock.now()
        )
        if is_free:
            await self._take(observed)
            return
        await asyncio.sleep(_CHECK_PERIOD_SECONDS)
        # The caller of `request_check` repeats it if the holder stays
        # unresponsive.

    async def _retake(self) -> None:
        """Takes the lease again after the store was restored without it.

        A record with an earlier term is from the restored copy, and its holder
        no longer holds the lease.
        """
        observed = await self._read()
        self._may_retake = False
        if observed is None or observed.lease.term < self.seen_term:
            await self._take(observed)

    async def _wait_until_free(self) -> None:
        """Waits until an unresponsive holder's lease expires, if that is known.

        An instance that checks earlier finds the lease still held and checks
        again too late. The lease then goes to the instances with the longest
        delay, which are those with the fewest cores and the least bandwidth.
        """
        while (
            left := self._seconds_until_free()
        ) > 0 and not self._is_holder_active():
            self._check_requested.clear()
            try:
                async with asyncio.timeout(left):
                    await self._check_requested.wait()
            except TimeoutError:
                return

    async def _wait_for_silence(self) -> bool:
        """Waits until the holder was silent for as long as a lease is valid.

        The record may have been read just before the holder released it.

        Returns:
            Whether that is so; False once the holder is heard from.
        """
        first = self.observed
        while self._is_holder_active():
            assert self.observed is not None and first is not None
            if self.observed.since > first.since:
                return False
            self._check_requested.clear()
            left = self.observed.since + lease.HOLD_SECONDS - clock.now()
            try:
                async with asyncio.timeout(max(left, _MIN_WAIT_SECONDS)):
                    await self._check_requested.wait()
            except TimeoutError:
                pass
        return True

    def _seconds_until_free(self) -> float:
        """Returns the seconds until another holder's lease can be taken."""
        if self.observed is None or self._is_cut_off:
            return 0.0
        if self._yielded_term == self.observed.lease.term:
            return 0.0
        return lease.seconds_until_free(
            self.observed, self._options.name, clock.now()
        )

    def _is_holder_active(self) -> bool:
        """Whether the holder was heard from recently and has not yielded."""
        return (
            self.observed is not None
            and self._yielded_term != self.observed.lease.term
            and clock.now() - self.observed.since < lease.HOLD_SECONDS
        )

    async def _delay_attempt(self) -> None:
        delay = _CORES_DELAY_SECONDS / (1.0 + self._options.cores)
        link = self._options.bytes_per_s
        delay += _LINK_DELAY_SECONDS / (1.0 + link / _LINK_HALF_BYTES_PER_S)
        if self.is_impaired():
            delay += _IMPAIRED_DELAY_SECONDS
        await asyncio.sleep(delay + random.uniform(0, _JITTER_SECONDS))

    async def _take(self, observed: lease.ObservedLease | None) -> None:
        began = clock.now()
        era = self._store.era
        term = lease.next_term(self.seen_term, era)
        own_lease = lease.Lease(self._options.name, self._options.peers, term)
        if observed is None:
            stored = await self._store.create(self._kind, NAME, own_lease)
            if position.find_era(stored.revision) != era:
                raise errors.ObjectConflictError(
                    "the store lost writes meanwhile", "take the lease again"
                )
        else:
            stored = await self._store.replace(
                self._kind,
                store_module.Stored(NAME, observed.revision, own_lease),
            )
        self._follows_another = (
            observed is not None and observed.lease.holder != self._options.name
        )
        self.observed = lease.ObservedLease(
            own_lease, stored.revision, clock.now()
        )
        self._own_term = own_lease.term
        self._renewal_timeout.end()
        self._is_held = True
        self._valid_until = began + lease.HOLD_SECONDS
        logs.event(_LOG, "lease_taken", term=own_lease.term)
        self._on_taken()

    async def renew(self) -> None:
        """Renews the lease in the store, unless it was lost meanwhile.

        Raises:
            ObjectConflictError: The lease, or the answer to an earlier
                renewal, was lost.
            ObjectUnavailableError: The store did not answer.
        """
        async with self._lock:
            # An instance that lost the lease while it waited for the lock may
            # have observed its successor's record, and would overwrite it.
            if not self._is_held:
                return
            assert self.observed is not None
            began = clock.now()
            own_lease = self.observed.lease.renew()
            self._renewal_timeout.begin()
            stored = await self._store.replace(
                self._kind,
                store_module.Stored(NAME, self.observed.revision, own_lease),
                _ANSWER_TIMEOUT_SECONDS,
            )
            self._renewal_timeout.end()
            self.observed = lease.ObservedLease(
                own_lease, stored.revision, clock.now()
            )
            self._valid_until = began + lease.HOLD_SECONDS

    async def release(self) -> None:
        """Releases the lease at a planned stop."""
        self._is_stopping = True
        await self._give_up("it was released")

    async def step_down(self) -> None:
        """Releases the lease so that an instance in better shape takes it."""
        await self._give_up("this instance reaches no endpoint")

    async def _give_up(self, reason: str) -> None:
        if not self._is_held or self.observed is None:
            return
        try:
            async with self._lock:
                own_lease = self.observed.lease.release()
                await self._store.replace(
                    self._kind,
                    store_module.Stored(
                        NAME, self.observed.revision, own_lease
                    ),
                )
        except errors.ObjectError as e:
            logs.event(
                _LOG, "lease_not_released", logging.WARNING, reason=e.reason
            )
        # Another instance may have taken it meanwhile.
        if self._is_held:
            self._lose(reason)

    def _lose_to_rollback(self) -> None:
        """Handles that a restored store lost the lease; it may be retaken."""
        self._lose("the store was restored from a copy without it")
        self._may_retake = not self._is_stopping

    def _lose(self, reason: str) -> None:
        self._is_held = False
        self._highest_term = self.seen_term
        self._renewal_timeout.end()
        logs.event(_LOG, "lease_lost", logging.WARNING, reason=reason)
        self._on_lost()
        self._check_requested.set()
