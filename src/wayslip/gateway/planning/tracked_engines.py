"""State that the planner keeps of each engine: orders and possible contents."""

import asyncio
import dataclasses
from typing import Any

from wayslip.decisions import fleet
from wayslip.decisions import inventory as inventory_module
from wayslip.decisions import lease
from wayslip.decisions import load_timing

Item = fleet.Item
# Reports are some hundred milliseconds old. One that still shows fewer orders
# after this time means that an order was counted here by mistake.
_MAX_REPORT_LAG_SECONDS = 2.0
# An order without an answer may be carried out this much later: engines take
# up to 12 s, and a report is some hundred milliseconds old.
_MAX_ORDER_DELAY_SECONDS = 14.0


@dataclasses.dataclass
class TrackedEngine:
    """What the lease holder knows of one engine.

    Charges are computed from the inventory alone while it is certain. Entries
    of the list may be outdated, and a new one may be followed by an older one.
    They are added only while the inventory is uncertain, and a report is
    fetched then before an order is sent.

    Attributes:
        endpoint: The engine's entry in the list.
        inventory: What it held at its last known count of orders.
        is_certain: Whether that count is current as far as is known; orders
            are sent only then.
        least_orders: Minimum number of orders that it has taken. A report with
            fewer is outdated, for a while after `counted_at`.
        counted_at: When it last took an order of this instance, steady
            seconds.
        reported_at: When its last report was received, steady seconds.
        listed_at: When its entry in the list was received, steady seconds.
        added: Items ordered to load that no report has shown in place, and
            when they can serve.
        withdrawn: Items that receive no further requests, until neither the
            list nor a report shows them.
        evicting: Models that the running task of orders is about to unload.
        pending_loads: Models that it loads or is about to load.
        overdue: Those whose load is overdue, as logged.
        turn: The model that its task loads because it is the model's turn,
            empty if none.
        loaded_at: When models finished loading.
        previously_held: Adapters that it has held before.
        adapter_loaded_at: When adapters were loaded for a request.
        backoff_until: When it may be planned for again after a failure.
        pending: The order whose effect is not known yet.
        abandoned: An order that is no longer repeated. It may still arrive,
            and is charged until the engine's count has passed it.
        unanswered: Orders without an answer, and when they were sent.
        inherited: Unanswered orders of the engine's earlier incarnations, and
            until when this one may carry them out: it counts from zero again.
        task: The running task of orders.
        lock: Held while an order is in progress.
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
    evicting: set[str] = dataclasses.field(default_factory=set)
    pending_loads: dict[str, load_timing.PendingLoad] = dataclasses.field(
        default_factory=dict
    )
    overdue: set[str] = dataclasses.field(default_factory=set)
    turn: str = ""
    loaded_at: dict[str, float] = dataclasses.field(default_factory=dict)
    previously_held: set[Item] = dataclasses.field(default_factory=set)
    adapter_loaded_at: dict[Item, float] = dataclasses.field(
        default_factory=dict
    )
    backoff_until: float = 0.0
    pending: lease.Pending | None = None
    abandoned: lease.Pending | None = None
    unanswered: list[tuple[lease.Pending, float]] = dataclasses.field(
        default_factory=list
    )
    inherited: tuple[tuple[lease.Pending, float], ...] = ()
    task: asyncio.Task[None] | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    # Contents

    def charged(self) -> set[Item]:
        """Returns all items that use or may use memory."""
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
        """Returns the items that can serve; adapters may still be loading."""
        items = set(self.inventory.items) if self.inventory else set()
        if not self.is_certain:
            items |= self.listed()
        loading = {i[0] for i in self.added if not i[1]}
        loading |= set(self.pending_loads)
        return {i for i in items - self.withdrawn if i[0] not in loading}

    def removable(self) -> set[Item]:
        """Returns the items in place that can be unloaded."""
        if self.inventory is None:
            return set()
        return set(self.inventory.resident - self.withdrawn)

    def holds(self, item: Item) -> bool:
        """Whether an item is known to be in place and not being unloaded."""
        known = self.inventory
        return self.is_certain and known is not None and item in known.resident

    def lacks(self, item: Item) -> bool:
        """Whether an item is known to take no memory."""
        known = self.inventory
        return self.is_certain and known is not None and item not in known.items

    def listed(self) -> set[Item]:
        """Returns the items in the engine's entry."""
        return fleet.list_items(self.endpoint.models)

    # Loads

    def expect_load(self, model: str, ready_at: float, seconds: float) -> None:
        """Records when a load of some seconds is expected to serve."""
        self.pending_loads[model] = load_timing.PendingLoad(ready_at, seconds)
        self.overdue.discard(model)

    def forget_load(self, model: str) -> None:
        """Records that a load ended or was not started."""
        self.pending_loads.pop(model, None)
        self.overdue.discard(model)

    def list_pending_loads(self, now: float) -> dict[str, float]:
        """Returns the seconds until models can serve, overdue ones left out."""
        remaining = {
            model: load.estimate_remaining(now)
            for model, load in self.pending_loads.items()
        }
        return {m: left for m, left in remaining.items() if left is not None}

    def take_overdue(self, now: float) -> set[str]:
        """Returns the models whose load became overdue since the last call."""
        overdue = set(self.pending_loads) - set(self.list_pending_loads(now))
        new = overdue - self.overdue
        self.overdue |= new
        return new

    # Updates

    def apply_entry(self, endpoint: fleet.Endpoint, now: float) -> None:
        """Applies the engine's entry in the list."""
        self.endpoint = endpoint
        self.listed_at = now
        self.previously_held |= {i for i in self.listed() if i[1]}
        self._forget_withdrawn()
        self.changed.set()

    def apply_report(self, state: fleet.EngineState, now: float) -> bool:
        """Applies a report; returns whether it was recent enough."""
        if not self._is_same_incarnation(state):
            # A report of a later incarnation makes the contents uncertain until
            # the engine's new entry is received.
            self.is_certain &= state.born < self.endpoint.born
            return False
        is_old = now - self.counted_at < _MAX_REPORT_LAG_SECONDS
        if state.orders < self.least_orders and is_old:
            return False
        self.least_orders = state.orders
        self._clear_abandoned(state.orders)
        self.inherited = tuple(
            (order, until)
            for order, until in self.inherited
            if order.orders >= state.orders and until > now
        )
        self.reported_at = now
        known = self.inventory if self.is_certain else None
        latest = inventory_module.update(known, state)
        self.is_certain = latest is not None
        if latest is None or latest is known:
            return True
        self.inventory = latest
        self.added = {
            i: t for i, t in self.added.items() if i in latest.loading
        }
        self.withdrawn -= latest.resident
        self._forget_withdrawn()
        return True

    def _is_same_incarnation(self, state: fleet.EngineState) -> bool:
        born = self.endpoint.born
        return not born or not state.born or born == state.born

    def _forget_withdrawn(self) -> None:
        """Drops withdrawn items that neither a report nor the list shows."""
        if self.is_certain and self.inventory is not None:
            self.withdrawn &= self.inventory.items | self.listed()

    # A later incarnation of the engine

    def note_unanswered(self, order: lease.Pending, now: float) -> None:
        """Records that an order got no answer and may be carried out late."""
        limit = now - _MAX_ORDER_DELAY_SECONDS
        self.unanswered = [(o, at) for o, at in self.unanswered if at > limit]
        self.unanswered.append((order, now))

    def begin_incarnation(
        self, endpoint: fleet.Endpoint, now: float
    ) -> "TrackedEngine":
        """Returns the state of the engine's next incarnation.

        It holds nothing and counts its orders from zero. A late order for the
        previous incarnation may therefore name a count that is reached again.
        """
        late = [(o, at + _MAX_ORDER_DELAY_SECONDS) for o, at in self.unanswered]
        if self.pending is not None:
            late.append((self.pending, now + _MAX_ORDER_DELAY_SECONDS))
        if self.abandoned is not None:
            late.append((self.abandoned, now + _MAX_ORDER_DELAY_SECONDS))
        late += self.inherited
        tracked_engine = TrackedEngine(endpoint, inherited=tuple(late))
        tracked_engine.apply_entry(endpoint, now)
        return tracked_engine

    # Effects of orders

    def note_taken(self, order: lease.Pending, now: float) -> None:
        """Records that the engine carries out an order."""
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

    def note_unloaded(self, order: lease.Pending, now: float) -> None:
        """Records that an adapter was unloaded when the answer was sent.

        The engine gives the same answer where there was nothing to unload, and
        counts no order then. A count that is wrong because of that does no
        harm: the engine refuses an order that names it.
        """
        item = (order.model, order.adapter)
        known = self._find_inventory(order)
        if known is None or item not in known.resident:
            self.is_certain = False
            return
        self.inventory = known.drop(item)
        self._count(order, now)
        self._withdraw(item)

    def note_uncertain(self) -> None:
        """Marks the count of orders as unknown until the next report."""
        self.is_certain = False

    def _find_inventory(
        self, order: lease.Pending
    ) -> inventory_module.Inventory | None:
        """Returns the inventory if it is certain and at an order's count."""
        known = self.inventory
        if not self.is_certain or known is None:
            return None
        return known if known.orders == order.orders else None

    def _count(self, order: lease.Pending, now: float) -> None:
        count = order.orders + 1
        self.least_orders = max(count, self.least_orders)
        self.counted_at = now
        self._clear_abandoned(count)
        known = self.inventory
        if known is None or known.orders < self.least_orders:
            self.is_certain = False

    def _clear_abandoned(self, count: int) -> None:
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
        """Returns the state that an order was based on, for the log.

        Returns:
            `room`: every charged item, with a plus if it is being loaded and
            a minus if it is being unloaded; `certain`: whether that is
            certain; `report_age`, `entry_age`: the ages of the last report and
            of the entry, seconds.
        """
        return {
            "room": " ".join(
                self._format_item(i) for i in sorted(self.charged())
            ),
            "certain": str(self.is_certain),
            "report_age": f"{now - self.reported_at:.2f}",
            "entry_age": f"{now - self.listed_at:.2f}",
        }

    def _format_item(self, item: Item) -> str:
        model, adapter = item
        name = f"{model}/{adapter}" if adapter else model
        known = self.inventory
        if known is None:
            return name
        plus = "+" if item in known.loading else ""
        minus = "-" if item in known.unloading else ""
        return name + plus + minus

    def describe(self) -> dict[str, Any]:
        """Returns the engine's state for the state dump."""
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
