"""One HTTP exchange with an endpoint, with distinct errors for its failures.

Each exchange has its own connection. After a reset on a reused connection it
would be unclear whether the request was read, and the outcome would be
`unknown` instead of `not-run`. `NotSentError` is raised only while connecting,
before any byte of the request can have been sent.
"""

from collections.abc import Mapping
import dataclasses
import http.client
import socket
from typing import Any

import urllib3
from urllib3 import connection

from wayslip import addresses
from wayslip import errors
from wayslip.decisions import body_ends

_CONNECT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Call:
    """A request to an endpoint.

    Attributes:
        address: "IP:PORT".
        timeout: Seconds without a byte after which the exchange fails as
            unclear.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout: float = 30.0


class Exchange:
    """A sent request and its answer, of which the head has been read.

    Attributes:
        status: The answer's status code.
        headers: The answer's headers.
    """

    def __init__(
        self,
        conn: connection.HTTPConnection,
        sock: socket.socket,
        response: urllib3.HTTPResponse,
        address: tuple[str, int],
    ) -> None:
        self._address = address
        self._conn = conn
        self._sock = sock
        self._response = response
        self.status = response.status
        self.headers = response.headers

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        kind = self.headers.get("Content-Type", "")
        return kind.startswith("text/event-stream")

    def read(self, limit: int) -> bytes:
        """Returns the whole body and ends the exchange.

        Raises:
            EndpointUnclearError: The connection broke, the endpoint ended, or
                the body is longer than the limit.
        """
        try:
            data = self._response.read(limit + 1)
            is_cut = len(data) <= limit and self._is_incomplete()
        except (urllib3.exceptions.HTTPError, OSError) as e:
            raise errors.EndpointUnclearError(
                f"the connection broke during the answer ({type(e).__name__})",
                "see the endpoint's log",
            ) from e
        finally:
            self.close()
        if len(data) > limit or is_cut:
            raise errors.EndpointUnclearError(
                f"the answer is truncated or longer than {limit} bytes",
                "raise limits.answer_bytes or request a shorter answer",
            )
        return data

    def _is_incomplete(self) -> bool:
        """Whether the body ended before it was whole."""
        left = self._response.length_remaining
        if left is not None or self._response.chunked:
            return bool(left)
        evidence = body_ends.Evidence(_find_listening(self._address), 0, 0)
        return not body_ends.is_whole(evidence)

    def detach(self) -> tuple[socket.socket, bytes, Any]:
        """Hands the socket to a non-blocking reader.

        Returns:
            The socket, now non-blocking; body bytes already read from it, still
            with any transfer encoding; and an object that keeps the socket
            open.
        """
        self._sock.setblocking(False)
        # The head was read through a buffer that may hold body bytes as well.
        raw: http.client.HTTPResponse = self._response._fp  # type: ignore
        buffered = raw.fp.peek() if raw.fp is not None else b""
        return self._sock, bytes(buffered or b""), self

    def close(self) -> None:
        """Closes the connection, in any state of the exchange."""
        self._response.close()
        self._conn.close()


def _find_listening(address: tuple[str, int]) -> bool | None:
    """Returns whether an endpoint listens, None if that can't be told."""
    try:
        sock = socket.create_connection(address, _CONNECT_TIMEOUT_SECONDS)
    except (ConnectionRefusedError, ConnectionResetError):
        # A connection may be accepted and reset before this is told.
        return False
    except OSError:
        return None
    with sock:
        sock.settimeout(body_ends.SETTLING_SECONDS)
        try:
            # An endpoint sends nothing before a request.
            return bool(sock.recv(1))
        except TimeoutError:
            return True
        except OSError:
            return False


def begin(call: Call) -> Exchange:
    """Sends a request and reads the head of its answer.

    Raises:
        NotSentError: No connection was made, so nothing was sent.
        EndpointUnclearError: The endpoint may have read the request.
    """
    host, port = addresses.split_address(call.address)
    conn = connection.HTTPConnection(
        host, port, timeout=min(call.timeout, _CONNECT_TIMEOUT_SECONDS)
    )
    try:
        conn.connect()
    except (urllib3.exceptions.HTTPError, OSError) as e:
        conn.close()
        raise errors.NotSentError(
            f"{call.address} could not be reached ({type(e).__name__})",
            "check that the endpoint runs",
        ) from e
    sock = conn.sock
    assert sock is not None
    try:
        sock.settimeout(call.timeout)
        conn.timeout = call.timeout
        conn.request(
            call.method,
            call.path,
            body=call.body or None,
            headers=call.headers,
            preload_content=False,
            decode_content=False,
        )
        response = conn.getresponse()
    except (
        urllib3.exceptions.HTTPError,
        http.client.HTTPException,
        OSError,
    ) as e:
        conn.close()
        raise errors.EndpointUnclearError(
            f"{call.address} did not answer ({type(e).__name__})",
            "see the endpoint's log; the request may have run",
        ) from e
    return Exchange(conn, sock, response, (host, port))
