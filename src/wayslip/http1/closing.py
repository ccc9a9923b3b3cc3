"""Closes connections so that a break does not look like an orderly end.

A body with neither a length nor chunks ends with its connection. The kernel
closes the connections of a process that ends in order, whatever it had still to
send, and so does asyncio's `abort`. The receiver would take a part of the body
for the whole.
"""

import asyncio
import socket
import struct

# `struct linger` with a time of 0, with which a close resets the connection.
_RESET = struct.pack("ii", 1, 0)
# The same option with lingering off, the default: a close is orderly.
_IN_ORDER = struct.pack("ii", 0, 0)


def reset(transport: asyncio.WriteTransport) -> None:
    """Resets a connection; what was not sent yet is lost."""
    if transport.is_closing():
        return
    _set_linger(transport, _RESET)
    transport.abort()


class GuardedTransport:
    """A transport that resets its connection unless it is closed in order.

    The end of this process resets it too.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._closes_once_sent = False
        _set_linger(transport, _RESET)

    def release(self) -> None:
        """Has the connection close in order from now on."""
        if not self._transport.is_closing():
            _set_linger(self._transport, _IN_ORDER)

    def close(self) -> None:
        """Closes the connection in order, once all was handed to the kernel."""
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size():
            self._closes_once_sent = True
            # Has the protocol called once the buffer is empty.
            self._transport.set_write_buffer_limits(high=0)
            return
        self.release()
        self._transport.close()

    def note_sent(self) -> None:
        """To be called by the protocol's `resume_writing`."""
        if self._closes_once_sent:
            self.close()


def _set_linger(transport: asyncio.WriteTransport, value: bytes) -> None:
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
