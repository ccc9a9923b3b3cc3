"""A small threaded HTTP server for the stand-ins, on the standard library."""

import http.server
import json
import socket
import threading
from typing import Any
import urllib.parse


class Handler(http.server.BaseHTTPRequestHandler):
    """Routes every request to the server's `dispatch`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: "Server"
    is_detached = False

    def log_message(self, *args: Any) -> None:
        """Logs nothing."""

    def _handle(self) -> None:
        url = urllib.parse.urlsplit(self.path)
        self.query = dict(urllib.parse.parse_qsl(url.query))
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length)
        try:
            self.server.dispatch(self, url.path)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = _handle  # noqa: N815

    def json(self) -> Any:
        """Returns the decoded JSON body, None if it is empty."""
        return json.loads(self.body or b"null")

    def reply(self, status: int, value: Any, **headers: str) -> None:
        """Sends a complete JSON answer; headers have _ for - in their names."""
        self.reply_bytes(status, json.dumps(value).encode(), **headers)

    def reply_bytes(
        self,
        status: int,
        data: bytes,
        content_type: str = "application/json",
        **headers: str,
    ) -> None:
        """Sends a complete answer; headers have _ for - in their names."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(data)))
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(data)

    def begin_chunks(self, content_type: str, **headers: str) -> None:
        """Sends the head of a chunked answer with status 200."""
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Transfer-Encoding", "chunked")
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()

    def write_chunk(self, data: bytes) -> None:
        """Sends one chunk; an empty one ends the answer."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def detach(self) -> socket.socket:
        """Hands the connection over to the caller, who must close it."""
        self.close_connection = True
        self.is_detached = True
        sock: socket.socket = self.connection
        self.server.detached.add(sock)
        return sock

    def cut(self) -> None:
        """Closes the connection without an answer."""
        self.close_connection = True
        self.connection.close()


class Server(http.server.ThreadingHTTPServer):
    """Base class of the stand-ins; subclasses override `dispatch`."""

    daemon_threads = True
    request_queue_size = 1024

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__((host, port), Handler)
        self.detached: set[Any] = set()

    def shutdown_request(self, request: Any) -> None:
        """Closes a connection, unless it was detached."""
        if request in self.detached:
            self.detached.discard(request)
            return
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors, such as callers that closed the connection."""

    def dispatch(self, handler: Handler, path: str) -> None:
        """Answers one request."""
        raise NotImplementedError

    @property
    def address(self) -> str:
        """The address it listens on, as "IP:PORT"."""
        host, port = self.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> "Server":
        """Serves in a daemon thread and returns itself."""
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return self

    def stop(self) -> None:
        """Stops serving and closes the listening socket."""
        self.shutdown()
        self.server_close()
