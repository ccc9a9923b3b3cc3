import pytest

from wayslip import errors
from wayslip import refusals
from wayslip.decisions import ledger


def make_ledger(**kwargs):
    values = {"capacity": 100, "checks_fence": True, "boot": 5}
    return ledger.Ledger("e1", **{**values, **kwargs})


def residency(resident=(), loading=(), fence=0, boot=5):
    return ledger.Residency(
        boot, fence, frozenset(loading), frozenset(resident)
    )


def test_load_is_charged_before_its_order_is_sent():
    begun = make_ledger().begin_load("a", 60, "x1", "me")
    assert begun.charged == 60
    assert begun.attempts[0].fence == 1


def test_load_that_does_not_fit_is_refused():
    begun = make_ledger().begin_load("a", 60, "x1", "me")
    refusal = begun.begin_load("b", 50, "x2", "me")
    assert refusal.reason is refusals.Reason.NO_MEMORY


def test_lost_order_stays_charged_until_a_newer_fence_is_seen():
    begun = make_ledger().begin_load("a", 60, "x1", "me").give_up("x1", 1.0)
    old = begun.observe(residency(fence=0), 1000.0, 10.0)
    assert old.charged == 60
    fenced = old.begin_fence("x2", "me")
    settled = fenced.observe(residency(fence=2), 1000.0, 10.0)
    assert settled.charged == 0
    assert settled.attempts == ()


def test_unfenced_order_stays_charged_while_its_sender_may_send():
    begun = make_ledger(checks_fence=False).begin_load("a", 60, "x1", "me")
    seen = begun.observe(residency(), 1e9, 10.0)
    assert seen.charged == 60
    refusal = seen.begin_load("a", 60, "x2", "other")
    assert refusal.reason is refusals.Reason.ORDER_PENDING


def test_unfenced_order_is_settled_after_quarantine_of_its_sender():
    begun = make_ledger(checks_fence=False).begin_load("a", 60, "x1", "me")
    gone = begun.give_up_sender("me", 100.0)
    assert gone.observe(residency(), 105.0, 10.0).charged == 60
    assert gone.observe(residency(), 111.0, 10.0).charged == 0


def test_restart_of_an_engine_frees_what_it_held():
    held = make_ledger().begin_load("a", 60, "x1", "me")
    held = held.settle("x1", ledger.Outcome.APPLIED, residency(["a"], fence=1))
    assert held.get("a").phase is ledger.Phase.RESIDENT
    assert held.observe(residency(boot=9), 0.0, 10.0).charged == 0


def test_old_report_changes_nothing():
    held = make_ledger().begin_load("a", 60, "x1", "me")
    held = held.settle("x1", ledger.Outcome.APPLIED, residency(["a"], fence=1))
    assert held.observe(residency(fence=0), 0.0, 10.0) == held
    assert held.observe(residency(boot=4), 0.0, 10.0) == held


def test_unload_is_refused_while_a_load_is_pending():
    begun = make_ledger().begin_load("a", 60, "x1", "me")
    refusal = begun.begin_unload("a", "x2", "me")
    assert refusal.reason is refusals.Reason.ORDER_PENDING


def test_withdrawn_load_frees_its_memory():
    begun = make_ledger().begin_load("a", 60, "x1", "me")
    assert begun.withdraw("x1").charged == 0


def test_control_with_an_old_configuration_may_not_order():
    followed = make_ledger().follow(7)
    assert followed.follow(6).reason is refusals.Reason.WORLD_CHANGED


def test_overcommit_is_asserted():
    charges = (ledger.Charge("a", 101, ledger.Phase.RESIDENT),)
    with pytest.raises(errors.InvariantError):
        ledger.check_fits(make_ledger(charges=charges))
