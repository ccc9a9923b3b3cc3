"""Puts together what happened to one request from the instances' logs.

Lines are key=value pairs as `wayslip.logs` writes them; whatever stands before
the first pair (a collector's time and the instance) is kept as the source.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import re

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Context is looked for so long before a request's end and after it, seconds:
# a load from the weight store takes nine.
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
        "report_failed",
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
# Digits of a digest in a list of several.
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
    ("lease_taken", "lease_lost", "lease_doubtful", "lease_not_reached")
)

MEANINGS = {
    "answered": "the endpoint's answer was passed on",
    "not_loaded": "no endpoint held its model or adapter; it was not run",
    "endpoints_rest": (
        "all endpoints that could serve it had asked for rest; it was not run"
    ),
    "no_endpoint": "no endpoint of its service is listed; it was not run",
    "not_taken": "the endpoint turned it away; it was not run",
    "too_long_a_wait": "its wait would have used up its time; it was not run",
    "timed_out_waiting": "its time ended before it was sent; it was not run",
    "no_configuration": "this instance knew no configuration; it was not run",
    "no_route": "no route has its host and path",
    "old_configuration": (
        "its route or key is not known here, but a newer configuration may"
        " have it; it was not run"
    ),
    "unknown_key": "its key is in no configuration; it was not run",
    "unconfirmed": (
        "nobody has confirmed the configuration here as the newest for so long"
        " that its key may have been taken away; it was not run"
    ),
    "over_quota": "its organisation has used up its quota; it was not run",
    "ends_endpoints": (
        "endpoints ended under the same request before; it was not run"
    ),
    "unclear": "the endpoint broke off; it may have run",
    "endpoint_failed": "the endpoint failed and its failure was passed on",
    "broken_off": "its stream broke off and may not go on elsewhere",
    "timed_out": "its route's time-out or deadline passed at the endpoint",
    "stream_timed_out": "its stream was not whole at the time-out",
    "client_left": "the client closed its connection",
}


@dataclasses.dataclass(frozen=True)
class Event:
    """One line of a log.

    Attributes:
        source: What stands before the pairs, such as the instance.
        at: Seconds of the instance's clock.
        fields: All pairs but time, level, logger and event.
    """

    source: str
    at: float
    name: str
    fields: dict[str, str]
    line: str


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs say of a request.

    Attributes:
        events: Its own events, in order.
        context: What else touched its model, endpoints or instance.
        outcome: How it ended, empty if no line says so.
    """

    request: str
    events: tuple[Event, ...]
    context: tuple[Event, ...]
    outcome: str


def parse_line(line: str) -> Event | None:
    """Returns the event of a line, None if it is no line of ours."""
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
    """Returns the story of a request, None if no line names it."""
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
            # What it is suspected for may be long past.
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
    """Whether an event tells of what was on its way as endpoints ended."""
    if event.name not in _CONTEXT_OF_CONTENT:
        return False
    if event.fields.get("content") in contents:
        return True
    short = {c[:_SHORT_DIGEST] for c in contents}
    return bool(short & set(event.fields.get("contents", "").split(",")))


def _instance(event: Event) -> str:
    """Returns the last word before the pairs, a collector's instance name."""
    return event.source.split()[-1] if event.source else ""


def _concerns(event: Event, models: set[str], endpoints: set[str]) -> bool:
    victims = set(event.fields.get("victims", "").split(","))
    return bool(
        event.fields.get("model") in models
        or victims & models
        or (not models and event.fields.get("endpoint") in endpoints)
    )


def find_decision(story: Story) -> Event:
    """Returns the event that decided how a request ended."""
    decisive = ("attempt_unclear", "endpoint_refused", "attempt_failed")
    for name in decisive:
        for event in reversed(story.events):
            if event.name == name and story.outcome != "answered":
                return event
    return story.events[-1]


def format_story(story: Story) -> str:
    """Returns a story as text for a reader."""
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
    meaning = MEANINGS.get(story.outcome, "no line tells how it ended")
    lines.append(f"outcome: {story.outcome or 'unknown'}: {meaning}")
    return "\n".join(lines)
