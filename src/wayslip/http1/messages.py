"""Requests and answers as they stand on the wire."""

import dataclasses
import http

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only, besides those named in Connection.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_REASONS = {s.value: s.phrase.encode("ascii") for s in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        target: Path and query as they came.
        headers: Names in lower case with their values, in order.
        keep_alive: Whether the client may use the connection again.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns a header's value, empty if it is not there."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer.

    Attributes:
        is_framed: Whether a length or chunks tell where the body ends.
        length: The body's length, None if it is not told.
    """

    status: int
    headers: Headers
    is_framed: bool
    length: int | None
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns a header's value, empty if it is not there."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


def find_end_to_end(headers: Headers) -> Headers:
    """Returns the headers that are to be passed on."""
    connection_tokens: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            connection_tokens.update(
                t.strip().lower() for t in value.split(b",")
            )
    return tuple(
        (k, v)
        for k, v in headers
        if k not in _HOP_BY_HOP and k not in connection_tokens
    )


def has_body_length(request: Request) -> bool:
    """Whether the request came with a body, even an empty one."""
    return any(
        k in (b"content-length", b"transfer-encoding")
        for k, _ in request.headers
    )


def format_request(
    request: Request, changes: Headers, removed: frozenset[bytes]
) -> bytes:
    """Returns a request as bytes for an endpoint.

    Args:
        request: What the client sent.
        changes: Headers set in place of the client's.
        removed: Headers left out.
    """
    replaced = {k for k, _ in changes} | removed
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    for key, value in find_end_to_end(request.headers):
        if key not in replaced:
            lines.append(key + b": " + value)
    lines += [key + b": " + value for key, value in changes]
    if has_body_length(request):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def format_head(
    status: int, headers: Headers, framing: bytes, keep_alive: bool
) -> bytes:
    """Returns the head of an answer.

    Args:
        status: The status code.
        headers: End-to-end headers.
        framing: The header line that tells where the body ends, or nothing.
        keep_alive: Whether the connection stays open after the answer.
    """
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [key + b": " + value for key, value in headers]
    if framing:
        lines.append(framing)
    if not keep_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
