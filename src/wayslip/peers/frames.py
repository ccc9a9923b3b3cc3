"""Frames between daemons: CBOR with a message authentication code.

A datagram carries the sender's time and is refused when it is too old, so that
a recorded datagram cannot be replayed later. On a connection, frames are
numbered and authenticated with a key derived from the nonces of both ends, so
that none can be repeated, omitted or replayed on another connection.
"""

import dataclasses
import hashlib
import hmac
import secrets

import cbor2

from wayslip import errors
from wayslip.peers import messages

_MAC_BYTES = 16
NONCE_BYTES = 16
# Upper bound of the difference of two instances' clocks plus the delay of a
# datagram.
MAX_AGE_SECONDS = 30.0


def _sign(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")[:_MAC_BYTES]


def _seal(key: bytes, stamp: float, message: object) -> bytes:
    data = cbor2.dumps([stamp, messages.to_plain(message)])
    return _sign(key, data) + data


def _open(key: bytes, frame: bytes) -> tuple[float, object]:
    mac, data = frame[:_MAC_BYTES], frame[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _sign(key, data)):
        raise errors.FrameError(
            "a frame is not authentic",
            "use the same security.peer_key on all instances",
        )
    try:
        stamp, plain = cbor2.loads(data)
        return float(stamp), plain
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        OverflowError,
    ) as e:
        raise errors.FrameError(
            "a frame is not a CBOR pair",
            "run the same release on all instances",
        ) from e


def seal_datagram(key: bytes, message: object, now: float) -> bytes:
    """Returns the datagram of a message; `now` is the wall-clock time."""
    return _seal(key, now, message)


def open_datagram(key: bytes, frame: bytes, now: float) -> object:
    """Returns the message of a datagram; `now` is the wall-clock time.

    Raises:
        FrameError: It is malformed, not authentic or too old.
    """
    stamp, plain = _open(key, frame)
    if abs(now - stamp) > MAX_AGE_SECONDS:
        raise errors.FrameError(
            "a datagram is too old", "synchronize the instances' clocks"
        )
    return messages.from_plain(plain)


@dataclasses.dataclass
class Session:
    """Encodes and authenticates the frames of one direction of a connection.

    Attributes:
        key: Authenticates the frames.
        sent: Number of frames sealed.
        received: Number of frames opened.
    """

    key: bytes
    sent: int = 0
    received: int = 0

    def seal(self, message: object) -> bytes:
        """Returns a message as the next frame."""
        self.sent += 1
        return _seal(self.key, self.sent, message)

    def open(self, frame: bytes) -> object:
        """Returns the message of the next frame.

        Raises:
            FrameError: It is malformed, not authentic or out of order.
        """
        stamp, plain = _open(self.key, frame)
        self.received += 1
        if stamp != self.received:
            raise errors.FrameError(
                "a frame is out of order",
                "the connection is closed; call again",
            )
        return messages.from_plain(plain)


def make_nonce() -> bytes:
    """Returns a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def make_sessions(
    key: bytes, client_nonce: bytes, server_nonce: bytes
) -> tuple[Session, Session]:
    """Returns the session to the server and the session to the client."""
    nonces = client_nonce + server_nonce
    to_server = hashlib.blake2b(b"server" + nonces, key=key[:64]).digest()
    to_client = hashlib.blake2b(b"client" + nonces, key=key[:64]).digest()
    return Session(to_server), Session(to_client)
