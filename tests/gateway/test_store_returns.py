"""The store is restored from a copy that is some seconds old.

Revisions decrease with the restore. If they were compared as they are, all
instances but the lease holder would reject its announcements as older than
their list. Requests then reached an engine 2.46 s after the store had
acknowledged that the engine is leaving.
"""

import asyncio

from standins import platform_site
from tests.gateway import harness
from tests.gateway import test_placement

# Number of lost revisions; new ones stay below them for some time after that.
LOST_REVISIONS = 60


def list_engine(system, name, **fields):
    """Writes an engine's entry with a higher heartbeat count, as engines do."""
    listed = system.store.objects.get("servers", {})
    known = listed.get(name, {}).get("spec")
    spec = {**(known or system.entries[name]), **fields}
    system.beats = getattr(system, "beats", 100) + 1
    spec["seq"] = system.beats
    system.entries[name] = spec
    system.store.put("servers", name, spec)


def note_entries(system):
    listed = system.store.objects.get("servers", {})
    system.entries = {name: item["spec"] for name, item in listed.items()}


async def lose_writes(system, outage=0.3):
    """Restores the store without its last writes, after a short outage."""
    note_entries(system)
    system.store.keep_backup()
    for number in range(LOST_REVISIONS):
        system.store.put("others", f"o{number}", {})
    # Announced with a revision that is assigned again much later.
    list_engine(system, "e0", slots=9)
    await asyncio.sleep(0.8)
    system.store.faults.is_down = True
    await asyncio.sleep(outage)
    system.store.return_to_backup()
    system.store.faults.is_down = False


async def join(system, *names):
    gateways = [system.gateway]
    for name in names:
        gateways.append(await system.join(name))
    return gateways


def is_leaving(gateway, name):
    tracked = gateway.view.tracked.get(name)
    return tracked is None or tracked.endpoint.is_leaving


@harness.run
async def test_all_instances_learn_of_a_leaving_engine_after_a_restore(system):
    await system.add("e0", "plain")
    await system.add("e1", "plain")
    gateways = await join(system, "g2", "g3")
    await lose_writes(system)
    await asyncio.sleep(1.0)
    list_engine(system, "e1", state="draining")
    await system.until(lambda: all(is_leaving(g, "e1") for g in gateways), 1.8)


@harness.run
async def test_all_instances_learn_of_a_new_engine_after_a_restore(system):
    await system.add("e0", "plain")
    gateways = await join(system, "g2", "g3")
    await lose_writes(system)
    await asyncio.sleep(1.0)
    await system.add("e1", "plain")
    await system.until(
        lambda: all("e1" in g.view.tracked for g in gateways), 1.8
    )


async def restore_after_removal(system, gateways):
    """Removes e1 and restores the store from a copy that lists it."""
    system.store.remove("servers", "e1")
    await system.until(
        lambda: all("e1" not in g.view.tracked for g in gateways)
    )
    system.store.return_to_backup()
    await asyncio.sleep(2.5)
    for gateway in gateways:
        assert (await system.ask("/get/a", at=gateway)).status == 503


@harness.run
async def test_leaving_engine_does_not_return_with_the_copy(system):
    leaving = await system.add("e1", "plain")
    gateways = await join(system, "g2")
    note_entries(system)
    system.store.keep_backup()
    list_engine(system, "e1", state="draining")
    await system.until(lambda: all(is_leaving(g, "e1") for g in gateways))
    await restore_after_removal(system, gateways)
    assert not leaving.received


@harness.run
async def test_engine_removed_without_leaving_does_not_return(system):
    gone = await system.add("e1", "plain")
    gateways = await join(system, "g2")
    system.store.keep_backup()
    await restore_after_removal(system, gateways)
    assert not gone.received


@harness.run
async def test_engine_that_lapsed_and_returned_before_stays(system):
    await system.add("e1", "plain")
    gateways = await join(system, "g2")
    note_entries(system)
    system.store.keep_backup()
    system.store.remove("servers", "e1")
    for gateway in gateways:
        await system.until(lambda g=gateway: "e1" not in g.view.tracked)
    list_engine(system, "e1")
    for gateway in gateways:
        await system.until(lambda g=gateway: "e1" in g.view.tracked)
    system.store.return_to_backup()
    for _ in range(35):
        await asyncio.sleep(0.1)
        assert all("e1" in g.view.tracked for g in gateways)


