"""The configuration in force: typed entries under one rising generation.

Every entry remembers the generation that changed it last, and a deletion is
kept as a tombstone. So a process at generation G can be brought up to date
with the entries changed after G alone, whoever it asks.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Annotated
from typing import Literal

import pydantic

from wayslip import errors

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
    """A model pool: engines that a set of models shares."""

    name: Name
    engines: tuple[Name, ...]
    kind: Literal[Kind.POOL] = Kind.POOL


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that callers name.

    Attributes:
        version: The version that answers to the bare model name.
        replicas: Replicas wanted when demand says nothing else.
        fallback: The version that answers until `version` is resident; set
            by a plan that changes the version, empty otherwise.
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
        repeatable: Methods whose calls may be repeated.
        requires_key: Whether other methods need an Idempotency-Key.
    """

    name: Name
    endpoints: tuple[Name, ...]
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    requires_key: bool = False
    kind: Literal[Kind.SERVICE] = Kind.SERVICE


@dataclasses.dataclass(frozen=True)
class Placement:
    """What an engine is meant to hold: names of versions and adapters."""

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
    """A named value with the generation that changed it last.

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
    """A confirmed plan, found again by its id after a lost answer."""

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
    """What brings a configuration from at least one generation to another.

    Attributes:
        since: The receiver must be at this generation or later; 0 for a
            delta that holds everything.
        floor: The giver's floor, see `Configuration`.
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
        floor: The oldest generation whose tombstones are all kept; a process
            below it needs the whole configuration.
    """

    generation: int = 0
    entries: tuple[Entry, ...] = ()
    applied: tuple[Applied, ...] = ()
    floor: int = 0

    # Looking up

    def get(self, kind: Kind, name: str) -> Entry | None:
        """Returns an entry, a tombstone too, or None."""
        for entry in self.entries:
            if entry.kind == kind and entry.name == name:
                return entry
        return None

    def values(self, kind: Kind) -> tuple[Value, ...]:
        """Returns the live values of a kind."""
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

    # New configurations from old

    def apply(
        self, change: Change, plan: str, operator: str
    ) -> "Configuration":
        """Returns the next generation with a change made."""
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
        """Returns what a process at a generation is missing."""
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
        """Returns this configuration with a peer's delta, never older.

        A delta that is not newer, or that starts beyond this generation, is
        left out: the generation of a process only rises.
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
    """Asserts that a process's configuration never goes back.

    Raises:
        InvariantError: The new generation is below the old one.
    """
    if new.generation < old.generation:
        raise errors.InvariantError(
            f"generation would fall from {old.generation} to {new.generation}"
        )
