"""The store as the gateway sees it: objects with revisions, and changes."""

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
        name: In the store.
        decode: From an object's name and content; raises ObjectError.
        encode: To the content that is written.
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
    """An object that can not be read; it counts as not being there.

    Attributes:
        name: Empty where not even that can be read.
        revision: Of its last change, 0 where that can not be read.
        field: What is wrong with it.
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
        seen_at: Steady time from which on something newer may be there.
        refused: Objects that are left out.
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
    """What changed after a revision, and the revision to go on from.

    Attributes:
        seen_at: Steady time from which on something newer may be there.
        refused: Objects that can not be read, among the changes as removed.
        asked_at: When the watch was sent, steady seconds; whatever delayed its
            answer, what it says was true then or later.
    """

    items: tuple[Change[T], ...]
    revision: int
    seen_at: float
    refused: tuple[Refused, ...] = ()
    asked_at: float = float("-inf")


class Store(Protocol):
    """Reads and conditionally writes objects.

    All revisions that are given and taken are positions in the store's history,
    which rise even when it comes back from a copy; see `decisions.position`.

    Every call raises ObjectUnavailableError when the store does not answer;
    a write may then have taken effect, or may seconds later.
    """

    @property
    def era(self) -> int:
        """Of the store's history, as last seen."""

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Has a listener called when the store came back from a copy."""

    async def list(
        self, kind: Kind[T], may_be_stale: bool = False
    ) -> Listing[T]:
        """Returns all objects of a kind.

        Args:
            kind: Of the objects.
            may_be_stale: Whether an answer will do that is seconds old, at a
                tenth of the price. It says nothing of what is true now.
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
        """Makes an object.

        Raises:
            ObjectConflictError: It is there.
        """

    async def replace(
        self,
        kind: Kind[T],
        stored: Stored[T],
        max_wait: float | None = None,
    ) -> Stored[T]:
        """Replaces an object if it still has the revision it was read at.

        Args:
            kind: Of the object.
            stored: Its name, the revision it was read at, the new value.
            max_wait: Seconds to wait for the answer; the usual ones if None.

        Raises:
            ObjectConflictError: It has another one; nothing was written.
        """

    async def remove(self, kind: Kind[T], name: str, revision: int) -> None:
        """Removes an object if it still has a revision.

        Raises:
            ObjectConflictError: It has another one, or is not there.
        """
