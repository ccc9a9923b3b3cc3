"""Follows the objects of one kind: a list, then its changes, for ever.

It reads only while its currency says that it has to.
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
from wayslip.gateway import staleness as staleness_module
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
T = TypeVar("T")

# Between calls while the store does not answer, seconds: a tenth of the time
# after which a configuration must be in force again.
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 0.6
# How long a watch waits that should not wait, seconds.
_POLL_WAIT_SECONDS = 0.001
# Less than this is not waited for: sums of times are not exact, seconds.
_TICK_SECONDS = 0.001
# Where one that may be old did not have what is lacking, none is read again
# within this time, seconds: the store's copies are some seconds behind at most.
_STALE_SECONDS = 5.0
# Objects that can not be read whose last change is remembered, so that each is
# logged once; with more of them some are logged again.
_MAX_REFUSED = 1000


class Watcher(Generic[T]):
    """Follows one kind and tells of lists and changes.

    Args:
        store: Where to read.
        kind: What to follow.
        staleness: Says when reading is needed.
        on_list: Is given every whole list.
        on_changes: Is given changes.
        wait: How long a watch waits, seconds; see `Bounds.watch`.
        find_pause: Returns the seconds to wait before an attempt that others
            make too; given what one instance alone would wait.
        metrics: Where objects that can not be read are counted.
        pause_after_changes: Seconds to wait after changes, so that one call
            returns several of them; calls are priced.
        relists_after_gap: Whether to read the whole list, instead of all
            changes, after a time without reading.
        on_read: Is given when a read of the newest was sent, steady seconds,
            and the objects that could not be read, once its answer is taken
            in.

    Attributes:
        revision: Up to which everything was taken in, None before a list.
        is_synced: Whether a list was read.
        lost_since: When the store stopped answering, None while it does.
        seen_at: The time up to which everything was taken in, steady seconds. A
            large answer is older than its end by the seconds that it took.
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
        # Objects that can not be read: their revision when it was logged.
        self._refused: dict[str, int] = {}
        self.revision: int | None = None
        self.is_synced = False
        self.lost_since: float | None = None
        self.seen_at = 0.0

    @property
    def age(self) -> float:
        """Seconds since what was taken in was all there is."""
        return clock.now() - self.seen_at

    @property
    def is_current(self) -> bool:
        """Whether what was taken in is known to be all there is."""
        if self.staleness.leads:
            return self.age < self.staleness.limit
        return self.staleness.is_fresh

    async def run(self) -> None:
        """Follows until it is cancelled."""
        pause = _MIN_RETRY_SECONDS
        while True:
            if self.staleness.has_recent_update and self.staleness.is_behind:
                await self.staleness.ask_others()
            if self.staleness.is_fresh:
                # Another instance reaches the store for us.
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
        """Waits before the next attempt, for as long as it is not needed.

        Who leads is the first to see the store again, and tells the others.
        They leave it to it while they hear it and it sees no more than they
        do. Once its word is new again they may lack what it tells of.
        """
        began = clock.now()
        draw = random.uniform(0.7, 1.0)
        await asyncio.sleep(pause * draw)
        while not (self.staleness.leads or self.staleness.has_recent_update):
            # Looked up again, since the holder may have fallen silent.
            end = began + self._find_pause(pause) * draw
            left = end - clock.now()
            if left < _TICK_SECONDS:
                return
            await self.staleness.wait_for_update(min(left, pause))

    async def read_now(self) -> None:
        """Reads the newest now, whatever was heard of it.

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
        """Whether an answer that may be old is likely to be enough.

        It is where only the content is lacking, because the holder says what
        is the newest, and for the first answer after a start: the holder's
        word follows within a moment. Of 30 instances that start together, or
        miss a change, 10 and 2 lists at most are then asked for the newest
        instead of 62 and 29.
        """
        if self.staleness.leads:
            return False
        lacks_content = self.staleness.is_behind or self.revision is None
        age = clock.now() - self._read_stale_at
        return lacks_content and age > _STALE_SECONDS

    async def _list(self, may_be_stale: bool) -> float:
        """Takes the list in; returns the time up to which it is complete."""
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
        """Takes changes in; returns the time up to which they are complete."""
        # Only who leads waits for changes; the others look now and then.
        wait = self._wait if self.staleness.leads else _POLL_WAIT_SECONDS
        changes = await self._store.watch(self._kind, revision, wait)
        for change in changes.items:
            self._refused.pop(change.name, None)
        self._note_refused(changes.refused)
        if changes.items:
            self._on_changes(changes)
        # What the holder told meanwhile may be newer than this answer.
        self.revision = max(self.revision or 0, changes.revision)
        self._on_read(changes.asked_at, self._refused.keys())
        if changes.items and self._pause_after_changes:
            await asyncio.sleep(self._pause_after_changes)
        return changes.seen_at

    def _note_refused(self, refused: Iterable[store_module.Refused]) -> None:
        """Logs and counts objects that can not be read, once for a change."""
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
