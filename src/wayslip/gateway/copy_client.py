"""Fetches copies of the configuration from other instances, over HTTP."""

import asyncio
from typing import Protocol

from wayslip import errors
from wayslip.http1 import client
from wayslip.http1 import whole

# Where an instance hands its configuration on, at its operators' address. With
# the version that the asking one has; the answer is a newer one, or none.
PATH = "/configuration"
# An instance answers in 10 ms, one that is gone never, seconds.
_CONNECT_SECONDS = 0.3
_HEAD_SECONDS = 0.4
# Silence in the midst of a copy, seconds: a lost packet or two.
_STALL_SECONDS = 0.5
_COPY_SECONDS_MOST = 2.0


class CopyClient(Protocol):
    """Asks another instance for its configuration."""

    async def fetch(self, address: tuple[str, int], version: int) -> bytes:
        """Returns a copy, see `snapshots`; nothing if it has none or is busy.

        Args:
            address: Of the other instance, for operators.
            version: What we have; a newer one is asked for.

        Raises:
            EndpointError: It did not answer, or not whole.
        """


class HttpCopyClient:
    """Implements `CopyClient`, with a connection for each copy."""

    async def fetch(self, address: tuple[str, int], version: int) -> bytes:
        """Returns a copy, nothing if there is none to be had."""
        connection = await client.connect(address, _CONNECT_SECONDS)
        reader = whole.ResponseReader(_STALL_SECONDS, _COPY_SECONDS_MOST)
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
                f"{address[0]}:{address[1]} gave up on a copy after"
                f" {reader.received} bytes",
                "another instance is asked, then the store",
            ) from e
        finally:
            connection.close()
        return body if head.status == 200 else b""
