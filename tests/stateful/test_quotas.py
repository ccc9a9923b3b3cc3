"""Quotas over all instances: not exceeded, and no refusals within them."""

import pytest

from tests.stateful import quota_world

RATES = {"large": 72_000.0, "other": 30_000.0, "small": 4_200.0}
USUAL_RATES = {name: rate / 1.8 for name, rate in RATES.items()}


def run_overload(world, name="large", factor=7.5):
    overload = {**USUAL_RATES, name: USUAL_RATES[name] * factor}
    world.run(4.0, USUAL_RATES)
    world.run(11.0, overload)
    world.run(4.0, USUAL_RATES)


def check(world):
    for name in RATES:
        assert world.find_excess(name) <= 0, name


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("count", [6, 90, 300])
def test_organisation_far_beyond_its_quota_is_held_to_it(seed, count):
    world = quota_world.QuotaWorld(seed, count, RATES)
    run_overload(world)
    check(world)
    # The other organisations are not affected.
    assert world.find_wrongly_refused("other") < 0.01
    assert world.find_wrongly_refused("small") < 0.01


@pytest.mark.parametrize("seed", range(3))
def test_usual_demand_is_never_refused(seed):
    world = quota_world.QuotaWorld(seed, 90, RATES)
    world.run(20.0, USUAL_RATES)
    for name in RATES:
        assert world.find_wrongly_refused(name) < 0.005, name


@pytest.mark.parametrize("seed", range(3))
def test_quota_holds_while_a_third_is_isolated(seed):
    world = quota_world.QuotaWorld(seed, 90, RATES)
    overload = {**USUAL_RATES, "large": USUAL_RATES["large"] * 6}
    world.run(4.0, USUAL_RATES)
    world.run(2.0, overload)
    # Keys expire after about this time at an instance that is isolated.
    world.run(3.9, overload, isolated=range(30, 60))
    world.run(6.0, overload)
    check(world)


@pytest.mark.parametrize("seed", range(3))
def test_quota_holds_after_every_instance_was_killed(seed):
    # All processes restart within 1 s while an organisation sends 4.8 times its
    # usual demand. If each instance without a known holder granted an eighth of
    # the burst and of the rate, the quota would be exceeded, since the clients
    # of an organisation use more than eight instances.
    world = quota_world.QuotaWorld(seed, 90, RATES)
    overload = {**USUAL_RATES, "large": USUAL_RATES["large"] * 4.8}
    world.run(4.0, USUAL_RATES)
    world.run(4.0, overload)
    world.kill_all()
    world.run(1.0, {})
    world.run(1.5, overload)
    world.transfer_lease(1)
    world.run(6.0, overload)
    check(world)


@pytest.mark.parametrize("seed", range(3))
def test_quota_holds_while_holders_change_and_instances_start_again(seed):
    world = quota_world.QuotaWorld(seed, 90, RATES)
    overload = {**USUAL_RATES, "large": USUAL_RATES["large"] * 6}
    world.run(4.0, USUAL_RATES)
    for number in range(1, 5):
        world.run(2.0, overload)
        world.transfer_lease(number)
        world.restart(world.assigned_instances["large"][number])
        world.run(0.5, overload)
    check(world)
