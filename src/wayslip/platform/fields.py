"""Fields of JSON objects, read strictly: a type that is not meant is refused.

Whoever wrote an object may not know our fields. JSON's true is no number
here, a number no text, and nothing is converted.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import ipaddress
from typing import Any
from typing import TypeVar

T = TypeVar("T")
# Longer than any name or address that is in use, characters.
_MAX_TEXT_CHARS = 512
# More models, adapters or copies than an engine has room for, by far.
_MAX_LIST_ITEMS = 10_000
_MAX_PORT = 65_535


class FieldError(ValueError):
    """A field is missing or is not what it should be.

    Attributes:
        field: Its name.
        reason: What it is or is not.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"field {field} {reason}")
        self.field = field
        self.reason = reason


@contextlib.contextmanager
def within_field(name: str) -> Iterator[None]:
    """Has errors about fields of an object name the object's field too."""
    try:
        yield
    except FieldError as e:
        raise FieldError(f"{name}/{e.field}", e.reason) from e


def read_object(raw: Any, name: str) -> Mapping[str, Any]:
    """Returns an object; `name` is what it is called in errors."""
    if not isinstance(raw, Mapping):
        raise FieldError(name, "is no object")
    return raw


def read_text(raw: Mapping[str, Any], name: str) -> str:
    """Returns a text that is not empty."""
    return check_text(raw.get(name), name)


def check_text(value: Any, name: str) -> str:
    """Returns a value that is a text and not empty."""
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARS:
        raise FieldError(
            name, f"is no text of 1 to {_MAX_TEXT_CHARS} characters"
        )
    return value


def read_int(
    raw: Mapping[str, Any], name: str, minimum: int, default: int | None = None
) -> int:
    """Returns a whole number; `default` where it may be missing."""
    value = raw.get(name)
    if value is None and default is not None:
        return default
    if type(value) is not int or value < minimum:
        raise FieldError(name, f"is no whole number of {minimum} or more")
    return value


def read_flag(raw: Mapping[str, Any], name: str) -> bool:
    """Returns true or false; false where it is missing."""
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, "is neither true nor false")
    return value


def read_list(
    raw: Mapping[str, Any], name: str, read: Callable[[Any, str], T]
) -> list[T]:
    """Returns a list; an empty one where it is missing.

    Args:
        raw: The object.
        name: Of the field.
        read: Checks and converts one part; is given the field's name too.
    """
    value = raw.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or len(value) > _MAX_LIST_ITEMS:
        raise FieldError(name, f"is no list of {_MAX_LIST_ITEMS} parts at most")
    return [read(item, name) for item in value]


def read_address(raw: Mapping[str, Any], name: str) -> str:
    """Returns an address, "IP:PORT"."""
    value = read_text(raw, name)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as e:
        raise FieldError(name, "is no IP:PORT") from e
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise FieldError(name, "is no IP:PORT")
    return value
