"""What the lease holder receives from the instances: load and demand.

Every instance keeps a copy of the demand that the holder announces, so that a
new holder does not treat every model as unused.
"""

from collections.abc import Set
import dataclasses
import itertools
import math

from wayslip import clock
from wayslip.decisions import copies
from wayslip.decisions import demand
from wayslip.decisions import detachment
from wayslip.decisions import fanout
from wayslip.decisions import manifest
from wayslip.decisions import reading
from wayslip.decisions import turns
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module

# Time constant with which older requests decay from the demand: long enough
# that a model requested every few seconds counts until it is loaded.
_DECAY_SECONDS = 4.0
# Gain of loading a model, in requests, for each request refused for lack of it,
# until a request finds it loaded. Rare models must be served too, however low
# their request rate is: about the sixth refusal triggers a load from the weight
# store, and later ones rank before loads of busier models.
_MISS_GAIN = 0.5
_LATE_MISS_GAIN = 1.5
_FIRST_MISSES = 4
_MAX_UNSERVED_GAIN = 20.0
# A request whose client can wait for a load counts as this many refusals more,
# because the load that it triggers can serve it. With two more, trials lost
# more requests for busier models than they served of rare ones.
_PATIENT_MISSES = 1
# Refusals count until no request for the model came for this long: rare models
# are requested about every ten seconds.
_MISS_SECONDS = 25.0
# A model is due for a turn after so many refusals in this time: a few callers
# in a row, none of them served.
_DUE_MISSES = 6
_DUE_SECONDS = 10.0
# An instance that sent no report for this long no longer counts.
_SILENCE_SECONDS = 2.0
# Time in which the other instances report to a new holder. They learn of it
# from its first state, or read its address from the store.
_FIRST_REPORTS_SECONDS = 0.4


@dataclasses.dataclass
class _Member:
    """An instance that reports to this one."""

    peer: fanout.Peer
    process: str
    number: int
    received_at: float
    usages: tuple[facts.Usage, ...]
    echo: tuple[int, float] = (0, 0.0)
    is_cut_off: bool = False
    is_leaving: bool = False


