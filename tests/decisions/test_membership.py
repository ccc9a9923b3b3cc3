"""Membership: failures are detected, live members stay, partitions heal."""

import pytest

from bench import slopes
from wayslip.decisions import membership

SIZE = 12


def live_counts(fleet):
    return {len(n.live()) for n in fleet.nodes.values()}


def run_until(fleet, condition, seconds):
    """Advances the simulated time until a condition holds."""
    limit = fleet.now + seconds
    while not condition():
        assert fleet.now < limit, "condition not met in time"
        fleet.tick()


def test_no_member_is_removed_while_all_answer():
    fleet = slopes.Fleet(SIZE)
    for _ in range(600):
        fleet.tick()
        assert live_counts(fleet) == {SIZE}


def test_unresponsive_member_is_removed_by_all():
    fleet = slopes.Fleet(SIZE)
    fleet.nodes.pop("10.0.0.3:7000")
    run_until(fleet, lambda: live_counts(fleet) == {SIZE - 1}, 15)


def test_live_suspect_refutes_the_suspicion():
    fleet = slopes.Fleet(SIZE)
    suspected = fleet.nodes["10.0.0.3:7000"]
    reporter = fleet.nodes["10.0.0.4:7000"]
    reporter._suspect(suspected.me.name, fleet.now)
    for _ in range(100):
        fleet.tick()
    assert live_counts(fleet) == {SIZE}
    assert suspected.me.incarnation > suspected.me.boot


def test_restarted_process_replaces_the_old_one():
    fleet = slopes.Fleet(SIZE)
    address = "10.0.0.3:7000"
    old = fleet.nodes[address]
    fresh = membership.Member(
        old.me.name, membership.Role.ENTRY, address, "hall", 900, 900
    )
    any_address = "10.0.0.4:7000"
    fleet.nodes[any_address].merge(fresh, fleet.now)
    fleet.nodes[address].me = fresh
    run_until(
        fleet,
        lambda: all(
            n.get(fresh.name).boot == 900
            for a, n in fleet.nodes.items()
            if a != address
        ),
        15,
    )


@pytest.mark.parametrize("seconds", [20, 3600])
def test_members_rejoin_after_a_partition(seconds):
    fleet = slopes.Fleet(SIZE, seeds=3)
    fleet.parted = {f"10.0.0.{n}:7000" for n in range(2, 7)}
    run_until(fleet, lambda: live_counts(fleet) <= {5, 7}, 30)
    fleet.tick(seconds)
    for _ in range(700):
        fleet.tick()
    assert live_counts(fleet) == {5, 7}
    fleet.parted = set()
    run_until(fleet, lambda: live_counts(fleet) == {SIZE}, 60)
