"""Endpoints and engines as the platform describes them."""

import dataclasses

# A model and one of its adapters; the adapter is empty for the model itself.
Item = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Identifies one incarnation of an endpoint.

    Attributes:
        endpoint: The endpoint's name.
        born: Its start time, see `Endpoint.born`.
    """

    endpoint: str
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        name: Its id. A later incarnation may have the same one; see `born`.
        service: The service that it belongs to.
        address: "IP:PORT"; may belong to another endpoint later.
        data_hall: The data hall that it runs in.
        slots: Requests that it processes concurrently.
        is_leaving: Whether it takes no new requests.
        models: The adapters that it holds, by model.
        in_memory: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
        beat: Count of the heartbeat that wrote the entry; it increases within
            an incarnation, and an entry with a lower one is older.
        born: Start time of the incarnation; 0 if unknown.
        version: Version of its software; empty if unknown.
    """

    name: str
    service: str
    address: str
    data_hall: str
    slots: int = 1
    is_leaving: bool = False
    models: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    beat: int = 0
    born: int = 0
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Distinguishes this incarnation from others of the same name."""
        return Incarnation(self.name, self.born)

    def is_before(self, other: "Endpoint") -> bool:
        """Whether this entry is older than another of the same name."""
        if self.born and other.born and self.born != other.born:
            return self.born < other.born
        return self.beat < other.beat

    def succeeds(self, other: "Endpoint") -> bool:
        """Whether this is a later incarnation than another of the same name."""
        return bool(other.born) and self.born > other.born

    def holds(self, model: str, adapter: str) -> bool:
        """Whether a model, and its adapter unless empty, is loaded."""
        held = self.models.get(model)
        if held is None:
            return False
        return not adapter or adapter in held


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that an endpoint reported with an answer.

    Attributes:
        running: Requests that it processes.
        waiting: Requests in its queue.
        slots: Requests that it processes concurrently.
        slowdown: How long work takes there at the moment, 1 for its usual;
            None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports.

    Attributes:
        orders: Number of orders that it has taken since its start.
        is_busy: Whether it is loading or unloading a model.
        models: The adapters that it holds, by model.
        pending_loads: Adapters that it is loading.
        born: Its start time; see `Endpoint`.
    """

    orders: int
    is_busy: bool
    models: dict[str, frozenset[str]]
    pending_loads: frozenset[Item] = frozenset()
    born: int = 0


def list_items(models: dict[str, frozenset[str]]) -> set[Item]:
    """Returns models and their adapters as items."""
    items = {(m, "") for m in models}
    items |= {(m, a) for m, adapters in models.items() for a in adapters}
    return items
