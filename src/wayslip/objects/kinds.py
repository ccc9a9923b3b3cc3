"""The kinds of objects, each with its plural and the type of its content.

Object content is validated when it is read: a malformed object raises an
`ObjectError` and is never used in a decision.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import Generic
from typing import TypeVar

import pydantic

from wayslip import errors
from wayslip import registry
from wayslip.decisions import configuration
from wayslip.decisions import journal
from wayslip.decisions import ledger
from wayslip.decisions import plan
from wayslip.decisions import replicas

T = TypeVar("T")

CURRENT = "current"


class EndpointRole(enum.StrEnum):
    """The type of an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Phase(enum.StrEnum):
    """The state of an endpoint or instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint in the platform's list, which may lag.

    Attributes:
        name: The endpoint's id.
        role: Whether it runs models.
        address: "IP:PORT".
        data_hall: The data hall that it runs in.
        phase: Whether it is leaving.
        capacity: Bytes for weights and adapters; 0 for a service.
        checks_fence: Whether it refuses orders with an old fence.
    """

    name: str
    role: EndpointRole
    address: str
    data_hall: str
    phase: Phase = Phase.LIVE
    capacity: int = 0
    checks_fence: bool = True


@dataclasses.dataclass(frozen=True)
class Kind(Generic[T]):
    """A kind of object.

    Attributes:
        name: The singular, as in the object's `kind` field.
        plural: The plural, as in the path of the object API.
        adapter: Validates and serializes content.
    """

    name: str
    plural: str
    adapter: pydantic.TypeAdapter[T]

    def parse(self, value: Any) -> T:
        """Returns the content of an object from JSON values.

        Raises:
            ObjectError: The content is malformed for this kind.
        """
        try:
            return self.adapter.validate_python(value, strict=False)
        except pydantic.ValidationError as e:
            first = e.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            raise errors.ObjectError(
                f"a {self.name} object is malformed at {location}:"
                f" {first['msg']}",
                "restore the object or delete it",
            ) from e

    def dump(self, value: T) -> Any:
        """Returns content as JSON values."""
        return self.adapter.dump_python(value, mode="json")


KINDS: registry.Registry[Kind[Any]] = registry.Registry("object kind")


def _register(name: str, plural: str, content: type[T]) -> Kind[T]:
    make_adapter: Callable[..., Any] = pydantic.TypeAdapter
    return KINDS.register(plural)(Kind(name, plural, make_adapter(content)))


CONFIGURATION = _register(
    "Configuration", "configurations", configuration.Configuration
)
LEDGER = _register("Ledger", "ledgers", ledger.Ledger)
REPLICA_SET = _register("ReplicaSet", "replicasets", replicas.ReplicaSet)
PLAN = _register("Plan", "plans", plan.Plan)
SEGMENT = _register("JournalSegment", "journalsegments", journal.Segment)
ENDPOINT = _register("Endpoint", "endpoints", Endpoint)
