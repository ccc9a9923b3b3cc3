"""Messages between gateways, as frozen values.

All of them are soft state: a message that is lost is made up for by the next
one of its kind. Fields are only appended, with defaults: instances of the
release before ignore what they do not know.
"""

import dataclasses

from wayslip.decisions import backlog
from wayslip.decisions import fleet
from wayslip.decisions import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests at an endpoint.

    Attributes:
        unread: Milliseconds of prefill of the prompts that wait, by priority.
    """

    endpoint: str
    in_flight: int
    unread: tuple[int, ...]

    @classmethod
    def of(
        cls, endpoint: str, in_flight: int, unread: backlog.Backlog
    ) -> "Usage":
        """Returns the usage of an endpoint from its backlog in seconds."""
        milliseconds = tuple(round(s * 1000) for s in unread)
        return cls(endpoint, in_flight, milliseconds)

    @property
    def backlog(self) -> backlog.Backlog:
        """Prefill of the prompts that wait, in seconds by priority."""
        return tuple(m / 1000 for m in self.unread)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests for a model since the last report.

    Attributes:
        work: Seconds of prefill of their prompts.
        can_wait: Those whose client can still be connected when a load from
            the weight store ends.
    """

    service: str
    model: str
    adapter: str
    count: int
    work: float
    can_wait: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Prefill rate of a model, tokens a second."""

    model: str
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """Units that an organisation asked of an instance, and that it sent on.

    Attributes:
        asked, used: Units since the process began.
        known: Part of `used` that the previous lease holder had counted in its
            last level.
    """

    organisation: str
    asked: int
    used: int
    known: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Available units of an organisation; see `quota.QuotaLevel`."""

    organisation: str
    level: int
    demand: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """An endpoint's entry in the platform's list.

    Attributes:
        items: Models and adapters that it holds, "MODEL" or "MODEL/ADAPTER".
        in_memory: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
        beat: Heartbeat count of the heartbeat that wrote the entry.
        born: Start time of the endpoint; see `fleet.Endpoint`.
        version: Version of its software; empty if unknown.
    """

    endpoint: str
    service: str
    address: str
    data_hall: str
    slots: int
    is_leaving: bool
    items: tuple[str, ...]
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    beat: int = 0
    born: int = 0
    version: str = ""

    @classmethod
    def of(cls, endpoint: fleet.Endpoint) -> "Listed":
        """Returns the entry of an endpoint."""
        return cls(
            endpoint.name,
            endpoint.service,
            endpoint.address,
            endpoint.data_hall,
            endpoint.slots,
            endpoint.is_leaving,
            tuple(
                f"{m}/{a}" if a else m
                for m, a in sorted(fleet.list_items(endpoint.models))
            ),
            tuple(sorted(endpoint.in_memory)),
            tuple(sorted(endpoint.on_disk)),
            endpoint.beat,
            endpoint.born,
            endpoint.version,
        )

    def restore(self) -> fleet.Endpoint:
        """Returns the endpoint of an entry."""
        models: dict[str, set[str]] = {}
        for item in self.items:
            model, _, adapter = item.partition("/")
            held = models.setdefault(model, set())
            if adapter:
                held.add(adapter)
        return fleet.Endpoint(
            name=self.endpoint,
            service=self.service,
            address=self.address,
            data_hall=self.data_hall,
            slots=self.slots,
            is_leaving=self.is_leaving,
            models={m: frozenset(a) for m, a in models.items()},
            in_memory=frozenset(self.in_memory),
            on_disk=frozenset(self.on_disk),
            beat=self.beat,
            born=self.born,
            version=self.version,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance sends to the lease holder periodically.

    Attributes:
        number: Increases with every report of a process.
        lacks_list: Whether it lacks changes of the platform's list and can
            not read them now.
        echo_term: Term of the last state received from the holder.
        echo_stamp: When the holder sent that; see `detachment.make_stamp`.
        is_cut_off: Whether the store did not answer the last request for the
            lease, or has not answered yet.
        is_leaving: Whether it is shutting down as planned; it takes no lease
            then.
        readings: Samples of prefill rates.
        spendings: Sums that changed recently.
    """

    instance: str
    data_hall: str
    process: str
    number: int
    lacks_list: bool
    usages: tuple[Usage, ...]
    demands: tuple[Demand, ...]
    echo_term: int = 0
    echo_stamp: int = 0
    is_cut_off: bool = False
    is_leaving: bool = False
    readings: tuple[Reading, ...] = ()
    spendings: tuple[Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ItemRequest:
    """A request that waits for a model or adapter that no endpoint holds.

    Attributes:
        version: Software version of the endpoints that may serve it, None for
            any.
    """

    instance: str
    data_hall: str
    service: str
    model: str
    adapter: str
    version: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ItemUpdate:
    """An item that will be loaded in some seconds, or is removed.

    Attributes:
        seconds: Until it can serve; 0 for one that is removed.
    """

    endpoint: str
    model: str
    adapter: str
    is_held: bool
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLoad:
    """A model that is being loaded, with the seconds until it can serve.

    Attributes:
        endpoint: The engine, empty while the load waits for one.
        is_ordered: Whether the engine has accepted the order. Otherwise
            something is evicted first, and a new lease holder plans the load
            again.
    """

    endpoint: str
    service: str
    model: str
    seconds: float
    is_ordered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Requests a second for a model; a new lease holder starts from these.

    Attributes:
        work: Seconds of prefill of their prompts, a second.
        misses: Requests refused for lack of the model since it was last
            loaded.
    """

    service: str
    model: str
    adapter: str
    rate: float
    work: float
    misses: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRevision:
    """Revision of the last claim on an engine."""

    endpoint: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchProgress:
    """How far the lease holder follows a kind of objects.

    Attributes:
        revision: All changes up to this one were announced.
        age: Seconds since the store last answered the holder's watch.
    """

    revision: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the lease holder sends to every instance periodically.

    Attributes:
        term: Term of the holder.
        revision: Revision of its last renewal of the lease.
        address: Address for messages from its peers, "IP:PORT".
        is_holder: Whether its lease is valid.
        instances: Number of instances that report to it.
        configuration: How far it follows the configuration; the revision is
            the version of the configuration itself.
        endpoints: How far it follows the list of endpoints.
        usages: Totals over all instances.
        stamp: When it was sent; see `detachment.make_stamp`.
        is_detached: Whether the holder continues while no instance reaches
            the store; see `decisions.detachment`.
        levels: Available units of organisations, those with the fewest first.
    """

    term: int
    revision: int
    address: str
    is_holder: bool
    instances: int
    configuration: WatchProgress
    endpoints: WatchProgress
    usages: tuple[Usage, ...]
    stamp: int = 0
    is_detached: bool = False
    levels: tuple[Level, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Asks which configuration is the newest.

    Attributes:
        stamp: When it was sent; see `detachment.make_stamp`.
    """

    stamp: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """States which configuration was the newest some time ago.

    Attributes:
        stamp: Stamp of the `Confirm` that is answered.
        version: Version of that configuration.
        age: Seconds between the time at which it was the newest and this
            answer.
    """

    stamp: int
    version: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementUpdate:
    """Items that were loaded or removed, and pending loads.

    Attributes:
        term: Term of the lease holder.
        is_whole: Whether this is the whole state; otherwise only what changed.
    """

    term: int
    is_whole: bool
    updates: tuple[ItemUpdate, ...]
    pending_loads: tuple[PendingLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """State that a new lease holder needs; one part of it.

    Attributes:
        peers: Instances as (address, data hall), empty if not in this part.
        readings: Prefill rates estimated from the samples of all instances.
    """

    term: int
    peers: tuple[tuple[str, str], ...]
    claims: tuple[ClaimRevision, ...]
    rates: tuple[Rate, ...]
    readings: tuple[Reading, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the platform's list of endpoints.

    Attributes:
        since: Revision of the store that these changes follow.
        revision: These are all changes up to this one; 0 for a part that is
            followed by others.
        gone: Endpoints that left the list.
        lapsed: Endpoints whose entries may have lapsed in an outage of the
            store, and which may list themselves again.
        names: All endpoints in the list, in the last part of a whole list.
    """

    term: int
    since: int
    revision: int
    listed: tuple[Listed, ...]
    gone: tuple[str, ...] = ()
    lapsed: tuple[str, ...] = ()
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Asks for the changes of the list after a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A message that its recipient processes and forwards."""

    recipients: tuple[str, ...]
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Content that was in flight at endpoints that crashed; see `suspicion`.

    Attributes:
        crash_records: Records that count, as far as the sender knows.
        cleared: Records that no longer count.
        common: Contents that endpoints answered before.
    """

    crash_records: tuple[suspicion.CrashRecord, ...] = ()
    cleared: tuple[suspicion.CrashRecord, ...] = ()
    common: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint said in an answer that it takes no new work."""

    endpoint: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """An endpoint stated a rate limit in an answer, or states none any more.

    Attributes:
        limit: Requests a second that it accepts from all instances together,
            None for no limit.
    """

    endpoint: str
    born: int
    limit: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the lease holder for a permit; see `decisions.permits`.

    Attributes:
        number: Identifies the request among those of the sender.
        limit: Limit of the endpoint, as the sender knows it.
        max_wait: Seconds that the request can wait for a permit.
    """

    number: int
    endpoint: str
    born: int
    limit: float
    max_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitResponse:
    """Answer of the lease holder; see `permits.Verdict`, `places.Verdict`."""

    number: int
    is_granted: bool
    wait: float
    is_waiting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturn:
    """Gives back a permit that was granted after its request had given up."""

    endpoint: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class Brittle:
    """An endpoint announced whether it is brittle, or refused a request.

    Attributes:
        allowed: Refusals for lack of room that it bears a second, None if it
            is not brittle.
        places: Requests that it has room for after a refusal, 0 without one.
    """

    endpoint: str
    born: int
    allowed: int | None
    places: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Asks the lease holder for a place; see `decisions.places`.

    It is answered by a `PermitResponse`, and repeated with the same number if
    that does not come.

    Attributes:
        number: Identifies the request among those of the sender.
        places: How many places the endpoint has, as the sender knows it.
        is_first: Whether its request has not asked for a place before.
        max_wait: Seconds that the request can wait for a place.
    """

    number: int
    instance: str
    endpoint: str
    born: int
    places: int
    is_first: bool = True
    max_wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReturn:
    """Gives a place back: its request has left the endpoint or was not sent.

    Attributes:
        is_refused: Whether the endpoint refused it for lack of room.
        number: Number of the `PlaceRequest` that was granted.
        is_answered: Whether the endpoint answered; the rest is 0 otherwise.
        taken_at, sent_at, answered_at, returned_at, round_trip: See
            `concurrency.Exchange`.
    """

    instance: str
    endpoint: str
    born: int
    is_refused: bool = False
    number: int = 0
    is_answered: bool = False
    taken_at: float = 0.0
    sent_at: float = 0.0
    answered_at: float = 0.0
    returned_at: float = 0.0
    round_trip: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Concurrent:
    """A brittle endpoint stated how many requests it had at once.

    Attributes:
        count: Running and waiting requests.
        age: Seconds since the request was sent whose answer states it.
    """

    endpoint: str
    born: int
    count: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedSample:
    """How long work takes at an endpoint; see `decisions.speed`.

    Attributes:
        born: Incarnation of the endpoint that it was observed at.
        own: Permanent time factor of the endpoint, 1 for the usual; 0 if
            unknown.
        slowdown: Momentary time factor that it stated, 1 for the usual.
        age: Seconds since `slowdown` was stated.
    """

    endpoint: str
    born: int
    own: float
    slowdown: float
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedReport:
    """Speeds that an instance observed since its last report."""

    instance: str
    speeds: tuple[SpeedSample, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedState:
    """Speeds of endpoints over all instances, from the lease holder."""

    term: int
    speeds: tuple[SpeedSample, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareUse:
    """Work of an organisation at an instance; see `decisions.fair_share`.

    Attributes:
        asked: Units requested since the lease holder's term began.
        used: Units that were sent to endpoints since then, less refunds.
    """

    service: str
    organisation: str
    asked: int
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReport:
    """Uses of organisations that changed recently.

    Attributes:
        number: Increases with every report of a process.
    """

    instance: str
    process: str
    number: int
    uses: tuple[ShareUse, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareLevel:
    """Share of an organisation in a service that is short of room.

    Attributes:
        rate: Units a second that it may use over all instances.
        demand: Units a second that it asks for over all instances.
    """

    service: str
    organisation: str
    rate: float
    demand: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShareState:
    """Shares of organisations, from the lease holder."""

    term: int
    shares: tuple[ShareLevel, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Tells a keeper to which service and version a stream was sent.

    Attributes:
        stream: Id of the request that begins the stream.
        number: See `stream_origins.Origin`.
    """

    stream: str
    service: str
    version: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOriginKept:
    """Acknowledges a `StreamOrigin`."""

    stream: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamQuestion:
    """Asks which software version began a stream.

    Attributes:
        number: Number of the question, repeated by the answers.
        address: Where to send the answer, "IP:PORT"; the question may have been
            forwarded.
    """

    number: int
    stream: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAnswer:
    """Answers a `StreamQuestion`.

    Attributes:
        number: Number of the question.
        address: The answering instance, "IP:PORT".
        is_known: Whether it knows the stream; the rest is empty otherwise.
        origin_number: See `stream_origins.Origin`.
    """

    number: int
    address: str
    is_known: bool = False
    service: str = ""
    version: str = ""
    origin_number: int = 0


Message = (
    Report
    | ItemRequest
    | State
    | PlacementUpdate
    | Handover
    | Changes
    | Relay
    | Missing
    | Confirm
    | Confirmed
    | Suspects
    | Leaving
    | Limited
    | PermitRequest
    | PermitResponse
    | PermitReturn
    | Brittle
    | PlaceRequest
    | PlaceReturn
    | Concurrent
    | SpeedReport
    | SpeedState
    | ShareReport
    | ShareState
    | StreamOrigin
    | StreamOriginKept
    | StreamQuestion
    | StreamAnswer
)
