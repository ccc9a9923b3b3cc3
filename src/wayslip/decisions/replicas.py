"""The engines with a ready replica of an item; protects the last replica.

The replica set of an item is one object, changed by conditional updates. An
engine is removed from the set before its replica is unloaded, so two
concurrent evictions can not both rely on the other's replica.
"""

import dataclasses

from wayslip import refusals


@dataclasses.dataclass(frozen=True)
class ReplicaSet:
    """The engines whose replica of an item is not being evicted."""

    item: str
    engines: frozenset[str] = frozenset()

    def add(self, engine: str) -> "ReplicaSet":
        """Returns the set with an engine that reported the item resident."""
        return dataclasses.replace(self, engines=self.engines | {engine})

    def lose(self, engine: str) -> "ReplicaSet":
        """Returns the set without an engine that lost its replica."""
        return dataclasses.replace(self, engines=self.engines - {engine})

    def release(
        self, engine: str, alive: frozenset[str], is_required: bool
    ) -> "ReplicaSet | refusals.Refusal":
        """Returns the set without an engine whose replica is to be evicted.

        Args:
            engine: The engine that is to unload the item.
            alive: Engines that recently reported the item resident.
            is_required: Whether at least one replica must stay available.
        """
        rest = self.engines - {engine}
        if is_required and not rest & alive:
            return refusals.Refusal(
                refusals.Reason.LAST_REPLICA,
                f"{engine} holds the last ready replica of {self.item};"
                " load another replica first",
                retry_after=1.0,
            )
        return dataclasses.replace(self, engines=rest)