@harness.run
async def test_engine_missing_in_the_copy_has_time_to_return(system):
    gateways = await join(system, "g2")
    system.store.keep_backup()
    await system.add("e1", "plain")
    for gateway in gateways:
        await system.until(lambda g=gateway: "e1" in g.view.tracked)
    note_entries(system)
    system.store.return_to_backup()
    await asyncio.sleep(1.0)
    assert all("e1" in g.view.tracked for g in gateways)
    list_engine(system, "e1")
    await asyncio.sleep(2.5)
    assert all("e1" in g.view.tracked for g in gateways)


@harness.run
async def test_lease_is_held_again_within_two_seconds(system):
    gateways = await join(system, "g2", "g3")
    term = system.gateway.leadership.seen_term
    # The copy may be older than the first lease.
    system.store.objects.pop("wayslip-leases")
    system.store.keep_backup()
    await asyncio.sleep(1.0)
    system.store.return_to_backup()
    await system.until(
        lambda: any(
            g.leadership.is_valid and g.leadership.seen_term > term
            for g in gateways
        ),
        2.0,
    )
    await asyncio.sleep(0.5)
    assert sum(g.leadership.is_held for g in gateways) == 1


@harness.run
async def test_tokens_of_orders_do_not_decrease(system):
    engine = await system.add("e1", "models", ["m1"])
    for number in range(LOST_REVISIONS):
        system.store.put("others", f"o{number}", {})
    gateways = await join(system, "g2")
    system.store.keep_backup()
    copied, _ = system.store._backup
    copied.pop("wayslip-claims", None)
    system.store._backup = (copied, 5)
    for number in range(3):
        await test_placement.ask(system, f"m1/a{number + 1}", f"r{number}")
    before = len(engine.orders)
    system.store.return_to_backup()
    # The holder is killed, so that another starts from the copy's revisions.
    await system.kill(gateways[0])
    await system.until(lambda: gateways[1].leadership.is_valid)
    for number in range(20):
        await test_placement.ask(
            system, f"m1/a{number % 4 + 1}", f"s{number}", at=gateways[1]
        )
        if len(engine.orders) > before:
            break
        await asyncio.sleep(0.4)
    assert len(engine.orders) > before
    tokens = [order["fencing_token"] for order in engine.orders]
    assert tokens == sorted(tokens)
    holders = {order["holder"]: set() for order in engine.orders}
    for order in engine.orders:
        holders[order["holder"]].add(order["fencing_token"])
    assert not holders["g1"] & holders.get("g2", set())


@harness.run
async def test_holder_continues_to_order_after_a_restore(system):
    await system.add("e0", "plain")
    engine = await system.add("e1", "models", ["m1"])
    await system.until(lambda: system.gateway.leadership.is_valid)
    await test_placement.ask(system, "m1/a1", "r1")
    await lose_writes(system)
    before = len(engine.orders)
    for number in range(6):
        await test_placement.ask(system, f"m1/a{number % 3 + 2}", f"s{number}")
    await system.until(lambda: len(engine.orders) > before, 3.0)


@harness.run
async def test_older_configuration_in_the_copy_confirms_nothing(system):
    holder = system.gateway.holder
    system.store.keep_backup()
    system.store.put("config", "main", platform_site.manifest(5))
    await system.until(lambda: holder.version == 5)
    freshness = system.gateway._configuration_sync.confirmations.freshness
    system.store.return_to_backup()
    await asyncio.sleep(1.5)
    known = system.gateway._configuration_sync.confirmations.freshness
    assert holder.version == 5
    assert known.proven_at - freshness.proven_at < 1.0
    system.store.put("config", "main", platform_site.manifest(5))
    await system.until(
        lambda: (
            system.gateway._configuration_sync.confirmations.freshness.proven_at
            > known.proven_at + 1.0
        )
    )
