"""Dialects of model engines: completions, load reports and orders.

Dialects are registered by name, so that other engines can be supported. The
one here uses the OpenAI-compatible API with server-sent events, and orders that
carry a fence.
"""

import dataclasses
import enum
from typing import Protocol

import pydantic

from wayslip import documents
from wayslip import errors
from wayslip import registry
from wayslip.decisions import ledger
from wayslip.endpoints import exchange

_MAX_REPORT_BYTES = 1_000_000
REQUEST_ID = "X-Request-Id"
NOT_STARTED = "X-Not-Started"


class EngineState(enum.StrEnum):
    """The state that an engine reports."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's load and the items it holds. The load lags.

    Attributes:
        boot: Start time of the engine's process, milliseconds.
        fence: Highest fence received since that start.
        waiting_tokens: Queued prefill, tokens.
        slots: Maximum number of requests in its batch.
        prefill_rate: Tokens per second.
        step: Duration of a decoding step, seconds.
        overcommitted: How often its memory did not suffice; must stay 0.
    """

    boot: int
    fence: int
    state: EngineState
    running: int
    waiting: int
    waiting_tokens: int
    slots: int
    prefill_rate: float
    step: float
    capacity: int
    resident: frozenset[str]
    loading: frozenset[str]
    overcommitted: int = 0

    @property
    def residency(self) -> ledger.Residency:
        """The items that the engine holds and loads, for its ledger."""
        return ledger.Residency(
            self.boot, self.fence, self.loading, self.resident
        )


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine.

    Fence and boot are 0 for an engine that does not check them.
    """

    id: str
    action: ledger.Action
    item: str
    size: int
    fence: int
    boot: int


@dataclasses.dataclass(frozen=True)
class OrderAnswer:
    """The outcome of an order, and the engine's report after it."""

    outcome: ledger.Outcome
    detail: str
    report: Report


class Dialect(Protocol):
    """The protocol of one kind of engine. Addresses are "IP:PORT"."""

    def report(self, address: str, timeout: float) -> Report:
        """Returns the load report."""

    def order(self, address: str, order: Order, timeout: float) -> OrderAnswer:
        """Sends an order once."""

    def begin(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        timeout: float,
    ) -> exchange.Exchange:
        """Sends a completion request."""

    def resume(
        self, address: str, request_id: str, offset: int, timeout: float
    ) -> exchange.Exchange:
        """Requests the events of a stream after the one numbered `offset`."""

    def cancel(self, address: str, request_id: str, timeout: float) -> bool:
        """Cancels a request; returns whether it had started."""


DIALECTS: registry.Registry[Dialect] = registry.Registry("engine dialect")

_REPORT = pydantic.TypeAdapter(Report)
_ANSWER = pydantic.TypeAdapter(OrderAnswer)
_ORDER = pydantic.TypeAdapter(Order)


class OpenAiDialect:
    """Engines with the OpenAI-compatible API."""

    def report(self, address: str, timeout: float) -> Report:
        """Returns the load report."""
        data = _fetch(address, "GET", "/report", b"", timeout)
        return _parse(_REPORT, data, address)

    def order(self, address: str, order: Order, timeout: float) -> OrderAnswer:
        """Sends an order once."""
        body = _ORDER.dump_json(order)
        data = _fetch(address, "POST", "/orders", body, timeout)
        return _parse(_ANSWER, data, address)

    def begin(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        timeout: float,
    ) -> exchange.Exchange:
        """Sends a completion request."""
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID: request_id,
        }
        return exchange.begin(
            exchange.Call(address, "POST", path, headers, body, timeout)
        )

    def resume(
        self, address: str, request_id: str, offset: int, timeout: float
    ) -> exchange.Exchange:
        """Requests the events of a stream after the one numbered `offset`."""
        path = f"/v1/streams/{request_id}?after={offset}"
        return exchange.begin(
            exchange.Call(address, "GET", path, {}, b"", timeout)
        )

    def cancel(self, address: str, request_id: str, timeout: float) -> bool:
        """Cancels a request; returns whether it had started."""
        path = f"/v1/streams/{request_id}"
        data = _fetch(address, "DELETE", path, b"", timeout)
        try:
            return bool(documents.parse_whole(data).get("started", True))
        except (ValueError, AttributeError) as e:
            raise errors.EndpointUnclearError(
                f"{address} sent a malformed answer to a cancellation",
                "check that the engine uses this dialect",
            ) from e


DIALECTS.register("openai")(OpenAiDialect())


def _fetch(
    address: str, method: str, path: str, body: bytes, timeout: float
) -> bytes:
    headers = {"Content-Type": "application/json"} if body else {}
    call = exchange.Call(address, method, path, headers, body, timeout)
    answer = exchange.begin(call)
    data = answer.read(_MAX_REPORT_BYTES)
    if answer.status >= 400:
        raise errors.EndpointUnclearError(
            f"{address}{path} answered {answer.status}",
            "see the endpoint's log",
        )
    return data


def _parse(adapter: pydantic.TypeAdapter, data: bytes, address: str):  # type: ignore  # noqa: ANN202
    try:
        return adapter.validate_json(data)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        raise errors.EndpointUnclearError(
            f"{address} sent a malformed answer: {first['loc']} {first['msg']}",
            "check that the engine uses this dialect",
        ) from e
