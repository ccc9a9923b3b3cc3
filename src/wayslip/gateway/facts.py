"""What gateways tell each other, as frozen values.

These are soft facts only; one that is lost is made up for by the next.
"""

import dataclasses

from wayslip.decisions import backlog
from wayslip.decisions import fleet
from wayslip.decisions import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests at an endpoint.

    Attributes:
        unread: Milliseconds to read the prompts that wait, by priority.
    """

    endpoint: str
    in_flight: int
    unread: tuple[int, ...]

    @classmethod
    def of(
        cls, endpoint: str, in_flight: int, unread: backlog.Backlog
    ) -> "Usage":
        """Returns the usage of an endpoint, its backlog in seconds."""
        milliseconds = tuple(round(s * 1000) for s in unread)
        return cls(endpoint, in_flight, milliseconds)

    @property
    def backlog(self) -> backlog.Backlog:
        """The prompts that wait, in seconds by priority."""
        return tuple(m / 1000 for m in self.unread)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests for a model that came since the last report.

    Attributes:
        work: Seconds that an engine takes to read their prompts.
        can_wait: Those whose client can still be there when a load from the
            weight store ends.
    """

    service: str
    model: str
    adapter: str
    count: int
    work: float
    can_wait: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """How fast a model reads prompts, tokens a second."""

    model: str
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """What an instance was asked by an organisation, and what it sent on.

    Attributes:
        asked, used: Units since the process began.
        known: Of `used`, what the last word of the holder before this one
            counted.
    """

    organisation: str
    asked: int
    used: int
    known: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """What an organisation may send on; see `quota.QuotaLevel`."""

    organisation: str
    level: int
    demand: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """An endpoint's entry in the platform's list.

    Attributes:
        items: Models and adapters that it holds, "MODEL" or "MODEL/ADAPTER".
        in_memory: Models whose weights lie in its host memory.
        on_disk: Models whose weights lie on its disk.
        beat: Number of the heartbeat that wrote it.
        born: When the endpoint started; see `fleet.Endpoint`.
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
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance tells the lease's holder now and then.

    Attributes:
        number: Rises with every report of a process.
        lacks_list: Whether it lacks something of the platform's list and can
            not read it now.
        echo_term: The term of the holder's last state that it heard.
        echo_stamp: When the holder sent that; see `detachment.make_stamp`.
        is_cut_off: Whether the store did not answer when it last asked for
            the lease, or has not yet.
        is_leaving: Whether it stops as planned; it takes no lease then.
        readings: How fast models read prompts, a sample each.
        spendings: Sums that changed a moment ago.
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
    """A request waits for a model or adapter that no endpoint holds."""

    instance: str
    data_hall: str
    service: str
    model: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemUpdate:
    """An item is loaded in some seconds, or will be gone.

    Attributes:
        seconds: Until it can serve; 0 for one that is taken away.
    """

    endpoint: str
    model: str
    adapter: str
    is_held: bool
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLoad:
    """A model that is being loaded and the seconds until it can serve.

    Attributes:
        is_ordered: Whether the engine has taken the order; else something
            makes way first, and a successor of the holder plans anew.
    """

    endpoint: str
    service: str
    model: str
    seconds: float
    is_ordered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """How often a model is asked for, requests a second.

    A successor of the holder begins with these.

    Attributes:
        work: Seconds to read their prompts, a second.
        misses: Requests that found it nowhere since it was last there.
    """

    service: str
    model: str
    adapter: str
    rate: float
    work: float
    misses: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRevision:
    """The revision of the last claim on an engine."""

    endpoint: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchProgress:
    """How far the lease's holder follows a kind of objects.

    Attributes:
        revision: Up to which it has told all changes.
        age: Seconds since the store last answered its watch.
    """

    revision: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the lease's holder tells every instance all the time.

    Attributes:
        term: The holder's term.
        revision: Of its last renewal of the lease.
        address: Where the holder hears its peers, "IP:PORT".
        is_holder: Whether its lease is valid.
        instances: How many instances it hears of.
        configuration: How far it follows the configuration; the revision is
            the configuration's own version.
        endpoints: How far it follows the list of endpoints.
        usages: Totals over all instances.
        stamp: When it was sent; see `detachment.make_stamp`.
        is_detached: Whether the holder goes on while nobody reaches the
            store; see `decisions.detachment`.
        levels: Of organisations' quotas, those with the least left first.
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
    """Says which configuration was the newest some time ago.

    Attributes:
        stamp: Of the question.
        version: Of that configuration.
        age: Seconds from when it was so to this answer.
    """

    stamp: int
    version: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementUpdate:
    """What is loaded or taken away, and what comes.

    Attributes:
        term: The holder's term.
        is_whole: Whether this is all there is; else only what changed.
    """

    term: int
    is_whole: bool
    updates: tuple[ItemUpdate, ...]
    pending_loads: tuple[PendingLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """What a successor of the holder has to know; a part of it.

    Attributes:
        peers: Instances as (address, data hall), empty if not in this part.
        readings: What was learned from all samples.
    """

    term: int
    peers: tuple[tuple[str, str], ...]
    claims: tuple[ClaimRevision, ...]
    rates: tuple[Rate, ...]
    readings: tuple[Reading, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed in the platform's list of endpoints.

    Attributes:
        since: The store's revision that these changes follow on.
        revision: Up to which these are all changes; 0 for a part that others
            follow.
        gone: Endpoints that left the list.
        lapsed: Endpoints that may have lapsed from it in an outage and come
            back.
        names: All endpoints in the list, where this ends a whole one.
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
    """An instance lacks changes of the list after a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A message that its receiver takes and passes on."""

    recipients: tuple[str, ...]
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """What was on its way to endpoints that ended; see `suspicion`.

    Attributes:
        crash_records: That count, as far as the sender knows.
        cleared: That count no longer.
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
    """An endpoint named a limit in an answer, or names none any more.

    Attributes:
        limit: Requests a second that it takes from all instances together,
            None for no limit.
    """

    endpoint: str
    born: int
    limit: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """An instance asks the lease's holder for a place; see `decisions.places`.

    Attributes:
        number: Tells the sender's questions apart.
        limit: The endpoint's, as the sender knows it.
        max_wait: Seconds that the request can wait for a place.
    """

    number: int
    endpoint: str
    born: int
    limit: float
    max_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitResponse:
    """The lease's holder's answer; see `permit_broker.Verdict`."""

    number: int
    is_granted: bool
    wait: float


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
)
