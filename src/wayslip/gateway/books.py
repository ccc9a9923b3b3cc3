"""What the planner knows of each engine: its orders, and what it may hold."""

import asyncio
import dataclasses

from wayslip.decisions import fleet
from wayslip.decisions import lease

Item = fleet.Item
# Reports are some hundred milliseconds old. One that still tells of fewer
# orders after this shows that we counted one too many, seconds.
_REPORT_LAG_MOST = 2.0


@dataclasses.dataclass
class Book:
    """What the lease's holder knows of one engine.

    Neither the list nor a report is ever ahead of the engine, and either may
    lag behind the other. So an item counts as held while any of them shows
    it, and only what was seen to be dropped no longer counts.

    Attributes:
        endpoint: The engine's entry in the list.
        orders: Orders that it has taken, None if that is not certain.
        least_orders: Orders that it has taken at least; a report that tells
            of fewer is an old one, for a while after `counted_at`.
        counted_at: When it took an order of ours last, steady seconds.
        reported: What its last report showed, and entries since.
        reported_at: When that report came, steady seconds.
        listed_at: When its entry in the list came, steady seconds.
        is_known: Whether a report told all that it holds; not so while it
            loads something that a holder before us ordered.
        added: Items ordered to load that nothing shows yet, and when they
            can serve.
        removed: Items ordered to unload, and whether they are seen gone.
        ready_at: When models that are loading are expected to serve.
        loaded_at: When models finished loading.
        had: Adapters that it has held before.
        adapter_at: When adapters were loaded for a request.
        rests_until: When it may be planned for again after a failure.
        pending: The order whose effect is not known yet.
        task: The series of orders that is under way.
        lock: Held while an order is given.
        changed: Set by every new entry.
    """

    endpoint: fleet.Endpoint
    orders: int | None = None
    least_orders: int = 0
    counted_at: float = 0.0
    reported: set[Item] = dataclasses.field(default_factory=set)
    reported_at: float = 0.0
    listed_at: float = 0.0
    is_known: bool = False
    added: dict[Item, float] = dataclasses.field(default_factory=dict)
    removed: dict[Item, bool] = dataclasses.field(default_factory=dict)
    ready_at: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_at: dict[str, float] = dataclasses.field(default_factory=dict)
    had: set[Item] = dataclasses.field(default_factory=set)
    adapter_at: dict[Item, float] = dataclasses.field(default_factory=dict)
    rests_until: float = 0.0
    pending: lease.Pending | None = None
    task: asyncio.Task[None] | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def charged(self) -> set[Item]:
        """Returns all items that take memory or may."""
        items = self.listed() | self.reported | set(self.added)
        if self.pending is not None and self.pending.action is (
            lease.Action.LOAD
        ):
            items.add((self.pending.model, self.pending.adapter))
        return items - {i for i, is_gone in self.removed.items() if is_gone}

    def usable(self) -> set[Item]:
        """Returns the items that can serve now; adapters, or in moments."""
        coming = {i for i in self.added if i[1]}
        items = (self.listed() | self.reported | coming) - set(self.removed)
        return {i for i in items if i[0] not in self.ready_at}

    def listed(self) -> set[Item]:
        """Returns the items in the engine's entry."""
        return fleet.list_items(self.endpoint.models)

    def take_entry(self, endpoint: fleet.Endpoint, now: float) -> None:
        """Takes in the engine's entry in the list."""
        self.listed_at = now
        before = self.listed()
        self.endpoint = endpoint
        listed = self.listed()
        self.had |= {i for i in listed if i[1]}
        for item in [i for i in self.added if i in listed]:
            del self.added[item]
        for item in [i for i in self.removed if i not in listed]:
            # Either the entry follows the unload, or a report has shown it.
            if item in before or self.removed[item]:
                del self.removed[item]
                self.reported.discard(item)
        # An old heartbeat may come after this one and lack what it shows.
        self.reported |= listed
        self.changed.set()

    def count_order(self, orders: int, now: float) -> None:
        """Notes how many orders the engine has taken with our last one."""
        self.least_orders = max(orders, self.least_orders)
        self.orders = self.least_orders
        self.counted_at = now

    def take_state(self, state: fleet.EngineState, now: float) -> bool:
        """Takes in a report; returns whether it was new enough."""
        is_old = now - self.counted_at < _REPORT_LAG_MOST
        if state.orders < self.least_orders and is_old:
            return False
        self.orders = state.orders
        self.least_orders = state.orders
        self.reported_at = now
        self.reported = fleet.list_items(state.models) | state.coming
        for item in self.removed:
            self.removed[item] = item not in self.reported
        for item in [i for i in self.added if i in self.reported]:
            del self.added[item]
        if not state.is_busy:
            self.is_known = True
        return True

    def note_load(self, item: Item, now: float) -> None:
        """Charges an item that the engine loads by our order."""
        self.removed.pop(item, None)
        self.added[item] = now

    def note_unload(self, item: Item) -> None:
        """Notes an unload by our order; a model takes its adapters along."""
        model, adapter = item
        for one in self.charged():
            if one == item or (not adapter and one[0] == model):
                self.added.pop(one, None)
                self.removed[one] = False

    def note_gone(self, item: Item) -> None:
        """Notes that the engine has dropped an item."""
        self.reported.discard(item)
        self.removed[item] = True

    def describe_room(self, now: float) -> dict[str, str]:
        """Returns what an order's room is worked out from, for the log.

        Returns:
            `room`: every item that is charged and by whom it is shown (l the
            list, r a report, a an order of ours, p one that is not settled;
            u if it is being unloaded);
            `gone`: items that are not charged because they were seen gone;
            the ages of the report and of the entry, seconds.
        """
        charged = self.charged()
        items = charged | set(self.removed)
        shown = {item: self._list_sources(item) for item in sorted(items)}
        return {
            "room": " ".join(
                f"{_name(i)}:{s}" for i, s in shown.items() if i in charged
            ),
            "gone": " ".join(
                f"{_name(i)}:{s}" for i, s in shown.items() if i not in charged
            ),
            "report_age": f"{now - self.reported_at:.2f}",
            "entry_age": f"{now - self.listed_at:.2f}",
        }

    def _list_sources(self, item: Item) -> str:
        pending = self.pending
        is_pending = pending is not None and item == (
            pending.model,
            pending.adapter,
        )
        found = {
            "l": item in self.listed(),
            "r": item in self.reported,
            "a": item in self.added,
            "p": is_pending,
            "u": item in self.removed,
        }
        return "".join(s for s, is_shown in found.items() if is_shown)

    def describe(self) -> dict[str, object]:
        """Returns what the state dump shows."""
        return {
            "endpoint": self.endpoint,
            "orders": self.orders,
            "charged": sorted(self.charged()),
            "removed": sorted(self.removed),
            "pending": self.pending,
        }


def _name(item: Item) -> str:
    model, adapter = item
    return f"{model}/{adapter}" if adapter else model
