"""Summarizes from instances' logs how requests ended.

Requests are grouped by a field of their last line (route, organisation, model,
endpoint, instance) or by the second in which they ended.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

from wayslip import errors
from wayslip import story

_SERVED = "answered"
_ENDED = "ended"
# Groups shown in a table, those with the most lost requests first.
MAX_ROWS = 30


@dataclasses.dataclass(frozen=True)
class Group:
    """Requests with the same value of the grouping field.

    Attributes:
        key: The value of the field.
        outcomes: Number of requests by outcome.
        first: Median seconds to the first part of an answer, None if there
            are no answers.
        slow: The 99th percentile of the same, None if there are no answers.
    """

    key: str
    outcomes: dict[str, int]
    first: float | None
    slow: float | None

    @property
    def total(self) -> int:
        """Number of requests."""
        return sum(self.outcomes.values())

    @property
    def lost(self) -> int:
        """Number of requests that were not answered."""
        return self.total - self.outcomes.get(_SERVED, 0)


Key = Callable[[story.Event], str]
KEYS: dict[str, Key] = {
    "route": lambda event: event.fields.get("route", ""),
    "organisation": lambda event: event.fields.get("organisation", ""),
    "model": lambda event: event.fields.get("model", ""),
    "endpoint": lambda event: event.fields.get("endpoint", ""),
    "instance": lambda event: event.source.split()[-1] if event.source else "",
    "second": lambda event: f"{event.at:.0f}",
}


def summarize(lines: Iterable[str], field: str) -> list[Group]:
    """Returns the requests that ended according to log lines, in groups.

    Args:
        lines: Log lines; other lines are ignored.
        field: The field to group by, a key of `KEYS`.

    Raises:
        BadRequestError: Requests cannot be grouped by that field.
    """
    key = KEYS.get(field)
    if key is None:
        raise errors.BadRequestError(
            f"requests cannot be grouped by {field!r}",
            f"give one of {', '.join(KEYS)}",
        )
    outcomes: dict[str, collections.Counter[str]] = {}
    firsts: dict[str, list[float]] = {}
    for line in lines:
        # Most lines are of other events, and parsing is the slowest step.
        if f"event={_ENDED}" not in line:
            continue
        event = story.parse_line(line)
        if event is None or event.name != _ENDED:
            continue
        name = key(event)
        counts = outcomes.setdefault(name, collections.Counter())
        counts[event.fields.get("outcome", "")] += 1
        first = event.fields.get("first_after")
        if first:
            firsts.setdefault(name, []).append(float(first))
    groups = [
        _make_group(name, counts, firsts.get(name, ()))
        for name, counts in outcomes.items()
    ]
    if field == "second":
        return sorted(groups, key=lambda group: float(group.key))
    return sorted(groups, key=lambda group: (-group.lost, group.key))


def _make_group(
    name: str, counts: collections.Counter[str], firsts: Sequence[float]
) -> Group:
    if not firsts:
        return Group(name, dict(counts.most_common()), None, None)
    ordered = sorted(firsts)
    slow = ordered[min(len(ordered) * 99 // 100, len(ordered) - 1)]
    return Group(
        name, dict(counts.most_common()), statistics.median(ordered), slow
    )


def format_groups(groups: Sequence[Group], field: str) -> str:
    """Returns groups as a text table."""
    shown = groups if field == "second" else groups[:MAX_ROWS]
    lines = [f"{field:20} requests served  p50 s  p99 s  lost by outcome"]
    for group in shown:
        served = group.outcomes.get(_SERVED, 0) / group.total
        lost = ", ".join(
            f"{outcome} {count}"
            for outcome, count in group.outcomes.items()
            if outcome != _SERVED
        )
        lines.append(
            f"{group.key or '-':20} {group.total:8d} {served:6.3f}"
            f" {_format(group.first)} {_format(group.slow)}  {lost}"
        )
    if len(groups) > len(shown):
        lines.append(f"{len(groups) - len(shown)} more groups")
    return "\n".join(lines)


def _format(seconds: float | None) -> str:
    return "     -" if seconds is None else f"{seconds:6.3f}"
