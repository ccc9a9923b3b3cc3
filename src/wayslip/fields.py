"""Strict readers of JSON object fields, which reject unexpected types.

Objects may come from writers that do not follow the schema. No type is
converted: JSON's true is not a number, and a number is not a string.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import ipaddress
from typing import Any
from typing import TypeVar

from wayslip import texts

T = TypeVar("T")
# Longer than any name or address in use.
_MAX_TEXT_CHARS = 512
# Far more models, adapters or copies than fit on an engine.
_MAX_LIST_ITEMS = 10_000
_MAX_PORT = 65_535
# Of 64 bits: arithmetic with larger ones may fail, as in conversions to float.
_MAX_INT = 2**63 - 1


class FieldError(ValueError):
    """A field is missing or has an unexpected value.

    Attributes:
        field: The field's name; nested fields are separated by slashes.
        reason: What is wrong, as the end of a sentence.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"field {field} {reason}")
        self.field = field
        self.reason = reason


@contextlib.contextmanager
def within_field(name: str) -> Iterator[None]:
    """Prefixes the field names in errors with the enclosing field's name."""
    try:
        yield
    except FieldError as e:
        raise FieldError(f"{name}/{e.field}", e.reason) from e


def read_object(raw: Any, name: str) -> Mapping[str, Any]:
    """Returns a JSON object; errors call it `name`."""
    if not isinstance(raw, Mapping):
        raise FieldError(name, "is not an object")
    return raw


def read_string(raw: Mapping[str, Any], name: str) -> str:
    """Returns a field that must be a string, of any length and content."""
    value = raw.get(name)
    if not isinstance(value, str):
        raise FieldError(name, "is not a string")
    return value


def read_text(raw: Mapping[str, Any], name: str) -> str:
    """Returns a field that must be a non-empty string; see `check_text`."""
    return check_text(raw.get(name), name)


def check_text(value: Any, name: str) -> str:
    """Returns a value that must be a non-empty string and can be encoded."""
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARS:
        raise FieldError(
            name, f"is not a string of 1 to {_MAX_TEXT_CHARS} characters"
        )
    if not texts.is_encodable(value):
        raise FieldError(name, f"{value!a} holds half of a surrogate pair")
    return value


def check_header_text(value: Any, name: str) -> str:
    """Returns a value that can be sent as one word of an HTTP header."""
    text = check_text(value, name)
    if not text.isascii() or not text.isprintable() or " " in text:
        raise FieldError(name, f"{text!a} holds more than printable ASCII")
    return text


def read_int(
    raw: Mapping[str, Any], name: str, minimum: int, default: int | None = None
) -> int:
    """Returns an integer field.

    Args:
        raw: The object.
        name: The field's name.
        minimum: Smaller values are rejected.
        default: Returned if the field is missing; None if it is required.
    """
    value = raw.get(name)
    if value is None and default is not None:
        return default
    if type(value) is not int or not minimum <= value <= _MAX_INT:
        raise FieldError(
            name, f"is not an integer from {minimum} to {_MAX_INT}"
        )
    return value


def read_flag(raw: Mapping[str, Any], name: str) -> bool:
    """Returns a Boolean field, False if it is missing."""
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, "is not a Boolean")
    return value


def read_list(
    raw: Mapping[str, Any], name: str, read: Callable[[Any, str], T]
) -> list[T]:
    """Returns a list field, an empty list if it is missing.

    Args:
        raw: The object.
        name: The field's name.
        read: Checks and converts one item; also receives the field's name.
    """
    value = raw.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or len(value) > _MAX_LIST_ITEMS:
        raise FieldError(
            name, f"is not a list of at most {_MAX_LIST_ITEMS} items"
        )
    return [read(item, name) for item in value]


def read_address(raw: Mapping[str, Any], name: str) -> str:
    """Returns an address field, "IP:PORT" with an IPv4 address."""
    value = read_text(raw, name)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as e:
        raise FieldError(name, "is not an IPv4 IP:PORT") from e
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise FieldError(name, "is not an IPv4 IP:PORT")
    return value
