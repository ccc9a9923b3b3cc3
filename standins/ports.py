"""Loopback addresses and ports for tests and benches."""

from collections.abc import Iterator
import contextlib
import itertools
import os
import socket

# Below the range of ephemeral ports, so that no outgoing connection takes a
# port between its choice and its use.
_FIRST_PORT = 20_000
_PORT_COUNT = 12_000
_PORT_OFFSETS = itertools.count(os.getpid() % 50 * 200)
SHARED_HOST = "127.0.0.1"


def make_own_host() -> str:
    """Returns a loopback address that no other process here uses."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256}"


def find_free(host: str = SHARED_HOST) -> int:
    """Returns a port of the host that is free for TCP and UDP."""
    while True:
        port = _FIRST_PORT + next(_PORT_OFFSETS) % _PORT_COUNT
        if is_free(host, port):
            return port


def is_free(host: str, port: int) -> bool:
    """Returns whether a port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


@contextlib.contextmanager
def hold(host: str, port: int) -> Iterator[None]:
    """Keeps a port bound with a UDP socket."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind((host, port))
        yield
