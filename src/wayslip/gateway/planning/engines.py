"""Interface to engines for reports and orders."""

import dataclasses
import enum
from typing import Protocol

from wayslip.decisions import fleet
from wayslip.decisions import lease


class OrderOutcome(enum.StrEnum):
    """The outcome of an order.

    Attributes:
        TAKEN: The engine carries it out.
        HELD: The requested state holds already.
        BUSY: Another order is in progress, or the count of orders differs.
        REFUSED: The engine can't carry it out.
        ELSEWHERE: Another engine runs at the address.
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
    """The claim holder and fencing token under which an order is sent."""

    holder: str
    token: int


class EngineClient(Protocol):
    """Talks to engines."""

    async def report(self, endpoint: fleet.Endpoint) -> fleet.EngineState:
        """Requests an engine's report of its state.

        Raises:
            EndpointError: It did not answer, or the answer was malformed.
        """

    async def order(
        self,
        endpoint: fleet.Endpoint,
        order: lease.Pending,
        authority: Authority,
    ) -> OrderOutcome:
        """Sends an order once and returns its outcome."""
