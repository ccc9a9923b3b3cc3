"""Signed tokens that callers carry: resume ids and issued keys.

A token binds its content to one caller, so it can neither be forged nor used
by another caller. The offset in a resume id is not signed, since it only
selects how much of the caller's own stream is sent again.
"""

import base64
import dataclasses
import hmac

_MAC_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class StreamToken:
    """Where a stream is generated.

    Attributes:
        endpoint: The engine's name.
        request_id: The id under which the engine knows the request.
        entry: Name of the entry that relayed the stream first.
    """

    endpoint: str
    request_id: str
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """An idempotency key whose request only its issuer runs.

    Attributes:
        member: Name of the issuing member.
        boot: The issuing process's start; a restarted member is another issuer.
        serial: The issuer's number for the key.
        expires: When the key expires, seconds of the issuer's monotonic clock.
    """

    member: str
    boot: int
    serial: int
    expires: int


def _seal(
    key: bytes, purpose: str, caller: str, fields: tuple[str, ...]
) -> str:
    text = "|".join(fields)
    mac = _sign(key, purpose, caller, text)
    return base64.urlsafe_b64encode(mac + text.encode()).decode().rstrip("=")


def _open(
    key: bytes, purpose: str, caller: str, token: str
) -> list[str] | None:
    try:
        raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        text = raw[_MAC_BYTES:].decode()
    except ValueError:
        return None
    expected = _sign(key, purpose, caller, text)
    if not hmac.compare_digest(raw[:_MAC_BYTES], expected):
        return None
    return text.split("|")


def _sign(key: bytes, purpose: str, caller: str, text: str) -> bytes:
    data = f"{purpose}\0{caller}\0{text}".encode()
    return hmac.digest(key, data, "sha256")[:_MAC_BYTES]


def seal_stream(key: bytes, caller: str, token: StreamToken) -> str:
    """Returns the signed text of a stream token."""
    fields = (token.endpoint, token.request_id, token.entry)
    return _seal(key, "stream", caller, fields)


def open_event_id(
    key: bytes, caller: str, event_id: str
) -> tuple[StreamToken, int] | None:
    """Returns an event id's stream and event number, None if it is invalid."""
    text, dot, offset = event_id.strip().rpartition(".")
    if not dot or not offset.isascii() or not offset.isdecimal():
        return None
    fields = _open(key, "stream", caller, text)
    if fields is None or len(fields) != 3:
        return None
    return StreamToken(*fields), int(offset)


def seal_key(key: bytes, caller: str, issued: IssuedKey) -> str:
    """Returns the signed text of an issued key."""
    fields = (
        issued.member,
        str(issued.boot),
        str(issued.serial),
        str(issued.expires),
    )
    return "issued-" + _seal(key, "key", caller, fields)


def open_key(key: bytes, caller: str, text: str) -> IssuedKey | None:
    """Returns an issued key, None if the text is not one of this caller's."""
    if not text.startswith("issued-"):
        return None
    fields = _open(key, "key", caller, text.removeprefix("issued-"))
    if fields is None or len(fields) != 4:
        return None
    member, boot, serial, expires = fields
    return IssuedKey(member, int(boot), int(serial), int(expires))
