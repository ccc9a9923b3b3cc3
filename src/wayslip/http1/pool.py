"""Pool of idle connections to endpoints."""

import asyncio
from collections.abc import Set
import math

from wayslip import clock
from wayslip import errors
from wayslip.http1 import client

# How long an idle connection is kept if its endpoint announced no limit. A
# close by the endpoint is detected, but an endpoint that became unresponsive
# costs a request, so the time is bounded.
_IDLE_SECONDS = 12.0
# The endpoint may close a connection at the limit, so reuse ends this much
# earlier.
_IDLE_MARGIN_SECONDS = 0.7
_MAX_IDLE_PER_ENDPOINT = 64
# Limits for connections through another instance, idle and in total. That
# instance may be about to stop, and then lets those in use end.
_TUNNEL_IDLE_SECONDS = 2.0
_MAX_TUNNEL_SECONDS = 3.0


class Pool:
    """Idle connections by endpoint.

    Keys are the endpoints' ids, not their addresses, because an address may
    be reused by another endpoint.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[client.Connection]] = {}

    def has_idle(self, endpoint: str) -> bool:
        """Returns whether an idle connection is probably usable."""
        now = clock.now()
        return any(
            c.is_reusable and _is_fresh(c, now)
            for c in self._idle.get(endpoint, ())
        )

    def list_idle(self, endpoint: str) -> list[client.Connection]:
        """Returns the idle connections of an endpoint, also closed ones."""
        return list(self._idle.get(endpoint, ()))

    def take(
        self,
        endpoint: str,
        trusted_since: float = -math.inf,
        excluded: Set[client.Connection] = frozenset(),
    ) -> client.Connection | None:
        """Removes and returns a usable idle connection, None without one.

        Args:
            endpoint: The id of its endpoint.
            trusted_since: Connections on which nothing arrived since then are
                closed.
            excluded: Connections that stay in the pool.
        """
        now = clock.now()
        idle = self._idle.get(endpoint, [])
        for connection in [c for c in reversed(idle) if c not in excluded]:
            idle.remove(connection)
            if (
                connection.is_reusable
                and _is_fresh(connection, now)
                and connection.heard_at > trusted_since
            ):
                return connection
            connection.close()
        return None

    async def open(self, address: tuple[str, int]) -> client.Connection:
        """Returns a new connection.

        Raises:
            NotSentError: The connection failed or timed out.
        """
        return await client.connect(address, self._connect_seconds)

    def give_back(
        self, endpoint: str, connection: client.Connection, keep_alive: bytes
    ) -> None:
        """Returns a connection to the pool after a whole response.

        A connection that cannot be reused or exceeds the pool's limit is
        closed.

        Args:
            endpoint: The id of its endpoint.
            connection: The connection.
            keep_alive: The response's Keep-Alive header.
        """
        idle = self._idle.setdefault(endpoint, [])
        if not connection.is_reusable or len(idle) >= _MAX_IDLE_PER_ENDPOINT:
            connection.close()
            return
        connection.idle_since = clock.now()
        connection.idle_limit = _parse_keep_alive(keep_alive)
        idle.append(connection)

    def add(self, endpoint: str, connection: client.Connection) -> None:
        """Adds a connection that was opened and not used yet."""
        connection.is_pooled = True
        self.give_back(endpoint, connection, b"")

    async def fetch(
        self,
        endpoint: str,
        address: tuple[str, int],
        data: bytes,
        timeout: float,
        max_bytes: int,
    ) -> tuple[int, bytes]:
        """Sends a small request and reads the whole response.

        Args:
            endpoint: The endpoint's id.
            address: The endpoint's host and port.
            data: The whole request.
            timeout: Limit for request and response after connecting, seconds.
            max_bytes: Limit for the body of the response.

        Returns:
            The status and the body.

        Raises:
            NotSentError: No connection was made.
            EndpointUnclearError: The response was truncated, late or too long.
        """
        connection = self.take(endpoint)
        if connection is None:
            connection = await self.open(address)
        try:
            async with asyncio.timeout(timeout):
                connection.send(data, lambda head: True)
                head = await connection.read_head()
                body = await connection.read_whole(max_bytes)
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
        return head.status, body

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
    if connection.peer:
        limit = min(limit, _TUNNEL_IDLE_SECONDS + _IDLE_MARGIN_SECONDS)
        if now - connection.opened_at > _MAX_TUNNEL_SECONDS:
            return False
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
