"""Settings of an instance, read from a TOML file and validated as a whole.

Both daemons of an instance read the same file. Times are in seconds and sizes
in bytes unless a name says otherwise.
"""

import dataclasses
import ipaddress
import pathlib
import tomllib
from typing import Annotated
from typing import Any

import pydantic

from wayslip import errors

Positive = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(ge=1)]
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
Secret = Annotated[str, pydantic.Field(min_length=16)]
Name = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$")
]


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError("the port must be from 0 to 65535")
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


_STRICT = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """The identity of this instance, set by the platform's provisioning."""

    __pydantic_config__ = _STRICT
    name: Name
    data_hall: Name
    region: Name


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """The addresses one daemon listens on.

    Attributes:
        operators: Health, metrics, state and, for a control, operators' calls.
        peers: Calls from peers (TCP) and membership (UDP), on the same port.
        callers: HTTP for callers; used only by an entry.
    """

    __pydantic_config__ = _STRICT
    operators: Address
    peers: Address
    callers: Address = "127.0.0.1:0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Objects:
    """The platform's object API."""

    __pydantic_config__ = _STRICT
    url: str
    token: Secret
    timeout: Positive = 2.0
    watch_seconds: Positive = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Security:
    """Keys that all instances share, and TLS for the callers' port.

    Attributes:
        peer_key: Authenticates frames between peers.
        resume_key: Signs resume ids of streams.
        certificate: Path of the PEM certificate chain; empty for plain HTTP.
        private_key: Path of the PEM key; empty for plain HTTP.
    """

    __pydantic_config__ = _STRICT
    peer_key: Secret
    resume_key: Secret
    certificate: str = ""
    private_key: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """A caller and what it may use.

    Attributes:
        priority: The class of its requests, a key of `Admission.classes`.
        max_in_flight: Maximum concurrent requests over all entries.
    """

    __pydantic_config__ = _STRICT
    name: Name
    key: Secret
    priority: Name = "standard"
    max_in_flight: Count = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """An operator and the key that authenticates the operator's commands."""

    __pydantic_config__ = _STRICT
    name: Name
    key: Secret


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestClass:
    """A class of requests.

    Attributes:
        rank: Lower ranks are admitted first.
        target: Seconds to the first token within which the target is met.
        deadline: Seconds after which the caller no longer waits for the answer.
        share: Fraction of an endpoint's slots that the class may use.
    """

    __pydantic_config__ = _STRICT
    rank: int
    target: Positive
    deadline: Positive
    share: Annotated[float, pydantic.Field(gt=0, le=1)] = 1.0


