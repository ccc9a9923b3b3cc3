"""The configuration in force: typed entries with one increasing generation.

Every entry records the generation that last changed it, and a deletion is kept
as a tombstone. So any process can bring another one at generation G up to date
by sending only the entries changed after G.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Annotated
from typing import Literal

import pydantic

from wayslip import errors

# Confirmed plans and tombstones that are kept.
_MAX_APPLIED = 256
_MAX_TOMBSTONES = 1024

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
ItemName = Annotated[str, pydantic.Field(min_length=1, max_length=256)]
Size = Annotated[int, pydantic.Field(ge=1)]


class Kind(enum.StrEnum):
    """The kinds of configuration entries."""

    POOL = "pool"
    MODEL = "model"
    VERSION = "version"
    ADAPTER = "adapter"
    SERVICE = "service"
    PLACEMENT = "placement"


@dataclasses.dataclass(frozen=True)
class Pool:
    """A pool of engines that a set of models shares."""

    name: Name
    engines: tuple[Name, ...]
    kind: Literal[Kind.POOL] = Kind.POOL


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that callers name.

    Attributes:
        version: The version that serves requests for the bare model name.
        replicas: Target number of replicas in the absence of demand data.
        fallback: The version that serves until `version` is resident; set by
            a plan that changes the version, empty otherwise.
    """

    name: Name
    pool: Name
    version: Name
    replicas: Annotated[int, pydantic.Field(ge=1)] = 1
    fallback: str = ""
    kind: Literal[Kind.MODEL] = Kind.MODEL


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a model's weights; size is accelerator memory, bytes."""

    model: Name
    name: Name
    size: Size
    kind: Literal[Kind.VERSION] = Kind.VERSION


