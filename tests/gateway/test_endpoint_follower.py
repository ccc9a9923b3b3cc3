"""The list of endpoints through outages of the store."""

import asyncio
import dataclasses

from standins import platform_site
from tests.gateway import harness
from wayslip.decisions import fleet
from wayslip.gateway import datagrams
from wayslip.gateway import facts
from wayslip.gateway import view


@harness.run
async def test_entry_that_lapsed_in_an_outage_may_come_back(system):
    await system.add("e1", "plain")
    await system.add("e2", "plain")
    follower = system.gateway._endpoints
    system.store.faults.is_down = True
    entry = system.store.objects["servers"]["e1"]["spec"]
    system.store.remove("servers", "e1")
    await system.until(lambda: follower.watcher.lost_since is not None)
    system.store.forget_history()
    system.store.faults.is_down = False
    await system.until(lambda: follower.watcher.lost_since is None)
    # It is missing now, but it may just not have listed itself again yet.
    assert "e1" in system.gateway.view.tracked
    system.store.put("servers", "e1", entry)
    await asyncio.sleep(2.3)
    assert "e1" in system.gateway.view.tracked
    assert (await system.ask("/get/a")).status == 200


@harness.run
async def test_entry_that_stays_away_after_an_outage_is_gone(system):
    await system.add("e1", "plain")
    follower = system.gateway._endpoints
    system.store.faults.is_down = True
    system.store.remove("servers", "e1")
    await system.until(lambda: follower.watcher.lost_since is not None)
    system.store.forget_history()
    system.store.faults.is_down = False
    await system.until(lambda: "e1" not in system.gateway.view.tracked)


def test_old_entry_does_not_replace_a_newer_one():
    # Parts of a list are told without a revision, so one that is late, or
    # comes from an earlier holder, put old entries over newer ones: an
    # endpoint that was known to be leaving got requests again.
    endpoints = view.EndpointView("h")
    old = fleet.Endpoint("e1", "s", "127.0.0.1:1", "h", beat=7)
    endpoints.take(dataclasses.replace(old, is_leaving=True, beat=8))
    endpoints.take(old)
    assert endpoints.tracked["e1"].endpoint.is_leaving
    endpoints.take(dataclasses.replace(old, is_leaving=True, beat=8, slots=3))
    assert endpoints.tracked["e1"].endpoint.slots == 3


def test_told_entries_keep_the_number_of_their_heartbeat():
    entry = fleet.Endpoint("e1", "s", "127.0.0.1:1", "h", beat=9)
    changes = facts.Changes(1, 0, 0, (facts.Listed.of(entry),))
    told = datagrams.decode(datagrams.encode(changes))
    assert told.listed[0].restore() == entry


@harness.run
async def test_word_of_an_earlier_holder_takes_nothing_out(system):
    # Its statements may be late on their way, and show less than there is.
    await system.add("e1", "plain")
    gateway = system.gateway
    await system.until(lambda: gateway.leadership.seen_term > 0)
    for told in (
        facts.Changes(0, 0, 10**9, (), gone=("e1",)),
        facts.Changes(0, 0, 10**9, (), names=("e9",)),
    ):
        gateway._handle_message(told, ("127.0.0.1", 1))
    assert "e1" in gateway.view.tracked


@harness.run
async def test_removal_without_an_outage_counts_at_once(system):
    await system.add("e1", "plain")
    loop = asyncio.get_running_loop()
    await asyncio.sleep(0.1)
    began = loop.time()
    system.store.remove("servers", "e1")
    await system.until(lambda: "e1" not in system.gateway.view.tracked)
    assert loop.time() - began < 1.9


@harness.run
async def test_forgotten_history_is_listed_anew(system):
    await system.add("e1", "plain")
    system.store.put("config", "main", platform_site.manifest(version=5))
    system.store.forget_history()
    holder = system.gateway.holder
    await system.until(lambda: holder.manifest.version == 5)


@harness.run
async def test_requests_go_on_while_the_store_is_away(system):
    await system.add("e1", "plain")
    system.store.faults.is_silent = True
    for number in range(5):
        assert (await system.ask("/get/a", f"r{number}")).status == 200
    system.store.faults.is_silent = False


@harness.run
async def test_endpoint_is_gone_once_another_lists_its_address(system):
    # An engine that crashed is listed for three heartbeats more; what was
    # sent to its successor for it came back as 421 (hbmaa-grown scale-1,
    # 320 requests from second 8 on).
    await system.add("e1", "plain")
    spec = system.store.objects["servers"]["e1"]["spec"]
    system.store.put("servers", "e2", {**spec, "seq": 1})
    await system.until(lambda: "e2" in system.gateway.view.tracked)
    assert "e1" not in system.gateway.view.tracked
    # The old entry is still in the list and comes back with it.
    system.store.forget_history()
    await system.add("e3", "plain")
    assert "e1" not in system.gateway.view.tracked
    assert "e2" in system.gateway.view.tracked


@harness.run
async def test_old_entry_does_not_displace_the_newer_one(system):
    await system.add("e1", "plain")
    spec = system.store.objects["servers"]["e1"]["spec"]
    system.store.put("servers", "e2", {**spec, "seq": 1})
    await system.until(lambda: "e2" in system.gateway.view.tracked)
    system.store.put("servers", "e1", {**spec, "seq": 99})
    await system.add("e3", "plain")
    assert "e1" not in system.gateway.view.tracked
    assert "e2" in system.gateway.view.tracked
