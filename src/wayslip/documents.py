"""Reads JSON that other programs wrote.

One document may hold objects of many writers. What the parser can not take of
one of them must not cost the others: bytes that are no UTF-8, control
characters, values nested too deep for its stack, integers too long for it.
"""

import json
import re
from typing import Any

# Several times the depth of any object in use; the parser's limit is about a
# thousand, less what the stack holds already.
_MAX_DEPTH = 64
# Any integer of 64 bits has fewer digits.
_MAX_DIGITS = 40
# The constants that Python's parser takes although they are no JSON.
_CONSTANT = "NaN"
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"|[]\[{}]', re.DOTALL)


class Unreadable:
    """Stands in a document for a value that could not be read.

    It is none of JSON's types, so every check of a field rejects it.
    """

    def __repr__(self) -> str:
        return "(unreadable)"


UNREADABLE = Unreadable()


def parse(data: bytes) -> Any:
    """Returns the value of a document, with `UNREADABLE` for parts of it.

    Raises:
        ValueError: The document is not JSON.
    """
    text = data.decode("utf-8", "replace")
    try:
        return json.loads(text, strict=False, parse_constant=_skip)
    except json.JSONDecodeError:
        raise
    except (ValueError, RecursionError):
        # An integer that is too long, or a value that is nested too deep.
        return json.loads(
            _replace_deep_values(text),
            strict=False,
            parse_constant=_skip,
            parse_int=_parse_int,
        )


def parse_whole(data: bytes) -> Any:
    """Returns the value of a document of which every part can be read.

    Raises:
        ValueError: The document is not JSON, or a part can not be read.
    """
    try:
        return json.loads(data)
    except RecursionError as e:
        raise ValueError("it is nested too deep") from e


def _skip(constant: str) -> Unreadable:
    return UNREADABLE


def _parse_int(digits: str) -> int | Unreadable:
    return int(digits) if len(digits) <= _MAX_DIGITS else UNREADABLE


def _replace_deep_values(text: str) -> str:
    """Returns a document with a constant for each value nested too deep."""
    kept = []
    depth = begin = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        sign = match.group()
        if sign in ("[", "{"):
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(text[begin : match.start()] + _CONSTANT)
        elif sign in ("]", "}"):
            if depth == _MAX_DEPTH + 1:
                begin = match.end()
            depth -= 1
    if depth <= _MAX_DEPTH:
        kept.append(text[begin:])
    return "".join(kept)
