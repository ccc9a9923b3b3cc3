"""Follows the objects of one kind: a list, then its changes, until cancelled.

It reads the store only while its `Staleness` requires this.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
import logging
import random
from typing import Generic
from typing import TypeVar

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import staleness as staleness_module

_LOG = logging.getLogger(__name__)
T = TypeVar("T")

# Delay between calls while the store does not answer: about a tenth of the time
# within which a configuration must be in force again.
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 0.6
# Wait of a watch that should return at once.
_POLL_WAIT_SECONDS = 0.001
# Shorter waits are skipped, because sums of times are not exact.
_TICK_SECONDS = 0.001
# After a stale read that did not contain the missing change, no other stale
# read is made within this time: the store's copies are at most some seconds
# behind.
_STALE_SECONDS = 5.0
# Invalid objects whose last revision is remembered, so that each is logged
# once; with more of them some are logged again.
_MAX_REFUSED = 1000


class Watcher(Generic[T]):
    """Follows one kind of objects and reports lists and changes.

    Args:
        store: Where to read.
        kind: What to follow.
        staleness: Determines when reading is needed.
        on_list: Receives every whole list.
        on_changes: Receives changes.
        wait: How long a watch waits, seconds; see `Bounds.watch`.
        find_pause: Returns the seconds to wait before an attempt that other
            instances make too; its argument is the wait of a single instance.
        metrics: Where objects that can not be decoded are counted.
        pause_after_changes: Seconds to wait after changes, so that one call
            returns several of them; calls are priced.
        relists_after_gap: Whether to read the whole list, instead of all
            changes, after a time without reading.
        on_read: Receives the steady time at which a read of the newest state
            was sent and the names of invalid objects, after the answer was
            applied.

    Attributes:
        revision: All changes up to this were applied, None before a list.
        is_synced: Whether a list was read.
        lost_since: When the store stopped answering, None while it answers.
        seen_at: All changes up to this time were applied, steady seconds. The
            transfer time of a large answer counts towards its age.
    """

    def __init__(
        self,
        store: store_module.Store,
        kind: store_module.Kind[T],
        staleness: staleness_module.Staleness,
        on_list: Callable[[store_module.Listing[T]], None],
        on_changes: Callable[[store_module.Changes[T]], None],
        wait: float,
        find_pause: Callable[[float], float],
        metrics: metrics_module.Metrics,
        pause_after_changes: float = 0.0,
        relists_after_gap: bool = False,
        on_read: Callable[[float, Set[str]], None] = lambda asked_at, names: (
            None
        ),
    ) -> None:
        self._store = store
        self._kind = kind
        self.staleness = staleness
        self._on_list = on_list
        self._on_changes = on_changes
        self._wait = wait
        self._find_pause = find_pause
        self._metrics = metrics
        self._pause_after_changes = pause_after_changes
        self._relists_after_gap = relists_after_gap
        self._on_read = on_read
        self._must_list = True
        self._read_stale_at = float("-inf")
        # Revisions of invalid objects at the time they were logged.
        self._refused: dict[str, int] = {}
        self.revision: int | None = None
        self.is_synced = False
        self.lost_since: float | None = None
        self.seen_at = 0.0

    @property
    def age(self) -> float:
        """Seconds since the applied state was known to be complete."""
        return clock.now() - self.seen_at

    @property
    def is_current(self) -> bool:
        """Whether the applied state is known to be complete now."""
        if self.staleness.leads:
            return self.age < self.staleness.limit
        return self.staleness.is_fresh

    async def run(self) -> None:
        """Follows the objects until cancelled."""
        pause = _MIN_RETRY_SECONDS
        while True:
            if self.staleness.has_recent_update and self.staleness.is_behind:
                await self.staleness.ask_others()
            if self.staleness.is_fresh:
                # Another instance reaches the store on this one's behalf.
                self._note_regained()
                self._must_list |= self._relists_after_gap
                await self.staleness.wait_until_needed()
            try:
                await self._read()
                self._note_regained()
                pause = _MIN_RETRY_SECONDS
            except errors.WatchExpiredError:
                self._must_list = True
            except errors.ObjectError as e:
                self._note_lost(e)
                await self._wait_to_retry(pause)
                pause = min(pause * 1.5, _MAX_RETRY_SECONDS)

    async def _wait_to_retry(self, pause: float) -> None:
        """Waits before the next attempt, and longer while it is not needed.

        The lease holder is the first to reach the store again, and announces
        it. The other instances leave the attempts to it while they receive its
        state and it knows no more than they do. Once its state is recent again,
        they may lack changes that it announces.
        """
        began = clock.now()
        draw = random.uniform(0.7, 1.0)
        await asyncio.sleep(pause * draw)
        while not (self.staleness.leads or self.staleness.has_recent_update):
            # Computed anew, since the holder may have become unresponsive.
            end = began + self._find_pause(pause) * draw
            left = end - clock.now()
            if left < _TICK_SECONDS:
                return
            await self.staleness.wait_for_update(min(left, pause))

    async def read_now(self) -> None:
        """Reads the newest state now, whatever was announced.

        Raises:
            ObjectError: The store did not answer.
        """
        if self.revision is None or self._must_list:
            await self._list(False)
            return
        try:
            await self._watch(self.revision)
        except errors.WatchExpiredError:
            await self._list(False)

    async def _read(self) -> None:
        if self.revision is not None and not self._must_list:
            seen_at = await self._watch(self.revision)
        elif self._may_be_stale():
            if self.staleness.is_behind:
                self._read_stale_at = clock.now()
            await self._list(True)
            self.staleness.note_stale_read()
            return
        else:
            seen_at = await self._list(False)
        self.staleness.note_read(seen_at)
        self.seen_at = seen_at

    def _may_be_stale(self) -> bool:
        """Whether a stale answer is likely to be enough.

        It is enough if only the content is missing, because the holder
        announces which revision is the newest, and for the first read after a
        start, because the holder's state follows within a second. For 30
        instances that start together this makes at most 10 reads of the newest
        list instead of 62; for 30 that miss a change, 2 instead of 29.
        """
        if self.staleness.leads:
            return False
        lacks_content = self.staleness.is_behind or self.revision is None
        age = clock.now() - self._read_stale_at
        return lacks_content and age > _STALE_SECONDS

    async def _list(self, may_be_stale: bool) -> float:
        """Applies the list; returns the time up to which it is complete."""
        listing = await self._store.list(self._kind, may_be_stale)
        listed = {r.name for r in listing.refused}
        self._refused = {n: r for n, r in self._refused.items() if n in listed}
        self._note_refused(listing.refused)
        self._on_list(listing)
        self.revision = listing.revision
        self._must_list = False
        self.is_synced = True
        if not may_be_stale:
            self._on_read(listing.seen_at, self._refused.keys())
        return listing.seen_at

    async def _watch(self, revision: int) -> float:
        """Applies changes; returns the time up to which they are complete."""
        # Only the lease holder waits for changes; other instances poll.
        wait = self._wait if self.staleness.leads else _POLL_WAIT_SECONDS
        changes = await self._store.watch(self._kind, revision, wait)
        for change in changes.items:
            self._refused.pop(change.name, None)
        self._note_refused(changes.refused)
        if changes.items:
            self._on_changes(changes)
        # The holder may have announced a later revision meanwhile.
        self.revision = max(self.revision or 0, changes.revision)
        self._on_read(changes.asked_at, self._refused.keys())
        if changes.items and self._pause_after_changes:
            await asyncio.sleep(self._pause_after_changes)
        return changes.seen_at

    def _note_refused(self, refused: Iterable[store_module.Refused]) -> None:
        """Logs and counts invalid objects, once for each of their changes."""
        for one in refused:
            if self._refused.get(one.name) == one.revision:
                continue
            if len(self._refused) >= _MAX_REFUSED:
                self._refused.clear()
            self._refused[one.name] = one.revision
            self._metrics.count(
                "refused_objects", kind=self._kind.name, field=one.field
            )
            logs.event(
                _LOG,
                "object_refused",
                logging.WARNING,
                kind=self._kind.name,
                object=one.name,
                revision=one.revision,
                reason=one.reason,
            )

    def _note_lost(self, error: errors.ObjectError) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = clock.now()
        logs.event(
            _LOG,
            "store_lost",
            logging.WARNING,
            kind=self._kind.name,
            reason=error.reason,
        )

    def _note_regained(self) -> None:
        if self.lost_since is None:
            return
        seconds = clock.now() - self.lost_since
        self.lost_since = None
        logs.event(
            _LOG,
            "store_regained",
            kind=self._kind.name,
            seconds=f"{seconds:.1f}",
        )
