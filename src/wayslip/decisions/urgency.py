"""How urgent a request is at the engines, 0 the most urgent.

Load pattern: engines read prompts one after the other, the more urgent first,
and organisations as well as routes have priorities. The operators' pages put
an organisation's before that of the route: requests of one organisation, or of
two that are alike, still differ by their routes. Ways to put them together are
registered here under their names.
"""

import bisect
from typing import Protocol

from wayslip import registry
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations

# Ranks that engines tell apart, from their pages.
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
    """Returns a request's rank, 0 to 9; without a caller the route's own."""
    if caller is None:
        return min(max(route.priority, 0), _RANKS - 1)
    return POLICIES.get(policy)(manifest, route, caller)


@POLICIES.register("organisation")
def rank_by_organisation(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation,
) -> int:
    """Ranks by the organisation's priority; by the route's if it has none."""
    priority = route.priority if caller.priority is None else caller.priority
    return min(max(priority, 0), _RANKS - 1)


@POLICIES.register("both")
def rank_by_both(
    manifest: manifest_module.Manifest,
    route: manifest_module.Route,
    caller: organisations.Organisation,
) -> int:
    """Ranks by the organisation's priority, equal ones by the route's."""
    callers = manifest.caller_priorities
    routes = manifest.route_priorities
    mine = caller.priority
    if mine is None:
        mine = organisations.DEFAULT_PRIORITY
    # A route of an older configuration may have a priority that is not listed.
    first = bisect.bisect_left(callers, mine)
    position = first * len(routes) + bisect.bisect_left(routes, route.priority)
    count = max(len(callers) * len(routes), 1)
    if count > _RANKS:
        position = position * _RANKS // count
    return min(position, _RANKS - 1)
