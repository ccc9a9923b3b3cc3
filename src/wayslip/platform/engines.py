"""Client for the reports and orders of the platform's engines."""

import json

from wayslip import addresses
from wayslip import documents
from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import lease
from wayslip.gateway.planning import engines
from wayslip.http1 import pool
from wayslip.platform import decoding

_REPORT_PATH = "/wayslip/report"
_ORDER_PATH = "/wayslip/order"
# Engines answer both calls at once, but retransmitting a lost packet takes a
# few hundred milliseconds.
_CALL_SECONDS = 0.7
# A report lists what an engine holds and runs; each run takes about 60 bytes.
_MAX_REPORT_BYTES = 1024 * 1024
# The outcome of an order is its status.
_MAX_OUTCOME_BYTES = 64 * 1024
_OUTCOMES = {
    200: engines.OrderOutcome.HELD,
    202: engines.OrderOutcome.TAKEN,
    409: engines.OrderOutcome.BUSY,
    400: engines.OrderOutcome.REFUSED,
    412: engines.OrderOutcome.REFUSED,
}


class PlatformEngines:
    """Implements `wayslip.gateway.planning.engines.EngineClient`.

    It has its own connections, so that a late response to a client's request
    cannot be mistaken for the response to an order.
    """

    def __init__(self) -> None:
        self._pool = pool.Pool(_CALL_SECONDS)

    async def report(self, endpoint: fleet.Endpoint) -> fleet.EngineState:
        """Returns the state that an engine reports.

        Raises:
            EndpointError: The engine did not answer, or not with a valid
                report.
        """
        status, data = await self._pool.fetch(
            endpoint.name,
            addresses.split_address(endpoint.address),
            _format_request(endpoint, "GET", _REPORT_PATH, b""),
            _CALL_SECONDS,
            _MAX_REPORT_BYTES,
        )
        if status != 200:
            raise errors.EndpointError(
                f"{endpoint.name} answered {status} to a report call",
                "see the engine's log",
            )
        try:
            return decoding.decode_state(documents.parse(data))
        except ValueError as e:
            raise errors.EndpointError(
                f"the report of {endpoint.name} is not valid JSON",
                "see the engine's log",
            ) from e

    async def order(
        self,
        endpoint: fleet.Endpoint,
        order: lease.Pending,
        authority: engines.Authority,
    ) -> engines.OrderOutcome:
        """Sends an order once, without retries."""
        body = {
            "operation": order.action.value,
            "model": order.model,
            # The number of orders that the engine accepted, not a revision.
            "expected_count": order.orders,
            "holder": authority.holder,
            "fencing_token": authority.token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        data = _format_request(
            endpoint, "POST", _ORDER_PATH, json.dumps(body).encode()
        )
        try:
            status, _ = await self._pool.fetch(
                endpoint.name,
                addresses.split_address(endpoint.address),
                data,
                _CALL_SECONDS,
                _MAX_OUTCOME_BYTES,
            )
        except errors.NotSentError:
            return engines.OrderOutcome.REFUSED
        except errors.EndpointError:
            return engines.OrderOutcome.UNKNOWN
        if status == 421:
            # Another engine has the address, or the model is not there.
            return engines.OrderOutcome.ELSEWHERE
        return _OUTCOMES.get(status, engines.OrderOutcome.UNKNOWN)


def _format_request(
    endpoint: fleet.Endpoint, method: str, path: str, body: bytes
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"host: {endpoint.address}",
        f"wayslip-target-instance: {endpoint.name}",
    ]
    if body:
        lines.append("content-type: application/json")
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
