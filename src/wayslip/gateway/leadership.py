"""Holds the lease on planning, or knows who does."""

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
from wayslip.gateway import renewal_timeout
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
NAME = "placement"
# Between looks at the lease while its holder is silent, seconds.
_CHECK_PERIOD_SECONDS = 0.6
# Less than this is not waited for: sums of times are not exact, seconds.
_MIN_WAIT_SECONDS = 0.001
# Between writes of a holder whose last one had no answer, seconds.
_REPEAT_SECONDS = 0.05
# The same once others were told that it can not renew, seconds: it is still
# the first to know that the store is back.
_OVERDUE_REPEAT_SECONDS = 0.2
# A renewal's answer is waited for this long, seconds: above what the store
# takes when it is fifty times as slow as usual. Then it is sent again on a new
# connection, because the answer may have been lost.
_ANSWER_TIMEOUT_SECONDS = 0.3
# Instances that see a free lease together try at different times, seconds.
_JITTER_SECONDS = 0.3
# One with little processor time leaves the lease to others for this long,
# seconds divided by one and its cores: planning for a large fleet takes a good
# part of a core, and requests there wait for it.
_CORES_DELAY_SECONDS = 0.3
# One with a narrow link does so too, seconds at no link at all, half of that at
# this many bytes a second (25 Mbit/s). All others have a large configuration
# after the holder only, which needs 1.7 s for 1 MB over 5 Mbit/s: of 40
# instances with 3 wide links the last had a second change after 2.9 s where
# one with a narrow link held the lease, after 0.5 s else.
_LINK_DELAY_SECONDS = 0.25
_LINK_HALF_BYTES_PER_S = 3_125_000.0


