"""Tracks connections whose requests arrive, and closes those that hold others.

A worker thread reads a request and blocks until it is whole. So a connection is
not read any further if its request takes too long, if others need its room in
memory, or if they need its worker and it is behind the least pace.
"""

from collections.abc import Callable
import contextlib
import logging
import socket
import threading
import time

from wayslip import clock
from wayslip import logs
from wayslip.decisions import intake

_LOG = logging.getLogger(__name__)
_SWEEP_SECONDS = 0.25


class Readers:
    """The connections of a server that are read. Thread-safe."""

    def __init__(
        self, seconds: float, room: int, find_waiting: Callable[[], int]
    ) -> None:
        """Initializes without a connection.

        A socket time-out restarts with every byte, so a caller that sends
        single bytes within the time-out could occupy a worker without limit.

        Args:
            seconds: Longest time for a request to arrive.
            room: Memory that requests may take, bytes.
            find_waiting: Returns how many connections wait for a worker.
        """
        self._seconds = seconds
        self._find_waiting = find_waiting
        self._lock = threading.Lock()
        self._intake = intake.Intake(room)
        # Since when a request of each socket is read, steady seconds.
        self._since: dict[socket.socket, float] = {}
        self._displaced: set[socket.socket] = set()

    def start(self) -> None:
        """Starts to close connections in a thread of its own."""
        threading.Thread(target=self._run, name="readers", daemon=True).start()

    def begin(self, sock: socket.socket) -> None:
        """Records that a request begins."""
        now = clock.now()
        cost = intake.estimate_cost(0, 0, 0)
        with self._lock:
            self._since[sock] = now
            self._intake.hold(sock, cost, now)
            self._intake.note_received(sock, 0, now)

    def hold(self, sock: socket.socket, cost: int) -> bool:
        """Returns whether there is room for a request.

        Args:
            sock: Its connection.
            cost: What it takes; see `intake.estimate_cost`.
        """
        with self._lock:
            verdict = self._intake.hold(sock, cost, clock.now())
            for other in verdict.displaced:
                assert isinstance(other, socket.socket)
                self._displace(other, "room")
        return verdict.is_admitted

    def note_received(self, sock: socket.socket, size: int) -> None:
        """Records bytes of a request."""
        with self._lock:
            self._intake.note_received(sock, size, clock.now())

    def note_complete(self, sock: socket.socket) -> None:
        """Records that a request needs no more bytes."""
        with self._lock:
            self._since.pop(sock, None)
            self._intake.note_complete(sock)

    def end(self, sock: socket.socket) -> None:
        """Forgets a connection whose request was answered."""
        with self._lock:
            self._since.pop(sock, None)
            self._displaced.discard(sock)
            self._intake.release(sock)

    def is_displaced(self, sock: socket.socket) -> bool:
        """Whether a connection is not read any more because others need it."""
        with self._lock:
            return sock in self._displaced

    def _run(self) -> None:
        while True:
            time.sleep(_SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Closes connections that are late, or needed by others."""
        now = clock.now()
        with self._lock:
            for sock, since in self._since.items():
                if since < now - self._seconds:
                    _stop_reading(sock)
            for _ in range(self._find_waiting()):
                behind = self._intake.find_furthest_behind(now)
                if behind is None:
                    return
                assert isinstance(behind, socket.socket)
                self._intake.release(behind)
                self._displace(behind, "worker")

    def _displace(self, sock: socket.socket, needed: str) -> None:
        logs.event(_LOG, "request_gave_way", logging.WARNING, needed=needed)
        self._displaced.add(sock)
        _stop_reading(sock)


def _stop_reading(sock: socket.socket) -> None:
    """Has the thread that reads a connection see its end."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
