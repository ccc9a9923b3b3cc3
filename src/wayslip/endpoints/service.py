"""Plain services: their reported state, and calls to them."""

from collections.abc import Mapping
import dataclasses

from wayslip import documents
from wayslip import errors
from wayslip.endpoints import exchange

_MAX_REPORT_BYTES = 10_000


@dataclasses.dataclass(frozen=True)
class Response:
    """A service's complete answer.

    Attributes:
        is_not_started: Whether the service says that it did not start the call.
    """

    status: int
    content_type: str
    body: bytes
    is_not_started: bool


def check_serving(address: str, timeout: float) -> bool:
    """Returns whether a service reports that it serves.

    Raises:
        EndpointError: It did not answer, or its report is malformed.
    """
    call = exchange.Call(address, "GET", "/report", {}, b"", timeout)
    answer = exchange.begin(call)
    data = answer.read(_MAX_REPORT_BYTES)
    try:
        return bool(documents.parse(data).get("state") == "serving")
    except (ValueError, AttributeError) as e:
        raise errors.EndpointUnclearError(
            f"{address} sent a malformed report", "check the service's /report"
        ) from e


def call_service(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout: float,
    limit: int,
) -> Response:
    """Calls a service once and returns its complete answer.

    Raises:
        NotSentError: Nothing was sent.
        EndpointUnclearError: The call may have run.
    """
    call = exchange.Call(address, method, path, headers, body, timeout)
    answer = exchange.begin(call)
    data = answer.read(limit)
    return Response(
        answer.status,
        answer.headers.get("Content-Type", "application/octet-stream"),
        data,
        "X-Not-Started" in answer.headers,
    )
