"""Backlog of unread prompts at an endpoint, by request priority.

An engine reads the prompts of more urgent requests first. A request waits for
the prompts at its own priority and above, and hardly for those below it.
Times are seconds; priority 0 is the most urgent.
"""

from collections.abc import Iterable
import itertools

PRIORITIES = 10
# Share of the less urgent backlog that a request still waits for: an engine
# finishes the chunk of a prompt that it is reading.
_BELOW_SHARE = 0.05

# Seconds of reading by priority, without trailing zeros.
Backlog = tuple[float, ...]
EMPTY: Backlog = ()


def of_request(priority: int, seconds: float) -> Backlog:
    """Returns the backlog of one request; clamps its priority."""
    level = min(max(priority, 0), PRIORITIES - 1)
    return (0.0,) * level + (round(seconds, 4),)


def add(first: Backlog, second: Backlog) -> Backlog:
    """Returns the sum of two backlogs."""
    pairs = itertools.zip_longest(first, second, fillvalue=0.0)
    return _trim(a + b for a, b in pairs)


def subtract(whole: Backlog, part: Backlog) -> Backlog:
    """Returns a backlog without a part of it, at least 0 everywhere."""
    pairs = itertools.zip_longest(whole, part, fillvalue=0.0)
    return _trim(max(a - b, 0.0) for a, b in pairs)


def seconds_ahead(backlog: Backlog, priority: int) -> float:
    """Returns the seconds of reading before a new request is read."""
    before = sum(backlog[: priority + 1])
    return before + _BELOW_SHARE * sum(backlog[priority + 1 :])


def _trim(levels: Iterable[float]) -> Backlog:
    # Rounded to the precision that is sent to peers, so that floating-point
    # residues become 0.
    known = [round(level, 4) for level in levels]
    while known and known[-1] <= 0.0:
        known.pop()
    return tuple(known)
