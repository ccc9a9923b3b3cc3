"""Calls between daemons: a request and its answer over a websocket.

A connection carries one call at a time; idle connections are reused. Frames
are authenticated with a key derived from the peer key and the nonces of both
ends, so that the first frames prove that both ends have the peer key.
"""

from collections.abc import Callable
import contextlib
import logging
import threading
from typing import TypeVar

import websockets
from websockets.sync import client as ws_client
from websockets.sync import connection as ws_connection
from websockets.sync import server as ws_server

from wayslip import addresses
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import settings
from wayslip.peers import frames
from wayslip.peers import messages

_LOG = logging.getLogger(__name__)
_MAX_IDLE_LINKS = 4
_CONNECT_SECONDS = 1.0
_IDLE_SECONDS = 60.0
_MAX_CONNECTIONS = 256

A = TypeVar("A")
Handler = Callable[[object], object]


class Server:
    """Answers peers' calls with the handler of each message type."""

    def __init__(
        self,
        address: str,
        key: bytes,
        limits: settings.Limits,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._key = key
        self._metrics = metrics
        self._handlers: dict[type, Handler] = {}
        self._connection_slots = threading.BoundedSemaphore(_MAX_CONNECTIONS)
        host, port = addresses.split_address(address)
        self._server = ws_server.serve(
            self._serve,
            host,
            port,
            max_size=limits.frame_bytes,
            compression=None,
            open_timeout=_CONNECT_SECONDS,
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-calls", daemon=True
        )

    def handle(self, kind: type, handler: Handler) -> None:
        """Registers the handler of a message type."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Starts to serve in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting calls."""
        self._server.shutdown()

    def _serve(self, conn: ws_server.ServerConnection) -> None:
        if not self._connection_slots.acquire(blocking=False):
            self._metrics.count("peer_connections_refused")
            return
        try:
            self._answer_calls(conn)
        except errors.FrameError as e:
            self._metrics.count("peer_frames_refused")
            logs.event(
                _LOG, "peer_frame_refused", logging.WARNING, reason=e.reason
            )
        except (websockets.WebSocketException, OSError, TimeoutError):
            pass
        finally:
            self._connection_slots.release()

    def _answer_calls(self, conn: ws_server.ServerConnection) -> None:
        nonce = frames.make_nonce()
        conn.send(nonce)
        client_nonce = _receive_nonce(conn)
        incoming, outgoing = frames.make_sessions(
            self._key, client_nonce, nonce
        )
        while True:
            frame = conn.recv(timeout=_IDLE_SECONDS)
            message = incoming.open(_as_bytes(frame))
            conn.send(outgoing.seal(self._answer(message)))

    def _answer(self, message: object) -> object:
        handler = self._handlers.get(type(message))
        if handler is None:
            return messages.Failed(
                f"{type(message).__name__} is not handled by this process",
                "ask the other daemon of the instance",
            )
        try:
            return handler(message)
        except errors.WayslipError as e:
            return messages.Failed(e.reason, e.remedy)
        except Exception:
            # A fault in one call must not close the connection.
            _LOG.exception("peer_call_failed")
            return messages.Failed(
                "the peer failed to answer", "see the peer's log"
            )


class _Link:
    """An open connection to a peer."""

    def __init__(self, address: str, key: bytes, max_size: int) -> None:
        connecting = ws_client.connect(
            f"ws://{address}",
            open_timeout=_CONNECT_SECONDS,
            max_size=max_size,
            compression=None,
            proxy=None,
        )
        # The connection outlives this block; the owner of the link closes it.
        self.conn = contextlib.ExitStack().enter_context(connecting)
        server_nonce = _receive_nonce(self.conn)
        nonce = frames.make_nonce()
        self.conn.send(nonce)
        self._outgoing, self._incoming = frames.make_sessions(
            key, nonce, server_nonce
        )

    def call(self, message: object, timeout: float) -> object:
        self.conn.send(self._outgoing.seal(message))
        frame = self.conn.recv(timeout=timeout)
        return self._incoming.open(_as_bytes(frame))


class Client:
    """Calls peers. Safe for use by several threads."""

    def __init__(self, key: bytes, limits: settings.Limits) -> None:
        self._key = key
        self._max_size = limits.frame_bytes
        self._idle: dict[str, list[_Link]] = {}
        self._lock = threading.Lock()

    def call(
        self, address: str, message: object, kind: type[A], timeout: float
    ) -> A:
        """Sends a message and returns the answer.

        Args:
            address: The peer, "IP:PORT".
            message: The message to send.
            kind: The type of the expected answer.
            timeout: Seconds to wait for the answer.

        Raises:
            NotSentError: The message was not sent.
            PeerError: The peer may have received the message, or refused it.
        """
        link = self._acquire_link(address)
        try:
            answer = link.call(message, timeout)
        except (
            websockets.WebSocketException,
            OSError,
            TimeoutError,
            errors.FrameError,
        ) as e:
            link.conn.close_socket()
            raise errors.PeerError(
                f"{address} did not answer ({type(e).__name__})",
                "the peer may have crashed; the call may have taken effect",
            ) from e
        self._release_link(address, link)
        if isinstance(answer, messages.Failed):
            raise errors.PeerError(answer.reason, answer.remedy)
        if not isinstance(answer, kind):
            raise errors.PeerError(
                f"{address} sent a {type(answer).__name__}",
                "run the same release on all instances",
            )
        return answer

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            self._idle.clear()
        for link in links:
            link.conn.close()

    def _acquire_link(self, address: str) -> _Link:
        with self._lock:
            idle = self._idle.get(address)
            link = idle.pop() if idle else None
        if link is not None and _is_open(link):
            return link
        try:
            return _Link(address, self._key, self._max_size)
        except (
            websockets.WebSocketException,
            OSError,
            TimeoutError,
            errors.FrameError,
        ) as e:
            raise errors.NotSentError(
                f"{address} accepts no connection ({type(e).__name__})",
                "check that the peer runs",
            ) from e

    def _release_link(self, address: str, link: _Link) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < _MAX_IDLE_LINKS:
                idle.append(link)
                return
        link.conn.close()


def _is_open(link: _Link) -> bool:
    return link.conn.protocol.state is websockets.protocol.State.OPEN


def _as_bytes(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise errors.FrameError(
            "received a text frame", "run the same release on all instances"
        )
    return frame


def _receive_nonce(conn: ws_connection.Connection) -> bytes:
    nonce = _as_bytes(conn.recv(timeout=_CONNECT_SECONDS))
    if len(nonce) != frames.NONCE_BYTES:
        raise errors.FrameError(
            "a nonce has the wrong length",
            "run the same release on all instances",
        )
    return nonce
