"""The messages between daemons, typed and validated on arrival."""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

from wayslip import errors
from wayslip.decisions import configuration
from wayslip.decisions import facts
from wayslip.decisions import membership
from wayslip.objects import kinds


@dataclasses.dataclass(frozen=True)
class Gossip:
    """A membership probe with piggybacked facts.

    Attributes:
        probe: The membership message.
        facts: Facts that the sender forwards.
        generation: The sender's configuration generation.
    """

    probe: membership.Message
    facts: tuple[facts.Fact, ...]
    generation: int
    tag: Literal["gossip"] = "gossip"


@dataclasses.dataclass(frozen=True)
class Pull:
    """Requests the configuration's changes after a generation."""

    since: int
    tag: Literal["pull"] = "pull"


@dataclasses.dataclass(frozen=True)
class Pulled:
    """The changes since the requested generation."""

    delta: configuration.Delta
    tag: Literal["pulled"] = "pulled"


@dataclasses.dataclass(frozen=True)
class Join:
    """Sends the sender's members and facts and requests the receiver's."""

    members: tuple[membership.Member, ...]
    facts: tuple[facts.Fact, ...]
    tag: Literal["join"] = "join"


@dataclasses.dataclass(frozen=True)
class Joined:
    """The receiver's members, facts and configuration."""

    members: tuple[membership.Member, ...]
    facts: tuple[facts.Fact, ...]
    delta: configuration.Delta
    tag: Literal["joined"] = "joined"


@dataclasses.dataclass(frozen=True)
class Forward:
    """A request that may not be repeated, sent to its key's usual owner.

    Attributes:
        seconds_left: Seconds until the caller's deadline.
    """

    caller: str
    key: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    seconds_left: float
    tag: Literal["forward"] = "forward"


@dataclasses.dataclass(frozen=True)
class Forwarded:
    """The complete answer to a forwarded request.

    Attributes:
        outcome: The value of `Wayslip-Outcome`.
        retry_after: Seconds for `Retry-After`, 0 for none.
    """

    status: int
    outcome: str
    content_type: str
    body: bytes
    retry_after: float = 0.0
    tag: Literal["forwarded"] = "forwarded"


@dataclasses.dataclass(frozen=True)
class Dump:
    """Requests a dump of a process's state."""

    tag: Literal["dump"] = "dump"


@dataclasses.dataclass(frozen=True)
class Dumped:
    """A state dump as JSON text."""

    text: str
    tag: Literal["dumped"] = "dumped"


@dataclasses.dataclass(frozen=True)
class Drain:
    """Requests a planned stop of a process."""

    operator: str
    tag: Literal["drain"] = "drain"


@dataclasses.dataclass(frozen=True)
class Draining:
    """The planned stop has begun."""

    tag: Literal["draining"] = "draining"


@dataclasses.dataclass(frozen=True)
class Resumed:
    """Notifies a stream's first entry that the sender has resumed it."""

    request_id: str
    tag: Literal["resumed"] = "resumed"


@dataclasses.dataclass(frozen=True)
class ListEndpoints:
    """Requests the platform's list of endpoints as last received."""

    tag: Literal["list_endpoints"] = "list_endpoints"


@dataclasses.dataclass(frozen=True)
class Endpoints:
    """The list of endpoints."""

    endpoints: tuple[kinds.Endpoint, ...]
    tag: Literal["endpoints"] = "endpoints"


@dataclasses.dataclass(frozen=True)
class Noted:
    """Confirms that a message was processed."""

    tag: Literal["noted"] = "noted"


@dataclasses.dataclass(frozen=True)
class Failed:
    """A call could not be answered."""

    reason: str
    remedy: str
    tag: Literal["failed"] = "failed"


Any = Annotated[
    Gossip
    | Pull
    | Pulled
    | Join
    | Joined
    | Forward
    | Forwarded
    | Dump
    | Dumped
    | Drain
    | Draining
    | Resumed
    | ListEndpoints
    | Endpoints
    | Noted
    | Failed,
    pydantic.Field(discriminator="tag"),
]

_ADAPTER: pydantic.TypeAdapter = pydantic.TypeAdapter(Any)


def to_plain(message: object) -> object:
    """Returns a message as values that CBOR can encode."""
    return _ADAPTER.dump_python(message, mode="python")  # type: ignore[arg-type]


def from_plain(value: object) -> object:
    """Returns the typed message of decoded CBOR.

    Raises:
        FrameError: The value is not a valid message.
    """
    try:
        return _ADAPTER.validate_python(value)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        raise errors.FrameError(
            f"invalid message: {first['loc']} {first['msg']}",
            "run the same release on all instances",
        ) from e
