"""Protects the last ready replica of an item from eviction.

An engine is removed from the item's replica set before its copy is evicted,
and only while another engine is confirmed to hold the item and to keep it.
docs/design/memory.md gives the reason for each read.
"""

import logging

from wayslip import errors
from wayslip import logs
from wayslip import refusals
from wayslip.control import world as world_module
from wayslip.decisions import replicas
from wayslip.endpoints import engine as engine_module
from wayslip.objects import client as client_module
from wayslip.objects import kinds

_LOG = logging.getLogger(__name__)
_REPORT_SECONDS = 1.0


class Evictions:
    """Decides whether an engine may evict an item."""

    def __init__(
        self,
        world: world_module.WorldView,
        client: client_module.ObjectClient,
    ) -> None:
        self._world = world
        self._client = client
        self._dialect = engine_module.DIALECTS.get("openai")

    def release(self, name: str, item: str) -> bool:
        """Removes an engine from an item's replica set, if that is safe.

        Args:
            name: The engine.
            item: The item to evict from it.

        Returns:
            Whether the engine may evict the item. False if the item is needed
            and no other engine is confirmed to hold it.
        """
        needed = self._is_needed(item)

        def step(
            known: replicas.ReplicaSet | None,
        ) -> replicas.ReplicaSet | refusals.Refusal:
            known = known or replicas.ReplicaSet(item)
            holders = self._find_holders(known, name) if needed else frozenset()
            return known.release(name, holders, needed)

        result = self._client.change(kinds.REPLICA_SET, object_name(item), step)
        if not isinstance(result, refusals.Refusal):
            return True
        logs.event(
            _LOG,
            "eviction_waits",
            logging.DEBUG,
            engine=name,
            item=item,
            reason=result.reason,
        )
        return False

    def _is_needed(self, item: str) -> bool:
        catalog = self._world.catalog
        if item in catalog.required:
            return True
        successor = catalog.successors.get(item)
        if successor is None:
            return False
        ready = self._world.replica_sets().get(successor)
        return not (ready and ready.engines)

    def _find_holders(
        self, known: replicas.ReplicaSet, excluded: str
    ) -> frozenset[str]:
        """Returns the engines that are confirmed to hold and keep an item.

        Called between the read and the conditional write of the replica set.
        The ledger must not be stale, so it is read with `confirm_read`.
        """
        holders = set()
        for name in known.engines - {excluded}:
            endpoint = self._world.endpoint(name)
            if endpoint is None or endpoint.phase is kinds.Phase.LEAVING:
                continue
            try:
                ledger = confirm_read(self._client, kinds.LEDGER, name)
                report = self._dialect.report(endpoint.address, _REPORT_SECONDS)
            except errors.WayslipError:
                continue
            charge = ledger.get(known.item)
            has_no_attempt = all(a.item != known.item for a in ledger.attempts)
            if charge and has_no_attempt and known.item in report.resident:
                holders.add(name)
        return frozenset(holders)

    def is_released(self, name: str, item: str) -> bool:
        """Whether an engine is still absent from an item's replica set."""
        known = confirm_read(self._client, kinds.REPLICA_SET, object_name(item))
        return name not in known.engines


def object_name(item: str) -> str:
    """Returns an item's name in a form that is valid as an object name."""
    return item.replace("@", "--")


def confirm_read(client: client_module.ObjectClient, kind, name: str):  # type: ignore[no-untyped-def]  # noqa: ANN001, ANN201
    """Returns an object's value, confirmed to be current during the call.

    A plain read may be stale. The conditional write of the same value
    succeeds only if the value that was read is current.

    Raises:
        ObjectUnavailableError: The object changed during each of the attempts,
            or the object API did not answer.
    """
    for _ in range(8):
        stored = client.get(kind, name)
        try:
            return client.update(kind, stored, stored.value).value
        except errors.ObjectConflictError:
            continue
    raise errors.ObjectUnavailableError(
        f"{kind.plural}/{name} keeps changing", "try again"
    )
