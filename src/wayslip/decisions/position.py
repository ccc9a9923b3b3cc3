"""Positions in the store's history, which may go back to a copy.

The store counts its changes, and a change has the count as its revision. When
it comes back from a copy it has lost the last changes and gives their revisions
out again; it tells so by an era that rises. A position is era and revision in
one whole number, so that of two positions the later one is the higher, whatever
was lost between them. Where no era is told a position is the revision.
"""

# Revisions of one era. Positions of the first 8,000 eras are still exact where
# somebody reads whole numbers as floating point, as tokens of orders may be.
_REVISIONS = 1 << 40


def make(era: int, revision: int) -> int:
    """Returns the position of a revision in an era."""
    return era * _REVISIONS + revision


def find_era(position: int) -> int:
    """Returns the era of a position."""
    return position // _REVISIONS


def find_revision(position: int) -> int:
    """Returns the revision of a position, in its era."""
    return position % _REVISIONS
