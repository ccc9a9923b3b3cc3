"""Assembles the control daemon and runs its planned stop."""

import logging
import threading
import time
from typing import Any

from wayslip import admin
from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip import settings as settings_module
from wayslip.control import executor
from wayslip.control import operators
from wayslip.control import plans
from wayslip.control import repair
from wayslip.control import world as world_module
from wayslip.decisions import facts
from wayslip.decisions import membership
from wayslip.objects import client as client_module
from wayslip.peers import messages
from wayslip.peers import node as node_module

_LOG = logging.getLogger(__name__)


class ControlDaemon:
    """The control daemon of one instance."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self.metrics = metrics_module.Metrics()
        identity = node_module.Identity(
            membership.Role.CONTROL, settings.instance, settings.control.peers
        )
        self.node = node_module.Node(identity, settings, self.metrics)
        client = client_module.ObjectClient(settings.objects, self.metrics)
        self.world = world_module.WorldView(
            self.node, client, settings.peers.watchers
        )
        self.planner = plans.Planner(settings, self.world, client)
        self.executor = executor.Executor(
            settings, self.world, client, self.metrics
        )
        self.repairer = repair.Repairer(self.world, self.planner)
        self._operations = operators.Operations(self.world, self.planner)
        self._admin = admin.AdminServer(
            settings.control.operators,
            settings,
            self.metrics,
            admin.Hooks(
                lambda: not self.stopping.is_set(),
                self.dump,
                self._operations.answer,
            ),
        )
        self.stopping = threading.Event()
        self.node.calls.handle(messages.Dump, self._answer_dump)
        self.node.calls.handle(messages.Drain, self._answer_drain)

    def start(self) -> None:
        """Starts all components."""
        self._admin.start()
        self.node.start()
        self.world.start()
        self.executor.start()
        self.repairer.start()
        logs.event(
            _LOG, "control_started", instance=self._settings.instance.name
        )

    def stop(self) -> None:
        """Finishes the current step, notifies the peers and stops."""
        self.stopping.set()
        self.repairer.stop()
        self.executor.stop()
        self.world.stop()
        self.node.leave()
        self.node.stop()
        self._admin.stop()
        logs.event(
            _LOG, "control_stopped", instance=self._settings.instance.name
        )

    def dump(self) -> Any:
        """Returns the state of the process, with ages in seconds."""
        world = self.world
        return {
            "member": self.node.process,
            "time": time.time(),
            "generation": self.node.holder.generation,
            "configuration_age": time.time() - self.node.holder.changed_at,
            "entries": self.node.holder.configuration.entries,
            "members": self.node.members(),
            "facts": [f for t in facts.Topic for f in self.node.facts(t)],
            "endpoints": {
                "age": world.endpoints.age,
                "objects": world.endpoints.objects,
            },
            "ledgers": {
                "age": world.ledgers.age,
                "objects": world.ledgers.objects,
            },
            "replica_sets": world.replica_sets(),
            "reports": {
                e.name: {
                    "age": clock.now() - received.at,
                    "is": received.report,
                }
                for e in world.engines()
                if (received := world.last_report(e.name)) is not None
            },
        }

    def _answer_dump(self, message: object) -> object:
        return messages.Dumped(admin.render_state(self.dump()))

    def _answer_drain(self, message: object) -> object:
        assert isinstance(message, messages.Drain)
        logs.event(_LOG, "drain_ordered", operator=message.operator)
        self.stopping.set()
        return messages.Draining()
