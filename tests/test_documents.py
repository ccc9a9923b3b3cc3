import json

import hypothesis
from hypothesis import strategies
import pytest

from wayslip import documents

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)
# More than any parser takes, with what looks like brackets in strings.
_DEEP = '[{"a]\\\\\\"[": ' * 2_000 + "1" + "}]" * 2_000


@hypothesis.given(_VALUES)
def test_values_are_read_as_they_are(value):
    data = json.dumps(value).encode()
    assert documents.parse(data) == value
    assert documents.parse_whole(data) == value


@hypothesis.given(_VALUES)
def test_values_beside_one_that_is_nested_too_deep_are_read(value):
    # Guards against losing a whole document for one value.
    text = json.dumps(value)
    found = documents.parse(f'[{text}, {{"a": {_DEEP}}}, {text}]'.encode())
    assert [found[0], found[2]] == [value, value]


def test_long_integer_is_unreadable_alone():
    found = documents.parse(b"[1, %s, -%s, 2]" % (b"9" * 5_000, b"9" * 5_000))
    assert found == [1, documents.UNREADABLE, documents.UNREADABLE, 2]


def test_constants_that_are_no_json_are_unreadable():
    found = documents.parse(b"[NaN, Infinity, -Infinity, 1]")
    assert found == [documents.UNREADABLE] * 3 + [1]


@pytest.mark.parametrize(
    "data", [b"", b"[", b"[" * 5_000, b"{]", b'"' * 3, b"]" * 9, b"\xff"]
)
def test_what_is_not_json_is_a_value_error(data):
    with pytest.raises(ValueError):
        documents.parse(data)
    with pytest.raises(ValueError):
        documents.parse_whole(data)


@pytest.mark.parametrize("data", [_DEEP.encode(), b"9" * 5_000])
def test_whole_document_must_be_readable(data):
    with pytest.raises(ValueError):
        documents.parse_whole(data)
