"""Relays streams of server-sent events from engines to callers.

One thread serves all streams with non-blocking sockets. With a thread for each
stream, at 560 streams the wake-ups alone take more processor time than the work
(docs/design/relay.md has the measurements).

A stream is complete only after the engine's `[DONE]`. If the engine's
connection breaks before that, the stream is resumed after the last event that
was forwarded. If that fails, the caller gets an error event and its connection
ends without the closing chunk, so a truncated answer never looks complete.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import enum
import functools
import json
import logging
import re
import selectors
import socket
import ssl
import threading
import time
from typing import Any

import httptools

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.endpoints import exchange

_LOG = logging.getLogger(__name__)
_RECEIVE_BYTES = 65_536
_RESUME_THREADS = 4
_RESUME_ATTEMPTS = 4
_RESUME_BACKOFF_SECONDS = 0.25
_EVENT_END = b"\n\n"
_ID_LINE = re.compile(rb"^id: (?=\d)", re.MULTILINE)
_DONE = b"data: [DONE]"
_LAST_CHUNK = b"0\r\n\r\n"
_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)

Resume = Callable[[int], exchange.Exchange]


class End(enum.StrEnum):
    """How a stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    HUNG_UP = "hung_up"


@dataclasses.dataclass(frozen=True)
class StreamSpec:
    """Parameters of a relayed stream.

    Attributes:
        token: Prefix of the event ids sent to the caller.
        after: Number of the last event that the caller has, -1 for none.
        resume: Requests the events after a given number from the engine.
        on_end: Called once when the stream ends, in the relay's thread.
        started: When the request came in, monotonic seconds.
    """

    token: str
    after: int
    resume: Resume
    on_end: Callable[[End], None]
    started: float


class _Body:
    """Decodes the body of an answer whose head has already been read."""

    def __init__(self, headers: Any) -> None:
        self.data: list[bytes] = []
        self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)
        head = b"HTTP/1.1 200 OK\r\n"
        if "chunked" in headers.get("Transfer-Encoding", "").lower():
            head += b"Transfer-Encoding: chunked\r\n"
        elif "Content-Length" in headers:
            head += b"Content-Length: %d\r\n" % int(headers["Content-Length"])
        self._parser.feed_data(head + b"\r\n")

    def on_body(self, data: bytes) -> None:
        """Collects decoded bytes; called by the parser."""
        self.data.append(data)

    def on_message_complete(self) -> None:
        """Records the end of the body; called by the parser."""
        self.is_complete = True

    def feed(self, data: bytes) -> bytes:
        """Returns the body bytes decoded from bytes of the connection."""
        self._parser.feed_data(data)
        body = b"".join(self.data)
        self.data.clear()
        return body


class _Stream:
    """The state of one stream, used only by the relay's thread."""

    def __init__(
        self, caller: socket.socket, caller_owner: Any, spec: StreamSpec
    ) -> None:
        self.caller = caller
        self.caller_owner = caller_owner
        self.spec = spec
        self.id_prefix = b"id: " + spec.token.encode("ascii") + b"."
        self.last_event = spec.after
        self.upstream: socket.socket | None = None
        self.upstream_owner: Any = None
        self.body: _Body | None = None
        self.partial = b""
        self.out = b""
        self.is_done = False
        self.has_sent = False
        self.caller_mask = selectors.EVENT_READ
        self.is_paused = False


