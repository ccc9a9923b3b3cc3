"""The platform's request and response headers."""

from collections.abc import Callable
import math

from wayslip.decisions import fleet
from wayslip.decisions import organisations
from wayslip.gateway import dialect
from wayslip.http1 import messages

_REQUEST_ID = b"wayslip-request-id"
_DEADLINE_MS = b"wayslip-deadline-ms"
_MODEL = b"wayslip-model"
_TOKENS = b"wayslip-token-count"
_PROMPT_PREFIX = b"wayslip-prompt-prefix"
_LAST_EVENT_ID = b"last-event-id"
_RESUMES = b"resumes"
_PRIORITY = b"wayslip-request-priority"
_TARGET_ENDPOINT = b"wayslip-target-instance"
_CALLER_KEY = b"wayslip-key"
_ORGANISATION = b"wayslip-tenant"
_SEAL = b"wayslip-server-seal"
_NOT_RUN = b"wayslip-not-executed"
_LOAD = b"wayslip-server-load"
_RETRY_AFTER = b"retry-after"
_LEAVING = b"server-leaving"
_RATE_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"
_CONTENT_TYPE = b"content-type"
_CONTENT_ENCODING = b"content-encoding"
_EVENT_STREAM = b"text/event-stream"
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Upper limit for the back-off that an endpoint asks for. A longer one is
# probably a mistake of the endpoint.
_MAX_BACKOFF_SECONDS = 3600.0
_LOWEST_PRIORITY = 9
# More than any count or time has; arithmetic with long integers may fail.
_MAX_DIGITS = 15
# Fields of a load before the optional one, the momentary time factor.
_LOAD_FIELDS = 3
# Time factors in percent outside of these bounds are mistakes: an endpoint
# that is so slow answers nothing in time.
_MIN_PERCENT = 10
_MAX_PERCENT = 10_000
# Header names with these prefixes are reserved for the platform. Engines act
# on them, and on some also where underscores replace the hyphens.
_RESERVED_PREFIXES = (b"wayslip-", b"kv-")
# Reserved headers that clients may send. All others are set by the gateway
# only: sent by a client, they could occupy an engine's memory, redirect its
# fetches, or make idle engines refuse the request.
_CLIENT_HEADERS = frozenset(
    {
        _REQUEST_ID,
        _DEADLINE_MS,
        _MODEL,
        _TOKENS,
        _PROMPT_PREFIX,
        b"wayslip-length-hint",
    }
)


class PlatformDialect:
    """Implements `wayslip.gateway.dialect.Dialect`."""

    def read_request(self, request: messages.Request) -> dialect.Traits | None:
        """Returns a request's traits, None if it has no request id."""
        sent = dict(reversed(request.headers))
        request_id = sent.get(_REQUEST_ID, b"").decode("latin-1")
        if not request_id:
            return None
        host = sent.get(b"host", b"").decode("latin-1").lower()
        model, _, adapter = (
            sent.get(_MODEL, b"").decode("latin-1").partition("/")
        )
        prompt, _, output = sent.get(_TOKENS, b"").partition(b",")
        deadline = _read_int(sent.get(_DEADLINE_MS, b""))
        return dialect.Traits(
            request_id=request_id,
            host=host.partition(":")[0],
            path=request.target.partition(b"?")[0].decode("latin-1"),
            deadline=None if deadline is None else deadline / 1000,
            model=model,
            adapter=adapter,
            prompt_tokens=_read_int(prompt) or 0,
            output_tokens=_read_int(output) or 0,
            parts=_read_parts(sent.get(_PROMPT_PREFIX, b"")),
            last_event_id=sent.get(_LAST_EVENT_ID, b"").decode("latin-1"),
            resumes=sent.get(_RESUMES, b"").decode("latin-1"),
            key=_read_key(request.headers),
        )

    def format_request(
        self, request: messages.Request, parameters: dialect.SendParameters
    ) -> bytes:
        """Returns the request as bytes for an endpoint."""
        milliseconds = max(int(parameters.seconds_left * 1000), 1)
        priority = min(max(parameters.priority, 0), _LOWEST_PRIORITY)
        changes = [
            (_DEADLINE_MS, b"%d" % milliseconds),
            (_TARGET_ENDPOINT, parameters.endpoint.encode("latin-1")),
            (_PRIORITY, b"%d" % priority),
        ]
        if parameters.last_event_id:
            changes.append(
                (_LAST_EVENT_ID, parameters.last_event_id.encode("latin-1"))
            )
        if parameters.organisation:
            name = parameters.organisation.encode("latin-1", "replace")
            changes.append((_ORGANISATION, name))
        return messages.format_request(
            request, tuple(changes), _find_reserved(request.headers)
        )

    def match_answer(
        self, request_id: str, is_reused: bool
    ) -> Callable[[messages.Head], bool]:
        """Returns a predicate for the heads that answer a request.

        On a reused connection, a response without an id may belong to an
        earlier request, so it does not match.
        """
        expected = request_id.encode("latin-1")

        def matches(head: messages.Head) -> bool:
            echoed = head.header(_REQUEST_ID)
            return echoed == expected or (not echoed and not is_reused)

        return matches

    def read_answer(self, head: messages.Head) -> dialect.Answer:
        """Returns the information in a response's head."""
        is_genuine = bool(head.header(_SEAL)) and not head.header(
            _CONTENT_ENCODING
        )
        is_misdirected = head.status == _MISDIRECTED
        return dialect.Answer(
            is_genuine=is_genuine,
            is_refusal=bool(head.header(_NOT_RUN)) or is_misdirected,
            is_misdirected=is_misdirected,
            is_stream=head.header(_CONTENT_TYPE).startswith(_EVENT_STREAM),
            is_leaving=head.header(_LEAVING).strip() == b"1",
            load=_read_load(head.header(_LOAD)),
            backoff=_read_backoff_seconds(head),
            limit=_read_rate_limit(head),
            brittle=_read_brittle(head),
        )

    def make_retry_after(self, seconds: float) -> messages.Headers:
        """Returns the headers that tell a refused client when to retry."""
        return ((_RETRY_AFTER, f"{seconds:.2f}".encode("ascii")),)


