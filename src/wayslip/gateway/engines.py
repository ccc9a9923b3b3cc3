"""What the gateway asks of engines besides requests: reports and orders."""

import dataclasses
import enum
from typing import Protocol

from wayslip.decisions import fleet
from wayslip.decisions import lease


class OrderOutcome(enum.StrEnum):
    """What came of an order.

    Attributes:
        TAKEN: The engine carries it out.
        HELD: What it asks for holds already.
        BUSY: Another order is under way, or the count of orders is another.
        REFUSED: The engine can not carry it out.
        ELSEWHERE: Another engine lives at the address.
        UNKNOWN: No answer; it may be carried out now or seconds later.
    """

    TAKEN = "taken"
    HELD = "held"
    BUSY = "busy"
    REFUSED = "refused"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


DONE = (OrderOutcome.TAKEN, OrderOutcome.HELD)


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """In whose name an order is given."""

    holder: str
    token: int


class EngineClient(Protocol):
    """Talks to engines."""

    async def report(self, endpoint: fleet.Endpoint) -> fleet.EngineState:
        """Returns what an engine says of itself.

        Raises:
            EndpointError: It did not answer, or not in form.
        """

    async def order(
        self,
        endpoint: fleet.Endpoint,
        order: lease.Pending,
        authority: Authority,
    ) -> OrderOutcome:
        """Sends an order once."""