class Leadership:
    """This instance's part in the lease.

    Attributes:
        observed: The record as last read or written.
        seen_term: The highest term seen; words of older ones are dropped.
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
            options: The instance's facts.
            store: Where the lease is kept.
            kind: Of the record.
            on_taken: Called when this instance has taken the lease.
            on_lost: Called when it has lost it.
            find_pause: Returns the seconds to wait before an attempt that
                others make too; given what one instance alone would wait.
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
        # Set when a holder is heard to have renewed the lease.
        self._renewed = asyncio.Event()
        self._lock = asyncio.Lock()
        self._is_held = False
        # The term whose holder said that it can not renew the lease.
        self._yielded_term = 0
        # Until the store has answered once, it is taken as away.
        self._is_cut_off = True
        self._own_term = 0
        # Of a record that the store has lost, too.
        self._highest_term = 0
        # Whether the store lost our lease, so that we may write it again.
        self._may_retake = False
        self._follows_another = False
        self._is_stopping = False
        self._valid_until = 0.0
        self._renewal_timeout = renewal_timeout.RenewalTimeout()
        self.observed: lease.ObservedLease | None = None

    # What others ask

    @property
    def seen_term(self) -> int:
        """The highest term that was seen; our own while we hold the lease."""
        term = self.observed.lease.term if self.observed else 0
        return max(term, self._highest_term)

    @property
    def revision(self) -> int:
        """Of the record as last read or written."""
        return self.observed.revision if self.observed else 0

    @property
    def is_held(self) -> bool:
        """Whether we hold the lease, perhaps without being able to renew."""
        return self._is_held

    @property
    def follows_another(self) -> bool:
        """Whether another instance held the lease before our term."""
        return self._follows_another

    def note_renewal(self, revision: int) -> None:
        """Takes in the revision of the holder's last renewal, from itself.

        A follower that knows since when the record has stood can take an
        expired lease without watching the record for that time first.
        """
        if self.observed is None or self._is_held:
            return
        if revision > self.observed.revision:
            self.observed = lease.ObservedLease(
                self.observed.lease, revision, clock.now()
            )
            # The store is back, for the holder at least. Who needs to know
            # whether it answers us too will have us ask it again.
            self._is_cut_off = False
            self._renewed.set()

    def receive_detached(self, term: int) -> None:
        """Takes in that the holder lives and goes on without the store."""
        if self.observed is None or self._is_held:
            return
        if self._yielded_term == term:
            self._yielded_term = 0
        self.observed = lease.ObservedLease(
            self.observed.lease, self.observed.revision, clock.now()
        )

    def receive_yield(self, term: int) -> None:
        """Takes in that the holder of a term says it can not go on."""
        self._yielded_term = term
        self._check_requested.set()

    def receive_holder(self, term: int, revision: int, address: str) -> None:
        """Takes in from a new holder that it has the lease.

        This spares a read of the store, and it reaches a holder before that
        is cut off from the store.
        """
        if self._is_held:
            self._lose("a holder with a higher term is heard")
        announced = lease.Lease("", address, term)
        self._may_retake = False
        self._highest_term = max(self.seen_term, term)
        self.observed = lease.ObservedLease(announced, revision, clock.now())

    @property
    def holder_address(self) -> str | None:
        """Where the holder hears its peers, None if nobody is known."""
        return self.observed.lease.address if self.observed else None

    @property
    def is_renewal_overdue(self) -> bool:
        """Whether our renewals have had no answer for too long."""
        return self._renewal_timeout.has_expired

    @property
    def is_cut_off(self) -> bool:
        """Whether the store has not answered yet, or not when last asked."""
        return self._is_cut_off

    @property
    def is_valid(self) -> bool:
        """Whether we hold the lease and may rely on that now."""
        return (
            self._is_held
            and not self._renewal_timeout.has_expired
            and clock.now() < self._valid_until
        )

    def request_check(self) -> None:
        """Has the lease looked at, because its holder is silent."""
        self._check_requested.set()

    # The loop

    async def run(self) -> None:
        """Renews the lease, or looks after its holder, for ever."""
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
        # A holder whose lease ran out goes on writing: if that succeeds on
        # the old revision, nobody has taken the lease meanwhile.
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
        """Waits for another look at the lease, or for a holder's renewal."""
        self._renewed.clear()
        began = clock.now()
        jitter = random.uniform(0.7, 1.0)
        # Looked up again and again, since the holder may fall silent.
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
        """Reads the record after a write met another one."""
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
        """Takes in a record that was read, which may be an own late write."""
        if (
            self.observed is not None
            and stored.revision < self.observed.revision
        ):
            # An old answer, or one that the holder's word has overtaken.
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
        # One that the store did not answer goes on asking: the holder may be
        # the only one that it turns away.
        if self._is_holder_active() and not self._is_cut_off:
            return
        # An old record is harmless: it is written over only if it is the
        # newest still.
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
        # Unless the holder was heard meanwhile, whoever watches it asks again.

    async def _retake(self) -> None:
        """Takes the lease again where the store came back without it.

        A record with an earlier term is of the copy, and its holder does not
        hold the lease any more.
        """
        observed = await self._read()
        self._may_retake = False
        if observed is None or observed.lease.term < self.seen_term:
            await self._take(observed)

    async def _wait_until_free(self) -> None:
        """Waits until a silent holder's lease has run out, if it is known when.

        Whoever looks before finds it still held, and looks again too late:
        the instances that waited longest took it, which are those with the
        least processor and link.
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
        """Whether a holder spoke while we let others go first."""
        return (
            self.observed is not None
            and self._yielded_term != self.observed.lease.term
            and clock.now() - self.observed.since < lease.HOLD_SECONDS
        )

    async def _delay_attempt(self) -> None:
        delay = _CORES_DELAY_SECONDS / (1.0 + self._options.cores)
        link = self._options.bytes_per_s
        delay += _LINK_DELAY_SECONDS / (1.0 + link / _LINK_HALF_BYTES_PER_S)
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
                    "the store lost writes meanwhile", "take it again"
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
        """Writes the lease once more, unless it was lost meanwhile.

        Raises:
            ObjectConflictError: The lease is lost, or an answer was.
            ObjectUnavailableError: The store did not answer.
        """
        async with self._lock:
            # Whoever lost the lease while it waited knows its successor's
            # record by now, and would write over that.
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
        """Gives the lease back at a planned stop."""
        self._is_stopping = True
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
        self._lose("it was released")

    def _lose_to_rollback(self) -> None:
        """Loses the lease with what the store lost, until it is retaken."""
        self._lose("the store came back from a copy without it")
        self._may_retake = not self._is_stopping

    def _lose(self, reason: str) -> None:
        self._is_held = False
        self._highest_term = self.seen_term
        self._renewal_timeout.end()
        logs.event(_LOG, "lease_lost", logging.WARNING, reason=reason)
        self._on_lost()
        self._check_requested.set()
