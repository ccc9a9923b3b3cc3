"""Stores blocked contents, so that they survive a crash of all instances.

The lease holder writes and removes one object for each content. Each instance
reads them at its start, and a new holder again at the start of its term.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging

from wayslip import errors
from wayslip import logs
from wayslip.decisions import suspicion
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import records

_LOG = logging.getLogger(__name__)
# Interval between attempts to read the objects at the start. It is longer where
# many instances start together.
_READ_RETRY_SECONDS = 1.0


class BlockedContents:
    """Synchronizes the stored objects with the blocked contents."""

    def __init__(
        self,
        store: store_module.Store,
        find_pause: Callable[[float], float],
        on_read: Callable[[Iterable[suspicion.CrashRecord]], None],
    ) -> None:
        """Initializes without any object read.

        Args:
            store: Where they are stored.
            find_pause: Returns the seconds to wait before an attempt that
                other instances make too; given what a single instance would
                wait.
            on_read: Called with the crash records of each object read.
        """
        self._store = store
        self._find_pause = find_pause
        self._on_read = on_read
        # Revisions of the objects by content; None until they were read in
        # this term.
        self._revisions: dict[bytes, int] | None = None
        # A restored store may lack objects; those are written again.
        store.on_restore(self.begin_term)

    def begin_term(self) -> None:
        """Has the objects read again; another holder may have changed them."""
        self._revisions = None

    async def read_at_start(self) -> None:
        """Reads the objects of earlier processes, repeated until it succeeds.

        The lease holder announces them too, but after a crash of all instances
        no instance holds the lease for a while.
        """
        while True:
            try:
                listing = await self._store.list(records.SUSPECT, True)
                break
            except errors.ObjectError as e:
                logs.event(
                    _LOG, "suspects_not_read", logging.WARNING, reason=e.reason
                )
            await asyncio.sleep(self._find_pause(_READ_RETRY_SECONDS))
        for item in listing.items:
            self._on_read(item.value.crash_records)

    async def read(self) -> bool:
        """Reads the objects once in a term; returns whether they were read."""
        if self._revisions is not None:
            return False
        listing = await self._store.list(records.SUSPECT)
        self._revisions = {i.value.content: i.revision for i in listing.items}
        for item in listing.items:
            self._on_read(item.value.crash_records)
        return True

    async def sync(
        self,
        blocked: frozenset[bytes],
        list_crash_records: Callable[[bytes], list[suspicion.CrashRecord]],
    ) -> None:
        """Creates missing objects and removes obsolete ones, after `read`.

        Args:
            blocked: The contents that should be stored.
            list_crash_records: Returns the crash records of a content.

        Raises:
            ObjectUnavailableError: The store did not answer.
        """
        assert self._revisions is not None
        known = self._revisions
        try:
            for content in blocked - known.keys():
                record = records.Suspect(
                    content, tuple(list_crash_records(content))
                )
                stored = await self._store.create(
                    records.SUSPECT, content.hex(), record
                )
                known[content] = stored.revision
            for content in known.keys() - blocked:
                await self._store.remove(
                    records.SUSPECT, content.hex(), known[content]
                )
                del known[content]
        except errors.ObjectConflictError:
            # An answer was lost, or another holder wrote the object.
            self._revisions = None
