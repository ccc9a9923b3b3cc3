"""The datagram socket between gateways."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
import random
from typing import cast

from wayslip import addresses
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fanout
from wayslip.gateway.sharing import datagrams
from wayslip.gateway.sharing import facts

_LOG = logging.getLogger(__name__)
Address = tuple[str, int]
Handler = Callable[[facts.Message, Address], None]


class Hub(asyncio.DatagramProtocol):
    """Sends and receives datagrams, and forwards relayed messages to peers."""

    def __init__(
        self, handler: Handler, metrics: metrics_module.Metrics
    ) -> None:
        self._handler = handler
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._rng = random.Random()

    async def start(self, address: Address) -> None:
        """Listens.

        Raises:
            OSError: The address can not be used.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # asyncio's transport for datagrams is no DatagramTransport by type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decodes a datagram, forwards a relayed one and calls the handler."""
        self._count("heard", len(data))
        try:
            message = datagrams.decode(data)
            if isinstance(message, facts.Relay):
                self._forward(message)
                message = datagrams.decode(message.payload)
        except (errors.FrameError, ValueError) as e:
            logs.event(_LOG, "datagram_dropped", logging.WARNING, reason=str(e))
            return
        self._handler(message, addr)

    def _forward(self, message: facts.Relay) -> None:
        for other in message.recipients:
            self._send(message.payload, addresses.split_address(other))

    def error_received(self, exc: Exception) -> None:
        """Logs that a peer has no socket; missing reports reveal it anyway."""
        _LOG.debug("peer_unreachable", exc_info=exc)

    def send(self, message: facts.Message, address: Address) -> None:
        """Sends a message; the datagram may be lost."""
        data = self._encode(message)
        if data is not None:
            self._send(data, address)

    def broadcast(
        self, message: facts.Message, peers: Iterable[fanout.Peer]
    ) -> None:
        """Sends a message to many peers, encoded once; any copy may be lost."""
        payload = self._encode(message)
        if payload is None:
            return
        for branch in fanout.plan(peers, self._rng):
            data = payload
            if branch.recipients:
                data = datagrams.encode(facts.Relay(branch.recipients, payload))
            self._send(data, addresses.split_address(branch.relay))

    def _encode(self, message: facts.Message) -> bytes | None:
        """Returns a message as a datagram, None if it can not be encoded."""
        try:
            return datagrams.encode(message)
        except errors.FrameError as e:
            logs.event(_LOG, "message_not_sent", logging.ERROR, reason=e.reason)
            return None

    def _send(self, data: bytes, address: Address) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if len(data) > datagrams.DATAGRAM_LIMIT:
            logs.event(
                _LOG,
                "datagram_too_long",
                logging.WARNING,
                bytes=len(data),
            )
            return
        self._count("sent", len(data))
        self._transport.sendto(data, address)

    def _count(self, way: str, size: int) -> None:
        self._metrics.count("datagrams", way=way)
        self._metrics.count("datagram_bytes", size, way=way)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
