"""HTTP server on top of cheroot, with limits.

An application is a function from `Request` to `Answer`. It may instead take
over the connection for a stream; see `Request.detach`.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import http
import json
import logging
import socket
import threading
from typing import Any
import urllib.parse

from cheroot import server as cheroot_server
from cheroot.ssl import builtin as cheroot_ssl

from wayslip import addresses
from wayslip import bodies
from wayslip import documents
from wayslip import errors
from wayslip import request_readers
from wayslip import settings as settings_module
from wayslip.decisions import intake

_LOG = logging.getLogger(__name__)
_READ_BYTES = 65_536
_ACCEPT_QUEUE = 512
# Steps in which a body of unknown length is counted.
_COUNT_STEP_BYTES = 65_536
# The rest of a body up to this size is read with the answer, and the connection
# stays open.
_MAX_REST_BYTES = 65_536
# Retry-After of a request that found no room: a connection that sends nothing
# is behind its pace by then and gives way.
_NO_ROOM_SECONDS = 1

OUTCOME = "Wayslip-Outcome"
NOT_RUN = "not-run"
RAN = "ran"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def answer_json(status: int, value: Any, **headers: str) -> Answer:
    """Returns an answer with a JSON body.

    Args:
        status: The HTTP status.
        value: The body, before it is encoded.
        **headers: Headers, with "_" in place of "-" in their names.
    """
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    data = json.dumps(value, default=str).encode() + b"\n"
    return Answer(status, data, headers=names)


class Request:
    """A request whose header has been read."""

    def __init__(self, raw: Any, body_limit: int) -> None:
        self._raw = raw
        self._limit = body_limit
        self._socket: socket.socket = raw.conn.socket
        self._source: bodies.Source = raw.conn.rfile
        self._readers: request_readers.Readers = raw.server.readers
        # Size of the body for which there is room.
        self._held_bytes = 0
        self.method = raw.method.decode("latin-1")
        uri = urllib.parse.urlsplit(raw.uri.decode("latin-1"))
        self.path = urllib.parse.unquote(uri.path)
        self.raw_path = uri.path + (f"?{uri.query}" if uri.query else "")
        self.query = dict(urllib.parse.parse_qsl(uri.query))
        self.is_detached = False

    def header(self, name: str, default: str = "") -> str:
        """Returns a header's value, or the default if it is absent."""
        value = self._raw.inheaders.get(name.title().encode("ascii"))
        return default if value is None else value.decode("latin-1")

    def read(self) -> bytes:
        """Returns the body.

        Raises:
            BadRequestError: It exceeds the limit or is truncated.
            NoRoomError: There is no room for it in memory.
        """
        self._readers.begin(self._socket)
        try:
            data = self._read_body()
        except errors.WayslipError as e:
            # The rest of the body would be taken for the next request.
            self._raw.close_connection = True
            if self._readers.is_displaced(self._socket):
                raise _make_no_room() from e
            raise
        self._readers.note_complete(self._socket)
        return data

    def _read_body(self) -> bytes:
        if self._raw.chunked_read:
            return bodies.read_chunks(self._source, self._limit, self._count)
        length = self.header("Content-Length", "0")
        if not length.isdecimal() or int(length) > self._limit:
            raise errors.BadRequestError(
                f"the body is longer than {self._limit} bytes",
                "send less, or have limits.body_bytes raised",
            )
        self._hold(int(length))
        return bodies.read_length(self._source, int(length), self._count)

    def _count(self, size: int, received: int) -> None:
        """Records how much of the body has arrived."""
        if not self._raw.chunked_read:
            self._raw.rfile.remaining -= received
        self._readers.note_received(self._socket, received)
        if size > self._held_bytes:
            self._hold(size + _COUNT_STEP_BYTES)

    def _hold(self, size: int) -> None:
        """Counts a body before it is read.

        Raises:
            NoRoomError: There is no room for it.
        """
        self._hold_cost(intake.estimate_cost(0, 0, size))
        self._held_bytes = size

    def _hold_cost(self, cost: int) -> None:
        if not self._readers.hold(self._socket, cost):
            raise _make_no_room()

    def read_json(self) -> Any:
        """Returns the body as a JSON object.

        Raises:
            BadRequestError: It is too long, truncated or not a JSON object.
            NoRoomError: There is no room for it in memory.
        """
        data = self.read()
        self._hold_cost(intake.estimate_document_cost(data))
        try:
            value = documents.parse_whole(data)
        except ValueError as e:
            raise errors.BadRequestError(
                f"the body is not JSON: {e}", "send a JSON object"
            ) from e
        if not isinstance(value, dict):
            raise errors.BadRequestError(
                "the body is not a JSON object", "send a JSON object"
            )
        return value

    def send(self, answer: Answer) -> None:
        """Sends a complete answer."""
        raw = self._raw
        raw.status = _status_line(answer.status)
        raw.outheaders = [
            (b"Content-Type", answer.content_type.encode("latin-1")),
            (b"Content-Length", str(len(answer.body)).encode()),
            *_encode_headers(answer.headers),
        ]
        if self._rest > _MAX_REST_BYTES:
            raw.close_connection = True
        raw.ensure_headers_sent()
        if self.method != "HEAD":
            raw.write(answer.body)
        if self._rest and not self._readers.is_displaced(self._socket):
            self._drop_rest()

    @property
    def _rest(self) -> int:
        """How much of a body of a known length was not read."""
        return int(getattr(self._raw.rfile, "remaining", 0))

    def _drop_rest(self) -> None:
        """Drops what the caller still sends, so that it reads the answer.

        Closing while bytes are unread resets the connection.
        """
        self._raw.conn.wfile.flush()
        self._readers.begin(self._socket)
        left = self._rest
        while left and (part := self._source.read1(min(left, _READ_BYTES))):
            left -= len(part)
            self._readers.note_received(self._socket, len(part))

    def detach(self, headers: Mapping[str, str]) -> tuple[socket.socket, Any]:
        """Sends the header of a chunked answer and hands over the connection.

        The server's worker is free for the next request at once. The caller
        writes the chunks to the socket and closes it.

        Returns:
            The socket, non-blocking, and an object that keeps it open.
        """
        raw = self._raw
        raw.status = _status_line(200)
        raw.outheaders = _encode_headers(headers)
        # The connection is closed after the stream. With `linger`, cheroot does
        # not close the socket when its worker returns.
        raw.close_connection = True
        raw.conn.linger = True
        raw.ensure_headers_sent()
        raw.conn.wfile.flush()
        # Otherwise cheroot would write the last chunk after the return.
        raw.chunked_write = False
        self.is_detached = True
        raw.conn.socket.setblocking(False)
        return raw.conn.socket, raw.conn


