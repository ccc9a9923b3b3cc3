"""Has connections whose bytes are costly to parse take turns.

A read of many headers or small chunks takes milliseconds to parse. If several
clients sent such reads in each round of the event loop, all others would wait
for their sum.
"""

import asyncio
import collections
from collections.abc import Hashable


class Turns:
    """Connections that wait to be read again. Used on the event loop only."""

    def __init__(self) -> None:
        # In the order in which they are read.
        self._waiting: collections.OrderedDict[
            Hashable, asyncio.ReadTransport
        ] = collections.OrderedDict()
        self._is_scheduled = False

    def wait(
        self, connection: Hashable, transport: asyncio.ReadTransport
    ) -> None:
        """Pauses reading until it is this connection's turn.

        One connection has its turn in each round of the event loop.
        """
        if transport.is_closing():
            return
        transport.pause_reading()
        self._waiting[connection] = transport
        self._schedule()

    def discard(self, connection: Hashable) -> None:
        """Forgets a connection that was closed."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._resume_next)

    def _resume_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        _, transport = self._waiting.popitem(last=False)
        if not transport.is_closing():
            transport.resume_reading()
        self._schedule()
