"""The endpoints as this instance knows them: the list, load and condition.

The list comes from the store. Item updates from the lease holder take
precedence for a while, because an engine's entry in the store reflects an order
only after the engine's next heartbeat.
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
from wayslip.decisions import version_history
from wayslip.gateway import dialect
from wayslip.gateway.sharing import endpoint_notices as endpoint_notices_module
from wayslip.gateway.sharing import prefixes
from wayslip.gateway.sharing import speeds as speeds_module

_LOG = logging.getLogger(__name__)
# How long an item update takes precedence over the engine's entry: two
# heartbeats and the lag of the list.
_ITEM_UPDATE_SECONDS = 4.0
# An endpoint with requests in flight that sent no byte for this long counts as
# unresponsive. It is longer than the longest pause between events that the
# operators' documentation allows.
_MAX_SILENCE_SECONDS = 1.5
# Less unread work than this at an endpoint doesn't distort a sample of its
# reading rate.
_MAX_OTHER_UNREAD_SECONDS = 0.01


@dataclasses.dataclass
class TrackedEndpoint:
    """An endpoint and what this instance knows of it.

    Attributes:
        in_flight: This instance's requests in flight there.
        unread: The prompts of those that got no byte of an answer yet.
        tokens: Tokens of the endpoint's memory that they may take.
        others: Requests and unread prompts of other instances, as last
            received.
        waits_since: When `in_flight` last rose from 0, steady seconds.
        heard: When the last byte of an answer arrived, steady seconds.
        is_gone: Whether it was removed from the list.
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
    """One request at an endpoint, from its choice to its end.

    Attributes:
        unread: Its prompt, empty after the first byte of the answer.
        tokens: Tokens of the endpoint's memory that it may take.
        uncached: Tokens of its prompt that are not in the endpoint's cache.
        is_alone: Whether no other prompt was unread when it was sent.
        queued: Requests that waited there for a slot when it was sent.
        factor: Time factor expected of the endpoint when it was sent.
        first_byte_at: When its answer began, None before.
    """

    tracked: TrackedEndpoint
    model: str
    unread: backlog.Backlog
    tokens: int
    uncached: int
    is_alone: bool
    began: float
    queued: int = 0
    factor: float = 1.0
    first_byte_at: float | None = None


