"""Which engines are ready to answer for an item; the guard of the last one.

The set of an item is one object, changed by conditional update. An engine is
taken out of it before its copy is unloaded, so two evictions that race can
not both count on the other's replica.
"""

import dataclasses

from wayslip import refusals


@dataclasses.dataclass(frozen=True)
class ReplicaSet:
    """The engines whose copy of an item is not being evicted."""

    item: str
    engines: frozenset[str] = frozenset()

    def add(self, engine: str) -> "ReplicaSet":
        """Returns the set with an engine that reported the item resident."""
        return dataclasses.replace(self, engines=self.engines | {engine})

    def lose(self, engine: str) -> "ReplicaSet":
        """Returns the set without an engine that lost its copy by itself."""
        return dataclasses.replace(self, engines=self.engines - {engine})

    def release(
        self, engine: str, alive: frozenset[str], is_required: bool
    ) -> "ReplicaSet | refusals.Refusal":
        """Returns the set without an engine whose copy is to be evicted.

        Args:
            engine: The engine that is to unload the item.
            alive: Engines that reported the item resident just now.
            is_required: Whether the item must stay reachable.
        """
        rest = self.engines - {engine}
        if is_required and not rest & alive:
            return refusals.Refusal(
                refusals.Reason.LAST_REPLICA,
                f"{engine} holds the last ready replica of {self.item};"
                " load another first",
                retry_after=1.0,
            )
        return dataclasses.replace(self, engines=rest)
