"""Stateful fuzzing of the ledger against the memory of the engine."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.stateful import ledger_world
from wayslip.decisions import ledger

CONTROL_NUMBERS = st.integers(0, 2)
ITEMS = st.sampled_from(sorted(ledger_world.SIZES))
INDEX = st.integers(0, 9)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Runs the steps of `LedgerWorld` as rules and checks its invariants."""

    @stateful.initialize(checks_fence=st.booleans())
    def start(self, checks_fence):
        self.world = ledger_world.LedgerWorld(checks_fence)
        self.world.observe(0)

    @stateful.rule(
        number=CONTROL_NUMBERS,
        action=st.sampled_from(list(ledger.Action)),
        item=ITEMS,
        staleness=st.integers(0, 2),
        is_lost=st.booleans(),
    )
    def begin(self, number, action, item, staleness, is_lost):
        control = self.world.controls[number]
        self.world.begin(control, action, item, staleness, is_lost)

    @stateful.rule(number=CONTROL_NUMBERS)
    def send(self, number):
        self.world.send(self.world.controls[number])

    @stateful.rule(number=CONTROL_NUMBERS)
    def look_again(self, number):
        self.world.confirm_writes(self.world.controls[number])

    @stateful.rule(number=CONTROL_NUMBERS)
    def withdraw(self, number):
        self.world.withdraw(self.world.controls[number])

    @stateful.rule(index=INDEX, is_lost=st.booleans())
    def deliver(self, index, is_lost):
        self.world.deliver(index, is_lost)

    @stateful.rule(index=INDEX)
    def drop(self, index):
        self.world.drop(index)

    @stateful.rule(index=INDEX)
    def receive(self, index):
        self.world.receive(index)

    @stateful.rule(index=INDEX)
    def observe(self, index):
        self.world.observe(index)

    @stateful.rule(number=CONTROL_NUMBERS)
    def time_out(self, number):
        self.world.time_out(self.world.controls[number])

    @stateful.rule(number=CONTROL_NUMBERS)
    def crash(self, number):
        self.world.crash(self.world.controls[number])

    @stateful.rule()
    def restart_engine(self):
        self.world.restart_engine()

    @stateful.rule(seconds=st.floats(0, 20))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.invariant()
    def memory_fits_and_is_charged(self):
        if hasattr(self, "world"):
            self.world.check()


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)


@pytest.mark.parametrize("checks_fence", [True, False])
def test_random_walk(checks_fence):
    rng = random.Random(7)
    world = ledger_world.LedgerWorld(checks_fence)
    world.observe(0)
    for _ in range(20_000):
        world.step(rng)
    assert world.loads > 100
