"""Contents of an engine at a given number of orders.

An engine executes an order only if the order names the number of orders that
the engine has taken so far. So it is enough to know the contents at that
number: any order in between changes the number, and the order is refused.

The contents are known from a report, which includes the number of orders, and
from the answer to an order that was sent at a known number. The list of
endpoints has no such number and may be out of date, so it is not used here.
"""

import dataclasses

from wayslip.decisions import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """All items that an engine may hold at a given number of orders.

    Attributes:
        orders: Number of orders that it has taken.
        items: Items that use memory or an adapter slot, including those that
            are being loaded or unloaded.
        loading: Items that no report has shown as loaded yet.
        unloading: Items that it was ordered to unload.
    """

    orders: int
    items: frozenset[fleet.Item]
    loading: frozenset[fleet.Item] = frozenset()
    unloading: frozenset[fleet.Item] = frozenset()

    @property
    def resident(self) -> frozenset[fleet.Item]:
        """Items that are loaded and not being unloaded.

        Only these may be unloaded. An engine may answer the unload of any
        other item as done although it does nothing and does not count it as
        an order.
        """
        return self.items - self.loading - self.unloading

    def load(self, item: fleet.Item) -> "Inventory":
        """Returns the inventory after an accepted order to load an item."""
        return Inventory(
            self.orders + 1,
            self.items | {item},
            self.loading | {item},
            self.unloading,
        )

    def begin_unload(self, item: fleet.Item) -> "Inventory":
        """Returns the inventory after an order to unload was started.

        Unloading a model also unloads its adapters. All keep their memory and
        adapter slots until a report no longer shows them.
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
        """Returns the inventory after an adapter was unloaded at once."""
        return Inventory(
            self.orders + 1,
            self.items - {item},
            self.loading,
            self.unloading,
        )


def read(state: fleet.EngineState) -> Inventory | None:
    """Returns the inventory in a report, None if the report is incomplete.

    A busy engine does not report the model that it is loading.
    """
    if state.is_busy:
        return None
    items = frozenset(fleet.list_items(state.models)) | state.pending_loads
    return Inventory(state.orders, items, state.pending_loads)


def update(
    known: Inventory | None, state: fleet.EngineState
) -> Inventory | None:
    """Returns the inventory after a report that is not older than `known`."""
    if known is not None and state.is_busy and state.orders == known.orders:
        # It is busy with an order that `known` already includes.
        return known
    return read(state)
