"""Reconstructs from the instances' logs what happened to one request.

Lines are key=value pairs as `wayslip.logs` writes them. The text before the
first pair (a log collector's time and the instance) is kept as the source.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import re

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Context is collected from this time before a request's first event to this
# time after its last one: a load from the weight store takes nine seconds.
BEFORE_SECONDS = 12.0
AFTER_SECONDS = 0.5

_CONTEXT_OF_MODEL = frozenset(
    ("load_planned", "load_ended", "order", "claim_not_written")
)
_CONTEXT_OF_ENDPOINT = frozenset(
    (
        "endpoint_found",
        "endpoint_gone",
        "endpoint_leaving",
        "endpoint_rests",
        "endpoint_says_leaving",
        "endpoint_brittle",
        "helper_searched",
        "path_found",
        "path_lost",
        "path_tried",
        "report_failed",
        "tunnel_asked_for",
        "tunnel_not_opened",
        "tunnel_opened",
    )
)
_CONTEXT_OF_CONTENT = frozenset(
    (
        "content_cleared",
        "content_condemned",
        "content_released",
        "endpoint_ended",
    )
)
# Digits of each digest in a list of digests.
_SHORT_DIGEST = 8
_CONTEXT_OF_INSTANCE = frozenset(
    (
        "machine_was_suspended",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "stopping",
        "started",
        "lines_left_out",
    )
)
_CONTEXT_OF_ALL = frozenset(
    (
        "lease_doubtful",
        "lease_handed_over",
        "lease_lost",
        "lease_not_reached",
        "lease_taken",
    )
)

MEANINGS = {
    "answered": "the endpoint's answer was forwarded",
    "not_loaded": "no endpoint had its model or adapter; it was not run",
    "endpoints_rest": (
        "all endpoints that could serve it were backing off; it was not run"
    ),
    "no_endpoint": "no endpoint of its service is listed; it was not run",
    "not_reached": (
        "no endpoint that could serve it was reached, neither directly nor"
        " through other instances; it was not run"
    ),
    "no_version": (
        "no endpoint has the software version that began its stream; it was not"
        " run"
    ),
    "origin_unknown": (
        "no instance that answered knows which software version began its"
        " stream, and the service is not known to have had one only; it was not"
        " run"
    ),
    "stopping": (
        "the instance was stopping and would have ended before an answer; it"
        " was not run"
    ),
    "not_taken": "the endpoint refused it; it was not run",
    "too_long_a_wait": "its wait would exceed its time limit; it was not run",
    "timed_out_waiting": "it timed out before it was sent; it was not run",
    "no_configuration": "the instance had no configuration; it was not run",
    "no_route": "no route matches its host and path",
    "old_configuration": (
        "the instance does not know its route or key, but a newer"
        " configuration may; it was not run"
    ),
    "unknown_key": "its key is not in the configuration; it was not run",
    "unconfirmed": (
        "the instance's configuration has not been confirmed as the newest for"
        " so long that its key may have been revoked; it was not run"
    ),
    "over_share": (
        "its organisation has used its share of a service that is short of"
        " room; it was not run"
    ),
    "over_quota": "its organisation has exceeded its quota; it was not run",
    "ends_endpoints": (
        "endpoints crashed under the same request before; it was not run"
    ),
    "unclear": "the exchange with the endpoint broke off; it may have run",
    "endpoint_failed": "the endpoint failed; its failure was forwarded",
    "broken_off": "its stream was interrupted and cannot be resumed",
    "timed_out": "its route's time-out or deadline passed after it was sent",
    "stream_timed_out": "its stream was not complete at the time-out",
    "client_left": "the client closed its connection",
}


@dataclasses.dataclass(frozen=True)
class Event:
    """An event of a log line.

    Attributes:
        source: The text before the pairs, such as the instance.
        at: Time of the event in seconds, by the instance's clock.
        name: Name of the event.
        fields: All pairs except time, level, logger and event.
        line: The log line.
    """

    source: str
    at: float
    name: str
    fields: dict[str, str]
    line: str


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs show about a request.

    Attributes:
        request: The request id.
        events: Events of the request, in order of time.
        context: Other events that affected its model, endpoints or instance.
        outcome: The outcome, empty if the logs do not show it.
    """

    request: str
    events: tuple[Event, ...]
    context: tuple[Event, ...]
    outcome: str


