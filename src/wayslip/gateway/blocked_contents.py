"""Keeps what is condemned in the store, for when all instances end together.

The lease's holder writes and removes one object for each content; each
instance reads them at its start, and a new holder once more.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging

from wayslip import errors
from wayslip import logs
from wayslip.decisions import suspicion
from wayslip.gateway import records
from wayslip.gateway import store as store_module

_LOG = logging.getLogger(__name__)
# Between attempts to read them at the start, seconds; instances that start
# together in a large fleet take longer.
_LEARN_SECONDS = 1.0


class BlockedContents:
    """The objects in the store, and whether they are in line with us."""

    def __init__(
        self,
        store: store_module.Store,
        find_pause: Callable[[float], float],
        learn: Callable[[Iterable[suspicion.CrashRecord]], None],
    ) -> None:
        """Initializes without any object read.

        Args:
            store: Where they are kept.
            find_pause: Returns the seconds to wait before an attempt that
                others make too; given what one instance alone would wait.
            learn: Is given the marks that were read.
        """
        self._store = store
        self._find_pause = find_pause
        self._learn = learn
        # Contents with their objects' revisions; None until they were read in
        # this term.
        self._revisions: dict[bytes, int] | None = None
        # What the store has lost is written again.
        store.on_restore(self.begin_term)

    def begin_term(self) -> None:
        """Has them read again, since another holder may have changed them."""
        self._revisions = None

    async def read_at_start(self) -> None:
        """Reads what the instances before us kept, however long it takes.

        The holder tells it too, but where all were killed together nobody
        holds the lease for a while.
        """
        while True:
            try:
                listing = await self._store.list(records.SUSPECT, True)
                break
            except errors.ObjectError as e:
                logs.event(
                    _LOG, "suspects_not_read", logging.WARNING, reason=e.reason
                )
            await asyncio.sleep(self._find_pause(_LEARN_SECONDS))
        for item in listing.items:
            self._learn(item.value.crash_records)

    async def read(self) -> bool:
        """Reads them unless that was done in this term; returns whether."""
        if self._revisions is not None:
            return False
        listing = await self._store.list(records.SUSPECT)
        self._revisions = {i.value.content: i.revision for i in listing.items}
        for item in listing.items:
            self._learn(item.value.crash_records)
        return True

    async def keep(
        self,
        condemned: frozenset[bytes],
        list_crash_records: Callable[[bytes], list[suspicion.CrashRecord]],
    ) -> None:
        """Brings the objects into line; they were read before.

        Args:
            condemned: The contents that should be there.
            list_crash_records: Returns the marks of one.

        Raises:
            ObjectUnavailableError: The store did not answer.
        """
        assert self._revisions is not None
        known = self._revisions
        try:
            for content in condemned - known.keys():
                record = records.Suspect(
                    content, tuple(list_crash_records(content))
                )
                stored = await self._store.create(
                    records.SUSPECT, content.hex(), record
                )
                known[content] = stored.revision
            for content in known.keys() - condemned:
                await self._store.remove(
                    records.SUSPECT, content.hex(), known[content]
                )
                del known[content]
        except errors.ObjectConflictError:
            # An answer was lost, or another holder wrote it.
            self._revisions = None
