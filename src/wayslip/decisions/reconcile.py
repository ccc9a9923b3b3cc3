"""Chooses the next step that brings an engine to its desired state.

Reconciliation is level-triggered: it compares the ledger with the placement,
so it keeps no state of its own and continues after any crash. It returns one
step at a time; the caller writes the ledger, sends the order and asks again.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from wayslip.decisions import ledger as ledger_module


@dataclasses.dataclass(frozen=True)
class Step:
    """An order to record and send; the item is empty for a fence."""

    action: ledger_module.Action
    item: str = ""
    size: int = 0


@dataclasses.dataclass(frozen=True)
class Wanted:
    """The desired state of an engine.

    Attributes:
        items: Items in loading order, versions before their adapters.
        sizes: Bytes of each item.
        base_of: The version of each adapter.
        nowhere: Items that no engine is known to hold.
        kept: Items whose eviction was just refused, as they are the last
            replica.
    """

    items: tuple[str, ...]
    sizes: Mapping[str, int]
    base_of: Mapping[str, str]
    nowhere: Set[str] = frozenset()
    kept: Set[str] = frozenset()


def choose_step(
    ledger: ledger_module.Ledger, wanted: Wanted, may_load: bool
) -> Step | None:
    """Returns the next step, None if there is nothing to do now.

    Args:
        ledger: The engine's ledger.
        wanted: The desired state of the engine.
        may_load: Whether the weight store's rate allows a load now.
    """
    unload = _choose_unload(ledger, wanted)
    if unload is not None:
        return unload
    load = _choose_load(ledger, wanted)
    if load is not None and may_load:
        return load
    # Orders with an unknown outcome are settled by a newer fence.
    if ledger.checks_fence and any(a.given_up for a in ledger.attempts):
        return Step(ledger_module.Action.FENCE)
    return None


def _choose_unload(ledger: ledger_module.Ledger, wanted: Wanted) -> Step | None:
    bases = {
        wanted.base_of[c.item]
        for c in ledger.charges
        if c.item in wanted.base_of
    }
    for charge in ledger.charges:
        if charge.item in wanted.items or _is_busy(ledger, charge.item):
            continue
        if charge.item in bases or charge.item in wanted.kept:
            continue
        return Step(ledger_module.Action.UNLOAD, charge.item, charge.size)
    return None


def _choose_load(ledger: ledger_module.Ledger, wanted: Wanted) -> Step | None:
    order = sorted(wanted.items, key=lambda item: item not in wanted.nowhere)
    for item in order:
        charge = ledger.get(item)
        if charge is not None and not _is_lost(ledger, charge):
            continue
        base = wanted.base_of.get(item)
        if base is not None and not _is_held(ledger, base):
            continue
        size = wanted.sizes[item]
        if charge is None and size > ledger.free:
            # Loads keep their order: a later, smaller item must not take the
            # memory that the plan provides for this one.
            return None
        return Step(ledger_module.Action.LOAD, item, size)
    return None


def _is_busy(ledger: ledger_module.Ledger, item: str) -> bool:
    return any(a.item == item and not a.given_up for a in ledger.attempts)


def _is_lost(
    ledger: ledger_module.Ledger, charge: ledger_module.Charge
) -> bool:
    """Whether all attempts to load were given up and a new one may be sent."""
    if charge.phase is not ledger_module.Phase.RESERVED:
        return False
    mine = [a for a in ledger.attempts if a.item == charge.item]
    return all(a.given_up for a in mine)


def _is_held(ledger: ledger_module.Ledger, item: str) -> bool:
    charge = ledger.get(item)
    return (
        charge is not None and charge.phase is not ledger_module.Phase.RESERVED
    )
