"""A control's view of the platform, the engines and its peers."""

import dataclasses
import threading
import time

from wayslip import clock
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import facts
from wayslip.decisions import ledger as ledger_module
from wayslip.decisions import membership
from wayslip.decisions import ownership
from wayslip.decisions import placement
from wayslip.decisions import replicas
from wayslip.endpoints import engine as engine_module
from wayslip.objects import client as client_module
from wayslip.objects import informer
from wayslip.objects import kinds
from wayslip.peers import node as node_module

# An engine that has not answered for this time gets no new placements.
UNRESPONSIVE_SECONDS = 5.0
_LOST_TTL_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class ReceivedReport:
    """A report and the time of its arrival, in seconds of `clock.now`."""

    report: engine_module.Report
    at: float


class WorldView:
    """Cached state: watched objects, reports, members and configuration."""

    def __init__(
        self,
        node: node_module.Node,
        client: client_module.ObjectClient,
        watchers: int,
    ) -> None:
        self.node = node
        self._watchers = watchers
        self._lock = threading.Lock()
        self._reports: dict[str, ReceivedReport] = {}
        self._unanswered_since: dict[str, float] = {}
        self.endpoints = informer.Informer(client, kinds.ENDPOINT)
        self.ledgers = informer.Informer(client, kinds.LEDGER)
        self._sets = informer.Informer(client, kinds.REPLICA_SET)
        self.configurations = informer.Informer(
            client, kinds.CONFIGURATION, self._watches_configuration
        )
        self.configurations.subscribe(self._apply_configuration)

    def start(self) -> None:
        """Starts all watches."""
        for watch in self._watches:
            watch.start()

    def stop(self) -> None:
        """Stops all watches."""
        for watch in self._watches:
            watch.stop()

    @property
    def _watches(self) -> tuple[informer.Informer, ...]:
        return (self.endpoints, self.ledgers, self._sets, self.configurations)

    # Looking up

    @property
    def catalog(self) -> catalogs.Catalog:
        """The catalog of the configuration in force."""
        return self.node.holder.catalog

    def engines(self) -> list[kinds.Endpoint]:
        """Returns the engines in the platform's list."""
        return [
            e
            for e in self.endpoints.objects.values()
            if e.role is kinds.EndpointRole.ENGINE
        ]

    def endpoint(self, name: str) -> kinds.Endpoint | None:
        """Returns an endpoint in the platform's list."""
        return self.endpoints.objects.get(name)

    def replica_sets(self) -> dict[str, replicas.ReplicaSet]:
        """Returns the replica sets by item, as last received."""
        return {s.item: s for s in self._sets.objects.values()}

    def last_report(self, name: str) -> ReceivedReport | None:
        """Returns the last report of an engine."""
        with self._lock:
            return self._reports.get(name)

    def is_live(self, endpoint: kinds.Endpoint) -> bool:
        """Whether new items may be placed on an engine."""
        if endpoint.phase is kinds.Phase.LEAVING:
            return False
        published = self.node.facts(facts.Topic.LOST)
        if any(f.subject == endpoint.name and f.value for f in published):
            return False
        received = self.last_report(endpoint.name)
        draining = engine_module.EngineState.DRAINING
        return received is None or received.report.state is not draining

    def engine_states(
        self, ledgers: dict[str, ledger_module.Ledger] | None = None
    ) -> dict[str, placement.EngineState]:
        """Returns the engines' states for the planner, by name.

        Args:
            ledgers: Ledgers by engine; by default the cached ones.
        """
        known = self.ledgers.objects if ledgers is None else ledgers
        states = {}
        for endpoint in self.engines():
            ledger = known.get(endpoint.name)
            held = {c.item: c.size for c in ledger.charges} if ledger else {}
            states[endpoint.name] = placement.EngineState(
                endpoint.name,
                endpoint.capacity,
                held,
                self.is_live(endpoint),
            )
        return states

    # Recording

    def record_report(self, name: str, report: engine_module.Report) -> None:
        """Records an engine's report."""
        with self._lock:
            self._reports[name] = ReceivedReport(report, clock.now())
            lost_since = self._unanswered_since.pop(name, None)
        if lost_since is not None:
            self._publish_lost(name, 0.0)

    def record_missing_report(self, name: str) -> None:
        """Records that an engine did not answer.

        Peers are notified after `UNRESPONSIVE_SECONDS` without an answer.
        """
        with self._lock:
            since = self._unanswered_since.setdefault(name, clock.now())
        if clock.now() - since > UNRESPONSIVE_SECONDS:
            self._publish_lost(name, 1.0)

    def _publish_lost(self, name: str, value: float) -> None:
        now = time.time()
        origin = self.node.identity.name
        published = [
            f
            for f in self.node.facts(facts.Topic.LOST)
            if f.subject == name and f.value == value
        ]
        if any(now - f.at < _LOST_TTL_SECONDS / 2 for f in published):
            return
        self.node.publish(
            facts.Fact(
                facts.Topic.LOST,
                name,
                origin,
                now,
                value,
                ttl=_LOST_TTL_SECONDS,
            )
        )

    def _watches_configuration(self) -> bool:
        # Only a few controls watch the object; the others receive the
        # configuration from their peers.
        controls = self.node.live_names(membership.Role.CONTROL)
        ranked = ownership.rank_owners("configuration", controls)
        return self.node.identity.name in ranked[: self._watchers]

    def _apply_configuration(self, name: str, value) -> None:  # type: ignore[no-untyped-def]
        if name != kinds.CURRENT or value is None:
            return
        if self.node.holder.offer(value, "objects"):
            self.node.push_generation()
