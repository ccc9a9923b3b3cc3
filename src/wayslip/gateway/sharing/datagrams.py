"""Messages between gateways as datagrams: CBOR arrays.

Datagrams are used rather than connections because a peer that hangs or is
disconnected must cost nothing: there is no queue to fill and no connection to
close.

A message may have more or fewer fields than this release knows, because
instances are upgraded one after the other: fields are only ever appended, with
defaults. Values that are unknown here are ignored, and missing ones take their
defaults. Kinds that are unknown here are dropped.
"""

import dataclasses
import logging
from typing import Any

import cbor2

from wayslip import errors
from wayslip import logs
from wayslip.decisions import suspicion
from wayslip.gateway.sharing import facts

_LOG = logging.getLogger(__name__)
# Senders split larger messages; the hub drops longer datagrams. The limit stays
# below the size at which fragments are often lost, and within a receive buffer.
DATAGRAM_LIMIT = 30_000
# Part of a value that a log line shows.
_MAX_LOGGED_CHARS = 200
_KINDS: dict[int, type] = {
    1: facts.Report,
    2: facts.ItemRequest,
    3: facts.State,
    4: facts.PlacementUpdate,
    5: facts.Handover,
    6: facts.Changes,
    7: facts.Relay,
    8: facts.Missing,
    9: facts.Confirm,
    10: facts.Confirmed,
    11: facts.Suspects,
    12: facts.Leaving,
    13: facts.Limited,
    14: facts.PermitRequest,
    15: facts.PermitResponse,
    16: facts.SpeedReport,
    17: facts.SpeedState,
    18: facts.ShareReport,
    19: facts.ShareState,
    20: facts.Brittle,
    21: facts.PlaceRequest,
    22: facts.PlaceReturn,
    23: facts.StreamOrigin,
    24: facts.StreamOriginKept,
    25: facts.StreamQuestion,
    26: facts.StreamAnswer,
    27: facts.PermitReturn,
    28: facts.Concurrent,
}
_NUMBERS = {kind: number for number, kind in _KINDS.items()}
# Fields that hold a single value of a message type.
_SINGLE = {
    "configuration": facts.WatchProgress,
    "endpoints": facts.WatchProgress,
}
# Fields that hold a tuple of values of a message type.
_PARTS = {
    "usages": facts.Usage,
    "demands": facts.Demand,
    "updates": facts.ItemUpdate,
    "pending_loads": facts.PendingLoad,
    "claims": facts.ClaimRevision,
    "rates": facts.Rate,
    "listed": facts.Listed,
    "readings": facts.Reading,
    "spendings": facts.Spending,
    "levels": facts.Level,
    "speeds": facts.SpeedSample,
    "uses": facts.ShareUse,
    "shares": facts.ShareLevel,
    "crash_records": suspicion.CrashRecord,
    "cleared": suspicion.CrashRecord,
}


def _freeze(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_freeze(one) for one in value)
    return value


def _list_fields(part: Any) -> list[Any]:
    """Returns the fields; dataclasses.astuple copies deeply, which is slow."""
    values = [getattr(part, f.name) for f in dataclasses.fields(part)]
    return _trim(part, values)


def _trim(message: Any, values: list[Any]) -> list[Any]:
    """Leaves a last field out that has its default.

    An earlier release, which does not know it, then gets what it expects.
    """
    last = dataclasses.fields(message)[-1]
    return values[:-1] if values[-1] == last.default else values


def _make_part(part: type, values: list[Any]) -> Any:
    """Returns a part of a message; values beyond its fields are ignored."""
    known = values[: len(dataclasses.fields(part))]
    return part(*map(_freeze, known))


def encode(message: facts.Message) -> bytes:
    """Returns a message as a datagram.

    Parts with text that can not be encoded are left out, since the rest of the
    message may concern other endpoints.

    Raises:
        FrameError: Such text is in a field that can not be left out.
    """
    content = _list_content(message)
    try:
        return cbor2.dumps(content)
    except UnicodeEncodeError:
        kind = type(message).__name__
        return cbor2.dumps([_drop_unencodable(kind, v) for v in content])


def _drop_unencodable(kind: str, value: Any) -> Any:
    """Returns a field without the parts that can not be encoded."""
    if _is_encodable(value):
        return value
    if not isinstance(value, list | tuple):
        raise errors.FrameError(
            f"a {kind} holds text that can not be encoded ({value!a})",
            "find the writer of this text; it should have been refused",
        )
    kept = []
    for part in value:
        if _is_encodable(part):
            kept.append(part)
            continue
        logs.event(
            _LOG,
            "part_not_encoded",
            logging.ERROR,
            message=kind,
            part=ascii(part)[:_MAX_LOGGED_CHARS],
        )
    return kept


def _is_encodable(value: Any) -> bool:
    try:
        cbor2.dumps(value)
    except UnicodeEncodeError:
        return False
    return True


def _list_content(message: facts.Message) -> list[Any]:
    """Returns the number of a message's kind, and its fields."""
    fields = []
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if field.name in _PARTS:
            value = [_list_fields(part) for part in value]
        elif field.name in _SINGLE:
            value = _list_fields(value)
        fields.append(value)
    return [_NUMBERS[type(message)], *_trim(message, fields)]


def decode(data: bytes) -> facts.Message:
    """Returns the message of a datagram.

    Raises:
        FrameError: The datagram is not a message of this format.
    """
    try:
        number, *values = cbor2.loads(data)
        kind = _KINDS[number]
        named: dict[str, Any] = {}
        # Either may be longer; a missing field without default is an error.
        for field, value in zip(dataclasses.fields(kind), values, strict=False):
            part = _PARTS.get(field.name)
            if part is not None:
                value = tuple(_make_part(part, item) for item in value)
            elif field.name in _SINGLE:
                value = _make_part(_SINGLE[field.name], value)
            named[field.name] = _freeze(value)
        return kind(**named)  # type: ignore[no-any-return]
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        LookupError,
        RecursionError,
    ) as e:
        raise errors.FrameError(
            f"a datagram is malformed ({e})",
            "run the same release on all instances",
        ) from e