class Relay:
    """Relays all streams of an entry."""

    def __init__(
        self, metrics: metrics_module.Metrics, buffer_bytes: int
    ) -> None:
        self._metrics = metrics
        self._buffer_bytes = buffer_bytes
        self._selector = selectors.DefaultSelector()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._selector.register(self._wake_in, selectors.EVENT_READ, None)
        self._tasks: collections.deque[Callable[[], None]] = collections.deque()
        self._streams: set[_Stream] = set()
        self._stopping = threading.Event()
        self._resumers = concurrent.futures.ThreadPoolExecutor(
            _RESUME_THREADS, thread_name_prefix="resume"
        )
        self._first_token = metrics.latency("first_token")
        self._thread = threading.Thread(
            target=self._run, name="relay", daemon=True
        )

    def start(self) -> None:
        """Starts the relay's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread. Open streams are not completed."""
        self._stopping.set()
        self._wake()
        self._thread.join(timeout=2.0)
        self._resumers.shutdown(wait=False, cancel_futures=True)

    @property
    def active(self) -> int:
        """Number of open streams and scheduled tasks."""
        return len(self._streams) + len(self._tasks)

    def add(
        self,
        caller: socket.socket,
        caller_owner: Any,
        upstream: exchange.Exchange,
        spec: StreamSpec,
    ) -> None:
        """Adds a stream after the engine's head was read and the caller's sent.

        May be called from any thread.
        """
        stream = _Stream(caller, caller_owner, spec)
        self._schedule(lambda: self._begin(stream, upstream))

    # The relay's thread

    def _schedule(self, task: Callable[[], None]) -> None:
        self._tasks.append(task)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_out.send(b"w")
        except OSError:
            # A full socket buffer wakes the thread as well.
            pass

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, mask in self._selector.select():
                if key.data is None:
                    self._run_tasks()
                    continue
                try:
                    self._serve(key.data, key.fileobj, mask)
                except Exception:
                    # An error in one stream must not end the others.
                    _LOG.exception("stream_failed")
                    self._end(key.data, End.BROKEN)

    def _run_tasks(self) -> None:
        try:
            self._wake_in.recv(4096)
        except BlockingIOError:
            pass
        while self._tasks:
            # The task stays queued while it runs, so that a new stream always
            # counts as active.
            try:
                self._tasks[0]()
            except Exception:
                _LOG.exception("stream_task_failed")
            self._tasks.popleft()

    def _begin(self, stream: _Stream, upstream: exchange.Exchange) -> None:
        self._streams.add(stream)
        self._selector.register(stream.caller, stream.caller_mask, stream)
        self._attach(stream, upstream)

    def _attach(self, stream: _Stream, upstream: exchange.Exchange) -> None:
        if stream not in self._streams:
            upstream.close()
            return
        sock, buffered, owner = upstream.detach()
        stream.upstream, stream.upstream_owner = sock, owner
        stream.body = _Body(upstream.headers)
        self._selector.register(sock, selectors.EVENT_READ, stream)
        if buffered:
            self._process_data(stream, buffered)

    def _serve(self, stream: _Stream, sock: Any, mask: int) -> None:
        if stream not in self._streams:
            return
        if sock is stream.upstream:
            self._read_upstream(stream)
            return
        if mask & selectors.EVENT_READ:
            self._read_caller(stream)
        if mask & selectors.EVENT_WRITE and stream in self._streams:
            self._write(stream)

    # From the engine

    def _read_upstream(self, stream: _Stream) -> None:
        assert stream.upstream is not None
        try:
            data = stream.upstream.recv(_RECEIVE_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            data = b""
        if not data:
            self._start_resume(stream)
            return
        self._process_data(stream, data)

    def _process_data(self, stream: _Stream, data: bytes) -> None:
        assert stream.body is not None
        try:
            body = stream.body.feed(data)
        except httptools.HttpParserError:
            self._start_resume(stream)
            return
        text = stream.partial + body
        end = text.rfind(_EVENT_END) + len(_EVENT_END)
        if end >= len(_EVENT_END):
            stream.partial = text[end:]
            self._forward_events(stream, text[:end])
        else:
            stream.partial = text
        if stream not in self._streams or stream.is_done:
            return
        if stream.body.is_complete or len(stream.partial) > self._buffer_bytes:
            self._start_resume(stream)

    def _forward_events(self, stream: _Stream, events: bytes) -> None:
        start = events.rfind(b"\nid: ") + 1
        if start or events.startswith(b"id: "):
            number = events[start + 4 : events.find(b"\n", start)]
            stream.last_event = (
                int(number) if number.isdigit() else stream.last_event
            )
        done = events.startswith(_DONE) or b"\n" + _DONE in events
        events = _ID_LINE.sub(stream.id_prefix, events)
        stream.out += b"%x\r\n%s\r\n" % (len(events), events)
        if done:
            stream.is_done = True
            stream.out += _LAST_CHUNK
            self._detach_upstream(stream)
        if not stream.has_sent:
            stream.has_sent = True
            self._first_token.observe(clock.now() - stream.spec.started)
        self._write(stream)

    def _detach_upstream(self, stream: _Stream) -> None:
        if stream.upstream is None:
            return
        if not stream.is_paused:
            self._selector.unregister(stream.upstream)
        stream.is_paused = False
        stream.upstream_owner.close()
        stream.upstream = stream.upstream_owner = None

    # Broken engine connections

    def _start_resume(self, stream: _Stream) -> None:
        """Resumes the stream in another thread, since that blocks."""
        self._detach_upstream(stream)
        # An incomplete event was not forwarded; the engine sends it again.
        stream.partial = b""
        self._metrics.count("streams_broken")
        after = stream.last_event
        try:
            self._resumers.submit(self._resume, stream, after)
        except RuntimeError:
            self._end(stream, End.BROKEN)

    def _resume(self, stream: _Stream, after: int) -> None:
        for attempt in range(_RESUME_ATTEMPTS):
            time.sleep(_RESUME_BACKOFF_SECONDS * attempt)
            try:
                upstream = stream.spec.resume(after)
            except errors.EndpointError as e:
                logs.event(
                    _LOG, "resume_failed", logging.DEBUG, reason=e.reason
                )
                continue
            if upstream.status == 200 and upstream.is_stream:
                self._metrics.count("streams_resumed")
                self._schedule(
                    functools.partial(self._attach, stream, upstream)
                )
                return
            upstream.close()
        self._schedule(lambda: self._end_with_error(stream))

    def _end_with_error(self, stream: _Stream) -> None:
        if stream not in self._streams:
            return
        text = json.dumps(
            {
                "error": {
                    "message": "the connection to the engine failed and the"
                    " stream could not be resumed; the answer is incomplete,"
                    " send the request again",
                    "type": "stream_broken",
                }
            }
        )
        event = f"event: error\ndata: {text}\n\n".encode()
        stream.out += b"%x\r\n%s\r\n" % (len(event), event)
        stream.is_done = True
        self._write(stream)
        self._end(stream, End.BROKEN)

    # To the caller

    def _write(self, stream: _Stream) -> None:
        if stream.out:
            try:
                sent = stream.caller.send(stream.out)
            except _WOULD_BLOCK:
                sent = 0
            except OSError:
                self._end(stream, End.HUNG_UP)
                return
            stream.out = stream.out[sent:]
        if not stream.out and stream.is_done:
            self._end(stream, End.COMPLETE)
            return
        self._set_masks(stream)

    def _set_masks(self, stream: _Stream) -> None:
        mask = selectors.EVENT_READ
        if stream.out:
            mask |= selectors.EVENT_WRITE
        if mask != stream.caller_mask:
            stream.caller_mask = mask
            self._selector.modify(stream.caller, mask, stream)
        if stream.upstream is None:
            return
        # A caller that reads slowly pauses only its own engine stream.
        is_full = len(stream.out) > self._buffer_bytes
        if is_full and not stream.is_paused:
            self._selector.unregister(stream.upstream)
        elif stream.is_paused and not is_full:
            self._selector.register(
                stream.upstream, selectors.EVENT_READ, stream
            )
        stream.is_paused = is_full

    def _read_caller(self, stream: _Stream) -> None:
        try:
            data = stream.caller.recv(_RECEIVE_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            data = b""
        # The connection ends with the stream, so data that the caller sends
        # during the stream is discarded.
        if not data:
            self._end(stream, End.HUNG_UP)

    def _end(self, stream: _Stream, end: End) -> None:
        if stream not in self._streams:
            return
        self._streams.discard(stream)
        self._detach_upstream(stream)
        self._selector.unregister(stream.caller)
        try:
            stream.caller.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        stream.caller.close()
        stream.caller_owner = None
        self._metrics.count("streams", end=end)
        stream.spec.on_end(end)
