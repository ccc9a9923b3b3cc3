"""The datagram socket between gateways."""

import asyncio
from collections.abc import Callable
import logging
from typing import cast

from wayslip import errors
from wayslip import logs
from wayslip.gateway import facts

_LOG = logging.getLogger(__name__)
Address = tuple[str, int]
Handler = Callable[[facts.Message, Address], None]


class Hub(asyncio.DatagramProtocol):
    """Sends and hears datagrams."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> None:
        """Listens.

        Raises:
            OSError: The address can not be used.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket in."""
        # asyncio's own transport for datagrams is no DatagramTransport by type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decodes a datagram and hands it on."""
        try:
            message = facts.decode(data)
        except errors.FrameError as e:
            logs.event(
                _LOG, "datagram_dropped", logging.WARNING, reason=e.reason
            )
            return
        self._handler(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Notes that a peer has no socket; its silence is noticed anyway."""
        _LOG.debug("peer_unreachable", exc_info=exc)

    def send(self, message: facts.Message, address: Address) -> None:
        """Sends a message; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        data = facts.encode(message)
        if len(data) > facts.DATAGRAM_LIMIT:
            logs.event(
                _LOG,
                "datagram_too_long",
                logging.WARNING,
                bytes=len(data),
            )
            return
        self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
