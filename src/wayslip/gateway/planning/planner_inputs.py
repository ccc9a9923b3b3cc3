"""Converts tracked engines into the planner's inputs."""

from collections.abc import Iterable
from collections.abc import Mapping

from wayslip import clock
from wayslip.decisions import copies
from wayslip.decisions import load_timing
from wayslip.decisions import manifest
from wayslip.decisions import occupancy
from wayslip.gateway.planning import tracked_engines as tracked_engines_module
from wayslip.gateway.sharing import endpoint_notices as endpoint_notices_module
from wayslip.gateway.sharing import members as members_module

# Assumed time of the load of a model that is not configured.
_UNKNOWN_LOAD_SECONDS = 10.0


def count_adapters(tracked_engine: tracked_engines_module.TrackedEngine) -> int:
    """Returns how many adapter slots are or may be in use."""
    return sum(1 for _, adapter in tracked_engine.charged() if adapter)


def sum_charges(
    tracked_engine: tracked_engines_module.TrackedEngine, pool: manifest.Pool
) -> tuple[float, dict[str, float]]:
    """Returns the memory that is or may be in use.

    Returns:
        The total in megabytes, and the part of adapters by their model.
    """
    total = 0.0
    adapters: dict[str, float] = {}
    for model, adapter in tracked_engine.charged():
        size = pool.find_memory_mb(model, adapter)
        total += size
        if adapter:
            adapters[model] = adapters.get(model, 0.0) + size
    return total, adapters


def fits_pool(
    tracked_engine: tracked_engines_module.TrackedEngine, pool: manifest.Pool
) -> bool:
    """Whether all charged items, pending orders included, fit a pool."""
    total, _ = sum_charges(tracked_engine, pool)
    has_slots = count_adapters(tracked_engine) <= pool.adapter_slots
    return has_slots and total <= pool.weights_mb


def fits_service(
    tracked_engine: tracked_engines_module.TrackedEngine,
    current: manifest.Manifest | None,
) -> bool:
    """Whether all that an engine is charged for fits its service's pool."""
    pool = _find_pool(current, tracked_engine)
    return pool is not None and fits_pool(tracked_engine, pool)


def _find_pool(
    current: manifest.Manifest | None,
    tracked_engine: tracked_engines_module.TrackedEngine,
) -> manifest.Pool | None:
    services = current.services if current else {}
    service = services.get(tracked_engine.endpoint.service)
    return service.pool if service else None


def find_load_seconds(
    current: manifest.Manifest | None,
    tracked_engine: tracked_engines_module.TrackedEngine,
    model: str,
) -> float:
    """Returns the time to load a model from the weight store."""
    pool = _find_pool(current, tracked_engine)
    known = pool.models.get(model) if pool else None
    return known.load_s if known else _UNKNOWN_LOAD_SECONDS


def find_held(
    tracked_engines: Mapping[str, tracked_engines_module.TrackedEngine],
) -> set[tuple[str, str]]:
    """Returns pairs of a service and a model that can serve now."""
    return {
        (tracked_engine.endpoint.service, model)
        for tracked_engine in tracked_engines.values()
        for model, adapter in tracked_engine.usable()
        if not adapter
    }


def find_demand(
    members: members_module.Members,
    service: str,
    pool: manifest.Pool,
    engines: Iterable[str],
    timing: load_timing.Timing,
) -> dict[str, copies.Demand]:
    """Returns the demand for each model of a service.

    Where loads are prompt, the slots that requests occupy count too: a copy
    can follow demand that is seen in running requests only.
    """
    demand = members.find_demand(service, pool)
    if not timing.is_prompt:
        return demand
    usages = members.total_usages()
    in_flight = [usages[n].in_flight for n in engines if n in usages]
    return occupancy.add_occupancy(demand, in_flight, pool.slots)


def is_idle(
    tracked_engine: tracked_engines_module.TrackedEngine, now: float
) -> bool:
    """Whether an engine has no running task of orders and no back-off."""
    return (
        tracked_engine.task is None or tracked_engine.task.done()
    ) and now >= tracked_engine.backoff_until


def is_free(
    tracked_engine: tracked_engines_module.TrackedEngine,
    may_claim: bool,
    now: float,
) -> bool:
    """Whether an order may be sent to an engine now."""
    return (
        is_idle(tracked_engine, now)
        and tracked_engine.pending is None
        and may_claim
    )


def make_engine(
    tracked_engine: tracked_engines_module.TrackedEngine,
    pool: manifest.Pool,
    may_claim: bool,
    notices: endpoint_notices_module.EndpointNotices,
    slowness: float = 1.0,
    timing: load_timing.Timing = load_timing.DEFAULT,
) -> copies.Engine:
    """Returns the planner's input for one engine."""
    now = clock.now()
    endpoint = tracked_engine.endpoint
    total, adapters = sum_charges(tracked_engine, pool)
    pending_loads = tracked_engine.list_pending_loads(now)
    usable = {m for m, a in tracked_engine.usable() if not a}
    held = usable - tracked_engine.evicting
    charged = {m for m, a in tracked_engine.charged() if not a}
    return copies.Engine(
        name=endpoint.name,
        models=frozenset(held),
        pending_loads=pending_loads,
        charged_mb=total,
        adapters_mb=adapters,
        is_free=is_free(tracked_engine, may_claim, now),
        fresh=frozenset(
            m
            for m, at in tracked_engine.loaded_at.items()
            if now - at < timing.min_resident
        ),
        in_memory=endpoint.in_memory,
        on_disk=endpoint.on_disk,
        limit=notices.find_limit(endpoint.incarnation),
        backoff=notices.find_backoff(endpoint),
        unusable=frozenset(charged - held - set(pending_loads)),
        slowness=slowness,
    )
