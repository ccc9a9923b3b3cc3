"""Endpoints as the platform lists them."""

import dataclasses

# A model and one of its adapters; the adapter is empty for the model itself.
Item = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Names one start of an endpoint; see `Endpoint.born`."""

    endpoint: str
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of an endpoint, its incarnation.

    Attributes:
        name: Its id. A later start may have it again; see `born`.
        address: "IP:PORT"; may belong to another endpoint later.
        data_hall: Where it runs.
        slots: Requests that it works on at once.
        is_leaving: Whether it takes no new work.
        models: The adapters that it holds, by model.
        in_memory: Models whose weights lie in its host memory.
        on_disk: Models whose weights lie on its disk.
        beat: Number of the heartbeat that wrote the entry; it rises within
            the endpoint's life, and an entry with a lower one is older.
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

    @property
    def incarnation(self) -> Incarnation:
        """What tells this start from others of the same name."""
        return Incarnation(self.name, self.born)

    def is_before(self, other: "Endpoint") -> bool:
        """Whether this entry is older than another of the same name."""
        if self.born and other.born and self.born != other.born:
            return self.born < other.born
        return self.beat < other.beat

    def succeeds(self, other: "Endpoint") -> bool:
        """Whether this is a later start than another of the same name."""
        return bool(other.born) and self.born > other.born

    def holds(self, model: str, adapter: str) -> bool:
        """Whether a model, and an adapter if one is named, is loaded."""
        held = self.models.get(model)
        if held is None:
            return False
        return not adapter or adapter in held


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What an endpoint said of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself when asked.

    Attributes:
        orders: How many orders it has taken since its start.
        is_busy: Whether it is loading or unloading a model.
        pending_loads: Adapters on their way to it.
        born: When it started; see `Endpoint`.
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
