"""What an entry knows of the endpoints, and what it has sent them.

Load reports lag, so what this entry sent after asking for the last report,
and what peers say they sent, is added. Signs that an endpoint leaves come from
the platform's list, reports, refusals and peers; see `decisions.health`.
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
_REPORT_SECONDS = 1.0
_LEAVING_TTL = 30.0
# Peers tell what they sent in one sum; it counts as of this rank.
_PEER_SENT_RANK = 1


@dataclasses.dataclass
class _Tracked:
    """The state of one endpoint; guarded by the view's lock."""

    endpoint: kinds.Endpoint
    health: health_module.Health = health_module.Health()
    report: engine_module.Report | None = None
    asked_at: float = 0.0
    in_flight: int = 0
    # Prefill sent since the last report was asked for, oldest first.
    sent: list[routing.Sent] = dataclasses.field(default_factory=list)
    is_polling: bool = False


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What routing needs to know of a request.

    Attributes:
        rank: The rank of its class; lower ranks go first at an engine.
    """

    tokens: int
    blocks: tuple[int, ...] = ()
    rank: int = _PEER_SENT_RANK


class EndpointView:
    """All endpoints as one entry sees them. Safe for many threads."""

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
        # When an endpoint last left, or went from the list.
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
        """Starts to watch the list and to ask for reports."""
        self.list.start()
        self._thread.start()

    def stop(self) -> None:
        """Ends the threads."""
        self._stopping.set()
        self.list.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    # Looking up

    def address(self, name: str) -> str | None:
        """Returns an endpoint's address."""
        with self._lock:
            tracked = self._tracked.get(name)
            return tracked.endpoint.address if tracked else None

    def endpoints(self) -> tuple[kinds.Endpoint, ...]:
        """Returns all endpoints, for peers that start in an outage."""
        with self._lock:
            return tuple(t.endpoint for t in self._tracked.values())

    def in_flight(self, name: str) -> int:
        """Returns this entry's requests at an endpoint."""
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

        Those are the usable ones, or the suspect ones where there is none.
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
        """Returns what peers sent to each engine, by local arrival time."""
        peer_sent: dict[str, list[routing.Sent]] = {}
        for fact, at in self._node.arrivals(facts.Topic.IN_FLIGHT):
            if fact.origin != self._node.identity.name:
                sent = routing.Sent(at, int(fact.value), _PEER_SENT_RANK)
                peer_sent.setdefault(fact.subject, []).append(sent)
        return peer_sent

    def usable(self, names: Sequence[str]) -> list[str]:
        """Returns the endpoints among some that may get new work."""
        with self._lock:
            return [
                n
                for n in names
                if n in self._tracked and self._tracked[n].health.is_usable
            ]

    def is_engine_holding(self, names: Sequence[str], item: str) -> bool:
        """Whether an engine among some holds an item and may get a request."""
        return bool(self.candidates(names, (item,), Prompt(1), frozenset()))

    def dump(self) -> dict[str, object]:
        """Returns the state of each endpoint, for the dump."""
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

    # What this entry does

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
        """Counts a request that ended, however it did."""
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.in_flight -= 1

    def note_failure(self, name: str) -> None:
        """Notes that an endpoint took no connection or broke one off."""
        self._change(name, lambda h: h.fail())

    def note_missing(self, name: str, item: str) -> None:
        """Notes that an engine does not hold an item its report shows."""
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is None or tracked.report is None:
                return
            held = tracked.report.resident - {item}
            tracked.report = dataclasses.replace(tracked.report, resident=held)

    def lacks(self, name: str, item: str) -> bool:
        """Whether a listed engine is known not to hold an item."""
        with self._lock:
            tracked = self._tracked.get(name)
            report = tracked.report if tracked is not None else None
            return report is not None and item not in report.resident

    def is_report_due(self, names: Sequence[str]) -> bool:
        """Whether an endpoint was not asked for a report since the last loss.

        An endpoint that leaves, or goes from the list, may have been the only
        one known to hold a model that another has loaded since its report.
        """
        with self._lock:
            return any(
                self._tracked[n].asked_at <= self._lost_at
                for n in names
                if n in self._tracked and self._tracked[n].health.is_usable
            )

    def note_refusal(self, name: str) -> None:
        """Notes that an endpoint refused work because it leaves."""
        self._mark_leaving(name, health_module.LeavingSource.REFUSAL)

    # Signs

    def _change(self, name: str, step) -> None:  # type: ignore[no-untyped-def]
        with self._lock:
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.health = step(tracked.health)

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
            facts.Topic.LEAVING, name, origin, time.time(), 1.0, _LEAVING_TTL
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
        """Takes in an endpoint of the list, from the platform or a peer."""
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
                # The pool was shut down: this process is stopping.
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
            serves = service_module.check_serving(address, _REPORT_SECONDS)
        else:
            report = self._dialect.report(address, _REPORT_SECONDS)
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
        """Tells peers what prefill this entry sent in the last period."""
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
    """Returns the items and the engine's model name that can answer now.

    A model whose version changes is answered by the old version until the
    new one is resident.
    """
    if target.fallback and not view.is_engine_holding(
        target.engines, target.items[0]
    ):
        return (target.fallback,), target.fallback
    return target.items, target.engine_model
