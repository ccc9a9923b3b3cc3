"""Interface to the store: objects with revisions, and changes."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Kind(Generic[T]):
    """A kind of objects.

    Attributes:
        name: Name of the kind in the store.
        decode: Decodes an object's name and content; raises ObjectError.
        encode: Encodes a value to the content that is written.
    """

    name: str
    decode: Callable[[str, Any], T]
    encode: Callable[[T], Any]


@dataclasses.dataclass(frozen=True)
class Stored(Generic[T]):
    """An object's value and the revision of its last change."""

    name: str
    revision: int
    value: T


@dataclasses.dataclass(frozen=True)
class Refused:
    """An object that can not be decoded; it is treated as absent.

    Attributes:
        name: Empty if not even the name can be decoded.
        revision: Revision of its last change, 0 if that can not be decoded.
        field: The invalid field.
        reason: One sentence for the log.
    """

    name: str
    revision: int
    field: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Listing(Generic[T]):
    """Objects of a kind, and the revision to watch from.

    Attributes:
        seen_at: Steady time from which on newer changes may exist.
        refused: Objects that are left out because they can not be decoded.
    """

    items: tuple[Stored[T], ...]
    revision: int
    seen_at: float
    refused: tuple[Refused, ...] = ()


@dataclasses.dataclass(frozen=True)
class Change(Generic[T]):
    """A change of an object; `value` is None once it is removed."""

    name: str
    value: T | None


@dataclasses.dataclass(frozen=True)
class Changes(Generic[T]):
    """What changed after a revision, and the revision to continue from.

    Attributes:
        seen_at: Steady time from which on newer changes may exist.
        refused: Objects that can not be decoded; `items` has them as removed.
        asked_at: When the watch was sent, steady seconds. However late the
            answer is, it was true at this time or later.
    """

    items: tuple[Change[T], ...]
    revision: int
    seen_at: float
    refused: tuple[Refused, ...] = ()
    asked_at: float = float("-inf")


class Store(Protocol):
    """Reads and conditionally writes objects.

    All revisions in arguments and results are positions in the store's history,
    which increase even when the store is restored from a copy; see
    `decisions.position`.

    Every call raises ObjectUnavailableError when the store does not answer; a
    write may then have taken effect, or may take effect seconds later.
    """

    @property
    def era(self) -> int:
        """Era of the store's history, as last observed."""

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the store returns from a copy."""

    async def list(
        self, kind: Kind[T], may_be_stale: bool = False
    ) -> Listing[T]:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            may_be_stale: Whether an answer that is seconds old is accepted, at
                a tenth of the price. It does not show what is true now.
        """

    async def watch(
        self, kind: Kind[T], revision: int, wait: float
    ) -> Changes[T]:
        """Returns what changed, nothing if nothing did for `wait` seconds.

        Raises:
            WatchExpiredError: The revision is too old; list again.
        """

    async def get(
        self, kind: Kind[T], name: str, may_be_stale: bool = False
    ) -> Stored[T] | None:
        """Returns an object, None if there is none; see `list`."""

    async def create(self, kind: Kind[T], name: str, value: T) -> Stored[T]:
        """Creates an object.

        Raises:
            ObjectConflictError: It exists.
        """

    async def replace(
        self,
        kind: Kind[T],
        stored: Stored[T],
        max_wait: float | None = None,
    ) -> Stored[T]:
        """Replaces an object if it still has the revision it was read at.

        Args:
            kind: Kind of the object.
            stored: Its name, the revision it was read at, the new value.
            max_wait: Seconds to wait for the answer; the default ones if None.

        Raises:
            ObjectConflictError: Its revision differs; nothing was written.
        """

    async def remove(self, kind: Kind[T], name: str, revision: int) -> None:
        """Removes an object if it still has a revision.

        Raises:
            ObjectConflictError: Its revision differs, or it does not exist.
        """
