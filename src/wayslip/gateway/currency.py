"""How long an instance may go by the lease holder's word of the store.

Calls to the store are priced and limited, and they would grow with the fleet.
So only the lease's holder watches the store, and tells the others what it
sees and how old that is. An instance reads for itself as soon as that word
is too old, or when it lacks a change that the holder has told.
"""

import asyncio
from collections.abc import Callable
import random
import time

# A change that was told may still be on its way, after the word that it
# exists; what is this late was lost, seconds.
_BEHIND_SECONDS = 0.12
# Instances that miss the same change read at different times, seconds.
_SPREAD_SECONDS = 0.15


class Currency:
    """The age of the holder's word of one kind of objects.

    Args:
        limit: Word older than this is not enough, seconds.
        leads: Whether this instance is the one that watches.

    Attributes:
        is_behind: Whether a change was told of that did not arrive.
    """

    def __init__(self, limit: float, leads: Callable[[], bool]) -> None:
        self._limit = limit
        self._leads = leads
        self._proof = float("-inf")
        self._woken = asyncio.Event()
        self.is_behind = False

    def hear(self, age: float, is_complete: bool) -> None:
        """Takes in how old the holder's view is.

        Args:
            age: Seconds since the store last answered the holder's watch.
            is_complete: Whether we have all changes that the holder has.
        """
        self._proof = max(self._proof, time.monotonic() - age)
        if is_complete:
            self.is_behind = False
        elif not self.is_behind:
            self.is_behind = True
            self._woken.set()

    def wake(self) -> None:
        """Has the loop look again, because this instance may lead now."""
        self._woken.set()

    @property
    def is_fresh(self) -> bool:
        """Whether the holder's word is enough now."""
        return (
            not self._leads()
            and not self.is_behind
            and time.monotonic() - self._proof < self._limit
        )

    async def wait_until_needed(self) -> None:
        """Returns when this instance has to read for itself."""
        while True:
            if self.is_behind and not self._leads():
                late = _BEHIND_SECONDS + random.uniform(0, _SPREAD_SECONDS)
                await asyncio.sleep(late)
            if not self.is_fresh:
                return
            self._woken.clear()
            left = self._proof + self._limit - time.monotonic()
            try:
                async with asyncio.timeout(max(left, 0.0) + 0.01):
                    await self._woken.wait()
            except TimeoutError:
                pass
