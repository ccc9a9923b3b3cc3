"""Holds the lease on ordering engines, or knows who does."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random
import time

from wayslip import errors
from wayslip import logs
from wayslip.decisions import lease
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
NAME = "placement"
# Between looks at the lease while its holder is silent, seconds.
_LOOK_SECONDS = 0.6
# Between writes of a holder whose last one had no answer, seconds.
_REPEAT_SECONDS = 0.15
# Instances that see a free lease together try at different times, seconds.
_SPREAD_SECONDS = 0.4
# A record is not trusted for its last tenth, in which an order may be late.
_ORDER_MARGIN = 0.2


class Leadership:
    """This instance's part in the lease.

    Attributes:
        sight: The record as last read or written.
        seen_token: The highest token seen; words of older ones are dropped.
    """

    def __init__(
        self,
        options: options_module.Options,
        store: store_module.Store,
        kind: store_module.Kind[lease.Record],
        on_taken: Callable[[lease.Record], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._options = options
        self._store = store
        self._kind = kind
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._asked = asyncio.Event()
        self._asked.set()
        self._lock = asyncio.Lock()
        self._is_held = False
        self._own_token = 0
        self._is_stopping = False
        self._valid_until = 0.0
        self._starts_at = 0.0
        self.sight: lease.Sight | None = None
        self.pending: Callable[[], tuple[lease.Pending, ...]] = tuple

    # What others ask

    @property
    def seen_token(self) -> int:
        """The highest fencing token that was seen."""
        return self.sight.record.token if self.sight else 0

    @property
    def token(self) -> int:
        """Our fencing token while we hold the lease."""
        return self.seen_token

    @property
    def revision(self) -> int:
        """Of the record as last read or written."""
        return self.sight.revision if self.sight else 0

    @property
    def is_held(self) -> bool:
        """Whether we hold the lease, perhaps without being able to renew."""
        return self._is_held

    def hear(self, revision: int) -> None:
        """Takes in the revision of the holder's last renewal, from itself.

        A follower that knows since when the record has stood can take an
        expired lease without watching the record for that time first.
        """
        if self.sight is None or self._is_held:
            return
        if revision > self.sight.revision:
            self.sight = lease.Sight(
                self.sight.record, revision, time.monotonic()
            )

    @property
    def holder_address(self) -> str | None:
        """Where the holder hears its peers, None if nobody is known."""
        return self.sight.record.address if self.sight else None

    @property
    def is_valid(self) -> bool:
        """Whether we hold the lease and may rely on that now."""
        return self._is_held and time.monotonic() < self._valid_until

    @property
    def may_order(self) -> bool:
        """Whether an order may be sent now."""
        now = time.monotonic()
        return (
            self._is_held
            and not self._is_stopping
            and self._starts_at <= now < self._valid_until - _ORDER_MARGIN
        )

    def ask(self) -> None:
        """Has the lease looked at, because its holder is silent."""
        self._asked.set()

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
            await self._asked.wait()
            self._asked.clear()
            await self._look()
            return
        # A holder whose lease ran out goes on writing: if that succeeds on
        # the old revision, nobody has taken the lease meanwhile.
        await asyncio.sleep(lease.RENEWAL if self.is_valid else _REPEAT_SECONDS)
        await self.write()

    async def _note_outage(self, error: errors.ObjectError) -> None:
        logs.event(
            _LOG,
            "lease_not_reached",
            logging.WARNING,
            reason=error.reason,
            held=self._is_held,
        )
        await asyncio.sleep(_REPEAT_SECONDS if self._is_held else _LOOK_SECONDS)
        self._asked.set()

    async def _refresh(self) -> None:
        """Reads the record after a write met another one."""
        try:
            await self._read()
        except errors.ObjectError as e:
            await self._note_outage(e)

    async def _read(self) -> lease.Sight | None:
        async with self._lock:
            began = time.monotonic()
            stored = await self._store.get(self._kind, NAME)
            if stored is None:
                return None
            self._note(stored, began)
            return self.sight

    def _note(
        self, stored: store_module.Stored[lease.Record], began: float
    ) -> None:
        """Takes in a record that was read, which may be an own late write."""
        sight = lease.see(
            self.sight, stored.value, stored.revision, time.monotonic()
        )
        self.sight = sight
        if self._is_held and (
            sight.record.holder != self._options.name
            or sight.record.token != self._own_token
        ):
            self._lose("another instance took it")

    async def _look(self) -> None:
        if self._is_stopping:
            return
        sight = await self._read()
        if sight is None:
            await asyncio.sleep(random.uniform(0, _SPREAD_SECONDS))
            await self._take(None)
            return
        if not lease.may_take(sight, self._options.name, time.monotonic()):
            await asyncio.sleep(_LOOK_SECONDS)
            # Unless the holder was heard meanwhile, it is looked at again by
            # the next report that goes unanswered.
            return
        await asyncio.sleep(random.uniform(0, _SPREAD_SECONDS))
        await self._take(sight)

    async def _take(self, sight: lease.Sight | None) -> None:
        began = time.monotonic()
        if sight is None:
            record = lease.Record(self._options.name, self._options.peers, 1)
            stored = await self._store.create(self._kind, NAME, record)
            starts_at = began
        else:
            record = lease.Record(
                self._options.name,
                self._options.peers,
                sight.record.token + 1,
                pending=sight.record.pending,
            )
            stored = await self._store.replace(
                self._kind, store_module.Stored(NAME, sight.revision, record)
            )
            starts_at = lease.find_start(
                sight, self._options.name, self._options.bounds.lease, began
            )
        self.sight = lease.Sight(record, stored.revision, time.monotonic())
        self._own_token = record.token
        self._is_held = True
        self._valid_until = began + lease.HOLD
        self._starts_at = starts_at
        logs.event(
            _LOG,
            "lease_taken",
            fence=record.token,
            orders_in=f"{starts_at - time.monotonic():.2f}",
            pending=len(record.pending),
        )
        self._on_taken(record)

    async def write(self) -> None:
        """Writes the record with the orders that are out; renews the lease.

        Raises:
            ObjectConflictError: The lease is lost, or an answer was.
            ObjectUnavailableError: The store did not answer.
        """
        async with self._lock:
            if not self._is_held or self.sight is None:
                raise errors.ObjectConflictError(
                    "the lease is not held", "leave orders to its holder"
                )
            began = time.monotonic()
            record = self.sight.record.renew(self.pending())
            stored = await self._store.replace(
                self._kind,
                store_module.Stored(NAME, self.sight.revision, record),
            )
            self.sight = lease.Sight(record, stored.revision, time.monotonic())
            self._valid_until = began + lease.HOLD

    async def release(self) -> None:
        """Gives the lease back at a planned stop."""
        self._is_stopping = True
        if not self._is_held or self.sight is None:
            return
        try:
            async with self._lock:
                record = self.sight.record.release()
                record = dataclasses.replace(record, pending=self.pending())
                await self._store.replace(
                    self._kind,
                    store_module.Stored(NAME, self.sight.revision, record),
                )
        except errors.ObjectError as e:
            logs.event(
                _LOG, "lease_not_released", logging.WARNING, reason=e.reason
            )
        self._lose("it was released")

    def _lose(self, reason: str) -> None:
        self._is_held = False
        logs.event(_LOG, "lease_lost", logging.WARNING, reason=reason)
        self._on_lost()
        self._asked.set()
