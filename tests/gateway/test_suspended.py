"""A machine that was suspended for seconds, and goes on as if it had not been.

The steady clock of a process stands still meanwhile, and a bounded time that is
measured on it seems not to be over. A holder of the lease would go on ordering
beside its successor, a key that was taken away would go on to let callers in,
and connections that their engine has closed would be used. Found by reading:
some 190 places took the steady clock, none the one that runs on while the
machine is suspended. These tests move that one alone.
"""

import asyncio
import time
from unittest import mock

import pytest

from tests.gateway import harness
from wayslip import clock
from wayslip.decisions import detachment
from wayslip.decisions import fleet
from wayslip.decisions import organisations
from wayslip.decisions import quota
from wayslip.gateway import configuration
from wayslip.gateway import confirmations
from wayslip.gateway import limits
from wayslip.gateway import options as options_module
from wayslip.gateway import staleness
from wayslip.gateway import view as view_module
from wayslip.http1 import client
from wayslip.http1 import pool

real_clock = time.clock_gettime


def suspend(seconds):
    """Returns what lets the machine have been suspended for so long."""

    def read(clock):
        passed = seconds if clock == time.CLOCK_BOOTTIME else 0.0
        return real_clock(clock) + passed

    return mock.patch.object(time, "clock_gettime", read)


@harness.run
async def test_lease_has_run_out(system):
    await system.until(lambda: system.gateway.leadership.is_valid)
    with suspend(5.0):
        assert not system.gateway.leadership.is_valid


@harness.run
async def test_holders_word_of_the_store_is_old(system):
    seen = staleness.Staleness(1.3, lambda: False)
    seen.note_announcement(0.1, True)
    assert seen.is_fresh
    with suspend(5.0):
        assert not seen.is_fresh


@harness.run
async def test_configuration_is_not_confirmed_any_more(system):
    bounds = options_module.Bounds(revocation=5.0)
    options = options_module.Options(
        "g", "127.0.0.1", "h", "", "", "", "127.0.0.1:1", 0, bounds
    )
    holder = configuration.Holder()
    holder.offer(system.gateway.holder.manifest)
    known = confirmations.Confirmations(
        options, holder, None, lambda: None, list, None, None
    )
    known.note_read(clock.now())
    assert known.is_reliable
    with suspend(6.0):
        assert not known.is_reliable


@harness.run
async def test_word_of_an_order_is_over(system):
    view = view_module.EndpointView("hall-1")
    endpoint = fleet.Endpoint("e1", "models", "127.0.0.1:1", "hall-1")
    view.take(endpoint)
    view.tell("e1", "m1", "", True)
    assert view.holds(endpoint, "m1", "")
    with suspend(10.0):
        assert not view.holds(endpoint, "m1", "")


@harness.run
async def test_holder_without_the_store_goes_on_no_longer(system):
    detached_operation = (
        system.gateway._order_sender.claims.is_detached.__closure__[0]
    )
    detached_operation = detached_operation.cell_contents
    leadership = system.gateway.leadership
    await system.until(lambda: leadership.is_valid)
    word = detachment.PeerStatus(
        detachment.read_stamp(detachment.make_stamp(clock.now() + 1.0)),
        True,
    )
    members = detached_operation._members
    with (
        mock.patch.object(type(leadership), "is_renewal_overdue", True),
        mock.patch.object(members, "list_statuses", lambda term, own: [word]),
        mock.patch.object(members, "list_missing", list),
    ):
        assert detached_operation.is_granted
        with suspend(5.0):
            assert not detached_operation.is_granted


@harness.run
async def test_part_of_a_quota_is_not_taken_for_full_at_an_old_word(system):
    holder = configuration.Holder()
    limiter = limits.Limiter(holder, quota.Allowance())
    organisation = organisations.Organisation(
        "org", quota=organisations.Quota(rate=10.0, burst=100.0)
    )
    for _ in range(10):
        limiter.admit(organisation, 10.0)
    assert limiter.admit(organisation, 10.0) is not None
    with suspend(20.0):
        # Its time has gone on, so that it has a part again.
        assert limiter.admit(organisation, 1.0) is None


@harness.run
async def test_idle_connection_is_used_no_more(system):
    engine = await system.add("e1", "plain")
    host, _, port = (await engine.start()).rpartition(":")
    connections = pool.Pool(0.4)
    connection = await client.connect((host, int(port)), 0.4)
    connections.give_back("e1", connection, b"timeout=10")
    assert connections.has_idle("e1")
    with suspend(30.0):
        assert not connections.has_idle("e1")


@harness.run
async def test_timers_of_the_event_loop_count_the_time(system):
    del system
    loop = asyncio.get_running_loop()
    before = loop.time()
    with suspend(5.0):
        assert loop.time() - before == pytest.approx(5.0, abs=1.0)


@harness.run
async def test_suspension_is_counted(system):
    metrics = system.gateway.metrics
    with suspend(5.0):
        await system.until(lambda: metrics.value("suspensions") == 1)
