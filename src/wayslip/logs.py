"""Logging of events as lines of key=value pairs.

Modules pass their `logging.getLogger(__name__)` to `event`, which keeps the
fields of an event as data until its line is formatted. Fields whose names
suggest secrets are masked by the formatter.
"""

import collections
import logging
import sys
import threading
from typing import Any
from typing import TextIO

from wayslip import clock
from wayslip import texts

_SECRET_WORDS = ("key", "token", "secret", "authorization", "password")
_MASK = "***"
# Lines buffered for a slow reader: about a megabyte.
MAX_BUFFERED_LINES = 4_000
# Time between writes; each write costs a wake-up of the thread.
FLUSH_PERIOD_SECONDS = 0.25
# Longest wait for the reader when the writer is closed.
CLOSE_TIMEOUT_SECONDS = 0.5
# Lines of one event a second: several times what an instance logs at its
# expected load of 20 requests a second.
MAX_LINES_PER_SECOND = 300


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Logs one event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={"fields": fields})


def mask(name: str, value: Any) -> Any:
    """Returns the value, or a mask if the name suggests a secret."""
    lowered = name.lower()
    if any(word in lowered.split("_") for word in _SECRET_WORDS):
        return _MASK
    return value


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record; a traceback stays on the same line."""
        pairs = [
            ("time", f"{record.created:.3f}"),
            ("level", record.levelname.lower()),
            ("logger", record.name),
            ("event", record.getMessage()),
        ]
        fields = getattr(record, "fields", {})
        pairs += [(name, mask(name, value)) for name, value in fields.items()]
        if record.exc_info:
            pairs.append(("traceback", self.formatException(record.exc_info)))
        return " ".join(f"{name}={_quote(value)}" for name, value in pairs)


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


class LineWriter:
    """Writes lines in a separate thread, so that logging never blocks.

    If the reader stops reading, the buffer fills up. Then lines are dropped and
    counted. Lines below WARNING are dropped once the buffer is half full, so
    that it has space left for warnings and errors.

    Args:
        stream: The stream to write to.
        limit: Maximum number of buffered lines.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_BUFFERED_LINES) -> None:
        self._stream = stream
        self._limit = limit
        self._lines: collections.deque[str] = collections.deque()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="logs", daemon=True
        )
        self._thread.start()

    def add(self, name: str, level: int, line: str) -> None:
        """Buffers a line of the event `name`, or counts it as dropped."""
        limit = self._limit if level >= logging.WARNING else self._limit // 2
        with self._lock:
            if len(self._lines) >= limit:
                self._dropped[name] += 1
                return
            self._lines.append(line)

    def take_dropped(self) -> dict[str, int]:
        """Returns the lines dropped since the last call, by event."""
        with self._lock:
            dropped = dict(self._dropped)
            self._dropped.clear()
        return dropped

    def _take(self) -> str:
        with self._lock:
            text = "".join(self._lines)
            self._lines.clear()
        for name, count in self.take_dropped().items():
            text += f"event=lines_left_out of={_quote(name)} count={count}\n"
        return text

    def _run(self) -> None:
        while not self._is_closed:
            self._wake.wait(FLUSH_PERIOD_SECONDS)
            text = self._take()
            if not text:
                continue
            try:
                self._write(text)
            except (OSError, ValueError):
                # The reader is gone, and there is no other place to report it.
                self._is_closed = True

    def _write(self, text: str) -> None:
        """Writes text, with escapes for what the stream can't encode.

        Raises:
            OSError, ValueError: The stream is closed.
        """
        encoding = getattr(self._stream, "encoding", None) or "utf-8"
        self._stream.write(texts.escape(text, encoding))
        self._stream.flush()

    def close(self) -> None:
        """Writes the buffered lines, unless the reader is blocked for long."""
        self._is_closed = True
        self._wake.set()
        self._thread.join(timeout=CLOSE_TIMEOUT_SECONDS)
        if self._thread.is_alive():
            return
        text = self._take()
        if text:
            self._write(text)


class LineHandler(logging.Handler):
    """Passes formatted records to a writer, with a rate limit per event."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._over_limit: collections.Counter[str] = collections.Counter()
        self.setFormatter(KeyValueFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record; one above its event's rate limit is only counted."""
        name = str(record.msg)
        second = int(clock.now())
        if second != self._second:
            self._report_over_limit()
            self._second = second
        self._counts[name] += 1
        limit = (
            MAX_LINES_PER_SECOND
            if record.levelno < logging.WARNING
            else MAX_LINES_PER_SECOND * 2
        )
        if self._counts[name] > limit:
            self._over_limit[name] += 1
            return
        try:
            line = self.format(record) + "\n"
        except Exception:
            self.handleError(record)
            return
        self._writer.add(name, record.levelno, line)

    def _report_over_limit(self) -> None:
        self._counts.clear()
        for name, count in self._over_limit.items():
            line = f"event=lines_left_out of={_quote(name)} count={count}\n"
            self._writer.add("lines_left_out", logging.WARNING, line)
        self._over_limit.clear()


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Libraries log each connection at INFO, which would hide other events.
    for noisy in ("urllib3", "websockets", "cheroot"):
        logging.getLogger(noisy).setLevel(logging.ERROR)


def configure_logging(level: str, stream: TextIO = sys.stderr) -> None:
    """Writes all logs of the process to a stream as key=value lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    _install(handler, level)


def configure_bounded(level: str, stream: TextIO) -> LineWriter:
    """Like `configure_logging`, with a bounded buffer that never blocks.

    The caller closes the writer that is returned.
    """
    writer = LineWriter(stream)
    _install(LineHandler(writer), level)
    return writer