def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}".encode("ascii")


def _encode_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


Application = Callable[[Request], Answer | None]


class _Request(cheroot_server.HTTPRequest):
    """Adds the outcome to the answers that cheroot itself creates."""

    def parse_request(self) -> None:
        readers: request_readers.Readers = self.server.readers
        readers.begin(self.conn.socket)
        try:
            super().parse_request()
        finally:
            if not self.ready:
                readers.end(self.conn.socket)

    def simple_response(self, status: str, msg: str = "") -> None:
        text = json.dumps(
            {"error": {"message": msg or status, "type": "invalid_request"}}
        ).encode()
        # After a server error it is unknown whether the request ran.
        outcome = UNKNOWN if str(status).startswith("5") else NOT_RUN
        proto = self.server.protocol.encode("ascii")
        lines = [
            proto + b" " + str(status).encode("latin-1"),
            b"Content-Length: " + str(len(text)).encode(),
            b"Content-Type: application/json",
            f"{OUTCOME}: {outcome}".encode("ascii"),
            b"Connection: close",
        ]
        self.close_connection = True
        self.conn.wfile.write(b"\r\n".join(lines) + b"\r\n\r\n" + text)


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request


class _Server(cheroot_server.HTTPServer):
    ConnectionClass = _Connection
    readers: request_readers.Readers

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        if level >= logging.ERROR:
            _LOG.error("http_fault", extra={"fields": {"reason": msg}})


class Server:
    """An HTTP server on one address."""

    def __init__(
        self,
        address: str,
        application: Application,
        limits: settings_module.Limits,
        threads: int,
        security: settings_module.Security | None = None,
    ) -> None:
        self._lock = threading.Lock()
        self._active = 0
        server = self

        class Gateway(cheroot_server.Gateway):
            """Passes cheroot's requests to the application."""

            def respond(self) -> None:
                with server.count_request():
                    _respond(self.req, application, limits)

        self._server = _Server(
            addresses.split_address(address),
            gateway=Gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="wayslip",
        )
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.request_queue_size = _ACCEPT_QUEUE
        self._server.timeout = limits.idle_seconds
        self._server.keep_alive_conn_limit = limits.connections
        self._server.readers = request_readers.Readers(
            limits.idle_seconds,
            limits.request_memory_bytes,
            self._find_waiting,
        )
        self._server.shutdown_timeout = 1
        if security is not None and security.certificate:
            self._server.ssl_adapter = cheroot_ssl.BuiltinSSLAdapter(
                security.certificate, security.private_key
            )
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    def _find_waiting(self) -> int:
        """Returns how many connections wait because no worker is idle."""
        workers = self._server.requests
        return 0 if workers.idle else workers.qsize

    @property
    def active(self) -> int:
        """Requests whose answer the socket does not have yet."""
        with self._lock:
            return self._active

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Counts a request as active until its answer is written."""
        with self._lock:
            self._active += 1
        try:
            yield
        finally:
            with self._lock:
                self._active -= 1

    @property
    def address(self) -> str:
        """The address it listens on, "IP:PORT"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts to listen and to serve in threads.

        Raises:
            OSError: The address cannot be used.
        """
        self._server.prepare()
        self._server.readers.start()
        self._thread.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()


def _respond(
    raw: Any, application: Application, limits: settings_module.Limits
) -> None:
    request = Request(raw, limits.body_bytes)
    readers: request_readers.Readers = raw.server.readers
    # From here on only a body is read.
    readers.note_complete(raw.conn.socket)
    try:
        answer = _find_answer(request, application, raw)
        if answer is not None:
            request.send(answer)
    finally:
        readers.end(raw.conn.socket)


def _find_answer(
    request: Request, application: Application, raw: Any
) -> Answer | None:
    """Returns the application's answer, or the one to its error."""
    try:
        return application(request)
    except errors.BadRequestError as e:
        raw.close_connection = True
        return _answer_error(400, e)
    except errors.NoRoomError as e:
        return _answer_no_room(e)
    except errors.WayslipError as e:
        return _answer_error(503, e)


def _make_no_room() -> errors.NoRoomError:
    return errors.NoRoomError(
        "too many large requests are in progress", "try again later"
    )


def _answer_no_room(error: errors.WayslipError) -> Answer:
    answer = _answer_error(503, error)
    headers = {**answer.headers, "Retry-After": str(_NO_ROOM_SECONDS)}
    return dataclasses.replace(answer, headers=headers)


def _answer_error(status: int, error: errors.WayslipError) -> Answer:
    value = {"error": {"message": str(error), "type": type(error).__name__}}
    headers = {OUTCOME: NOT_RUN}
    return dataclasses.replace(answer_json(status, value), headers=headers)
