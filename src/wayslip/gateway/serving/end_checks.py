"""Checks whether an endpoint closed a connection because it ended itself."""

import asyncio
import logging

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import body_ends
from wayslip.decisions import fleet
from wayslip.gateway.sharing import endpoint_paths
from wayslip.http1 import client
from wayslip.http1 import pool as pool_module

_LOG = logging.getLogger(__name__)
# Limit for the check, for which the end of the answer is held back. A round
# trip takes 2 ms; without an answer, other evidence decides.
_MAX_SECONDS = 0.25


class EndChecks:
    """Checks ends that only a close tells. Used on the event loop only."""

    def __init__(
        self,
        paths: endpoint_paths.EndpointPaths,
        pool: pool_module.Pool,
    ) -> None:
        """Initializes without connections in use.

        Args:
            paths: Opens connections to endpoints.
            pool: Holds the idle connections.
        """
        self._paths = paths
        self._pool = pool
        # Connections that carry a request, by endpoint.
        self._in_use: dict[str, set[client.Connection]] = {}

    def note_used(self, endpoint: str, connection: client.Connection) -> None:
        """Records that a connection carries a request."""
        self._in_use.setdefault(endpoint, set()).add(connection)

    def note_unused(self, endpoint: str, connection: client.Connection) -> None:
        """Records that a request has left its connection."""
        in_use = self._in_use.get(endpoint, set())
        in_use.discard(connection)
        if not in_use:
            self._in_use.pop(endpoint, None)

    async def check(
        self,
        endpoint: fleet.Endpoint,
        connection: client.Connection,
        request_id: str,
    ) -> None:
        """Returns if the body on a connection that was closed is whole.

        The new connection that this opens replaces the closed one in the pool.

        Args:
            endpoint: The endpoint.
            connection: The connection, on which the body's end was not marked.
            request_id: Id of the request, for the log.

        Raises:
            EndpointUnclearError: The endpoint ended, and the body with it.
        """
        began = clock.now()
        others = [
            c
            for c in (
                *self._in_use.get(endpoint.name, ()),
                *self._pool.list_idle(endpoint.name),
            )
            if c is not connection and not c.is_lost
        ]
        listens = await self._find_listening(endpoint, bool(connection.peer))
        evidence = body_ends.Evidence(
            listens, len(others), sum(c.is_lost for c in others)
        )
        is_whole = body_ends.is_whole(evidence)
        logs.event(
            _LOG,
            "end_not_marked",
            request=request_id,
            endpoint=endpoint.name,
            listens=listens,
            others=evidence.others,
            lost=evidence.lost,
            seconds=f"{clock.now() - began:.3f}",
            whole=is_whole,
        )
        if not is_whole:
            raise errors.EndpointUnclearError(
                "the endpoint ended before it marked the end of its answer",
                "see the endpoint's log; the request may have run",
            )

    async def _find_listening(
        self, endpoint: fleet.Endpoint, is_through_peer: bool
    ) -> bool | None:
        try:
            async with asyncio.timeout(_MAX_SECONDS):
                opened = await self._paths.reopen(endpoint, is_through_peer)
        except errors.NobodyListensError:
            return False
        except errors.NotSentError as e:
            # A connection may be accepted and reset before this is told.
            is_reset = isinstance(e.__cause__, ConnectionResetError)
            return False if is_reset else None
        except TimeoutError:
            return None
        try:
            await asyncio.sleep(body_ends.SETTLING_SECONDS)
            listens = not opened.is_lost
        finally:
            self._pool.add(endpoint.name, opened)
        return listens
