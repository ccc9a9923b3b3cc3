"""Distributes requests over endpoints whose load is known with a delay.

Load pattern: many instances send requests for one model to its few copies.
Each instance knows the queue at a copy only from the last update of the lease
holder, which is up to one report interval plus one state interval old. If all
instances chose the copy with the shortest queue, all requests of that time
would go to one copy while the others idle, and then to the next one. The
effect grows with the number of instances and the age of the update.

The work expected from all instances within that delay is therefore allocated
to the copies by water-filling: it raises the lowest costs until they are
equal. Each copy is chosen with a probability proportional to its allocation.
With little unseen work the best copy gets all requests; with much, copies of
nearly equal cost get nearly equal shares. Work raises the cost of a copy by as
long as it takes there, so a slow copy is filled by less of it.
"""

from collections.abc import Sequence


def split_load(
    costs: Sequence[float],
    unseen: float,
    slowness: Sequence[float] | None = None,
) -> list[float]:
    """Returns each endpoint's share of the requests; the shares sum to one.

    Args:
        costs: The last known wait at each endpoint, seconds; at least one.
        unseen: Work that all instances send before it is reported, seconds;
            with 0, the endpoints of the lowest cost get equal shares.
        slowness: How long work takes at each endpoint, 1 for the usual and
            everywhere if None.
    """
    factors = [1.0] * len(costs) if slowness is None else slowness
    level = _find_water_level(costs, unseen, factors)
    parts = [
        max(level - cost, 0.0) / factor
        for cost, factor in zip(costs, factors, strict=True)
    ]
    total = sum(parts)
    if total <= 0.0:
        lowest = min(costs)
        parts = [float(cost == lowest) for cost in costs]
        total = sum(parts)
    return [part / total for part in parts]


def _find_water_level(
    costs: Sequence[float], unseen: float, factors: Sequence[float]
) -> float:
    """Returns the cost level after water-filling the unseen work."""
    # Work that raises the cost of the lowest ones by one second, and the work
    # that would raise them from 0 to their costs.
    width = 0.0
    filled = 0.0
    for cost, factor in sorted(zip(costs, factors, strict=True)):
        if cost * width - filled >= unseen:
            return (filled + unseen) / width if width else cost
        width += 1.0 / factor
        filled += cost / factor
    return (filled + unseen) / width


def draw(shares: Sequence[float], number: float) -> int:
    """Returns an index, chosen in proportion to the shares.

    Args:
        shares: Probabilities that sum to one.
        number: A random number from [0, 1).
    """
    left = number
    for index, share in enumerate(shares):
        left -= share
        if left < 0.0:
            return index
    # Rounding errors may leave a remainder: use the last non-zero share.
    return max(i for i, share in enumerate(shares) if share > 0.0)
