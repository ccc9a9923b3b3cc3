"""Reading of whole responses, limited by progress instead of total time.

A suitable limit on the total time would depend on the response's size and on
the link. A response that exceeds it is requested from its first byte again and
may never complete.
"""

import asyncio

from wayslip import clock
from wayslip import errors
from wayslip.http1 import client
from wayslip.http1 import messages


class ResponseReader:
    """Reads one response.

    Attributes:
        received: Body bytes received so far.
        head_received_at: Monotonic time at which the head was received, 0
            before.
    """

    def __init__(
        self, stall_seconds: float, max_seconds: float, max_bytes: int
    ) -> None:
        """Initializes the reader.

        Args:
            stall_seconds: Time without new bytes that ends the reading.
            max_seconds: Limit for the time after the head, for a body that
                keeps arriving slowly.
            max_bytes: Limit for the body.
        """
        self._stall_seconds = stall_seconds
        self._max_seconds = max_seconds
        self._max_bytes = max_bytes
        self.received = 0
        self.head_received_at = 0.0

    async def read(
        self, connection: client.Connection, max_wait: asyncio.Timeout
    ) -> tuple[messages.Head, bytes]:
        """Returns the head and the whole body.

        Args:
            connection: The connection on which the request was sent.
            max_wait: The running timeout for the head; it is rescheduled after
                the head and each part of the body.

        Raises:
            EndpointUnclearError: The response is truncated, malformed or too
                long.
        """
        head = await connection.read_head()
        self.head_received_at = clock.now()
        parts = []
        self._extend(max_wait)
        while part := await connection.read():
            self.received += len(part)
            if self.received > self._max_bytes:
                connection.close()
                raise errors.EndpointUnclearError(
                    f"the response's body exceeds {self._max_bytes} bytes",
                    "see the log of who sent it",
                )
            parts.append(part)
            self._extend(max_wait)
        return head, b"".join(parts)

    def _extend(self, max_wait: asyncio.Timeout) -> None:
        seconds_left = max(
            self.head_received_at + self._max_seconds - clock.now(), 0.0
        )
        now = asyncio.get_running_loop().time()
        max_wait.reschedule(now + min(self._stall_seconds, seconds_left))
