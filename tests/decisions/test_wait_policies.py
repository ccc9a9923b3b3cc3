"""Replays of the worst load: models that are asked for and nowhere."""

import pytest

from wayslip.decisions import wait_policies


def situation(**fields):
    """A patient kind's request: 6 s to its target, 15 s in all."""
    return wait_policies.Situation(**{"waited": 0.0, "target": 6.0} | fields)


def urgent(**fields):
    return wait_policies.Situation(**{"waited": 0.0, "target": 0.8} | fields)


@pytest.mark.parametrize("name", list(wait_policies.WAIT_POLICIES))
def test_nothing_known_is_waited_for_a_moment_only(name):
    max_wait = wait_policies.WAIT_POLICIES.get(name)
    assert max_wait(situation()) == pytest.approx(1.2)
    assert max_wait(situation(waited=1.3)) < 0
    assert max_wait(urgent()) == pytest.approx(0.16)


@pytest.mark.parametrize("name", list(wait_policies.WAIT_POLICIES))
def test_adapter_alone_is_worth_waiting_for(name):
    max_wait = wait_policies.WAIT_POLICIES.get(name)
    assert max_wait(urgent(lacks_adapter_only=True)) == pytest.approx(0.48)


def test_model_that_is_there_in_time_is_waited_for():
    max_wait = wait_policies.WAIT_POLICIES.get("target")
    assert max_wait(situation(expected=3.5)) == pytest.approx(3.6)
    assert max_wait(situation(expected=3.7)) == pytest.approx(1.2)
