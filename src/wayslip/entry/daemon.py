"""Assembles, starts and stops the entry daemon."""

import logging
import threading
import time
from typing import Any

from wayslip import admin
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip import web
from wayslip.decisions import facts
from wayslip.decisions import membership
from wayslip.entry import callers
from wayslip.entry import completions
from wayslip.entry import journal
from wayslip.entry import keyed
from wayslip.entry import relay
from wayslip.entry import routes
from wayslip.entry import services
from wayslip.entry import view
from wayslip.objects import client as client_module
from wayslip.peers import messages
from wayslip.peers import node as node_module

_LOG = logging.getLogger(__name__)
_DRAIN_CHECK_SECONDS = 0.05
_LIST_RETRY_SECONDS = 2.0


class EntryDaemon:
    """The entry daemon of one instance."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self.metrics = metrics_module.Metrics()
        identity = node_module.Identity(
            membership.Role.ENTRY, settings.instance, settings.entry.peers
        )
        self.node = node_module.Node(identity, settings, self.metrics)
        client = client_module.ObjectClient(settings.objects, self.metrics)
        self.view = view.EndpointView(settings, self.node, client, self.metrics)
        self.in_flight = callers.InFlight(settings.admission.retry_fraction)
        self.relay = relay.Relay(
            self.metrics, settings.limits.stream_buffer_bytes
        )
        self.completions = completions.Completions(
            settings,
            self.node,
            self.view,
            self.relay,
            self.in_flight,
            self.metrics,
        )
        self._services = services.Services(
            settings, self.node, self.view, self.in_flight, self.metrics
        )
        self._journal = journal.Journal(settings.journal, client, self.metrics)
        self.routes = routes.Routes(
            settings, self.node, self.completions, self._services, self.metrics
        )
        self.keyed = keyed.Keyed(
            settings,
            self.node,
            self._journal,
            self.routes.execute,
            self.metrics,
        )
        self.routes.keyed = self.keyed
        self._callers_port = web.Server(
            settings.entry.callers,
            self.routes.answer,
            settings.limits,
            settings.limits.worker_threads,
            settings.security,
        )
        self._admin = admin.AdminServer(
            settings.entry.operators,
            settings,
            self.metrics,
            admin.Hooks(self.is_ready, self.dump, lambda request, name: None),
        )
        self.stopping = threading.Event()
        self._register_handlers()

    def _register_handlers(self) -> None:
        calls = self.node.calls
        calls.handle(messages.Dump, self._answer_dump)
        calls.handle(messages.Drain, self._answer_drain)
        calls.handle(messages.Forward, self.keyed.answer_forwarded)
        calls.handle(messages.Resumed, self._answer_resumed)
        calls.handle(messages.ListEndpoints, self._answer_list)

    def start(self) -> None:
        """Starts all components.

        The callers' port opens after the components that serve its requests.
        """
        self._admin.start()
        self.node.start()
        self.view.start()
        self.relay.start()
        self._callers_port.start()
        threading.Thread(
            target=self._fetch_endpoints, name="learn", daemon=True
        ).start()
        logs.event(
            _LOG,
            "entry_started",
            instance=self._settings.instance.name,
            address=self._callers_port.address,
        )

    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""
        return not self.stopping.is_set() and self.node.holder.generation > 0

    # Graceful stop

    def stop(self) -> None:
        """Stops gracefully.

        Gives the load balancer time to notice, then refuses new requests,
        finishes running ones up to a time limit and stops all components.
        """
        began = clock.now()
        self.stopping.set()
        self.node.leave()
        time.sleep(self._settings.drain.balancer_seconds)
        self.routes.is_draining = True
        left = self._wait_for_requests()
        unwritten = self._callers_port.active
        self._callers_port.stop()
        self.relay.stop()
        self.view.stop()
        self.node.stop()
        self._admin.stop()
        logs.event(
            _LOG,
            "entry_stopped",
            instance=self._settings.instance.name,
            seconds=round(clock.now() - began, 3),
            cut=left,
            unwritten=unwritten,
        )

    def _wait_for_requests(self) -> int:
        """Waits until no request runs or the time limit is reached.

        Returns:
            The number of requests in flight at the limit.
        """
        limit = clock.now() + self._settings.drain.finish_seconds
        while clock.now() < limit:
            running = self._callers_port.active + self.in_flight.total
            running += self.relay.active + self.keyed.active
            if not running:
                return 0
            time.sleep(_DRAIN_CHECK_SECONDS)
        return self.in_flight.total

    # Starting while the object API is unreachable

    def _fetch_endpoints(self) -> None:
        """Asks peers for the endpoints until the object API has listed them."""
        while not self.stopping.wait(_LIST_RETRY_SECONDS):
            if self.view.list.synced_at:
                return
            for member in self.node.live(membership.Role.ENTRY):
                if member.name == self.node.identity.name:
                    continue
                try:
                    answer = self.node.call(
                        member, messages.ListEndpoints(), messages.Endpoints
                    )
                except errors.WayslipError:
                    continue
                for endpoint in answer.endpoints:
                    self.view.update_endpoint(endpoint)
                break

    # Operators' and peers' calls

    def dump(self) -> Any:
        """Returns the state of the process. Ages are in seconds."""
        return {
            "member": self.node.process,
            "time": time.time(),
            "generation": self.node.holder.generation,
            "configuration_age": time.time() - self.node.holder.changed_at,
            "entries": self.node.holder.configuration.entries,
            "members": self.node.members(),
            "facts": [f for t in facts.Topic for f in self.node.facts(t)],
            "endpoints": {"age": self.view.list.age, "is": self.view.dump()},
            "journal": self._journal.dump(),
            "in_flight": self.in_flight.total,
            "streams": self.relay.active,
            "keyed": self.keyed.active,
            "draining": self.stopping.is_set(),
        }

    def _answer_dump(self, message: object) -> object:
        return messages.Dumped(admin.render_state(self.dump()))

    def _answer_drain(self, message: object) -> object:
        assert isinstance(message, messages.Drain)
        logs.event(_LOG, "drain_ordered", operator=message.operator)
        self.stopping.set()
        return messages.Draining()

    def _answer_resumed(self, message: object) -> object:
        assert isinstance(message, messages.Resumed)
        self.completions.cancellations.drop(message.request_id)
        return messages.Noted()

    def _answer_list(self, message: object) -> object:
        return messages.Endpoints(self.view.endpoints())
