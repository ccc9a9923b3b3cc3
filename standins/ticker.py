"""A thread that runs tasks at given times, for thousands of streams."""

from collections.abc import Callable
import heapq
import itertools
import socket
import threading
import time

# Returns when it is due next, in monotonic seconds, or None if it is done.
Task = Callable[[], float | None]

RETRY_SECONDS = 0.005


class Ticker:
    """Runs tasks when they are due, all on one thread."""

    def __init__(self) -> None:
        self._tasks: list[tuple[float, int, Task]] = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, due: float, task: Task) -> None:
        """Schedules a task; `due` is in monotonic seconds."""
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
    """Writes chunks to a socket without blocking; buffers the unsent rest."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._unsent = b""
        sock.setblocking(False)

    def write(self, data: bytes) -> None:
        """Adds a chunk and sends what it can; an empty chunk ends the answer.

        Raises:
            OSError: The client has closed the connection.
        """
        self._unsent += b"%x\r\n%s\r\n" % (len(data), data)
        self.flush()

    def flush(self) -> bool:
        """Sends what it can; returns whether nothing is left to send."""
        try:
            while self._unsent:
                self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """Closes the connection; unsent bytes are dropped."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
