"""Decides from the configuration which load decisions a service calls for.

Load pattern: requests arrive faster than a pool has room for them. Holding a
request helps only if room can be made while its caller still benefits, which
depends on the pool's load times and the targets of its routes. Where loads
take longer than that, requests are better refused at once.
"""

import dataclasses
import statistics

from wayslip.decisions import manifest as manifest_module

# Routes of one service whose priorities contradict their targets are ranked by
# time if the more urgent one may wait at least this many times longer: its
# target then allows for the other's requests as well as its own.
_MIN_TARGET_RATIO = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Load decisions that a service calls for; all are off by default.

    Attributes:
        holds_requests: Whether requests may wait at the instance for room,
            because a load ends within the longest target of the service.
        ranks_by_time: Whether requests are ranked by urgency in time and
            priority together, because the priorities alone contradict the
            targets.
        shares_room: Whether organisations get shares of the room in a pool
            that is short of it.
    """

    holds_requests: bool = False
    ranks_by_time: bool = False
    shares_room: bool = False


NONE = Profile()


def find_profile(manifest: manifest_module.Manifest, service: str) -> Profile:
    """Returns the profile of a service; `NONE` for a plain one."""
    spec = manifest.services.get(service)
    if spec is None or spec.pool is None or not spec.pool.models:
        return NONE
    routes = [r for r in manifest.routes if _leads_to(r, service)]
    if not routes:
        return NONE
    load_seconds = statistics.median(
        m.load_s for m in spec.pool.models.values()
    )
    holds_requests = load_seconds <= max(r.target for r in routes)
    return Profile(
        holds_requests=holds_requests,
        ranks_by_time=_contradict(routes),
        shares_room=holds_requests and len(manifest.organisations) > 1,
    )


def may_hold(manifest: manifest_module.Manifest, service: str) -> bool:
    """Whether requests for a service may wait at the instance for room.

    A plain service has no loads of its own that make room; its requests wait
    where those of another service do, so that its endpoints' queues don't
    overflow while callers are prepared to wait.
    """
    spec = manifest.services.get(service)
    if spec is None:
        return False
    if spec.pool is not None:
        return find_profile(manifest, service).holds_requests
    return any(
        find_profile(manifest, name).holds_requests
        for name, other in manifest.services.items()
        if other.pool is not None
    )


def _leads_to(route: manifest_module.Route, service: str) -> bool:
    return any(split.service == service for split in route.splits)


def _contradict(routes: list[manifest_module.Route]) -> bool:
    """Whether a route goes first although it may wait much longer."""
    return any(
        first.priority < second.priority
        and first.target >= second.target * _MIN_TARGET_RATIO
        for first in routes
        for second in routes
    )
