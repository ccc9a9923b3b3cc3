"""Open connections to endpoints, kept for the next request."""

import asyncio

from wayslip import clock
from wayslip import errors
from wayslip.http1 import client

# An idle connection that its endpoint gave no limit for is kept this long,
# seconds. An endpoint that closes it sooner is seen to; one that fell silent
# costs a request, so it is not kept for ever.
_IDLE_SECONDS = 12.0
# The endpoint may close at its limit; we stop using it this much earlier.
_IDLE_MARGIN_SECONDS = 0.7
_MAX_IDLE_PER_ENDPOINT = 64


class Pool:
    """Idle connections by endpoint.

    Keys are the endpoints' ids, not addresses: an address may pass to
    another endpoint.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[client.Connection]] = {}

    def has_idle(self, endpoint: str) -> bool:
        """Whether a connection is kept that probably can be used."""
        now = clock.now()
        return any(
            c.is_reusable and _is_fresh(c, now)
            for c in self._idle.get(endpoint, ())
        )

    def take(self, endpoint: str) -> client.Connection | None:
        """Returns an idle connection that can be used."""
        now = clock.now()
        idle = self._idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and _is_fresh(connection, now):
                return connection
            connection.close()
        return None

    async def open(self, address: tuple[str, int]) -> client.Connection:
        """Returns a new connection.

        Raises:
            NotSentError: None could be made in time.
        """
        return await client.connect(address, self._connect_seconds)

    def give_back(
        self, endpoint: str, connection: client.Connection, keep_alive: bytes
    ) -> None:
        """Keeps a connection whose answer was read whole, if it can serve.

        Args:
            endpoint: Whose it is.
            connection: The connection.
            keep_alive: The answer's Keep-Alive header.
        """
        idle = self._idle.setdefault(endpoint, [])
        if not connection.is_reusable or len(idle) >= _MAX_IDLE_PER_ENDPOINT:
            connection.close()
            return
        connection.idle_since = clock.now()
        connection.idle_limit = _parse_keep_alive(keep_alive)
        idle.append(connection)

    async def fetch(
        self,
        endpoint: str,
        address: tuple[str, int],
        data: bytes,
        timeout: float,
    ) -> tuple[int, bytes]:
        """Sends a small request and reads its whole answer.

        Returns:
            The status and the body.

        Raises:
            NotSentError: No connection was made.
            EndpointUnclearError: The answer broke off or was late.
        """
        connection = self.take(endpoint)
        if connection is None:
            connection = await self.open(address)
        try:
            async with asyncio.timeout(timeout):
                connection.send(data, lambda head: True)
                head = await connection.read_head()
                parts = []
                while part := await connection.read():
                    parts.append(part)
        except TimeoutError as e:
            raise errors.EndpointUnclearError(
                f"{address[0]}:{address[1]} did not answer in {timeout:g} s",
                "see its log; the call may have taken effect",
            ) from e
        else:
            connection.is_pooled = True
            self.give_back(endpoint, connection, head.header(b"keep-alive"))
        finally:
            if not connection.is_pooled:
                connection.close()
        return head.status, b"".join(parts)

    def drop(self, endpoint: str) -> None:
        """Closes an endpoint's idle connections."""
        for connection in self._idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle):
            self.drop(endpoint)


def _is_fresh(connection: client.Connection, now: float) -> bool:
    limit = connection.idle_limit or _IDLE_SECONDS
    return now - connection.idle_since < limit - _IDLE_MARGIN_SECONDS


def _parse_keep_alive(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            try:
                return float(text)
            except ValueError:
                return None
    return None
