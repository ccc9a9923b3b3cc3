"""Datagrams between gateways: CBOR arrays decoded into frozen values.

They carry soft facts only; a lost one is made up for by the next. Datagrams
rather than connections, because a peer that froze or was cut off must cost
nothing: there is no queue to fill and nothing to close.
"""

import dataclasses
from typing import Any

import cbor2

from wayslip import errors

# Larger datagrams are sent in parts, bytes: below what a network fragments
# badly and what one receive buffer takes.
DATAGRAM_LIMIT = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests at an endpoint and the seconds to read their prompts."""

    endpoint: str
    in_flight: int
    unread: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests for a model that came since the last report.

    Attributes:
        work: Seconds that an engine takes to read their prompts.
    """

    service: str
    model: str
    adapter: str
    count: int
    work: float


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """An endpoint's entry, for an instance that can not read the list.

    Attributes:
        items: Models and adapters that it holds, "MODEL" or "MODEL/ADAPTER".
    """

    endpoint: str
    service: str
    address: str
    data_hall: str
    slots: int
    is_leaving: bool
    items: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance tells the lease's holder now and then.

    Attributes:
        number: Rises with every report of a process.
        is_blind: Whether it can not read the platform's list now.
    """

    instance: str
    process: str
    number: int
    is_blind: bool
    usages: tuple[Usage, ...]
    demands: tuple[Demand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A request waits for a model or adapter that no endpoint holds."""

    instance: str
    service: str
    model: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """An item is loaded in some seconds, or will be gone.

    Attributes:
        seconds: Until it can serve; 0 for one that is taken away.
    """

    endpoint: str
    model: str
    adapter: str
    is_held: bool
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A model that is being loaded and the seconds until it can serve.

    Attributes:
        is_ordered: Whether the engine has taken the order; else something
            makes way first, and a successor of the holder plans anew.
    """

    endpoint: str
    service: str
    model: str
    seconds: float
    is_ordered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """How often a model is asked for, requests a second.

    A successor of the holder begins with these.

    Attributes:
        work: Seconds to read their prompts, a second.
    """

    service: str
    model: str
    adapter: str
    rate: float
    work: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRevision:
    """The revision of the last claim on an engine."""

    endpoint: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the lease's holder tells every instance.

    Attributes:
        term: The holder's term.
        revision: Of its last renewal of the lease.
        is_holder: Whether its lease is valid.
        instances: Instances that it hears of, as "IP:PORT".
        usages: Totals over all instances.
    """

    term: int
    revision: int
    is_holder: bool
    instances: tuple[str, ...]
    usages: tuple[Usage, ...]
    words: tuple[Word, ...]
    arrivals: tuple[Arrival, ...]
    claims: tuple[ClaimRevision, ...]
    rates: tuple[Rate, ...]
    listed: tuple[Listed, ...] = ()


Message = Report | Want | State
_KINDS: dict[int, type] = {1: Report, 2: Want, 3: State}
_NUMBERS = {kind: number for number, kind in _KINDS.items()}
_PARTS = {
    "usages": Usage,
    "demands": Demand,
    "words": Word,
    "arrivals": Arrival,
    "claims": ClaimRevision,
    "rates": Rate,
    "listed": Listed,
}


def _freeze(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    fields = []
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if field.name in _PARTS:
            value = [list(dataclasses.astuple(part)) for part in value]
        fields.append(value)
    return cbor2.dumps([_NUMBERS[type(message)], *fields])


def decode(data: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        FrameError: It is none of ours.
    """
    try:
        number, *values = cbor2.loads(data)
        kind = _KINDS[number]
        fields = dataclasses.fields(kind)
        if len(fields) != len(values):
            raise ValueError("wrong number of fields")
        named: dict[str, Any] = {}
        for field, value in zip(fields, values, strict=True):
            part = _PARTS.get(field.name)
            if part is not None:
                value = tuple(part(*map(_freeze, item)) for item in value)
            named[field.name] = _freeze(value)
        return kind(**named)  # type: ignore[no-any-return]
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as e:
        raise errors.FrameError(
            f"a datagram is malformed ({e})",
            "run the same release on all instances",
        ) from e
