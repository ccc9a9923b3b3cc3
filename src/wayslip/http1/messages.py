"""HTTP requests and response heads, and their format on the wire."""

from collections.abc import Iterable
import dataclasses
import enum
import http

Headers = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers, besides those that a Connection header names.
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


class BodyEnd(enum.StrEnum):
    """How the end of a body was told. A body that broke off has none.

    Attributes:
        MARKED: By its length or its last chunk.
        UNMARKED: By an orderly close of the connection only, which also the
            end of the sending process causes.
    """

    MARKED = "marked"
    UNMARKED = "unmarked"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        method: Such as GET.
        target: Path and query as received.
        headers: Names in lower case with their values, in order.
        body: The whole body, without transfer coding.
        keep_alive: Whether the client may use the connection again.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns a header's first value, empty if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response.

    Attributes:
        status: The status code.
        headers: Names in lower case with their values, in order.
        is_framed: Whether a length or chunked coding marks the body's end.
        length: The body's length, None if unknown.
        keep_alive: Whether the connection stays open after the response.
    """

    status: int
    headers: Headers
    is_framed: bool
    length: int | None
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns a header's first value, empty if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


def find_end_to_end(headers: Headers) -> Headers:
    """Returns the end-to-end headers, which are forwarded."""
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


def find_length(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the length that a head announces for the body, 0 for none.

    Args:
        headers: Names in lower case with their values; the parser has checked
            that a length is a number.
    """
    for name, value in headers:
        if name == b"content-length" and value.strip().isdigit():
            return int(value)
    return 0


def has_body_length(request: Request) -> bool:
    """Returns whether the request has a body, even an empty one."""
    return any(
        k in (b"content-length", b"transfer-encoding")
        for k, _ in request.headers
    )


def format_request(
    request: Request, changes: Headers, removed: frozenset[bytes]
) -> bytes:
    """Returns a request as bytes for an endpoint.

    Args:
        request: The client's request.
        changes: Headers that replace the client's.
        removed: Names of headers that are not forwarded.
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
    """Returns the head of a response as bytes.

    Args:
        status: The status code.
        headers: End-to-end headers.
        framing: The header line that marks the body's end, may be empty.
        keep_alive: Whether the connection stays open after the response.
    """
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [key + b": " + value for key, value in headers]
    if framing:
        lines.append(framing)
    if not keep_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
