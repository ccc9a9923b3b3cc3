"""How long an instance may rely on the lease holder's view of the store.

Calls to the store are priced and limited, and they would grow with the fleet.
So only the lease holder watches the store, and announces to the others what it
observes and how old that is. An instance reads the store itself when these
announcements are too old, or when it lacks a change that the holder announced
and does not send again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from wayslip import clock

# Spreads the reads of instances that miss the same change.
_MAX_JITTER_SECONDS = 0.15
# How long the first read of a new instance, which may be stale, is sufficient:
# until its first report is answered and it receives the holder's state.
_STALE_READ_SECONDS = 1.0


class Staleness:
    """Age of the lease holder's announcements for one kind of objects.

    Args:
        limit: Announcements older than this are not sufficient, seconds.
        leads: Whether this instance holds the lease and watches the store.
        obtain: Obtains what is missing from other instances; returns once it
            has arrived or its time is over.

    Attributes:
        limit: The same.
        is_behind: Whether an announced change has not arrived.
    """

    def __init__(
        self,
        limit: float,
        leads: Callable[[], bool],
        obtain: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.limit = limit
        self._leads = leads
        self._obtain = obtain
        self._current_at = float("-inf")
        self._woken = asyncio.Event()
        self._updated = asyncio.Event()
        self.is_behind = False

    def note_announcement(self, age: float, is_complete: bool) -> None:
        """Records how old the holder's view is.

        Args:
            age: Seconds since the store last answered the holder's watch.
            is_complete: Whether this instance has all changes that the holder
                has.
        """
        self._current_at = max(self._current_at, clock.now() - age)
        self._updated.set()
        if is_complete:
            self.is_behind = False
        elif not self.is_behind:
            self.is_behind = True
            self._woken.set()

    def note_read(self, seen_at: float) -> None:
        """Records that this instance has read the store itself.

        Args:
            seen_at: All changes up to this time were applied, steady seconds.
        """
        self._current_at = max(self._current_at, seen_at)
        self.is_behind = False

    def note_stale_read(self) -> None:
        """Records a read whose answer may be stale and confirms nothing.

        If it lacks an announced change, the next announcement shows this again.
        """
        enough = clock.now() - self.limit + _STALE_READ_SECONDS
        self._current_at = max(self._current_at, enough)
        self.is_behind = False

    def note_complete(self) -> None:
        """Records that no announced change is missing."""
        self.is_behind = False

    def wake(self) -> None:
        """Wakes the waiting tasks, because this instance may lead now."""
        self._woken.set()
        self._updated.set()

    @property
    def leads(self) -> bool:
        """Whether this instance holds the lease and watches the store."""
        return self._leads()

    @property
    def is_fresh(self) -> bool:
        """Whether the holder's announcements are sufficient now."""
        return self.has_recent_update and not self.is_behind

    @property
    def has_recent_update(self) -> bool:
        """Whether another instance leads and announced its view recently."""
        age = clock.now() - self._current_at
        return not self._leads() and age < self.limit

    async def wait_for_update(self, seconds: float) -> None:
        """Returns when an announcement is recent enough, or after a time limit.

        The changes that it announces may still be missing; by then the store
        answers again. If this instance becomes the leader meanwhile, it stops
        waiting, because all others would miss its announcements for as long.
        """
        was_leading = self._leads()
        try:
            async with asyncio.timeout(seconds):
                while (
                    not self.has_recent_update and self._leads() is was_leading
                ):
                    self._updated.clear()
                    await self._updated.wait()
        except TimeoutError:
            pass

    async def wait_until_needed(self) -> None:
        """Returns when this instance has to read the store itself."""
        while True:
            if self.is_behind and not self._leads():
                await self.ask_others()
            if not self.is_fresh:
                return
            self._woken.clear()
            left = self._current_at + self.limit - clock.now()
            try:
                async with asyncio.timeout(max(left, 0.0) + 0.01):
                    await self._woken.wait()
            except TimeoutError:
                pass

    async def ask_others(self) -> None:
        """Obtains missing changes from other instances, if possible."""
        if self._obtain is not None:
            await self._obtain()
        if self.is_behind:
            await asyncio.sleep(random.uniform(0, _MAX_JITTER_SECONDS))