class Members:
    """Reports of the instances. Used on the event loop only."""

    def __init__(self, readings: reading.ReadingRates | None = None) -> None:
        """Initializes without any member.

        Args:
            readings: Where samples of prefill rates are collected; a new
                collection if None.
        """
        self._readings = (
            reading.ReadingRates() if readings is None else readings
        )
        self._members: dict[str, _Member] = {}
        self._announced_peers: tuple[fanout.Peer, ...] = ()
        # Unresponsive instances that did not report a shutdown, and since when.
        self._missing: dict[fanout.Peer, float] = {}
        # Addresses of those that no longer count as missing.
        self._forgotten: set[str] = set()
        self._models: demand.Rates[tuple[str, str]] = demand.Rates(
            _DECAY_SECONDS
        )
        self._work: demand.Rates[tuple[str, str]] = demand.Rates(_DECAY_SECONDS)
        self._misses: dict[tuple[str, str], int] = {}
        self._missed_at: dict[tuple[str, str], float] = {}
        # When the first of them was reported.
        self._missed_since: dict[tuple[str, str], float] = {}
        # When each model was served last.
        self._served_at: dict[tuple[str, str], float] = {}
        # When the current term of this instance began.
        self._term_began = 0.0
        self._adapters: demand.Rates[tuple[str, str, str]] = demand.Rates(
            _DECAY_SECONDS
        )

    def take(
        self,
        report: facts.Report,
        source: hub_module.Address,
        held: Set[tuple[str, str]],
    ) -> None:
        """Records a report, unless a newer one of its process was received.

        Args:
            report: The report.
            source: Address that sent it.
            held: Pairs of service and model that can serve now.
        """
        now = clock.now()
        known = self._members.get(report.instance)
        if (
            known is not None
            and known.process == report.process
            and known.number >= report.number
        ):
            return
        self._members[report.instance] = _Member(
            _make_peer(source, report.data_hall),
            report.process,
            report.number,
            now,
            report.usages,
            (report.echo_term, detachment.read_stamp(report.echo_stamp)),
            report.is_cut_off,
            report.is_leaving,
        )
        self._forgotten.discard(self._members[report.instance].peer.address)
        for one in report.demands:
            key = (one.service, one.model)
            self._models.add(key, one.count, now)
            self._work.add(key, one.work, now)
            if key in held:
                self._forget_missed(key)
                self._served_at[key] = now
            else:
                missed = one.count + one.can_wait * _PATIENT_MISSES
                self._misses[key] = self._misses.get(key, 0) + missed
                self._missed_at[key] = now
                self._missed_since.setdefault(key, now)
            if one.adapter:
                self._adapters.add((*key, one.adapter), one.count, now)
        for sample in report.readings:
            self._readings.note(sample.model, sample.rate)

    def note_sender(
        self, request: facts.ItemRequest, source: hub_module.Address
    ) -> None:
        """Records the address of an instance before its first report."""
        if request.instance not in self._members:
            peer = _make_peer(source, request.data_hall)
            now = clock.now()
            self._members[request.instance] = _Member(peer, "", 0, now, ())

    def adopt_readings(self, readings: tuple[facts.Reading, ...]) -> None:
        """Adopts the prefill rates that the holder estimated."""
        for known in readings:
            self._readings.set_rate(known.model, known.rate)

    def adopt(self, rates: tuple[facts.Rate, ...]) -> None:
        """Adopts the demand and refusals that the holder announced."""
        now = clock.now()
        for one in rates:
            key = (one.service, one.model)
            if one.adapter:
                self._adapters.set((*key, one.adapter), one.rate, now)
            else:
                self._models.set(key, one.rate, now)
                self._work.set(key, one.work, now)
                if one.misses:
                    if one.misses != self._misses.get(key):
                        self._missed_at[key] = now
                    self._misses[key] = one.misses
                    self._missed_since.setdefault(key, now)
                else:
                    self._forget_missed(key)
                    self._served_at[key] = now

    def forget_misses(self) -> None:
        """Removes refusals whose model was not requested for a long time."""
        limit = clock.now() - _MISS_SECONDS
        for key in [k for k, at in self._missed_at.items() if at < limit]:
            del self._missed_at[key]
            self._forget_missed(key)

    def _forget_missed(self, key: tuple[str, str]) -> None:
        self._misses.pop(key, None)
        self._missed_since.pop(key, None)

    def list_missed(self, service: str) -> list[tuple[str, int, float]]:
        """Returns models with their refusals and the seconds since the first.

        They are those of requests that found no engine with the model since
        one was served, the longest waiting one first.
        """
        now = clock.now()
        return [
            (model, self._misses[name, model], now - since)
            for (name, model), since in sorted(
                self._missed_since.items(), key=lambda item: item[1]
            )
            if name == service
        ]

    def list_rates(self) -> tuple[facts.Rate, ...]:
        """Returns the demand, for the next lease holder."""
        now = clock.now()
        rates = self._models.all(now)
        models = tuple(
            facts.Rate(
                *key,
                "",
                round(rates.get(key, 0.0), 2),
                round(self._work.get(key, now), 3),
                self._misses.get(key, 0),
            )
            for key in {**rates, **self._misses}
        )
        adapters = tuple(
            facts.Rate(*key, round(r, 2), 0.0)
            for key, r in self._adapters.all(now).items()
        )
        return models + adapters

    def list_readings(self) -> tuple[facts.Reading, ...]:
        """Returns prefill rates, estimated from samples of all instances."""
        return tuple(
            facts.Reading(model, round(rate))
            for model, rate in self._readings.all().items()
        )

    def find_demand(
        self, service: str, pool: manifest.Pool
    ) -> dict[str, copies.Demand]:
        """Returns the demand for each model of a service."""
        adapters: dict[str, float] = {}
        for (model, _), rate in self.adapter_rates(service).items():
            adapters[model] = adapters.get(model, 0.0) + rate
        found = {}
        for model, rate in self.model_rates(service).items():
            spec = pool.models.get(model)
            count = len(spec.adapters) if spec else 0
            misses = max(1 - pool.adapter_slots / count, 0.0) if count else 0.0
            found[model] = copies.Demand(
                rate=rate,
                work=self.work(service, model),
                unserved=self.unserved(service, model),
                missing_adapter=adapters.get(model, 0.0) * misses,
            )
        return found

    def model_rates(self, service: str) -> dict[str, float]:
        """Returns the requests a second for each model of a service."""
        rates = self._models.all(clock.now())
        found = {m: r for (s, m), r in rates.items() if s == service}
        for name, model in self._misses:
            if name == service:
                found.setdefault(model, 0.0)
        return found

    def list_waiting(self, service: str) -> list[turns.Waiting]:
        """Returns the models that are due for a turn, in order."""
        now = clock.now()
        return turns.sort(
            turns.Waiting(
                model,
                refusals,
                waited,
                now - self._served_at.get((service, model), -math.inf),
            )
            for model, refusals, waited in self.list_missed(service)
            if refusals >= _DUE_MISSES and waited >= _DUE_SECONDS
        )

    def unserved(self, service: str, model: str) -> float:
        """Returns the gain of loading a model for requests refused so far."""
        count = self._misses.get((service, model), 0)
        late = max(count - _FIRST_MISSES, 0)
        gain = (count - late) * _MISS_GAIN + late * _LATE_MISS_GAIN
        return min(gain, _MAX_UNSERVED_GAIN)

    def work(self, service: str, model: str) -> float:
        """Returns the seconds of prefill requested of a model a second."""
        return self._work.get((service, model), clock.now())

    def adapter_rate(self, service: str, item: tuple[str, str]) -> float:
        """Returns the requests a second for an adapter."""
        return self._adapters.get((service, *item), clock.now())

    def adapter_rates(self, service: str) -> dict[tuple[str, str], float]:
        """Returns the requests a second for each adapter of a service."""
        rates = self._adapters.all(clock.now())
        return {(m, a): r for (s, m, a), r in rates.items() if s == service}

    def total_usages(self) -> dict[str, facts.Usage]:
        """Returns requests and prefill backlog at each endpoint."""
        totals: dict[str, facts.Usage] = {}
        for member in self._members.values():
            for usage in member.usages:
                name = usage.endpoint
                known = totals.get(name, facts.Usage(name, 0, ()))
                pairs = itertools.zip_longest(
                    known.unread, usage.unread, fillvalue=0
                )
                totals[name] = facts.Usage(
                    name,
                    known.in_flight + usage.in_flight,
                    tuple(a + b for a, b in pairs),
                )
        return totals

    @property
    def awaits_first_reports(self) -> bool:
        """Whether a new term is too young for others to have reported."""
        return clock.now() - self._term_began < _FIRST_REPORTS_SECONDS

    def adopt_peers(self, peers: tuple[tuple[str, str], ...]) -> None:
        """Adopts the list of instances that the holder announced."""
        self._announced_peers = tuple(fanout.Peer(*one) for one in peers)

    def peers(self) -> list[fanout.Peer]:
        """Returns the instances to send to, and drops unresponsive ones.

        Until they report, the instances known to the previous holder count.
        """
        now = clock.now()
        for name, member in list(self._members.items()):
            if now - member.received_at > _SILENCE_SECONDS:
                del self._members[name]
                if member.is_leaving:
                    self._missing.pop(member.peer, None)
                else:
                    self._missing.setdefault(member.peer, now)
        found = [m.peer for m in self._members.values()]
        if now - self._term_began >= _SILENCE_SECONDS:
            return found or list(self._announced_peers)
        # Just after the lease was taken, not all instances report here yet.
        return list({*found, *self._announced_peers})

    def list_addresses(self) -> list[str]:
        """Returns the instances' addresses, as last announced by the holder."""
        return [p.address for p in self._announced_peers]

    def list_statuses(self, term: int, own: str) -> list[detachment.PeerStatus]:
        """Returns the status of the other instances, from their reports.

        Args:
            term: Term of this instance; answers to another holder's states do
                not count.
            own: Address of this instance for its peers, "IP:PORT".
        """
        return [
            detachment.PeerStatus(
                m.echo[1] if m.echo[0] == term else float("-inf"),
                m.is_cut_off,
            )
            for m in self._members.values()
            if m.peer.address != own and not m.is_leaving
        ]

    def list_missing(self) -> list[fanout.Peer]:
        """Returns unresponsive instances that did not report a shutdown.

        They may have taken the lease without this instance noticing.
        """
        reporting = {m.peer.address for m in self._members.values()}
        return [p for p in self._missing if p.address not in reporting]

    def forget_missing(self) -> None:
        """Removes instances that would have taken the lease by now.

        To be called while the lease is renewed: an instance that could reach
        the store would have taken it within this time.
        """
        limit = clock.now() - detachment.MISSING_SECONDS
        forgotten = [p for p, at in self._missing.items() if at <= limit]
        for peer in forgotten:
            del self._missing[peer]
            self._forgotten.add(peer.address)

    def is_deserted(self, own: str) -> bool:
        """Whether only silent instances are known besides this one.

        Args:
            own: Address of this instance for its peers, "IP:PORT".
        """
        others = {m.peer.address for m in self._members.values()} - {own}
        return not others and bool(self._forgotten - {own})

    def begin(self) -> None:
        """Begins a term: removes earlier reports and keeps the demand."""
        self._members.clear()
        self._term_began = clock.now()
        self._missing = dict.fromkeys(self._announced_peers, self._term_began)
        self._forgotten.clear()


def _make_peer(source: hub_module.Address, data_hall: str) -> fanout.Peer:
    return fanout.Peer(f"{source[0]}:{source[1]}", data_hall)
