"""What the planner knows of each engine: its orders, and what it may hold."""

import asyncio
import dataclasses
from typing import Any

from wayslip.decisions import fleet
from wayslip.decisions import inventory as inventory_module
from wayslip.decisions import lease

Item = fleet.Item
# Reports are some hundred milliseconds old. One that still tells of fewer
# orders after this shows that we counted one too many, seconds.
_REPORT_LAG_MOST = 2.0
# An order without an answer may be carried out so much later, seconds: engines
# take up to 12, and a report is some hundred milliseconds old.
_LATE_MOST = 14.0


@dataclasses.dataclass
class TrackedEngine:
    """What the lease's holder knows of one engine.

    Room is worked out from the inventory alone. Entries of the list may be
    old, and a new one may be followed by an older one; they stand in only
    while no inventory is known, for plans that a report will precede.

    Attributes:
        endpoint: The engine's entry in the list.
        inventory: What it holds at a count of its orders, as last known.
        is_certain: Whether that count holds now as far as we can know; an
            order may only be given then.
        least_orders: Orders that it has taken at least; a report that tells
            of fewer is an old one, for a while after `counted_at`.
        counted_at: When it took an order of ours last, steady seconds.
        reported_at: When its last report came, steady seconds.
        listed_at: When its entry in the list came, steady seconds.
        added: Items ordered to load that no report has shown in place, and
            when they can serve.
        withdrawn: Items that no request is to be sent for any more, until
            neither the list nor a report shows them.
        ready_at: When models that are loading are expected to serve.
        loaded_at: When models finished loading.
        had: Adapters that it has held before.
        adapter_at: When adapters were loaded for a request.
        rests_until: When it may be planned for again after a failure.
        pending: The order whose effect is not known yet.
        abandoned: An order that was given up on. It may still arrive, and is
            charged until the engine's count has passed it.
        unanswered: Orders whose answer did not come, and when they were sent.
        inherited: Those of an earlier start of the engine, and until when they
            may be carried out by this one: it counts from zero again.
        task: The series of orders that is under way.
        lock: Held while an order is given.
        changed: Set by every new entry.
    """

    endpoint: fleet.Endpoint
    inventory: inventory_module.Inventory | None = None
    is_certain: bool = False
    least_orders: int = 0
    counted_at: float = 0.0
    reported_at: float = 0.0
    listed_at: float = 0.0
    added: dict[Item, float] = dataclasses.field(default_factory=dict)
    withdrawn: set[Item] = dataclasses.field(default_factory=set)
    ready_at: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_at: dict[str, float] = dataclasses.field(default_factory=dict)
    had: set[Item] = dataclasses.field(default_factory=set)
    adapter_at: dict[Item, float] = dataclasses.field(default_factory=dict)
    rests_until: float = 0.0
    pending: lease.Pending | None = None
    abandoned: lease.Pending | None = None
    unanswered: list[tuple[lease.Pending, float]] = dataclasses.field(
        default_factory=list
    )
    inherited: tuple[tuple[lease.Pending, float], ...] = ()
    task: asyncio.Task[None] | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    # What it holds

    def charged(self) -> set[Item]:
        """Returns all items that take memory or may."""
        items = set(self.inventory.items) if self.inventory else set()
        if not self.is_certain:
            items |= self.listed() | set(self.added)
        late = [order for order, _ in self.inherited]
        return items | {
            (order.model, order.adapter)
            for order in (self.pending, self.abandoned, *late)
            if order is not None and order.action is lease.Action.LOAD
        }

    def usable(self) -> set[Item]:
        """Returns the items that can serve now; adapters, or in moments."""
        items = set(self.inventory.items) if self.inventory else set()
        if not self.is_certain:
            items |= self.listed()
        loading = {i[0] for i in self.added if not i[1]} | set(self.ready_at)
        return {i for i in items - self.withdrawn if i[0] not in loading}

    def removable(self) -> set[Item]:
        """Returns the items that an order to unload would find in place."""
        if self.inventory is None:
            return set()
        return set(self.inventory.resident - self.withdrawn)

    def holds(self, item: Item) -> bool:
        """Whether a report has shown an item in place, and nothing since."""
        known = self.inventory
        return self.is_certain and known is not None and item in known.resident

    def lacks(self, item: Item) -> bool:
        """Whether a report has shown that an item takes no room."""
        known = self.inventory
        return self.is_certain and known is not None and item not in known.items

    def listed(self) -> set[Item]:
        """Returns the items in the engine's entry."""
        return fleet.list_items(self.endpoint.models)

    # What tells it

    def take_entry(self, endpoint: fleet.Endpoint, now: float) -> None:
        """Takes in the engine's entry in the list."""
        self.endpoint = endpoint
        self.listed_at = now
        self.had |= {i for i in self.listed() if i[1]}
        self._forget_withdrawn()
        self.changed.set()

    def take_state(self, state: fleet.EngineState, now: float) -> bool:
        """Takes in a report; returns whether it was new enough."""
        if not self._is_of_this_start(state):
            # Until the entry of a later start comes, nothing that is planned
            # is meant for it.
            self.is_certain &= state.born < self.endpoint.born
            return False
        is_old = now - self.counted_at < _REPORT_LAG_MOST
        if state.orders < self.least_orders and is_old:
            return False
        self.least_orders = state.orders
        self._pass_stray(state.orders)
        self.inherited = tuple(
            (order, until)
            for order, until in self.inherited
            if order.orders >= state.orders and until > now
        )
        self.reported_at = now
        known = self.inventory if self.is_certain else None
        read = inventory_module.update(known, state)
        self.is_certain = read is not None
        if read is None or read is known:
            return True
        self.inventory = read
        self.added = {i: t for i, t in self.added.items() if i in read.loading}
        self.withdrawn -= read.resident
        self._forget_withdrawn()
        return True

    def _is_of_this_start(self, state: fleet.EngineState) -> bool:
        born = self.endpoint.born
        return not born or not state.born or born == state.born

    def _forget_withdrawn(self) -> None:
        """Forgets what is seen by nobody any more."""
        if self.is_certain and self.inventory is not None:
            self.withdrawn &= self.inventory.items | self.listed()

    # A later start of the engine

    def note_unanswered(self, order: lease.Pending, now: float) -> None:
        """Notes that an order got no answer and may be carried out late."""
        limit = now - _LATE_MOST
        self.unanswered = [(o, at) for o, at in self.unanswered if at > limit]
        self.unanswered.append((order, now))

    def begin_anew(
        self, endpoint: fleet.Endpoint, now: float
    ) -> "TrackedEngine":
        """Returns the book of the engine's next start.

        It holds nothing and counts from zero, so an order for the start before
        that comes late names a count that is reached once more.
        """
        late = [(o, at + _LATE_MOST) for o, at in self.unanswered]
        if self.pending is not None:
            late.append((self.pending, now + _LATE_MOST))
        if self.abandoned is not None:
            late.append((self.abandoned, now + _LATE_MOST))
        late += self.inherited
        tracked_engine = TrackedEngine(endpoint, inherited=tuple(late))
        tracked_engine.take_entry(endpoint, now)
        return tracked_engine

    # What follows on an order

    def note_taken(self, order: lease.Pending, now: float) -> None:
        """Notes that the engine carries an order out."""
        item = (order.model, order.adapter)
        is_load = order.action is lease.Action.LOAD
        known = self._find_inventory(order)
        if known is not None:
            self.inventory = (
                known.load(item) if is_load else known.begin_unload(item)
            )
        self._count(order, now)
        if is_load and not self.holds(item):
            self.added[item] = now
            self.withdrawn.discard(item)
        elif not is_load:
            self._withdraw(item)

    def note_dropped(self, order: lease.Pending, now: float) -> None:
        """Notes that an adapter is unloaded by the time that was answered.

        The answer is the same where there was nothing to unload. Then no
        order was counted, and what is concluded here is no use to anybody:
        an order with the next count is refused.
        """
        item = (order.model, order.adapter)
        known = self._find_inventory(order)
        if known is None or item not in known.resident:
            self.is_certain = False
            return
        self.inventory = known.drop(item)
        self._count(order, now)
        self._withdraw(item)

    def note_unclear(self) -> None:
        """Notes that only a report can tell the count of orders again."""
        self.is_certain = False

    def _find_inventory(
        self, order: lease.Pending
    ) -> inventory_module.Inventory | None:
        """Returns what is known for the count that an order named."""
        known = self.inventory
        if not self.is_certain or known is None:
            return None
        return known if known.orders == order.orders else None

    def _count(self, order: lease.Pending, now: float) -> None:
        count = order.orders + 1
        self.least_orders = max(count, self.least_orders)
        self.counted_at = now
        self._pass_stray(count)
        known = self.inventory
        if known is None or known.orders < self.least_orders:
            self.is_certain = False

    def _pass_stray(self, count: int) -> None:
        if self.abandoned is not None and count > self.abandoned.orders:
            self.abandoned = None

    def _withdraw(self, item: Item) -> None:
        model, adapter = item
        self.added.pop(item, None)
        self.withdrawn.add(item)
        if not adapter:
            self.withdrawn |= {i for i in self.charged() if i[0] == model}

    # For operators

    def describe_room(self, now: float) -> dict[str, str]:
        """Returns what an order's room is worked out from, for the log.

        Returns:
            `room`: every item that is charged, with a plus if it is on its
            way and a minus if it is being unloaded; whether that is certain;
            the ages of the last report and of the entry, seconds.
        """
        return {
            "room": " ".join(self._mark(i) for i in sorted(self.charged())),
            "certain": str(self.is_certain),
            "report_age": f"{now - self.reported_at:.2f}",
            "entry_age": f"{now - self.listed_at:.2f}",
        }

    def _mark(self, item: Item) -> str:
        model, adapter = item
        name = f"{model}/{adapter}" if adapter else model
        known = self.inventory
        if known is None:
            return name
        plus = "+" if item in known.loading else ""
        minus = "-" if item in known.unloading else ""
        return name + plus + minus

    def describe(self) -> dict[str, Any]:
        """Returns what the state dump shows."""
        return {
            "endpoint": self.endpoint,
            "orders": self.inventory.orders if self.inventory else None,
            "certain": self.is_certain,
            "charged": sorted(self.charged()),
            "withdrawn": sorted(self.withdrawn),
            "pending": self.pending,
            "stray": self.abandoned,
            "inherited": [order for order, _ in self.inherited],
        }
