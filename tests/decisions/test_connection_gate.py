"""New connections that an instance closes before it reads them."""

import pytest

from wayslip.decisions import connection_gate

USUAL = 40
LAG_SECONDS = 0.3


class Rig:
    """A gate and simulated seconds of connections."""

    def __init__(self, max_connections=0):
        self.now = 100.0
        self.gate = connection_gate.ConnectionGate(max_connections, self.now)

    def run(self, seconds, rate, lag=0.0):
        """Lets connections arrive evenly; returns the share admitted."""
        admitted = count = 0
        steps = round(seconds * 100)
        for step in range(steps):
            self.now += 0.01
            due = round(rate * (step + 1) / 100) - round(rate * step / 100)
            for _ in range(due):
                count += 1
                admitted += self.gate.judge(10, self.now) is None
            if step % 10 == 0:
                late = lag(self.gate) if callable(lag) else lag
                self.gate.note_lag(late, self.now)
        return admitted / max(count, 1)


def test_all_connections_are_admitted_at_the_usual_rate():
    rig = Rig()
    assert rig.run(20.0, USUAL) == 1.0


@pytest.mark.parametrize("rate", [USUAL / 4, USUAL, USUAL * 1.5])
def test_lag_without_a_surge_refuses_nothing(rate):
    # A slow machine is not helped by turning its usual clients away.
    rig = Rig()
    rig.run(20.0, USUAL)
    assert rig.run(10.0, rate, LAG_SECONDS) == 1.0


def test_surge_without_lag_refuses_nothing():
    rig = Rig()
    rig.run(20.0, USUAL)
    assert rig.run(10.0, USUAL * 20) == 1.0


def test_surge_that_the_loop_cannot_bear_is_limited():
    rig = Rig()
    rig.run(20.0, USUAL)
    rig.run(2.0, USUAL * 20, LAG_SECONDS)
    share = rig.run(8.0, USUAL * 20, LAG_SECONDS)
    assert share < 0.2
    assert rig.gate.limit >= USUAL * 0.9


def test_admitted_rate_settles_at_what_the_loop_bears():
    # The loop lags while more than 200 connections a second are admitted.
    rig = Rig()
    rig.run(20.0, USUAL)

    def find_lag(gate):
        limit = 800 if gate.limit is None else gate.limit
        return LAG_SECONDS if limit > 200 else 0.0

    rig.run(3.0, 800, find_lag)
    share = rig.run(10.0, 800, find_lag)
    assert 0.15 <= share <= 0.3


def test_gate_opens_again_after_the_surge():
    rig = Rig()
    rig.run(20.0, USUAL)
    rig.run(5.0, USUAL * 20, LAG_SECONDS)
    rig.run(2.0, USUAL)
    assert rig.gate.limit is None
    assert rig.run(5.0, USUAL) == 1.0


def test_surge_does_not_become_the_usual_rate():
    rig = Rig()
    rig.run(20.0, USUAL)
    rig.run(20.0, USUAL * 20, LAG_SECONDS)
    assert rig.run(2.0, USUAL * 20, LAG_SECONDS) < 0.2


def test_descriptors_limit_open_connections():
    gate = connection_gate.ConnectionGate(100, 0.0)
    assert gate.judge(99, 0.0) is None
    refusal = gate.judge(100, 0.0)
    assert refusal == connection_gate.Refusal("descriptors", 100)


@pytest.mark.parametrize(
    ("descriptors", "expected"), [(0, 0), (4100, 1700), (1638, 469), (500, 64)]
)
def test_limit_of_connections_leaves_room_for_those_to_endpoints(
    descriptors, expected
):
    found = connection_gate.find_max_connections(descriptors)
    assert found == expected