def _find_reserved(headers: messages.Headers) -> frozenset[bytes]:
    """Returns the names of headers that clients may not set."""
    return frozenset(
        name
        for name, _ in headers
        if name.replace(b"_", b"-").startswith(_RESERVED_PREFIXES)
        and name not in _CLIENT_HEADERS
    )


def _read_key(headers: messages.Headers) -> bytes | None:
    """Returns the digest of a client's key, None if it sent none.

    With several different keys, it is unclear which one is the client's. The
    digest is then that of a text that no key can equal.
    """
    sent = {value for name, value in headers if name == _CALLER_KEY}
    if not sent:
        return None
    return organisations.hash_key(b"\n".join(sorted(sent)))


def _read_int(text: bytes) -> int | None:
    """Returns a number of at most 15 digits, None for any other text."""
    if len(text) > _MAX_DIGITS:
        return None
    try:
        return int(text)
    except ValueError:
        return None


def _read_backoff_seconds(head: messages.Head) -> float | None:
    """Returns the back-off that a refusal asks for, None without one."""
    if head.status != _UNAVAILABLE or not head.header(_NOT_RUN):
        return None
    seconds = _read_non_negative(head.header(_RETRY_AFTER))
    if not seconds:
        return None
    return min(seconds, _MAX_BACKOFF_SECONDS)


def _read_rate_limit(head: messages.Head) -> float | None:
    """Returns an endpoint's limit in requests per second, for all instances."""
    return _read_non_negative(head.header(_RATE_LIMIT))


def _read_brittle(head: messages.Head) -> int | None:
    """Returns the refusals a second that an endpoint bears, if it says so."""
    number = _read_non_negative(head.header(_BRITTLE).strip())
    return None if number is None else int(number)


def _read_non_negative(text: bytes) -> float | None:
    """Returns a finite number of 0 or more, None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _read_parts(text: bytes) -> tuple[dialect.PromptPart, ...]:
    parts = []
    for item in text.decode("latin-1").split(","):
        part_id, _, tokens = item.strip().partition(":")
        is_number = tokens.isdecimal() and len(tokens) <= _MAX_DIGITS
        if part_id and is_number:
            parts.append(dialect.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _read_load(text: bytes) -> fleet.Load | None:
    """Returns the load that an answer states, None without a valid one."""
    fields = text.split(b",")
    numbers = [_read_int(t.strip()) for t in fields[:_LOAD_FIELDS]]
    if len(numbers) != _LOAD_FIELDS or None in numbers:
        return None
    running, waiting, slots = numbers
    slowdown = None
    if len(fields) > _LOAD_FIELDS:
        slowdown = _read_slowdown(fields[_LOAD_FIELDS].strip())
    return fleet.Load(running or 0, waiting or 0, slots or 1, slowdown)


def _read_slowdown(text: bytes) -> float | None:
    """Returns the momentary time factor, None if it is not plausible."""
    percent = _read_int(text)
    if percent is None or not _MIN_PERCENT <= percent <= _MAX_PERCENT:
        return None
    return percent / 100
