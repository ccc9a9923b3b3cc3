"""An entry's view of the endpoints and of the load sent to them.

Load reports lag, so the view adds the load that this entry sent after it
requested the last report, and the load that peers announced. That an endpoint
is leaving is learnt from the platform's list, reports, refusals and peers; see
`decisions.health`.
"""

from collections.abc import Sequence
import concurrent.futures
import dataclasses
import logging
import threading
import time

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import facts
from wayslip.decisions import health as health_module
from wayslip.decisions import membership
from wayslip.decisions import routing
from wayslip.endpoints import engine as engine_module
from wayslip.endpoints import service as service_module
from wayslip.entry import prefixes
from wayslip.objects import client as client_module
from wayslip.objects import informer
from wayslip.objects import kinds
from wayslip.peers import node as node_module

_LOG = logging.getLogger(__name__)
_POLL_THREADS = 8
_REPORT_TIMEOUT_SECONDS = 1.0
_LEAVING_TTL_SECONDS = 30.0
# Peers announce the sum of what they sent over all ranks. It counts as load of
# this rank.
_PEER_SENT_RANK = 1


@dataclasses.dataclass
class _Tracked:
    """The state of one endpoint, guarded by the view's lock."""

    endpoint: kinds.Endpoint
    health: health_module.Health = health_module.Health()
    report: engine_module.Report | None = None
    asked_at: float = 0.0
    in_flight: int = 0
    # Prefill sent since the last report was requested, oldest first.
    sent: list[routing.Sent] = dataclasses.field(default_factory=list)
    is_polling: bool = False


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The properties of a request that routing uses.

    Attributes:
        tokens: Length of the prompt.
        blocks: Hashes of the prompt's blocks.
        rank: Rank of the request's class; engines serve lower ranks first.
    """

    tokens: int
    blocks: tuple[int, ...] = ()
    rank: int = _PEER_SENT_RANK


class EndpointView:
    """All endpoints as known to one entry. Safe for many threads."""

    def __init__(
        self,
        settings: settings_module.Settings,
        node: node_module.Node,
        client: client_module.ObjectClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._node = node
        self._metrics = metrics
        self._dialect = engine_module.DIALECTS.get("openai")
        self._lock = threading.Lock()
        self._tracked: dict[str, _Tracked] = {}
        # When an endpoint was last found leaving or missing from the list.
        self._lost_at = float("-inf")
        self.prefixes = prefixes.PrefixIndex()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _POLL_THREADS, thread_name_prefix="poll"
        )
        self._stopping = threading.Event()
        self.list = informer.Informer(client, kinds.ENDPOINT)
        self.list.subscribe(self._apply_listed)
        node.subscribe(self._apply_facts)
        self._thread = threading.Thread(
            target=self._poll_all, name="poll", daemon=True
        )

    def start(self) -> None:
        """Starts to watch the list and to poll reports."""
        self.list.start()
        self._thread.start()

    def stop(self) -> None:
        """Stops the threads."""
        self._stopping.set()
        self.list.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    # Queries

    def address(self, name: str) -> str | None:
        """Returns an endpoint's address, None for an unknown endpoint."""
        with self._lock:
            tracked = self._tracked.get(name)
            return tracked.endpoint.address if tracked else None

    def endpoints(self) -> tuple[kinds.Endpoint, ...]:
        """Returns all endpoints.

        Peers that start while the object API is unreachable ask for them.
        """
        with self._lock:
            return tuple(t.endpoint for t in self._tracked.values())

    def in_flight(self, name: str) -> int:
        """Returns the number of this entry's requests at an endpoint."""
        with self._lock:
            tracked = self._tracked.get(name)
            return tracked.in_flight if tracked else 0

    def candidates(
        self,
        names: Sequence[str],
        items: tuple[str, ...],
        prompt: Prompt,
        excluded: frozenset[str],
    ) -> list[routing.Candidate]:
        """Returns the engines that hold all items and may get a request.

        These are the usable engines or, if there are none, the suspect ones.

        Args:
            names: The engines to consider.
            items: The items that an engine must hold.
            prompt: The request's properties.
            excluded: Engines to leave out.
        """
        peer_sent = self._find_peer_sent()
        peers = max(len(self._node.live(membership.Role.ENTRY)) - 1, 0)
        with self._lock:
            holders = self._find_holders(names, items, excluded)
            usable = [t for t in holders if t.health.is_usable]
            suspect = [t for t in holders if t.health.is_suspect]
            found = usable or suspect
            home = routing.find_home(
                prompt.blocks, [t.endpoint.name for t in found]
            )
            return [
                self._candidate(t, prompt, peer_sent, peers, home)
                for t in found
            ]

    def _find_holders(
        self,
        names: Sequence[str],
        items: tuple[str, ...],
        excluded: frozenset[str],
    ) -> list[_Tracked]:
        """Returns the engines whose last report shows all items."""
        tracked = [self._tracked.get(n) for n in names if n not in excluded]
        return [
            t
            for t in tracked
            if t is not None
            and t.report is not None
            and t.report.resident.issuperset(items)
        ]

    def _candidate(
        self,
        tracked: _Tracked,
        prompt: Prompt,
        peer_sent: dict[str, list[routing.Sent]],
        peers: int,
        home: str | None,
    ) -> routing.Candidate:
        report = tracked.report
        assert report is not None
        name = tracked.endpoint.name
        cached = self.prefixes.count_cached(name, prompt.blocks)
        if name == home:
            cached = routing.expect_cached(cached, prompt.blocks)
        since = tracked.asked_at
        fresh = [s for s in peer_sent.get(name, ()) if s.at > since]
        reported_until = clock.now() - self._settings.routing.poll_seconds
        unseen = routing.estimate_unseen(tracked.sent, reported_until, peers)
        known = sorted((*tracked.sent, *fresh, *unseen), key=lambda s: s.at)
        return routing.Candidate(
            name=name,
            running=report.running + report.waiting,
            slots=report.slots,
            backlog=routing.estimate_backlog(
                report.waiting_tokens,
                tracked.asked_at,
                known,
                prompt.rank,
                report.prefill_rate,
                clock.now(),
            ),
            sent=len(tracked.sent) + len(fresh) + len(unseen) * peers,
            prefill_rate=report.prefill_rate,
            step=report.step,
            cached_tokens=cached,
            in_flight=tracked.in_flight,
            is_near=tracked.endpoint.data_hall
            == self._settings.instance.data_hall,
        )

    def _find_peer_sent(self) -> dict[str, list[routing.Sent]]:
        """Returns the prefill that peers announced, by engine.

        Its times are those at which the announcements arrived here.
        """
        peer_sent: dict[str, list[routing.Sent]] = {}
        for fact, at in self._node.arrivals(facts.Topic.IN_FLIGHT):
            if fact.origin != self._node.identity.name:
                sent = routing.Sent(at, int(fact.value), _PEER_SENT_RANK)
                peer_sent.setdefault(fact.subject, []).append(sent)
        return peer_sent

    def usable(self, names: Sequence[str]) -> list[str]:
        """Returns those of the named endpoints that may get new requests."""
        with self._lock:
            return [
                n
                for n in names
                if n in self._tracked and self._tracked[n].health.is_usable
            ]

    def is_engine_holding(self, names: Sequence[str], item: str) -> bool:
        """Whether one of the engines holds an item and may get requests."""
        return bool(self.candidates(names, (item,), Prompt(1), frozenset()))

    def dump(self) -> dict[str, object]:
        """Returns the state of each endpoint by name. Ages are in seconds."""
        now = clock.now()
        with self._lock:
            return {
                name: {
                    "endpoint": t.endpoint,
                    "health": t.health,
                    "report": t.report,
                    "report_age": now - t.asked_at if t.report else None,
                    "in_flight": t.in_flight,
                    "sent_since": len(t.sent),
                }
                for name, t in self._tracked.items()
            }

    # Requests of this entry

    def begin(self, name: str, prompt: Prompt) -> None:
        """Counts a request that is about to be sent."""
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is None:
                return
            tracked.in_flight += 1
            cached = self.prefixes.count_cached(name, prompt.blocks)
            uncached = max(prompt.tokens - cached, 1)
            sent = routing.Sent(clock.now(), uncached, prompt.rank)
            tracked.sent.append(sent)
        self.prefixes.note_sent(name, prompt.blocks)

    def end(self, name: str) -> None:
        """Removes a request that ended, with or without success."""
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.in_flight -= 1

    def note_failure(self, name: str) -> None:
        """Records that an endpoint refused or broke a connection."""
        self._change(name, lambda h: h.fail())

    def note_missing(self, name: str, item: str) -> None:
        """Records that an engine lacks an item that its report shows."""
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is None or tracked.report is None:
                return
            held = tracked.report.resident - {item}
            tracked.report = dataclasses.replace(tracked.report, resident=held)

    def lacks(self, name: str, item: str) -> bool:
        """Whether an engine is known, by its last report, to lack an item."""
        with self._lock:
            tracked = self._tracked.get(name)
            report = tracked.report if tracked is not None else None
            return report is not None and item not in report.resident

    def is_report_due(self, names: Sequence[str]) -> bool:
        """Whether the named endpoints include one with an outdated report.

        That is a usable endpoint whose last report was requested before an
        endpoint last left. The endpoint that left may have been the only known
        holder of a model that another has loaded since its own report.
        """
        with self._lock:
            return any(
                self._tracked[n].asked_at <= self._lost_at
                for n in names
                if n in self._tracked and self._tracked[n].health.is_usable
            )

    def note_refusal(self, name: str) -> None:
        """Records that an endpoint refused a request because it is leaving."""
        self._mark_leaving(name, health_module.LeavingSource.REFUSAL)

    # Health changes

    def _change(self, name: str, transition) -> None:  # type: ignore[no-untyped-def]
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.health = transition(tracked.health)

    def _mark_leaving(
        self, name: str, source: health_module.LeavingSource
    ) -> None:
        now = clock.now()
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is None:
                return
            was_leaving = tracked.health.is_leaving
            if not was_leaving:
                self._lost_at = now
            tracked.health = tracked.health.leave(source, now)
        if was_leaving:
            return
        logs.event(_LOG, "endpoint_leaving", endpoint=name, sign=source)
        if source is health_module.LeavingSource.PEER:
            return
        origin = self._node.identity.name
        fact = facts.Fact(
            facts.Topic.LEAVING,
            name,
            origin,
            time.time(),
            1.0,
            _LEAVING_TTL_SECONDS,
        )
        self._node.publish(fact)

    def _apply_facts(self, received: tuple[facts.Fact, ...]) -> None:
        for fact in received:
            is_own = fact.origin == self._node.identity.name
            if fact.topic is facts.Topic.LEAVING and not is_own:
                self._mark_leaving(
                    fact.subject, health_module.LeavingSource.PEER
                )

    def _apply_listed(self, name: str, value: kinds.Endpoint | None) -> None:
        if value is None:
            with self._lock:
                if self._tracked.pop(name, None) is not None:
                    self._lost_at = clock.now()
            self.prefixes.forget(name)
            return
        self.update_endpoint(value)
        if value.phase is kinds.Phase.LEAVING:
            self._mark_leaving(name, health_module.LeavingSource.LIST)
        else:
            self._change(name, lambda h: h.note_listed_live())

    def update_endpoint(self, endpoint: kinds.Endpoint) -> None:
        """Adds or replaces an endpoint, as listed by the platform or a peer."""
        with self._lock:
            tracked = self._tracked.get(endpoint.name)
            if tracked is None:
                self._tracked[endpoint.name] = _Tracked(endpoint)
            else:
                tracked.endpoint = endpoint

    # Reports

    def _poll_all(self) -> None:
        while not self._stopping.wait(self._settings.routing.poll_seconds):
            with self._lock:
                due = [t for t in self._tracked.values() if not t.is_polling]
                for tracked in due:
                    tracked.is_polling = True
            try:
                for tracked in due:
                    self._pool.submit(self._poll, tracked)
            except RuntimeError:
                # The pool is shut down because this process is stopping.
                return
            self._publish_sent()

    def _poll(self, tracked: _Tracked) -> None:
        try:
            self._request_report(tracked)
        except errors.WayslipError:
            self.note_failure(tracked.endpoint.name)
        except Exception:
            _LOG.exception("poll_failed")
        finally:
            tracked.is_polling = False

    def _request_report(self, tracked: _Tracked) -> None:
        name, address = tracked.endpoint.name, tracked.endpoint.address
        asked_at = clock.now()
        if tracked.endpoint.role is kinds.EndpointRole.SERVICE:
            serves = service_module.check_serving(
                address, _REPORT_TIMEOUT_SECONDS
            )
        else:
            report = self._dialect.report(address, _REPORT_TIMEOUT_SECONDS)
            serves = report.state is engine_module.EngineState.SERVING
            self._record_report(tracked, report, asked_at)
        if not serves:
            self._mark_leaving(name, health_module.LeavingSource.REPORT)
            return
        self._change(name, lambda h: h.confirm_serving(asked_at))

    def _record_report(
        self, tracked: _Tracked, report: engine_module.Report, asked_at: float
    ) -> None:
        with self._lock:
            old = tracked.report
            tracked.report = report
            tracked.asked_at = asked_at
            tracked.sent = [s for s in tracked.sent if s.at >= asked_at]
        if old is not None and old.boot != report.boot:
            self.prefixes.forget(tracked.endpoint.name)

    def _publish_sent(self) -> None:
        """Announces the prefill sent by this entry in the last poll period."""
        since = clock.now() - self._settings.routing.poll_seconds
        with self._lock:
            totals = {
                name: sum(s.tokens for s in t.sent if s.at >= since)
                for name, t in self._tracked.items()
            }
        origin = self._node.identity.name
        ttl = 2 * self._settings.routing.poll_seconds
        for name, tokens in totals.items():
            if tokens:
                fact = facts.Fact(
                    facts.Topic.IN_FLIGHT,
                    name,
                    origin,
                    time.time(),
                    float(tokens),
                    ttl,
                )
                self._node.publish(fact)


def resolve_items(
    view: EndpointView, target: catalogs.Target
) -> tuple[tuple[str, ...], str]:
    """Returns the items to use now and the model's name at the engine.

    While a model's version is being changed, the old version answers until an
    engine that may get requests holds the new one.
    """
    if target.fallback and not view.is_engine_holding(
        target.engines, target.items[0]
    ):
        return (target.fallback,), target.fallback
    return target.items, target.engine_model
