"""Connections whose clients read slower than their answers arrive."""

import logging
from typing import Protocol

from wayslip import clock
from wayslip import logs
from wayslip.decisions import buffering

_LOG = logging.getLogger(__name__)
# Write buffers of stalled connections, all together. Several hundred fit, in
# about the memory that an instance takes for itself.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# The same as a share of the machine's memory. On the side of the endpoints up
# to twice as much is buffered for the same connections.
_MEMORY_SHARE = 0.1


def find_limit(memory_mb: float) -> int:
    """Returns what the write buffers of stalled connections may hold, bytes.

    Args:
        memory_mb: The memory of the machine, 10^6 bytes; 0 if unknown.
    """
    if not memory_mb:
        return MAX_BUFFERED_BYTES
    return min(int(memory_mb * 1e6 * _MEMORY_SHARE), MAX_BUFFERED_BYTES)


class Connection(Protocol):
    """What is needed of a connection."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that the socket has not taken yet."""

    def abort(self) -> None:
        """Aborts the connection."""


class StalledConnections:
    """Connections with full write buffers. Used on the event loop only."""

    def __init__(self, limit: int | None = None) -> None:
        """Initializes without a connection.

        Args:
            limit: What the buffers may hold together, bytes; by default
                `MAX_BUFFERED_BYTES`.
        """
        self._limit = limit
        # Since when each buffer is full, in seconds.
        self._since: dict[Connection, float] = {}

    def __len__(self) -> int:
        """Returns the number of stalled connections."""
        return len(self._since)

    def add(self, connection: Connection) -> None:
        """Records a full write buffer; cuts the slowest readers at the limit.

        Buffers grow only until they are full, so that a check at the moment
        when one has filled up suffices.
        """
        now = clock.now()
        self._since.setdefault(connection, now)
        readers = {
            stalled: buffering.Reader(stalled.buffered_bytes, now - since)
            for stalled, since in self._since.items()
        }
        limit = MAX_BUFFERED_BYTES if self._limit is None else self._limit
        for slowest in buffering.choose_cuts(readers, limit):
            logs.event(
                _LOG,
                "slow_reader_cut",
                logging.WARNING,
                held=readers[slowest].held,
                stalled=f"{readers[slowest].stalled:.3f}",
                readers=len(readers),
            )
            self.discard(slowest)
            slowest.abort()

    def discard(self, connection: Connection) -> None:
        """Records that a write buffer has space again, or is gone."""
        self._since.pop(connection, None)
