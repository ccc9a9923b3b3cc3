"""Ranks requests by urgency for the engines; 0 is the most urgent.

Load pattern: engines prefill prompts one after the other, the most urgent
first, and both organisations and routes have priorities. The organisation's
priority takes precedence over the route's; requests of one organisation, or of
organisations with equal priority, still differ by their routes. Policies that
combine the two priorities are registered here by name.
"""

import bisect
from typing import Protocol

from wayslip import registry
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations

# Number of ranks that engines distinguish.
_RANKS = 10


class Policy(Protocol):
    """Ranks a request of an organisation."""

    def __call__(
        self,
        manifest: manifest_module.Manifest,
        route: manifest_module.Route,
        caller: organisations.Organisation,
    ) -> int:
        """Returns the rank, 0 to 9."""


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
        caller: The organisation, None to use the route's priority.
    """
    if caller is None:
        return min(max(route.priority, 0), _RANKS - 1)
    return POLICIES.get(policy)(manifest, route, caller)


@POLICIES.register("organisation")
def rank_by_organisation(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation,
) -> int:
    """Ranks by the organisation's priority, or the route's if it has none."""
    priority = route.priority if caller.priority is None else caller.priority
    return min(max(priority, 0), _RANKS - 1)


@POLICIES.register("both")
def rank_by_both(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation,
) -> int:
    """Ranks by the organisation's priority, then by the route's."""
    callers = manifest.caller_priorities
    routes = manifest.route_priorities
    mine = caller.priority
    if mine is None:
        mine = organisations.DEFAULT_PRIORITY
    # A route of an older configuration may have a priority that the manifest
    # does not list; bisection still gives it a position.
    first = bisect.bisect_left(callers, mine)
    position = first * len(routes) + bisect.bisect_left(routes, route.priority)
    count = max(len(callers) * len(routes), 1)
    if count > _RANKS:
        position = position * _RANKS // count
    return min(position, _RANKS - 1)
