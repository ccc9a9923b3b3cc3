"""Automatic placement of items that are placed on no live engine.

The repairer looks for required items that are placed on no live engine, and
creates and confirms a plan for them as an operator would.
"""

import logging
import threading

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import refusals
from wayslip.control import plans as plans_module
from wayslip.control import world as world_module
from wayslip.decisions import catalog as catalogs
from wayslip.decisions import configuration
from wayslip.decisions import membership
from wayslip.decisions import ownership
from wayslip.decisions import plan as plan_module

_LOG = logging.getLogger(__name__)
_PERIOD_SECONDS = 1.0
_BACKOFF_SECONDS = 10.0
AUTHOR = "automatic"


class Repairer:
    """Runs on every control; usually only its owner repairs."""

    def __init__(
        self,
        world: world_module.WorldView,
        planner: plans_module.Planner,
    ) -> None:
        self._world = world
        self._planner = planner
        self._stopping = threading.Event()
        self._wait_until = 0.0
        self._thread = threading.Thread(
            target=self._run, name="repair", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops after the current repair."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(_PERIOD_SECONDS):
            if not self._is_owner() or clock.now() < self._wait_until:
                continue
            try:
                self._planner.finish()
                self.repair()
            except errors.WayslipError as e:
                logs.event(_LOG, "repair_waits", logging.DEBUG, reason=e.reason)
            except Exception:
                _LOG.exception("repair_failed")

    def _is_owner(self) -> bool:
        controls = self._world.node.live_names(membership.Role.CONTROL)
        owner = ownership.find_owner("repair", controls)
        return owner == self._world.node.identity.name

    def repair(self) -> bool:
        """Creates and confirms a plan for required items on no live engine.

        Returns:
            Whether a plan was put into force.
        """
        missing = find_unplaced(self._world.catalog, self._live_engines())
        if not missing:
            return False
        plan = self._planner.propose(configuration.Change(), AUTHOR)
        if isinstance(plan, plan_module.Plan):
            done = self._planner.confirm(plan.id, AUTHOR)
            if isinstance(done, plan_module.Plan):
                logs.event(_LOG, "repaired", plan=plan.id, items=len(missing))
                return True
            plan = done
        assert isinstance(plan, refusals.Refusal)
        self._wait_until = clock.now() + _BACKOFF_SECONDS
        logs.event(
            _LOG,
            "repair_refused",
            logging.WARNING,
            reason=plan.reason,
            detail=plan.detail,
        )
        return False

    def _live_engines(self) -> set[str]:
        return {e.name for e in self._world.engines() if self._world.is_live(e)}


def find_unplaced(catalog: catalogs.Catalog, live: set[str]) -> frozenset[str]:
    """Returns the required items that are placed on no live engine."""
    placed = {
        item
        for engine, items in catalog.placements.items()
        if engine in live
        for item in items
    }
    return catalog.required - placed
