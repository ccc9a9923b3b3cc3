"""Routes, services and models that the operator wants in force.

A manifest is replaced whole by one with a higher version. All values here are
frozen; times are seconds and sizes megabytes unless a name says otherwise.
"""

from collections.abc import Mapping
import dataclasses
import enum
import functools

from wayslip.decisions import organisations as organisations_module


class RequestKind(enum.StrEnum):
    """What may be done with a request after an attempt at it failed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines of a pool can be ordered to load.

    Attributes:
        weights_mb: Accelerator memory of the weights.
        adapter_mb: Accelerator memory of each of its adapters.
        adapters: The names of its adapters.
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
    """What every engine of a service has.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: Tokens of running requests and cached prompts together.
        weights_mb: Memory for weights and adapters together.
        adapter_slots: Adapters that may be loaded at once.
        loads_per_s: Loads from the weight store, over all engines.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, Model]

    def find_memory_mb(self, model: str, adapter: str = "") -> float:
        """Returns the memory of a model or adapter, megabytes.

        An engine may hold one that is not named here any more. It takes as
        much as the heaviest that is; as nothing, it would make the engine be
        ordered over its memory.
        """
        spec = self.models.get(model)
        known = self.models.values() if spec is None else (spec,)
        if adapter:
            return max((m.adapter_mb for m in known), default=0.0)
        return max((m.weights_mb for m in known), default=self.weights_mb)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that answer alike.

    Attributes:
        max_connections: Connections one endpoint takes from all instances.
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
    """Where requests of a host and path prefix go, and how.

    Attributes:
        timeout: Longest time a request may take.
        target: Time to the answer, or first event, that is aimed at.
        priority: Urgency, 0 is the most urgent.
        max_attempts: Endpoints one request may be sent to.
        is_resumable: Whether another endpoint may go on with a stream.
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
        """Whether running a request twice does no harm."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, draw: float) -> str:
        """Returns a service by weight; draw is from [0, 1)."""
        total = sum(s.weight for s in self.splits)
        left = draw * total
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.service
        return self.splits[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what one client may send or how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """A whole configuration.

    Attributes:
        organisations: Whose keys requests have to carry; without any, no
            request needs one.
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
        """Priorities of organisations, each once, the most urgent first."""
        known = {
            organisations_module.DEFAULT_PRIORITY
            if o.priority is None
            else o.priority
            for o in self.organisations
        }
        return tuple(sorted(known))

    @functools.cached_property
    def route_priorities(self) -> tuple[int, ...]:
        """Priorities of routes, each once, the most urgent first."""
        return tuple(sorted({r.priority for r in self.routes}))

    def find_caller(
        self, digest: bytes | None
    ) -> organisations_module.Organisation | None:
        """Returns the organisation that holds a key, by the key's digest."""
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
        """Returns the route with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