def parse_line(line: str) -> Event | None:
    """Returns the event of a line, None if the line is not an event."""
    pairs = _PAIR.findall(line)
    values = {name: _unquote(value) for name, value in pairs}
    if "event" not in values or "time" not in values:
        return None
    source = line[: line.index("time=")].strip()
    try:
        at = float(values.pop("time"))
    except ValueError:
        return None
    name = values.pop("event")
    values.pop("level", None)
    values.pop("logger", None)
    return Event(source, at, name, values, line.rstrip("\n"))


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    inner = text[1:-1].replace("\\n", "\n")
    return inner.replace('\\"', '"').replace("\\\\", "\\")


def build_story(request: str, lines: Iterable[str]) -> Story | None:
    """Returns what log lines show about a request, None if nothing."""
    events = [e for e in map(parse_line, lines) if e is not None]
    own = sorted(
        (e for e in events if e.fields.get("request") == request),
        key=lambda e: e.at,
    )
    if not own:
        return None
    ends = [e for e in own if e.name == "ended"]
    outcome = ends[-1].fields.get("outcome", "") if ends else ""
    return Story(request, tuple(own), _find_context(own, events), outcome)


def _find_context(
    own: Sequence[Event], events: Sequence[Event]
) -> tuple[Event, ...]:
    first = own[0].at - BEFORE_SECONDS
    last = own[-1].at + AFTER_SECONDS
    models = {e.fields["model"] for e in own if e.fields.get("model")}
    endpoints = {e.fields["endpoint"] for e in own if e.fields.get("endpoint")}
    instances = {_instance(e) for e in own}
    contents = {e.fields["content"] for e in own if e.fields.get("content")}
    found = []
    for event in events:
        if "request" in event.fields:
            continue
        if _concerns_content(event, contents):
            # The crashes that made it a suspect may be long past.
            found.append(event)
            continue
        if not first <= event.at <= last:
            continue
        is_context = (
            event.name in _CONTEXT_OF_ALL
            or (
                event.name in _CONTEXT_OF_MODEL
                and _concerns(event, models, endpoints)
            )
            or (
                event.name in _CONTEXT_OF_ENDPOINT
                and event.fields.get("endpoint") in endpoints
            )
            or (
                event.name == "item_told"
                and event.fields.get("model") in models
                and _instance(event) in instances
            )
            or (
                event.name in _CONTEXT_OF_INSTANCE
                and _instance(event) in instances
            )
        )
        if is_context:
            found.append(event)
    return tuple(sorted(found, key=lambda e: e.at))


def _concerns_content(event: Event, contents: set[str]) -> bool:
    """Whether an event concerns the suspicion of one of the contents."""
    if event.name not in _CONTEXT_OF_CONTENT:
        return False
    if event.fields.get("content") in contents:
        return True
    short = {c[:_SHORT_DIGEST] for c in contents}
    return bool(short & set(event.fields.get("contents", "").split(",")))


def _instance(event: Event) -> str:
    """Returns the instance, the last word that a collector adds."""
    return event.source.split()[-1] if event.source else ""


def _concerns(event: Event, models: set[str], endpoints: set[str]) -> bool:
    victims = set(event.fields.get("victims", "").split(","))
    return bool(
        event.fields.get("model") in models
        or victims & models
        or (not models and event.fields.get("endpoint") in endpoints)
    )


def find_decision(story: Story) -> Event:
    """Returns the event that determined a request's outcome."""
    decisive = (
        "attempt_unclear",
        "stream_not_kept",
        "endpoint_refused",
        "attempt_failed",
    )
    for name in decisive:
        for event in reversed(story.events):
            if event.name == name and story.outcome != "answered":
                return event
    return story.events[-1]


def format_story(story: Story) -> str:
    """Returns a story as text.

    The request's own events are marked ">", the decisive event "*".
    """
    merged = sorted((*story.events, *story.context), key=lambda e: e.at)
    own = set(map(id, story.events))
    decision = find_decision(story)
    start = story.events[0].at
    lines = [f"request {story.request}"]
    for event in merged:
        mark = "*" if event is decision else ">" if id(event) in own else " "
        pairs = " ".join(f"{k}={v}" for k, v in event.fields.items() if v)
        where = f" {event.source}" if event.source else ""
        lines.append(
            f"{mark} {event.at - start:+8.3f}{where} {event.name} {pairs}"
        )
    meaning = MEANINGS.get(story.outcome, "the logs do not show how it ended")
    lines.append(f"outcome: {story.outcome or 'unknown'}: {meaning}")
    return "\n".join(lines)
