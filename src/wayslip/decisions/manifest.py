"""The routes, services and models that the operator configured.

A manifest is replaced as a whole by one with a higher version. All values are
frozen; times are seconds and sizes megabytes unless a name says otherwise.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools

from wayslip.decisions import organisations as organisations_module

# Targets that differ by less than this factor are equally urgent: the longer
# one doesn't allow for the requests of the shorter one and its own.
_MIN_TARGET_RATIO = 2.0


class RequestKind(enum.StrEnum):
    """How a request may be retried after a failed attempt."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines of a pool can be ordered to load.

    Attributes:
        weights_mb: Accelerator memory of the weights.
        adapter_mb: Accelerator memory of each of its adapters.
        adapters: Names of its adapters.
        load_s: Time to load from the weight store.
        disk_s: Time to load from the engine's own disk.
        warm_s: Time to load from the engine's host memory.
    """

    name: str
    weights_mb: float
    adapter_mb: float = 0.0
    adapters: tuple[str, ...] = ()
    load_s: float = 10.0
    disk_s: float = 10.0
    warm_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Resources of each engine of a service, and the models that it may load.

    Attributes:
        slots: Requests that run concurrently.
        kv_tokens: Tokens of running requests and cached prompts together.
        weights_mb: Memory for weights and adapters together.
        adapter_slots: Adapters that may be loaded at the same time.
        loads_per_s: Loads from the weight store, over all engines.
        models: Models by name.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, Model]

    def find_memory_mb(self, model: str, adapter: str = "") -> float:
        """Returns the memory of a model or adapter, megabytes.

        An engine may hold a model or adapter that is no longer configured. It
        is counted with the size of the largest configured one; counted as
        zero, it would allow orders that exceed the engine's memory.
        """
        spec = self.models.get(model)
        known = self.models.values() if spec is None else (spec,)
        if adapter:
            return max((m.adapter_mb for m in known), default=0.0)
        return max((m.weights_mb for m in known), default=self.weights_mb)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    Attributes:
        max_connections: Connections that one endpoint accepts from all
            instances together.
        pool: None for a plain service.
    """

    name: str
    max_connections: int
    pool: Pool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One service of a route and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for a host and path prefix are served.

    Attributes:
        timeout: Maximum duration of a request.
        target: Latency target, until the answer or the first event.
        priority: Urgency, 0 is the most urgent.
        max_attempts: Maximum number of endpoints that a request is sent to.
        is_resumable: Whether another endpoint may continue a stream.
        is_public: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    target: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int = 1
    is_resumable: bool = False
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may safely run twice."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, draw: float) -> str:
        """Returns a service by weight.

        Args:
            draw: A random number from [0, 1).
        """
        total = sum(s.weight for s in self.splits)
        left = draw * total
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.service
        return self.splits[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of a client's request."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """A complete configuration.

    Attributes:
        organisations: Organisations whose keys authorise requests; if there
            are none, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = Limits()
    organisations: tuple[organisations_module.Organisation, ...] = ()

    @functools.cached_property
    def _by_key(self) -> dict[bytes, organisations_module.Organisation]:
        return {k: o for o in self.organisations for k in o.keys}

    @functools.cached_property
    def caller_priorities(self) -> tuple[int, ...]:
        """Distinct priorities of organisations, the most urgent first."""
        known = {
            organisations_module.DEFAULT_PRIORITY
            if o.priority is None
            else o.priority
            for o in self.organisations
        }
        return tuple(sorted(known))

    @functools.cached_property
    def route_priorities(self) -> tuple[int, ...]:
        """Distinct priorities of routes, the most urgent first."""
        return tuple(sorted({r.priority for r in self.routes}))

    @functools.cached_property
    def time_positions(self) -> dict[str, int]:
        """Position of each route by its target, then by its priority.

        Routes are compared with those of the same services, the most urgent
        has position 0.
        """
        by_service: dict[str, list[Route]] = {}
        for route in self.routes:
            for split in route.splits:
                by_service.setdefault(split.service, []).append(route)
        positions: dict[str, int] = {}
        for routes in by_service.values():
            for name, position in _order_by_time(routes).items():
                positions[name] = max(positions.get(name, 0), position)
        return positions

    def find_caller(
        self, digest: bytes | None
    ) -> organisations_module.Organisation | None:
        """Returns the organisation of a key, by the key's digest."""
        return None if digest is None else self._by_key.get(digest)

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return hosts

    def resolve(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _order_by_time(routes: Iterable[Route]) -> dict[str, int]:
    """Returns positions by bands of similar targets, then by priority."""
    keys: dict[str, tuple[int, int]] = {}
    band, shortest = 0, None
    for route in sorted(routes, key=lambda r: r.target):
        if shortest is None:
            shortest = route.target
        elif route.target >= shortest * _MIN_TARGET_RATIO:
            band, shortest = band + 1, route.target
        keys[route.name] = (band, route.priority)
    order = sorted(set(keys.values()))
    return {name: order.index(key) for name, key in keys.items()}