class EndpointView:
    """All endpoints. Used on the event loop only."""

    def __init__(self, data_hall: str) -> None:
        self._data_hall = data_hall
        self.tracked: dict[str, TrackedEndpoint] = {}
        self._by_service: dict[str, dict[str, TrackedEndpoint]] = {}
        self.versions = version_history.VersionHistory()
        self.notices = endpoint_notices_module.EndpointNotices()
        self.prefixes = prefixes.PrefixTable()
        self.reading = reading.ReadingRates()
        self.speeds = speeds_module.EndpointSpeeds()
        # Item updates: (endpoint, model, adapter) to (is held, valid until).
        self._item_updates: dict[tuple[str, str, str], tuple[bool, float]] = {}

    # The list

    def list_endpoints(self) -> list[fleet.Endpoint]:
        """Returns all known endpoints."""
        return [t.endpoint for t in self.tracked.values()]

    def apply_entry(self, endpoint: fleet.Endpoint) -> None:
        """Applies an endpoint's entry, unless a newer one is known."""
        if endpoint.is_leaving:
            # Recorded here because a restored copy of the list may lack it.
            self.notices.note_leaving(endpoint.incarnation)
        elif self.notices.is_leaving(endpoint):
            # The entry was written before the notice or without it.
            endpoint = dataclasses.replace(endpoint, is_leaving=True)
        tracked = self.tracked.get(endpoint.name)
        if tracked is not None and endpoint.succeeds(tracked.endpoint):
            # All that is known of the earlier incarnation is obsolete.
            self.remove(endpoint.name)
            tracked = None
        if tracked is not None and endpoint.is_before(tracked.endpoint):
            # The entry arrived late or from an earlier lease holder. What it
            # lacks, such as that the endpoint is leaving, still holds.
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
            tracked = TrackedEndpoint(endpoint)
            self.tracked[endpoint.name] = tracked
            self._log("endpoint_found", endpoint)
        elif endpoint.is_leaving and not tracked.endpoint.is_leaving:
            self._log("endpoint_leaving", endpoint)
        if tracked.endpoint.incarnation != endpoint.incarnation:
            # The start time was unknown until now.
            self.speeds.forget(tracked.endpoint)
        tracked.endpoint = endpoint
        tracked.is_gone = False
        self._by_service.setdefault(endpoint.service, {})[endpoint.name] = (
            tracked
        )
        self._note_versions(endpoint.service)

    def note_leaving(self, start: fleet.Incarnation, source: str) -> bool:
        """Records that an endpoint announced that it takes no new work.

        Args:
            start: The endpoint's incarnation.
            source: Which instance received the announcement.

        Returns:
            Whether that was not known yet.
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
        """Removes an endpoint; its requests in flight continue."""
        tracked = self.tracked.pop(name, None)
        if tracked is None:
            return
        tracked.is_gone = True
        self._by_service.get(tracked.endpoint.service, {}).pop(name, None)
        self._note_versions(tracked.endpoint.service)
        self.prefixes.forget(name)
        self.speeds.forget(tracked.endpoint)
        self._item_updates = {
            k: w for k, w in self._item_updates.items() if k[0] != name
        }
        self._log("endpoint_gone", tracked.endpoint)

    def _note_versions(self, service: str) -> None:
        versions = {t.endpoint.version for t in self.of_service(service)}
        self.versions.note_listed(service, versions)

    def replace_all(self, endpoints: Iterable[fleet.Endpoint]) -> None:
        """Replaces the list of endpoints."""
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
            version=endpoint.version,
            models=",".join(sorted(endpoint.models)),
        )

    def of_service(self, service: str) -> Iterable[TrackedEndpoint]:
        """Returns the endpoints of a service."""
        return self._by_service.get(service, {}).values()

    # What is loaded

    def note_item(
        self, name: str, model: str, adapter: str, is_held: bool
    ) -> bool:
        """Records an item update; returns whether it changes what is known."""
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
        """Whether an endpoint that isn't leaving holds a model."""
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
        # A request waits at a crowded endpoint only if all are.
        found = [
            t for t in found if not self.notices.is_crowded(t.endpoint)
        ] or found
        base_rate = min(
            (t.condition.failure_rate(now) for t in found), default=0.0
        )
        is_active = self.speeds.is_active(service)
        candidates = []
        for tracked in found:
            unread, ahead = _find_backlog(tracked, priority, is_active)
            candidates.append(
                dataclasses.replace(
                    self._make_candidate(
                        tracked, traits, kv_tokens, base_rate, now
                    ),
                    is_connected=is_connected(tracked.endpoint.name),
                    unread=unread,
                    ahead=ahead,
                )
            )
        return candidates

    def _may_serve(
        self, endpoint: fleet.Endpoint, traits: dialect.Traits
    ) -> bool:
        """Whether an endpoint isn't leaving and holds what a request needs."""
        if endpoint.is_leaving or not _has_version(endpoint, traits):
            return False
        return self.holds(endpoint, traits.model, traits.adapter)

    def has_version(self, service: str, traits: dialect.Traits) -> bool:
        """Whether an endpoint of the version that a request needs serves.

        A request that needs none can be served once there is an endpoint.
        """
        return traits.version is None or any(
            not t.endpoint.is_leaving and _has_version(t.endpoint, traits)
            for t in self.of_service(service)
        )

    def note_backoff(self, active: ActiveRequest, seconds: float) -> None:
        """Records that an endpoint asked for a back-off.

        This is binding: the endpoint refuses requests until it is over.
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
        """Returns the shortest back-off of the endpoints that can serve.

        Returns:
            Seconds, 0 if an endpoint may get the request now, None if no
            endpoint can serve it.
        """
        pauses = (
            self.notices.find_pause(t.endpoint)
            for t in self.of_service(service)
            if t.endpoint.name not in excluded
            and self._may_serve(t.endpoint, traits)
        )
        return min(pauses, default=None)

    def find_limit(self, service: str, traits: dialect.Traits) -> float | None:
        """Returns the sum of the limits of endpoints that can serve a request.

        Returns:
            Requests per second, None if no endpoint can serve it or one of them
            names no limit.
        """
        limits = [
            self.notices.find_limit(t.endpoint.incarnation)
            for t in self.of_service(service)
            if self._may_serve(t.endpoint, traits)
        ]
        if not limits or None in limits:
            return None
        return sum(limit or 0.0 for limit in limits)

    def _make_candidate(
        self,
        tracked: TrackedEndpoint,
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
            failures=tracked.condition.failure_rate(now) - base_rate,
            is_near=endpoint.data_hall == self._data_hall,
            is_suspended=tracked.condition.is_backing_off(now)
            or _is_unresponsive(tracked, now),
            is_limited=self.notices.find_limit(endpoint.incarnation)
            is not None,
            slowness=self.speeds.find_factor(endpoint, now),
            queue_cost=self.speeds.find_queue_cost(endpoint),
        )

    def find_slowness(self, endpoint: fleet.Endpoint) -> float:
        """Returns how long work takes at an endpoint outside of spells.

        The usual is 1. For what is expected at this moment, see `candidates`.
        """
        return self.speeds.find_own(endpoint)

    # Requests of this instance

    def count_uncached(self, name: str, traits: dialect.Traits) -> int:
        """Returns how many tokens of a prompt an endpoint has to read."""
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
        in_flight = tracked.in_flight + tracked.others[0]
        active = ActiveRequest(
            tracked=tracked,
            model=traits.model,
            unread=backlog.of_request(priority, seconds),
            tokens=traits.prompt_tokens + traits.output_tokens,
            uncached=uncached,
            is_alone=sum(tracked.unread) + others_unread
            < _MAX_OTHER_UNREAD_SECONDS,
            began=now,
            queued=max(in_flight + 1 - tracked.endpoint.slots, 0),
            factor=self.speeds.find_factor(tracked.endpoint, now),
        )
        if not tracked.in_flight:
            tracked.waits_since = now
        tracked.in_flight += 1
        tracked.unread = backlog.add(tracked.unread, active.unread)
        tracked.tokens += active.tokens
        if not traits.model:
            self.speeds.note_request(tracked.endpoint)
        if traits.parts:
            item = f"{traits.model}/{traits.adapter}"
            self.prefixes.note(name, item, traits.parts)
        return active

    def note_bytes(self, active: ActiveRequest) -> None:
        """Records that bytes arrived, so that the prompt was read."""
        now = clock.now()
        active.tracked.heard = now
        if active.first_byte_at is None:
            active.first_byte_at = now
        if not active.unread:
            return
        if active.is_alone and active.model:
            # The factor may have changed while the prompt was read. The lower
            # one makes the sample slow, and slow samples weigh little.
            endpoint = active.tracked.endpoint
            factor = min(active.factor, self.speeds.find_factor(endpoint, now))
            self.reading.learn(
                active.model, active.uncached, now - active.began, factor
            )
        self._end_reading(active)

    def note_load(self, active: ActiveRequest, load: fleet.Load | None) -> None:
        """Records the load that the head of an answer states."""
        if load is not None and not active.tracked.is_gone:
            self.speeds.note_load(active.tracked.endpoint, load)

    def _end_reading(self, active: ActiveRequest) -> None:
        tracked = active.tracked
        tracked.unread = backlog.subtract(tracked.unread, active.unread)
        active.unread = backlog.EMPTY

    def end(self, active: ActiveRequest) -> None:
        """Stops counting a request that ended, whatever its outcome."""
        tracked = active.tracked
        tracked.in_flight -= 1
        tracked.tokens -= active.tokens
        self._end_reading(active)

    def note_answer(
        self, active: ActiveRequest, is_failure: bool, is_stream: bool = False
    ) -> None:
        """Records an endpoint's own answer.

        Args:
            active: The request.
            is_failure: Whether the endpoint failed.
            is_stream: Whether the answer came event by event.
        """
        tracked = active.tracked
        now = clock.now()
        tracked.condition = tracked.condition.note(is_failure, now)
        if not is_failure and not tracked.is_gone:
            self._learn_hold_time(active, is_stream, now)

    def _learn_hold_time(
        self, active: ActiveRequest, is_stream: bool, now: float
    ) -> None:
        endpoint = active.tracked.endpoint
        if active.model and not is_stream:
            # It came whole, so that it doesn't tell when it began to run.
            return
        if active.model and active.first_byte_at is not None:
            # An engine answers with the first token, once it has a slot.
            self.speeds.learn_hold_time(endpoint, now - active.first_byte_at)
        elif not active.queued:
            self.speeds.learn_hold_time(endpoint, now - active.began)

    def note_failed_attempt(self, active: ActiveRequest) -> None:
        """Records that an endpoint was unreachable or its answer broke off."""
        tracked = active.tracked
        tracked.condition = tracked.condition.note_unreachable(clock.now())

    def dump(self) -> dict[str, object]:
        """Returns the state of each endpoint."""
        return {name: dataclasses.asdict(t) for name, t in self.tracked.items()}


def _has_version(endpoint: fleet.Endpoint, traits: dialect.Traits) -> bool:
    return traits.version is None or endpoint.version == traits.version


def _is_unresponsive(tracked: TrackedEndpoint, now: float) -> bool:
    """Whether requests are in flight and no byte arrived for too long."""
    if not tracked.in_flight:
        return False
    return now - max(tracked.heard, tracked.waits_since) > _MAX_SILENCE_SECONDS


def _find_backlog(
    tracked: TrackedEndpoint, priority: int, is_active: bool
) -> tuple[float, float]:
    """Returns the seconds of prompts that are read first, and their share."""
    whole = backlog.add(tracked.unread, tracked.others[1])
    seconds = backlog.seconds_ahead(whole, priority)
    if not whole or not is_active:
        return seconds, 1.0
    return seconds, seconds / sum(whole)
