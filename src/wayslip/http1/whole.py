"""Whole answers, read for as long as more of them comes.

A limit for the whole would have to know its size and the link: what is cut by
the clock is asked for from its first byte again, and may never come whole.
"""

import asyncio

from wayslip import clock
from wayslip.http1 import client
from wayslip.http1 import messages


class ResponseReader:
    """Reads one answer.

    Attributes:
        received: Bytes of its body so far.
        head_received_at: Monotonic time at which its head came, 0 before.
    """

    def __init__(self, stall_seconds: float, max_seconds: float) -> None:
        """Initializes without anything read.

        Args:
            stall_seconds: Silence in its midst that ends it, seconds.
            max_seconds: What it may take after its head, seconds; else it could
                trickle for ever.
        """
        self._stall_seconds = stall_seconds
        self._max_seconds = max_seconds
        self.received = 0
        self.head_received_at = 0.0

    async def read(
        self, connection: client.Connection, max_wait: asyncio.Timeout
    ) -> tuple[messages.Head, bytes]:
        """Returns the head and the whole body.

        Args:
            connection: On which the request was sent.
            max_wait: Ends the wait for the head; it is set on with every part.

        Raises:
            EndpointUnclearError: The answer broke off, or is garbage.
        """
        head = await connection.read_head()
        self.head_received_at = clock.now()
        parts = []
        self._extend(max_wait)
        while part := await connection.read():
            parts.append(part)
            self.received += len(part)
            self._extend(max_wait)
        return head, b"".join(parts)

    def _extend(self, max_wait: asyncio.Timeout) -> None:
        seconds_left = max(
            self.head_received_at + self._max_seconds - clock.now(), 0.0
        )
        now = asyncio.get_running_loop().time()
        max_wait.reschedule(now + min(self._stall_seconds, seconds_left))
