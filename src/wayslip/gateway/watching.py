"""Follows the objects of one kind: a list, then its changes, for ever."""

import asyncio
from collections.abc import Callable
import logging
import random
import time
from typing import Generic
from typing import TypeVar

from wayslip import errors
from wayslip import logs
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
T = TypeVar("T")

# Between calls while the store does not answer, seconds: a tenth of the time
# after which a configuration must be in force again.
_RETRY_SECONDS = 0.25
_RETRY_MOST = 0.6


class Watcher(Generic[T]):
    """Follows one kind and tells of lists and changes.

    Args:
        store: Where to read.
        kind: What to follow.
        take_list: Is given every whole list.
        take_change: Is given every change.
        wait: How long a watch waits, seconds; see `Bounds.watch`.
        rest: Pause after changes, seconds, so that several come with one
            call; calls are priced.

    Attributes:
        is_synced: Whether a list was read.
        lost_since: When the store stopped answering, None while it does.
    """

    def __init__(
        self,
        store: store_module.Store,
        kind: store_module.Kind[T],
        take_list: Callable[[tuple[store_module.Stored[T], ...]], None],
        take_change: Callable[[store_module.Change[T]], None],
        wait: float,
        rest: float = 0.0,
    ) -> None:
        self._store = store
        self._kind = kind
        self._take_list = take_list
        self._take_change = take_change
        self._wait = wait
        self._rest = rest
        self.is_synced = False
        self.lost_since: float | None = None

    async def run(self) -> None:
        """Follows until it is cancelled."""
        revision: int | None = None
        pause = _RETRY_SECONDS
        while True:
            try:
                if revision is None:
                    revision = await self._list()
                else:
                    revision = await self._watch(revision)
                self._regain()
                pause = _RETRY_SECONDS
            except errors.WatchExpiredError:
                revision = None
            except errors.ObjectError as e:
                self._lose(e)
                await asyncio.sleep(pause * random.uniform(0.7, 1.0))
                pause = min(pause * 1.5, _RETRY_MOST)

    async def _list(self) -> int:
        listing = await self._store.list(self._kind)
        self._take_list(listing.items)
        self.is_synced = True
        return listing.revision

    async def _watch(self, revision: int) -> int:
        changes = await self._store.watch(self._kind, revision, self._wait)
        for change in changes.items:
            self._take_change(change)
        if changes.items and self._rest:
            await asyncio.sleep(self._rest)
        return changes.revision

    def _lose(self, error: errors.ObjectError) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = time.monotonic()
        logs.event(
            _LOG,
            "store_lost",
            logging.WARNING,
            kind=self._kind.name,
            reason=error.reason,
        )

    def _regain(self) -> None:
        if self.lost_since is None:
            return
        seconds = time.monotonic() - self.lost_since
        self.lost_since = None
        logs.event(
            _LOG,
            "store_regained",
            kind=self._kind.name,
            seconds=f"{seconds:.1f}",
        )
