"""What an engine holds at a count of its orders.

An engine carries an order out only if that names how many orders the engine
has taken so far. So it is enough to know what it holds at the count that is
named: whatever happens meanwhile moves the count, and the order is refused.

Two things tell it: a report, which says its count, and the answer to an order
that was given at a known count. The list of endpoints says no count and may
be old, so nothing is concluded from it here.
"""

import dataclasses

from wayslip.decisions import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """All that an engine may hold at a count of its orders.

    Attributes:
        orders: Orders that it has taken.
        items: What takes memory or a place, on its way or being unloaded too.
        loading: Those that no report has shown in place yet.
        unloading: Those that it was ordered to unload.
    """

    orders: int
    items: frozenset[fleet.Item]
    loading: frozenset[fleet.Item] = frozenset()
    unloading: frozenset[fleet.Item] = frozenset()

    @property
    def resident(self) -> frozenset[fleet.Item]:
        """What is there and stays.

        Only this may be ordered away. An unload of anything else may be
        answered as done though it does nothing and counts as no order.
        """
        return self.items - self.loading - self.unloading

    def load(self, item: fleet.Item) -> "Inventory":
        """Returns what follows on an order to load that was taken."""
        return Inventory(
            self.orders + 1,
            self.items | {item},
            self.loading | {item},
            self.unloading,
        )

    def begin_unload(self, item: fleet.Item) -> "Inventory":
        """Returns what follows on an order to unload that is under way.

        A model takes its adapters along. All keep their room until a report
        lacks them.
        """
        model, adapter = item
        dropped = {i for i in self.items if i[0] == model and not adapter}
        return Inventory(
            self.orders + 1,
            self.items,
            self.loading,
            self.unloading | dropped | {item},
        )

    def drop(self, item: fleet.Item) -> "Inventory":
        """Returns what follows on an adapter's unload that was done at once."""
        return Inventory(
            self.orders + 1,
            self.items - {item},
            self.loading,
            self.unloading,
        )


def read(state: fleet.EngineState) -> Inventory | None:
    """Returns what a report tells; None if that is not all.

    A busy engine does not show the model that it loads.
    """
    if state.is_busy:
        return None
    items = frozenset(fleet.list_items(state.models)) | state.pending_loads
    return Inventory(state.orders, items, state.pending_loads)


def update(
    known: Inventory | None, state: fleet.EngineState
) -> Inventory | None:
    """Returns what is known after a report that is not older than `known`."""
    if known is not None and state.is_busy and state.orders == known.orders:
        # It is busy with the order that is accounted for already.
        return known
    return read(state)
