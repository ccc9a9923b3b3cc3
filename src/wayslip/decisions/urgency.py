"""Ranks requests by urgency for the engines; 0 is the most urgent.

Load pattern: engines prefill prompts one after the other, the most urgent
first, and both organisations and routes have priorities. The organisation's
priority takes precedence over the route's; requests of one organisation, or of
organisations with equal priority, still differ by their routes. Where the
priorities of routes contradict their targets, requests that may wait for
seconds would be read before those that may not; there, routes are ordered by
target first. Policies that combine these are registered here by name.
"""

import bisect
from typing import Protocol

from wayslip import registry
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations

# Number of ranks that engines distinguish.
_RANKS = 10
# Rank of requests that are held and will miss their target: they are read
# after all that can be in time.
LATE = _RANKS - 1


class Policy(Protocol):
    """Ranks a request of an organisation."""

    def __call__(
        self,
        manifest: manifest_module.Manifest,
        route: manifest_module.Route,
        caller: organisations.Organisation | None,
    ) -> int:
        """Returns the rank, 0 to 9; `caller` is None if not authenticated."""


POLICIES: registry.Registry[Policy] = registry.Registry("urgency policy")


def rank(
    policy: str,
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation | None,
) -> int:
    """Returns a request's rank, 0 to 9.

    Args:
        policy: Name of the policy.
        manifest: The configuration, with all priorities.
        route: The route of the request.
        caller: The organisation, None to rank by the route alone.
    """
    return POLICIES.get(policy)(manifest, route, caller)


@POLICIES.register("organisation")
def rank_by_organisation(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation | None,
) -> int:
    """Ranks by the organisation's priority, or the route's if it has none."""
    del manifest
    if caller is None or caller.priority is None:
        return _clamp(route.priority)
    return _clamp(caller.priority)


@POLICIES.register("both")
def rank_by_both(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation | None,
) -> int:
    """Ranks by the organisation's priority, then by the route's."""
    if caller is None:
        return _clamp(route.priority)
    routes = manifest.route_priorities
    # A route of an older configuration may have a priority that the manifest
    # does not list; bisection still gives it a position.
    position = bisect.bisect_left(routes, route.priority)
    return _combine(manifest, caller, position, len(routes))


@POLICIES.register("time")
def rank_by_time(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation | None,
) -> int:
    """Ranks by the organisation's priority, then by target and priority."""
    positions = manifest.time_positions
    # A route of an older configuration may be missing.
    position = positions.get(route.name, route.priority)
    if caller is None:
        return _clamp(position)
    count = max(positions.values(), default=0) + 1
    return _combine(manifest, caller, min(position, count - 1), count)


def _combine(
    manifest: manifest_module.Manifest,
    caller: organisations.Organisation,
    position: int,
    count: int,
) -> int:
    """Ranks by the organisation's priority, then by the route's position.

    Args:
        manifest: The configuration, with all organisations.
        caller: The organisation.
        position: The route's position, 0 is the most urgent.
        count: Number of positions.
    """
    callers = manifest.caller_priorities
    mine = caller.priority
    if mine is None:
        mine = organisations.DEFAULT_PRIORITY
    position += bisect.bisect_left(callers, mine) * count
    total = max(len(callers) * count, 1)
    if total > _RANKS:
        position = position * _RANKS // total
    return _clamp(position)


def _clamp(position: int) -> int:
    return min(max(position, 0), _RANKS - 1)
