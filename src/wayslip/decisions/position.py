"""Positions in the store's history, which a restore may set back.

The store numbers its changes with revisions. After it was restored from a copy
it has lost its last changes and reuses their revisions, which it announces by
a higher era. A position combines era and revision in one integer, so that the
later of two positions is always the higher one, whatever was lost between
them. If the store announces no era, a position equals the revision.
"""

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
