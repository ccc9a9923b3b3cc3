"""Shares requests out over endpoints whose load is known late.

Load pattern: many instances send requests for one model to its few copies.
Each knows what waits at a copy only from the last word of the lease's holder,
up to a report's and a state's interval old. If all send to the copy with the
shortest queue, what they send in that time lands on one of them: the others
idle, and then the next one is flooded. The more instances and the older the
word, the worse.

So what is expected to come in that time, from all instances, is thought to be
poured over the copies until all stand equally high. A request goes to each
copy in proportion to its part of that. Where little comes, the best copy gets
all; where much comes, nearly equal copies get nearly equal parts.
"""

from collections.abc import Sequence


def split_load(costs: Sequence[float], unseen: float) -> list[float]:
    """Returns each endpoint's share of what is coming; they sum to one.

    Args:
        costs: The wait at each endpoint as known, seconds; at least one.
        unseen: Work that comes from all instances before it is known of,
            seconds; the best endpoints share it where it is nothing.
    """
    level = _find_water_level(costs, unseen)
    parts = [max(level - cost, 0.0) for cost in costs]
    total = sum(parts)
    if total <= 0.0:
        lowest = min(costs)
        parts = [float(cost == lowest) for cost in costs]
        total = sum(parts)
    return [part / total for part in parts]


def _find_water_level(costs: Sequence[float], unseen: float) -> float:
    """Returns how high the costs stand once the unseen work is poured on."""
    ordered = sorted(costs)
    filled = 0.0
    for count, cost in enumerate(ordered):
        above = cost * count - filled
        if above >= unseen:
            return (filled + unseen) / count if count else cost
        filled += cost
    return (filled + unseen) / len(ordered)


def draw(shares: Sequence[float], number: float) -> int:
    """Returns an index by shares.

    Args:
        shares: They sum to one.
        number: Drawn from [0, 1).
    """
    left = number
    for index, share in enumerate(shares):
        left -= share
        if left < 0.0:
            return index
    # Rounding: the last one that has a share.
    return max(i for i, share in enumerate(shares) if share > 0.0)
