"""Reads bodies of requests from a blocking connection."""

from collections.abc import Callable
import re
import threading
from typing import Protocol

from wayslip import errors
from wayslip.http1 import framing

_READ_BYTES = 65_536
# A whole chunk header: its size, extensions and line end.
_CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"
_MAX_LINE_BYTES = 16 * 1024
# A body in small chunks takes long to decode. One thread does so at a time,
# so that threads with other requests need not wait for all of them.
_DECODING = threading.Lock()


class Source(Protocol):
    """A buffered connection."""

    def peek(self, size: int) -> bytes:
        """Returns buffered bytes, at least one unless it has ended."""

    def read1(self, size: int) -> bytes:
        """Returns and removes some bytes, none if it has ended."""

    def read(self, size: int) -> bytes:
        """Returns and removes bytes, fewer if it ends before."""

    def readline(self, size: int) -> bytes:
        """Returns and removes a line or as many bytes."""


# Called with the size of the body so far, the number of bytes that arrived
# since the last call, and raises an error if there is no room for the body.
OnProgress = Callable[[int, int], None]


def read_length(source: Source, length: int, on_progress: OnProgress) -> bytes:
    """Returns a body of a known length.

    Raises:
        BadRequestError: It is truncated.
    """
    data = bytearray()
    while len(data) < length:
        part = source.read1(min(length - len(data), _READ_BYTES))
        if not part:
            raise errors.BadRequestError(
                "the body is truncated", "send Content-Length bytes"
            )
        data += part
        on_progress(len(data), len(part))
    return bytes(data)


def read_chunks(source: Source, limit: int, on_progress: OnProgress) -> bytes:
    """Returns a body in chunks; its trailers are dropped.

    Raises:
        BadRequestError: It is malformed, truncated or longer than the limit.
    """
    reader = _ChunkReader(source, limit, on_progress)
    while not reader.is_complete:
        reader.read_buffered()
        if not reader.is_complete:
            reader.read_one()
    return bytes(reader.data)


class _ChunkReader:
    """A body in chunks, as far as it was read."""

    def __init__(
        self, source: Source, limit: int, on_progress: OnProgress
    ) -> None:
        self._source = source
        self._limit = limit
        self._on_progress = on_progress
        self._usage = framing.Usage()
        self.data = bytearray()
        self.is_complete = False

    def read_buffered(self) -> None:
        """Reads the chunks that have arrived whole, but not the last one."""
        buffered = self._source.peek(1)
        position = 0
        before = len(self.data)
        with _DECODING:
            while header := _CHUNK_HEADER.match(buffered, position):
                size = int(header[1], 16)
                begin = header.end()
                end = begin + size
                is_whole = buffered[end : end + 2] == _LINE_END
                if not size or not is_whole:
                    break
                self.data += buffered[begin:end]
                position = end + 2
        if position:
            self._source.read(position)
            self._note(position, len(self.data) - before)

    def read_one(self) -> None:
        """Reads the next chunk, or the end of the body."""
        line = self._source.readline(_MAX_LINE_BYTES)
        header = _CHUNK_HEADER.fullmatch(line)
        if header is None:
            raise _make_malformed()
        self._note(len(line), 0)
        size = int(header[1], 16)
        if not size:
            self._read_trailers()
            return
        self._check_size(size)
        end = len(self.data) + size
        while len(self.data) < end:
            left = end - len(self.data)
            part = self._source.read1(min(left, _READ_BYTES))
            if not part:
                raise _make_malformed()
            self.data += part
            self._note(len(part), len(part))
        if self._source.read(len(_LINE_END)) != _LINE_END:
            raise _make_malformed()

    def _read_trailers(self) -> None:
        while line := self._source.readline(_MAX_LINE_BYTES):
            self._note(len(line), 0)
            if line == _LINE_END:
                self.is_complete = True
                return
        raise _make_malformed()

    def _note(self, received: int, body: int) -> None:
        self._usage.note_received(received)
        if body:
            self._usage.note_body(body)
        excess = self._usage.find_excess()
        if excess is not None:
            raise errors.BadRequestError(excess, "send larger chunks")
        self._check_size(0)
        self._on_progress(len(self.data), received)

    def _check_size(self, size: int) -> None:
        if len(self.data) + size > self._limit:
            raise errors.BadRequestError(
                f"the body is longer than {self._limit} bytes",
                "send less, or have limits.body_bytes raised",
            )


def _make_malformed() -> errors.BadRequestError:
    return errors.BadRequestError(
        "the body is truncated or its chunks are malformed",
        "send chunks as HTTP/1.1 describes them",
    )