def _default_classes() -> dict[str, RequestClass]:
    return {
        "dispatch": RequestClass(rank=0, target=0.35, deadline=30.0),
        "standard": RequestClass(rank=1, target=1.0, deadline=60.0, share=0.85),
        "batch": RequestClass(rank=2, target=10.0, deadline=300.0, share=0.6),
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
    """Which requests are admitted and which are refused.

    Attributes:
        policy: Name of a registered admission policy.
        retry_fraction: Retries allowed for each first attempt.
    """

    __pydantic_config__ = _STRICT
    policy: str = "deadline"
    endpoint_in_flight: Count = 64
    total_in_flight: Count = 1024
    retry_fraction: Fraction = 0.1
    max_attempts: Count = 3
    classes: dict[str, RequestClass] = dataclasses.field(
        default_factory=_default_classes
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Routing:
    """How an endpoint is chosen.

    Attributes:
        policy: Name of a registered routing policy.
        poll_seconds: Seconds between load reports from one endpoint.
    """

    __pydantic_config__ = _STRICT
    policy: str = "predicted"
    poll_seconds: Positive = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on the resources that a caller or peer can occupy.

    Attributes:
        resume_seconds: Wait after a caller has disconnected before its stream
            is cancelled at the engine, so that it can be resumed at another
            entry.
        keyed_in_flight: Maximum concurrent requests with an Idempotency-Key.
        request_memory_bytes: Memory for requests that are read or in progress,
            half of it for those of 24 KiB and more.
    """

    __pydantic_config__ = _STRICT
    header_bytes: Count = 32_768
    body_bytes: Count = 4_194_304
    frame_bytes: Count = 4_194_304
    answer_bytes: Count = 16_777_216
    worker_threads: Count = 128
    connections: Count = 2_048
    idle_seconds: Count = 10
    stream_buffer_bytes: Count = 262_144
    streams: Count = 2_048
    resume_seconds: Positive = 5.0
    keyed_in_flight: Count = 256
    request_memory_bytes: Count = 100_663_296


@dataclasses.dataclass(frozen=True, kw_only=True)
class Journal:
    """The journal of requests that may not be repeated.

    Attributes:
        slots: Journal objects over which keys are distributed; must be the same
            at all instances.
        retention: Seconds for which a key's result is kept.
        answer_bytes: Largest answer that is kept for a retry.
        segment_bytes: Size at which kept answers are dropped, oldest first.
        issued_seconds: Seconds for which an issued key can be used.
        issued_limit: Maximum number of issued keys at once.
    """

    __pydantic_config__ = _STRICT
    slots: Count = 256
    retention: Positive = 86_400.0
    answer_bytes: Count = 4_096
    segment_bytes: Annotated[int, pydantic.Field(ge=4096, le=900_000)] = 600_000
    issued_seconds: Positive = 3_600.0
    issued_limit: Count = 100_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peers:
    """Membership and gossip between daemons.

    Attributes:
        seeds: Peer addresses to join through.
        period: Seconds between probes of one random peer.
        suspicion: Seconds in which a suspect can refute before it is dead.
        fanout: Peers to which a daemon sends a new fact at once.
        watchers: Controls that watch the configuration object.
    """

    __pydantic_config__ = _STRICT
    seeds: tuple[Address, ...] = ()
    period: Positive = 0.5
    suspicion: Positive = 2.0
    fanout: Count = 4
    watchers: Count = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """How models are placed.

    Attributes:
        load_rate: Loads per second that the weight store allows.
        load_slots: Concurrent loads at full speed.
        quarantine: Seconds for which the order of a crashed sender may still
            arrive at an endpoint that does not check fences.
        period: Seconds between passes over the engines.
    """

    __pydantic_config__ = _STRICT
    load_rate: Positive = 1.4
    load_slots: Count = 15
    quarantine: Positive = 120.0
    period: Positive = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """The planned stop.

    Attributes:
        balancer_seconds: Wait between failing readiness and refusing requests.
        finish_seconds: Longest wait for requests in progress.
    """

    __pydantic_config__ = _STRICT
    balancer_seconds: Annotated[float, pydantic.Field(ge=0)] = 5.0
    finish_seconds: Positive = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings of an instance."""

    __pydantic_config__ = _STRICT
    instance: Instance
    entry: Listen
    control: Listen
    objects: Objects
    security: Security
    callers: tuple[Caller, ...]
    operators: tuple[Operator, ...]
    admission: Admission = Admission()
    routing: Routing = Routing()
    limits: Limits = Limits()
    journal: Journal = Journal()
    peers: Peers = Peers()
    placement: Placement = Placement()
    drain: Drain = Drain()
    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"


_ADAPTER = pydantic.TypeAdapter(Settings)


def parse_settings(values: dict[str, Any], source: str) -> Settings:
    """Returns validated settings.

    Args:
        values: The parsed TOML document.
        source: The file's name, for messages.

    Raises:
        SettingsError: A key is unknown or missing, or a value is invalid.
    """
    try:
        parsed = _ADAPTER.validate_python(values)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        key = ".".join(str(part) for part in first["loc"]) or "(top level)"
        raise errors.SettingsError(
            f"{source}: {key}: {first['msg']}", _remedy(first["type"], key)
        ) from e
    _check_references(parsed, source)
    return parsed


def _remedy(kind: str, key: str) -> str:
    match kind:
        case "unexpected_keyword_argument" | "extra_forbidden":
            return f"remove {key} or correct its spelling"
        case "missing" | "missing_argument" | "missing_keyword_only_argument":
            return f"add {key}"
    return f"correct {key}, see examples/instance.toml"


def _check_references(settings: Settings, source: str) -> None:
    for caller in settings.callers:
        if caller.priority not in settings.admission.classes:
            raise errors.SettingsError(
                f"{source}: callers.{caller.name}.priority:"
                f" there is no class {caller.priority!r}",
                f"add [admission.classes.{caller.priority}] or use another",
            )
    security = settings.security
    if bool(security.certificate) != bool(security.private_key):
        raise errors.SettingsError(
            f"{source}: security: certificate and private_key go together",
            "set both or neither",
        )


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file cannot be read or parsed, or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as e:
        raise errors.SettingsError(
            f"{path}: {e.strerror}", "give a readable settings file"
        ) from e
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        raise errors.SettingsError(
            f"{path}: {e}", "correct the TOML syntax there"
        ) from e
    return parse_settings(values, path)
