"""The endpoints as this instance sees them: the list, load and condition.

The list comes from the store. What the lease's holder tells of its orders
goes before it for a while, because an entry in the store follows an order
only with the engine's next heartbeat.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import backlog
from wayslip.decisions import condition as condition_module
from wayslip.decisions import fleet
from wayslip.decisions import reading
from wayslip.decisions import selection
from wayslip.gateway import dialect
from wayslip.gateway import endpoint_notices as endpoint_notices_module
from wayslip.gateway import prefixes

_LOG = logging.getLogger(__name__)
# How long word of an order goes before the engine's entry, seconds: two
# heartbeats and the list's lag.
_ITEM_UPDATE_SECONDS = 4.0
# An endpoint with requests out and no byte from it for this long is not given
# more, seconds: above the longest pause that a sheet allows between events.
_MAX_SILENCE_SECONDS = 1.5
# Less unread work than this at an endpoint does not disturb a sample, seconds.
_MAX_OTHER_UNREAD_SECONDS = 0.01


@dataclasses.dataclass
class Tracked:
    """An endpoint with what this instance knows of it.

    Attributes:
        in_flight: This instance's requests there.
        unread: The prompts of those without a first byte.
        tokens: Tokens that they may take of its memory.
        others: Other instances' requests and unread prompts, as last told.
        heard: When its last byte came.
    """

    endpoint: fleet.Endpoint
    in_flight: int = 0
    unread: backlog.Backlog = backlog.EMPTY
    tokens: int = 0
    others: tuple[int, backlog.Backlog] = (0, backlog.EMPTY)
    waits_since: float = 0.0
    heard: float = 0.0
    is_gone: bool = False
    condition: condition_module.Condition = condition_module.Condition()


@dataclasses.dataclass
class ActiveRequest:
    """One request at an endpoint, from choice to end.

    Attributes:
        unread: Its prompt, empty after its first byte.
        tokens: Tokens that it may take of the endpoint's memory.
        uncached: Tokens of its prompt that have to be read.
        is_alone: Whether no other prompt was unread when it was sent.
    """

    tracked: Tracked
    model: str
    unread: backlog.Backlog
    tokens: int
    uncached: int
    is_alone: bool
    began: float


class EndpointView:
    """All endpoints. Used on the event loop only."""

    def __init__(self, data_hall: str) -> None:
        self._data_hall = data_hall
        self.tracked: dict[str, Tracked] = {}
        self._by_service: dict[str, dict[str, Tracked]] = {}
        self.notices = endpoint_notices_module.EndpointNotices()
        self.prefixes = prefixes.PrefixTable()
        self.reading = reading.ReadingRates()
        # Word of orders: (endpoint, model, adapter) to (is held, until).
        self._item_updates: dict[tuple[str, str, str], tuple[bool, float]] = {}

    # The list

    def apply_entry(self, endpoint: fleet.Endpoint) -> None:
        """Takes in an endpoint's entry, unless a newer one is known."""
        if endpoint.is_leaving:
            # The list may come back from a copy that does not say so yet.
            self.notices.note_leaving(endpoint.start)
        elif self.notices.is_leaving(endpoint):
            # Written before it said so, or by one that did not hear.
            endpoint = dataclasses.replace(endpoint, is_leaving=True)
        tracked = self.tracked.get(endpoint.name)
        if tracked is not None and endpoint.succeeds(tracked.endpoint):
            # Whatever ran there, was held or was told of it ended with it.
            self.remove(endpoint.name)
            tracked = None
        if tracked is not None and endpoint.is_before(tracked.endpoint):
            # It may be told late, or by an earlier holder of the lease. What
            # it does not show, as that the endpoint is leaving, still holds.
            logs.event(
                _LOG,
                "entry_is_old",
                endpoint=endpoint.name,
                born=endpoint.born,
                beat=endpoint.beat,
                known_born=tracked.endpoint.born,
                known_beat=tracked.endpoint.beat,
            )
            return
        if tracked is None:
            tracked = Tracked(endpoint)
            self.tracked[endpoint.name] = tracked
            self._log("endpoint_found", endpoint)
        elif endpoint.is_leaving and not tracked.endpoint.is_leaving:
            self._log("endpoint_leaving", endpoint)
        tracked.endpoint = endpoint
        tracked.is_gone = False
        self._by_service.setdefault(endpoint.service, {})[endpoint.name] = (
            tracked
        )

    def note_leaving(self, start: fleet.Start, source: str) -> bool:
        """Takes in that an endpoint said it takes no new work.

        Args:
            start: Of the endpoint.
            source: Who heard it.

        Returns:
            Whether it was news.
        """
        if not self.notices.note_leaving(start):
            return False
        logs.event(
            _LOG,
            "endpoint_says_leaving",
            endpoint=start.endpoint,
            born=start.born,
            source=source,
        )
        tracked = self.tracked.get(start.endpoint)
        if tracked is not None:
            self.apply_entry(tracked.endpoint)
        return True

    def remove(self, name: str) -> None:
        """Takes an endpoint out; requests there go on."""
        tracked = self.tracked.pop(name, None)
        if tracked is None:
            return
        tracked.is_gone = True
        self._by_service.get(tracked.endpoint.service, {}).pop(name, None)
        self.prefixes.forget(name)
        self._item_updates = {
            k: w for k, w in self._item_updates.items() if k[0] != name
        }
        self._log("endpoint_gone", tracked.endpoint)

    def replace_all(self, endpoints: Iterable[fleet.Endpoint]) -> None:
        """Takes in a whole list."""
        listed = {e.name: e for e in endpoints}
        for name in [n for n in self.tracked if n not in listed]:
            self.remove(name)
        for endpoint in listed.values():
            self.apply_entry(endpoint)

    def _log(self, event: str, endpoint: fleet.Endpoint) -> None:
        logs.event(
            _LOG,
            event,
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            born=endpoint.born,
            models=",".join(sorted(endpoint.models)),
        )

    def of_service(self, service: str) -> Iterable[Tracked]:
        """Returns the endpoints of a service."""
        return self._by_service.get(service, {}).values()

    # What is loaded

    def note_item(
        self, name: str, model: str, adapter: str, is_held: bool
    ) -> bool:
        """Takes word of an order; returns whether it was news."""
        now = clock.now()
        known = self._item_updates.get((name, model, adapter))
        self._item_updates[(name, model, adapter)] = (
            is_held,
            now + _ITEM_UPDATE_SECONDS,
        )
        return known is None or known[0] is not is_held or known[1] <= now

    def holds(self, endpoint: fleet.Endpoint, model: str, adapter: str) -> bool:
        """Whether an endpoint can serve a model, and adapter if named."""
        if not model:
            return True
        if not self._holds_item(endpoint, model, ""):
            return False
        return not adapter or self._holds_item(endpoint, model, adapter)

    def _holds_item(
        self, endpoint: fleet.Endpoint, model: str, adapter: str
    ) -> bool:
        update = self._item_updates.get((endpoint.name, model, adapter))
        if update is not None:
            is_held, until = update
            if clock.now() < until:
                return is_held
            del self._item_updates[(endpoint.name, model, adapter)]
        return endpoint.holds(model, adapter)

    def holds_anywhere(self, service: str, model: str) -> bool:
        """Whether an endpoint that stays can serve a model, adapters aside."""
        return any(
            not t.endpoint.is_leaving and self.holds(t.endpoint, model, "")
            for t in self.of_service(service)
        )

    # Choosing

    def candidates(
        self,
        service: str,
        traits: dialect.Traits,
        kv_tokens: int,
        priority: int,
        excluded: frozenset[str],
        is_connected: Callable[[str], bool],
    ) -> list[selection.Candidate]:
        """Returns the endpoints that can answer a request now."""
        now = clock.now()
        found = [
            t
            for t in self.of_service(service)
            if t.endpoint.name not in excluded
            and self._may_serve(t.endpoint, traits)
            and not self.notices.find_pause(t.endpoint)
        ]
        base_rate = min((t.condition.failing(now) for t in found), default=0.0)
        return [
            dataclasses.replace(
                self._make_candidate(t, traits, kv_tokens, base_rate, now),
                is_connected=is_connected(t.endpoint.name),
                unread=backlog.ahead(
                    backlog.add(t.unread, t.others[1]), priority
                ),
            )
            for t in found
        ]

    def _may_serve(
        self, endpoint: fleet.Endpoint, traits: dialect.Traits
    ) -> bool:
        """Whether an endpoint that stays holds what a request needs."""
        if endpoint.is_leaving:
            return False
        return self.holds(endpoint, traits.model, traits.adapter)

    def note_backoff(self, active: ActiveRequest, seconds: float) -> None:
        """Notes that an endpoint asked for rest.

        That is a bound and no preference: it turns away what comes meanwhile.
        """
        endpoint = active.tracked.endpoint
        self.notices.note_backoff(endpoint, seconds)
        logs.event(
            _LOG,
            "endpoint_rests",
            endpoint=endpoint.name,
            born=endpoint.born,
            seconds=f"{seconds:.2f}",
            left=f"{self.notices.find_backoff(endpoint):.2f}",
        )

    def find_backoff(
        self, service: str, traits: dialect.Traits, excluded: frozenset[str]
    ) -> float | None:
        """Returns the seconds until one that can serve a request may take it.

        Returns:
            0 if one may now, None if none can serve it.
        """
        pauses = (
            self.notices.find_pause(t.endpoint)
            for t in self.of_service(service)
            if t.endpoint.name not in excluded
            and self._may_serve(t.endpoint, traits)
        )
        return min(pauses, default=None)

    def find_limit(self, service: str, traits: dialect.Traits) -> float | None:
        """Returns what all that can serve a request take, requests a second.

        Returns:
            None if one of them names no limit, or if there is none.
        """
        limits = [
            self.notices.find_limit(t.endpoint.start)
            for t in self.of_service(service)
            if self._may_serve(t.endpoint, traits)
        ]
        if not limits or None in limits:
            return None
        return sum(limit or 0.0 for limit in limits)

    def _make_candidate(
        self,
        tracked: Tracked,
        traits: dialect.Traits,
        kv_tokens: int,
        base_rate: float,
        now: float,
    ) -> selection.Candidate:
        endpoint = tracked.endpoint
        uncached = self.count_uncached(endpoint.name, traits)
        memory = 0.0
        if kv_tokens:
            needed = traits.prompt_tokens + traits.output_tokens
            memory = (tracked.tokens + needed) / kv_tokens
        in_flight, _ = tracked.others
        return selection.Candidate(
            name=endpoint.name,
            in_flight=tracked.in_flight + in_flight,
            slots=endpoint.slots,
            reading=self.reading.estimate(traits.model, uncached),
            memory=memory,
            failures=tracked.condition.failing(now) - base_rate,
            is_near=endpoint.data_hall == self._data_hall,
            is_suspended=tracked.condition.is_backing_off(now)
            or _is_unresponsive(tracked, now),
            is_limited=self.notices.find_limit(endpoint.start) is not None,
        )

    # What this instance does

    def count_uncached(self, name: str, traits: dialect.Traits) -> int:
        """Returns the tokens of a prompt that an endpoint has to read."""
        if not traits.parts:
            return traits.prompt_tokens
        item = f"{traits.model}/{traits.adapter}"
        cached = self.prefixes.count_cached(name, item, traits.parts)
        return max(traits.prompt_tokens - cached, 0)

    def begin(
        self, name: str, traits: dialect.Traits, priority: int
    ) -> ActiveRequest:
        """Counts a request that is about to be sent."""
        tracked = self.tracked[name]
        now = clock.now()
        uncached = self.count_uncached(name, traits)
        seconds = self.reading.estimate(traits.model, uncached)
        others_unread = sum(tracked.others[1])
        active = ActiveRequest(
            tracked=tracked,
            model=traits.model,
            unread=backlog.at(priority, seconds),
            tokens=traits.prompt_tokens + traits.output_tokens,
            uncached=uncached,
            is_alone=sum(tracked.unread) + others_unread
            < _MAX_OTHER_UNREAD_SECONDS,
            began=now,
        )
        if not tracked.in_flight:
            tracked.waits_since = now
        tracked.in_flight += 1
        tracked.unread = backlog.add(tracked.unread, active.unread)
        tracked.tokens += active.tokens
        if traits.parts:
            item = f"{traits.model}/{traits.adapter}"
            self.prefixes.note(name, item, traits.parts)
        return active

    def note_bytes(self, active: ActiveRequest) -> None:
        """Notes that bytes came; the prompt was read."""
        now = clock.now()
        active.tracked.heard = now
        if not active.unread:
            return
        if active.is_alone and active.model:
            self.reading.learn(
                active.model, active.uncached, now - active.began
            )
        self._end_reading(active)

    def _end_reading(self, active: ActiveRequest) -> None:
        tracked = active.tracked
        tracked.unread = backlog.subtract(tracked.unread, active.unread)
        active.unread = backlog.EMPTY

    def end(self, active: ActiveRequest) -> None:
        """Counts a request that ended, however it did."""
        tracked = active.tracked
        tracked.in_flight -= 1
        tracked.tokens -= active.tokens
        self._end_reading(active)

    def note_answer(self, active: ActiveRequest, is_failure: bool) -> None:
        """Notes an endpoint's own answer."""
        tracked = active.tracked
        now = clock.now()
        tracked.condition = tracked.condition.note(is_failure, now)

    def note_failed_attempt(self, active: ActiveRequest) -> None:
        """Notes that an endpoint was not reached, or broke off."""
        tracked = active.tracked
        tracked.condition = tracked.condition.miss(clock.now())

    def dump(self) -> dict[str, object]:
        """Returns the state of each endpoint."""
        return {name: dataclasses.asdict(t) for name, t in self.tracked.items()}


def _is_unresponsive(tracked: Tracked, now: float) -> bool:
    """Whether requests are out there and nothing came for too long."""
    if not tracked.in_flight:
        return False
    return now - max(tracked.heard, tracked.waits_since) > _MAX_SILENCE_SECONDS
