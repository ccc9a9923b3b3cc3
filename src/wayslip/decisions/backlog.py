"""Prompts that wait to be read at an endpoint, by the priority of requests.

An engine reads the prompts of more urgent requests first. So a request waits
for those at its own priority and above, however much waits below. Times are
seconds; priority 0 is the most urgent.
"""

from collections.abc import Iterable
import itertools

PRIORITIES = 10
# Part of a less urgent backlog that is still waited for: a piece of a prompt
# that is being read is read to its end.
_BELOW_SHARE = 0.05

# Seconds of reading by priority, cut after the last that is not 0.
Backlog = tuple[float, ...]
EMPTY: Backlog = ()


def of_request(priority: int, seconds: float) -> Backlog:
    """Returns a backlog of one request."""
    level = min(max(priority, 0), PRIORITIES - 1)
    return (0.0,) * level + (round(seconds, 4),)


def add(first: Backlog, second: Backlog) -> Backlog:
    """Returns two backlogs put together."""
    pairs = itertools.zip_longest(first, second, fillvalue=0.0)
    return _trim(a + b for a, b in pairs)


def subtract(whole: Backlog, part: Backlog) -> Backlog:
    """Returns what is left of a backlog, nothing below 0."""
    pairs = itertools.zip_longest(whole, part, fillvalue=0.0)
    return _trim(max(a - b, 0.0) for a, b in pairs)


def seconds_ahead(backlog: Backlog, priority: int) -> float:
    """Returns the seconds of reading before a new request's turn."""
    before = sum(backlog[: priority + 1])
    return before + _BELOW_SHARE * sum(backlog[priority + 1 :])


def _trim(levels: Iterable[float]) -> Backlog:
    # Rounded to what is sent, so that sums that came to nothing are 0.
    known = [round(level, 4) for level in levels]
    while known and known[-1] <= 0.0:
        known.pop()
    return tuple(known)
