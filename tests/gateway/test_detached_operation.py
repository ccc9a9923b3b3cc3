"""Detached operation: the holder orders engines without the store."""

import asyncio
import dataclasses

from tests.gateway import harness
from tests.gateway import test_placement
from tests.gateway import test_requests
from wayslip.decisions import detachment
from wayslip.decisions import fanout
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import members as members_module


def report(instance, echo=(1, 5_000_000), **fields):
    base = facts.Report(instance, "h", "p", 1, True, (), (), *echo)
    return dataclasses.replace(base, **fields)


def source(number):
    return ("10.0.0.1", number)


def test_answers_to_another_holder_do_not_count():
    members = members_module.Members()
    members.take(report("g2", is_cut_off=True), source(2), set())
    members.take(
        report("g3", (2, 7_000_000), is_cut_off=True), source(3), set()
    )
    statuses = members.list_statuses(2, "10.0.0.1:1")
    assert statuses == [
        detachment.PeerStatus(float("-inf"), True),
        detachment.PeerStatus(7.0, True),
    ]


def test_own_and_stopping_instances_are_left_out():
    members = members_module.Members()
    members.take(report("g1"), source(1), set())
    members.take(report("g2", is_leaving=True), source(2), set())
    assert members.list_statuses(1, "10.0.0.1:1") == []


def test_unresponsive_instance_is_missing_unless_it_was_stopping(monkeypatch):
    members = members_module.Members()
    members.take(report("g2"), source(2), set())
    members.take(report("g3", is_leaving=True), source(3), set())
    monkeypatch.setattr(members_module, "_SILENCE_SECONDS", 0.0)
    assert members.peers() == []
    assert members.list_missing() == [fanout.Peer("10.0.0.1:2", "h")]
    members.forget_missing()
    assert members.list_missing()
    monkeypatch.setattr(detachment, "MISSING_SECONDS", 0.0)
    members.forget_missing()
    assert not members.list_missing()


def test_holder_whose_peers_fell_silent_is_deserted(monkeypatch):
    # Guards against a holder that is cut off from all others, forgets them
    # and then needs nobody's consent.
    own = "10.0.0.1:1"
    members = members_module.Members()
    members.take(report("g1"), source(1), set())
    assert not members.is_deserted(own)
    members.take(report("g2"), source(2), set())
    members.take(report("g3", is_leaving=True), source(3), set())
    monkeypatch.setattr(members_module, "_SILENCE_SECONDS", 0.0)
    monkeypatch.setattr(detachment, "MISSING_SECONDS", 0.0)
    members.peers()
    members.forget_missing()
    assert members.is_deserted(own)
    members.take(report("g2", process="later"), source(2), set())
    assert not members.is_deserted(own)
    members.peers()
    members.forget_missing()
    assert members.is_deserted(own)
    members.begin()
    assert not members.is_deserted(own)


def test_only_instances_that_stop_in_order_desert_no_holder(monkeypatch):
    members = members_module.Members()
    members.take(report("g2", is_leaving=True), source(2), set())
    monkeypatch.setattr(members_module, "_SILENCE_SECONDS", 0.0)
    monkeypatch.setattr(detachment, "MISSING_SECONDS", 0.0)
    members.peers()
    members.forget_missing()
    assert not members.is_deserted("10.0.0.1:1")


def test_new_holder_lists_announced_peers_as_missing():
    # A missing instance may have taken the lease meanwhile, unnoticed.
    members = members_module.Members()
    members.adopt_peers((("10.0.0.1:2", "h"),))
    members.begin()
    assert members.list_missing() == [fanout.Peer("10.0.0.1:2", "h")]
    members.take(report("g2"), source(2), set())
    assert not members.list_missing()


async def load_without_store(system, engine):
    """Requests a model until it is loaded, while the store is unreachable."""
    for number in range(80):
        answer = await test_placement.ask(system, "m2", f"r{number}")
        if answer.status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


@harness.run
async def test_models_are_loaded_while_the_store_is_unreachable(system):
    # Without detached operation nothing is loaded during an outage of the
    # store, and demand that shifts meanwhile is refused until long after it.
    engine = await system.add(
        "e1", "models", ["m1"], test_requests.stream_whole
    )
    other = await system.join("g2")
    await system.until(lambda: system.gateway.leadership.is_valid)
    writes = len(system.store.objects.get("wayslip-claims", {}))
    system.store.faults.is_silent = True
    assert await load_without_store(system, engine)
    assert "m2" in engine.models
    assert len(system.store.objects.get("wayslip-claims", {})) == writes
    # The other instance holds off from the engine for a while.
    assert not other._order_sender.claims.may_claim("e1")
    system.store.faults.is_silent = False
    await system.until(lambda: system.gateway.leadership.is_valid)
    assert not other.leadership.is_held


@harness.run
async def test_holder_yields_when_another_reaches_the_store(system):
    await system.add("e1", "models", ["m1"], test_requests.stream_whole)
    other = await system.join("g2")
    holder = system.gateway
    await system.until(lambda: holder.leadership.is_valid)
    # Only the holder's renewals time out; the other reaches the store.
    holder.leadership._renewal_timeout.expire()
    detached_operation = holder._announcer._detached_operation
    for _ in range(20):
        assert not detached_operation.is_granted
        await asyncio.sleep(0.02)
    assert other.leadership.is_cut_off is False