@dataclasses.dataclass(frozen=True)
class Adapter:
    """An adapter on a version of a model; size in bytes."""

    name: Name
    model: Name
    version: Name
    size: Size
    kind: Literal[Kind.ADAPTER] = Kind.ADAPTER


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service.

    Attributes:
        endpoints: Names of its endpoints.
        repeatable: Methods whose calls may be retried.
        requires_key: Whether other methods need an Idempotency-Key.
    """

    name: Name
    endpoints: tuple[Name, ...]
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    requires_key: bool = False
    kind: Literal[Kind.SERVICE] = Kind.SERVICE


@dataclasses.dataclass(frozen=True)
class Placement:
    """Planned contents of an engine: names of versions and adapters."""

    engine: Name
    items: tuple[ItemName, ...]
    kind: Literal[Kind.PLACEMENT] = Kind.PLACEMENT


Value = Annotated[
    Pool | Model | Version | Adapter | Service | Placement,
    pydantic.Field(discriminator="kind"),
]


def version_item(model: str, version: str) -> str:
    """Returns the name under which an engine holds a version."""
    return f"{model}@{version}"


def get_name(value: Value) -> str:
    """Returns the name of a value, unique among those of its kind."""
    match value:
        case Placement():
            return value.engine
        case Version():
            return version_item(value.model, value.name)
    return value.name


@dataclasses.dataclass(frozen=True)
class Entry:
    """A named value with the generation that last changed it.

    Attributes:
        value: None for a tombstone.
    """

    kind: Kind
    name: str
    generation: int
    value: Value | None

    @property
    def id(self) -> tuple[Kind, str]:
        """Kind and name, unique in a configuration."""
        return (self.kind, self.name)


@dataclasses.dataclass(frozen=True)
class Applied:
    """Record of a confirmed plan.

    A client whose answer was lost finds the result by the plan's id.
    """

    plan: str
    operator: str
    generation: int


@dataclasses.dataclass(frozen=True)
class Change:
    """Values to put and the ids of entries to delete."""

    put: tuple[Value, ...] = ()
    delete: tuple[tuple[Kind, str], ...] = ()

    @property
    def ids(self) -> frozenset[tuple[Kind, str]]:
        """The ids of all entries that the change touches."""
        named = {(Kind(v.kind), get_name(v)) for v in self.put}
        return frozenset(named | set(self.delete))


@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes that bring a configuration to a later generation.

    Attributes:
        since: The receiver must be at this generation or later; 0 for a
            delta with the whole configuration.
        floor: The sender's floor, see `Configuration`.
    """

    since: int
    generation: int
    entries: tuple[Entry, ...]
    applied: tuple[Applied, ...] = ()
    floor: int = 0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All entries at one generation.

    Attributes:
        floor: The oldest generation from which all tombstones are kept; a
            process below it needs the whole configuration.
    """

    generation: int = 0
    entries: tuple[Entry, ...] = ()
    applied: tuple[Applied, ...] = ()
    floor: int = 0

    # Lookup

    def get(self, kind: Kind, name: str) -> Entry | None:
        """Returns an entry, which may be a tombstone, or None."""
        for entry in self.entries:
            if entry.kind == kind and entry.name == name:
                return entry
        return None

    def values(self, kind: Kind) -> tuple[Value, ...]:
        """Returns the values of a kind that are not deleted."""
        return tuple(
            e.value
            for e in self.entries
            if e.kind == kind and e.value is not None
        )

    def find_applied(self, plan: str) -> Applied | None:
        """Returns the record of a confirmed plan, if it is still kept."""
        for applied in self.applied:
            if applied.plan == plan:
                return applied
        return None

    def changed_since(self, generation: int) -> tuple[Entry, ...]:
        """Returns the entries changed after a generation."""
        return tuple(e for e in self.entries if e.generation > generation)

    # Updates

    def apply(
        self, change: Change, plan: str, operator: str
    ) -> "Configuration":
        """Returns the next generation with a change applied."""
        generation = self.generation + 1
        merged = {e.id: e for e in self.entries}
        for value in change.put:
            kind, name = Kind(value.kind), get_name(value)
            merged[kind, name] = Entry(kind, name, generation, value)
        for kind, name in change.delete:
            merged[kind, name] = Entry(kind, name, generation, None)
        entries, floor = _drop_old_tombstones(merged.values(), self.floor)
        applied = (*self.applied, Applied(plan, operator, generation))
        return Configuration(
            generation, entries, applied[-_MAX_APPLIED:], floor
        )

    def delta(self, since: int) -> Delta:
        """Returns the changes that a process at a generation lacks."""
        if since < self.floor:
            since = 0
        return Delta(
            since,
            self.generation,
            self.changed_since(since),
            self.applied,
            self.floor,
        )

    def merge(self, delta: Delta) -> "Configuration":
        """Returns this configuration with a peer's delta applied.

        A delta that is not newer, or that starts after this generation, is
        ignored: the generation of a process never decreases.

        Raises:
            InvariantError: The generation would decrease.
        """
        if delta.generation <= self.generation or delta.since > self.generation:
            return self
        merged = {} if delta.since == 0 else {e.id: e for e in self.entries}
        merged.update({e.id: e for e in delta.entries})
        entries = tuple(sorted(merged.values(), key=lambda e: e.id))
        floor = max(self.floor if delta.since else 0, delta.floor)
        result = Configuration(
            delta.generation, entries, delta.applied or self.applied, floor
        )
        check_rises(self, result)
        return result


def _drop_old_tombstones(
    entries: Iterable[Entry], floor: int
) -> tuple[tuple[Entry, ...], int]:
    ordered = sorted(entries, key=lambda e: e.id)
    tombstones = sorted(e.generation for e in ordered if e.value is None)
    if len(tombstones) <= _MAX_TOMBSTONES:
        return tuple(ordered), floor
    floor = tombstones[-_MAX_TOMBSTONES]
    kept = (e for e in ordered if e.value is not None or e.generation >= floor)
    return tuple(kept), floor


def check_rises(old: Configuration, new: Configuration) -> None:
    """Checks that the generation of a process does not decrease.

    Raises:
        InvariantError: The new generation is below the old one.
    """
    if new.generation < old.generation:
        raise errors.InvariantError(
            f"generation would decrease: {old.generation} to {new.generation}"
        )
