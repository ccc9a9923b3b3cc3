"""Keeps the record of software versions in the store.

The record outlives all instances: after all of them were killed at once, no
other one remembers which version began a stream. It is written once for each
version of a service, by the lease holder or, if that has not seen the version,
by another instance.
"""

import asyncio
from collections.abc import Callable
import logging
import random

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import version_history
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import records

_LOG = logging.getLogger(__name__)
NAME = "versions"
# Interval of looks for versions that are not recorded.
_PERIOD_SECONDS = 0.25
# What an instance without the lease leaves the holder to write a version first.
_HOLDER_SECONDS = 1.0
# Pause after a failed attempt.
_RETRY_SECONDS = 1.0
# Limit for a read that a request waits for; the store answers in milliseconds.
_READ_SECONDS = 0.3


class VersionRecords:
    """Reads and writes the record. Used on the event loop only."""

    def __init__(
        self,
        store: store_module.Store,
        leadership: leadership_module.Leadership,
        history: version_history.VersionHistory,
        find_pause: Callable[[float], float],
    ) -> None:
        """Initializes without the record.

        Args:
            store: Where it is stored.
            leadership: Tells whether this instance holds the lease.
            history: What this instance has seen.
            find_pause: Returns the seconds to wait before an attempt that
                other instances make too; given what a single instance would
                wait.
        """
        self._store = store
        self._leadership = leadership
        self._history = history
        self._find_pause = find_pause
        store.on_restore(history.forget_record)

    async def run(self) -> None:
        """Records versions that are not recorded, until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            if not self._history.has_unrecorded:
                continue
            try:
                await self._record()
            except errors.ObjectError as e:
                logs.event(
                    _LOG,
                    "versions_not_recorded",
                    logging.WARNING,
                    reason=e.reason,
                )
                await asyncio.sleep(self._find_pause(_RETRY_SECONDS))

    async def _record(self) -> None:
        if not self._leadership.is_held:
            usual = _HOLDER_SECONDS * random.uniform(1.0, 2.0)
            await asyncio.sleep(self._find_pause(usual))
            stored = await self._store.get(
                records.VERSIONS, NAME, may_be_stale=True
            )
            if stored is not None:
                self._history.note_record(stored.value, self._store.era)
            if not self._history.has_unrecorded:
                return
        await self._write()

    async def _write(self) -> None:
        began = clock.now()
        stored = await self._store.get(records.VERSIONS, NAME)
        value = self._history.make_record(
            stored.value if stored else None,
            self._store.era,
            self._leadership.is_first_term,
        )
        if stored is None:
            await self._store.create(records.VERSIONS, NAME, value)
        elif value != stored.value:
            await self._store.replace(
                records.VERSIONS,
                store_module.Stored(NAME, stored.revision, value),
            )
        self._history.note_record(value, self._store.era, began)
        logs.event(
            _LOG,
            "versions_recorded",
            era=value.era,
            complete=value.is_complete,
            services=len(value.versions),
            written=stored is None or value != stored.value,
        )

    async def find_only(self, service: str) -> str | None:
        """Returns the only version that a service ever had, if that is known.

        Reads the record if it may have changed since it was read.
        """
        if self._history.is_record_due:
            await self._read()
        return self._history.find_only(service)

    async def _read(self) -> None:
        began = clock.now()
        try:
            async with asyncio.timeout(_READ_SECONDS):
                stored = await self._store.get(records.VERSIONS, NAME)
        except (errors.ObjectError, TimeoutError) as e:
            logs.event(
                _LOG,
                "versions_not_read",
                logging.WARNING,
                reason=getattr(e, "reason", f"over {_READ_SECONDS} s"),
            )
            return
        if stored is not None:
            self._history.note_record(stored.value, self._store.era, began)
