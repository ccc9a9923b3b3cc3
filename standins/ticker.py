"""One thread that calls functions at their times, for thousands of streams."""

from collections.abc import Callable
import heapq
import itertools
import socket
import threading
import time

# Returns when it wants to be called again, monotonic seconds, or None.
Task = Callable[[], float | None]

RETRY_SECONDS = 0.005


class Ticker:
    """Runs tasks at their times."""

    def __init__(self) -> None:
        self._tasks: list[tuple[float, int, Task]] = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, due: float, task: Task) -> None:
        """Has a task called at a time."""
        with self._changed:
            heapq.heappush(self._tasks, (due, next(self._sequence), task))
            self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._tasks:
                    self._changed.wait()
                wait = self._tasks[0][0] - time.monotonic()
                if wait > 0:
                    self._changed.wait(wait)
                    continue
                task = heapq.heappop(self._tasks)[2]
            next_due = task()
            if next_due is not None:
                self.add(next_due, task)


class ChunkWriter:
    """Writes chunks to a socket without blocking; keeps what is left."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._unsent = b""
        sock.setblocking(False)

    def write(self, data: bytes) -> None:
        """Adds a chunk; an empty one ends the answer.

        Raises:
            OSError: The reader is gone.
        """
        self._unsent += b"%x\r\n%s\r\n" % (len(data), data)
        self.flush()

    def flush(self) -> bool:
        """Sends what it can; returns whether all of it is sent."""
        try:
            while self._unsent:
                self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """Breaks off, or ends after the last chunk."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
