"""Fetches copies of the configuration from other instances, over HTTP."""

import asyncio
from typing import Protocol

from wayslip import errors
from wayslip.http1 import client
from wayslip.http1 import whole

# Path at which an instance serves its configuration, at its address for
# operators. The request names the version that the asking instance has; the
# answer is a newer one, or empty.
PATH = "/configuration"
# An instance answers within 10 ms; one that has stopped does not answer.
_CONNECT_SECONDS = 0.3
_HEAD_SECONDS = 0.4
# Covers the retransmission of one or two lost packets in the middle of a copy.
_STALL_SECONDS = 0.5
_MAX_COPY_SECONDS = 2.0
# Several times the largest configuration that the store takes.
_MAX_COPY_BYTES = 16 * 1024 * 1024


class CopyClient(Protocol):
    """Asks another instance for its configuration."""

    async def fetch(self, address: tuple[str, int], version: int) -> bytes:
        """Returns a copy, see `snapshots`; empty if it has none or is busy.

        Args:
            address: The other instance's address for operators.
            version: Version that this instance has; a newer one is asked for.

        Raises:
            EndpointError: It did not answer, or its answer is incomplete.
        """


class HttpCopyClient:
    """Implements `CopyClient`, with a connection for each copy."""

    async def fetch(self, address: tuple[str, int], version: int) -> bytes:
        """Returns a copy; empty if none is available."""
        connection = await client.connect(address, _CONNECT_SECONDS)
        reader = whole.ResponseReader(
            _STALL_SECONDS, _MAX_COPY_SECONDS, _MAX_COPY_BYTES
        )
        request = (
            f"GET {PATH}?newer_than={version} HTTP/1.1\r\n"
            f"host: {address[0]}:{address[1]}\r\nconnection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(_HEAD_SECONDS) as max_wait:
                connection.send(request.encode("ascii"), lambda head: True)
                head, body = await reader.read(connection, max_wait)
        except TimeoutError as e:
            raise errors.EndpointUnclearError(
                f"{address[0]}:{address[1]} timed out on a copy after"
                f" {reader.received} bytes",
                "another instance is asked, then the store",
            ) from e
        finally:
            connection.close()
        return body if head.status == 200 else b""
