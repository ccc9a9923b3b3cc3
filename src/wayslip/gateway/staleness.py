"""How long an instance may go by the lease holder's word of the store.

Calls to the store are priced and limited, and they would grow with the fleet.
So only the lease's holder watches the store, and tells the others what it
sees and how old that is. An instance reads for itself as soon as that word
is too old, or when it lacks a change that the holder has told and does not
tell again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from wayslip import clock

# Instances that miss the same change read at different times, seconds.
_MAX_JITTER_SECONDS = 0.15
# What a new instance read first, which may be old, is enough for so long:
# until its first report is answered and it hears the holder, seconds.
_STALE_READ_SECONDS = 1.0


class Staleness:
    """The age of the holder's word of one kind of objects.

    Args:
        limit: Word older than this is not enough, seconds.
        leads: Whether this instance is the one that watches.
        obtain: Has other instances give what is missing; returns once it is
            there or is no longer waited for.

    Attributes:
        limit: The same.
        is_behind: Whether a change was told of that did not arrive.
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
        """Takes in how old the holder's view is.

        Args:
            age: Seconds since the store last answered the holder's watch.
            is_complete: Whether we have all changes that the holder has.
        """
        self._current_at = max(self._current_at, clock.now() - age)
        self._updated.set()
        if is_complete:
            self.is_behind = False
        elif not self.is_behind:
            self.is_behind = True
            self._woken.set()

    def note_read(self, seen_at: float) -> None:
        """Notes that this instance has read the store itself.

        Args:
            seen_at: The time up to which it took everything in, steady seconds.
        """
        self._current_at = max(self._current_at, seen_at)
        self.is_behind = False

    def note_stale_read(self) -> None:
        """Notes a read whose answer may be old, and proves nothing.

        If it lacks what the holder has told, the next word says so again.
        """
        enough = clock.now() - self.limit + _STALE_READ_SECONDS
        self._current_at = max(self._current_at, enough)
        self.is_behind = False

    def note_complete(self) -> None:
        """Notes that nothing is missing of what the holder told of."""
        self.is_behind = False

    def wake(self) -> None:
        """Has the loop look again, because this instance may lead now."""
        self._woken.set()
        self._updated.set()

    @property
    def leads(self) -> bool:
        """Whether this instance is the one that watches."""
        return self._leads()

    @property
    def is_fresh(self) -> bool:
        """Whether the holder's word is enough now."""
        return self.has_recent_update and not self.is_behind

    @property
    def has_recent_update(self) -> bool:
        """Whether this instance follows, and the holder's word is new."""
        age = clock.now() - self._current_at
        return not self._leads() and age < self.limit

    async def wait_for_update(self, seconds: float) -> None:
        """Returns when the holder's word is new enough, or after a while.

        What it tells of may still be lacking; the store answers again then.
        An instance that comes to lead meanwhile does not wait on: all others
        would be without word for as long.
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
        """Returns when this instance has to read for itself."""
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
        """Has other instances give what is missing, if they can."""
        if self._obtain is not None:
            await self._obtain()
        if self.is_behind:
            await asyncio.sleep(random.uniform(0, _MAX_JITTER_SECONDS))
