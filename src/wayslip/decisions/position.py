"""Positions in the store's history, which a restore may set back.

The store numbers its changes with revisions. After it was restored from a copy
it has lost its last changes and reuses their revisions, which it announces by
a higher era. A position combines era and revision in one integer, so that the
later of two positions is always the higher one, whatever was lost between
them. If the store announces no era, a position equals the revision.
"""

import collections

# The era of a store that has never lost writes.
FIRST_ERA = 1
# Positions that are remembered: those of some ten seconds.
_MAX_HEARD = 64
# Number of revisions reserved for each era. Positions of the first 8,000 eras
# are exact as double-precision floating point, as which an engine may read
# the tokens of orders.
_REVISIONS = 1 << 40


def make(era: int, revision: int) -> int:
    """Returns the position of a revision in an era."""
    return era * _REVISIONS + revision


def find_era(position: int) -> int:
    """Returns the era of a position."""
    return position // _REVISIONS


def find_revision(position: int) -> int:
    """Returns the revision of a position within its era."""
    return position % _REVISIONS


class History:
    """When positions of the store's history were heard of.

    What is at a position was written before any later position of its era was
    heard of.
    """

    def __init__(self) -> None:
        self._heard: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_MAX_HEARD
        )

    def note(self, heard: int, now: float) -> None:
        """Records a position, unless a later one is known."""
        if not self._heard or heard > self._heard[-1][0]:
            self._heard.append((heard, now))

    def find_time(self, written: int) -> float | None:
        """Returns when a position was first known to be in the past.

        Returns:
            Steady seconds; None if no later position of its era is known.
        """
        era = find_era(written)
        for heard, at in self._heard:
            if heard >= written and find_era(heard) == era:
                return at
        return None
