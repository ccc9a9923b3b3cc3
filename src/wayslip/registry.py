"""Registries of implementations that are chosen by name."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from wayslip import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one role.

    Args:
        role: What the entries are, for error messages ("routing policy").
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument under a name."""

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._role} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns the entry of a name.

        Raises:
            SettingsError: There is no such entry.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise errors.SettingsError(
                f"there is no {self._role} {name!r}", f"use one of: {known}"
            )
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
