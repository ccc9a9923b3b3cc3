"""Simulates an engine, its ledger in a store, and control processes that fail.

The oracle is the memory of the simulated engine; it does not depend on the
charges. Orders in transit arrive at any time, in any order, or never. A control
process may crash between any two of its steps.
"""

import dataclasses
import random

from wayslip import refusals
from wayslip.decisions import ledger

CAPACITY_UNITS = 100
SIZES = {"a": 30, "b": 40, "c": 50, "d": 25, "e": 60}
QUARANTINE_SECONDS = 10.0
# Without fences the quarantine covers the longest transit time of an order and
# the greatest age of a report; each gets half of it.
ORDER_SECONDS = 5.0
REPORT_SECONDS = 5.0
_MAX_SNAPSHOTS = 40


@dataclasses.dataclass
class Control:
    """Soft state of a control process; a crash starts a new incarnation."""

    name: str
    incarnation: int = 0
    # Attempts that are written but not sent yet.
    unsent: list = dataclasses.field(default_factory=list)
    # Attempts whose write was not answered.
    unconfirmed: list = dataclasses.field(default_factory=list)
    waiting: list = dataclasses.field(default_factory=list)

    @property
    def sender(self):
        return f"{self.name}#{self.incarnation}"


class LedgerWorld:
    """Simulated state; every method is a step that may happen at any time."""

    def __init__(self, checks_fence, controls=3):
        self.checks_fence = checks_fence
        self.stored = ledger.Ledger("e", CAPACITY_UNITS, checks_fence)
        self.version = 0
        self.versions = [(0, self.stored)]
        self.boot = 1
        self.fence = 0
        self.memory = {}
        self.snapshots = []
        self.in_transit = []
        self.answers = []
        self.now = 0.0
        self.serial = 0
        self.controls = [Control(f"c{n}") for n in range(controls)]
        self.steps = 0
        self.loads = 0
        self._take_snapshot()

    # The store

    def _write(self, version, value, is_lost=False):
        """Makes a conditional update.

        Returns:
            True if written, False on a conflict, None if the answer is lost.
        """
        if version != self.version:
            return False
        if value != self.stored:
            self.version += 1
            self.stored = value
            self.versions.append((self.version, value))
            del self.versions[:-5]
        return None if is_lost else True

    def _change(self, step):
        value = step(self.stored)
        if not isinstance(value, refusals.Refusal):
            self._write(self.version, value)

    # The engine

    def _take_snapshot(self):
        residency = ledger.Residency(
            self.boot, self.fence, frozenset(), frozenset(self.memory)
        )
        self.snapshots.append((self.now, residency))
        del self.snapshots[:-_MAX_SNAPSHOTS]
        return residency

    def _apply(self, attempt):
        if self.checks_fence:
            if attempt.boot != self.boot or attempt.fence <= self.fence:
                return ledger.Outcome.REFUSED
            self.fence = attempt.fence
        if attempt.action is ledger.Action.LOAD:
            self.loads += attempt.item not in self.memory
            self.memory[attempt.item] = SIZES[attempt.item]
        elif attempt.action is ledger.Action.UNLOAD:
            self.memory.pop(attempt.item, None)
        return ledger.Outcome.APPLIED

    def restart_engine(self):
        self.boot += 1
        self.fence = 0
        self.memory = {}
        self._take_snapshot()

    # Controls

    def begin(self, control, action, item, staleness, is_lost):
        """Writes an attempt; the read may be stale, the answer lost."""
        version, known = self.versions[-1 - staleness % len(self.versions)]
        self.serial += 1
        attempt_id = f"x{self.serial}"
        if action is ledger.Action.LOAD:
            wanted = known.begin_load(
                item, SIZES[item], attempt_id, control.sender
            )
        elif action is ledger.Action.UNLOAD:
            wanted = known.begin_unload(item, attempt_id, control.sender)
        elif self.checks_fence:
            wanted = known.begin_fence(attempt_id, control.sender)
        else:
            return
        if isinstance(wanted, refusals.Refusal):
            return
        written = self._write(version, wanted, is_lost)
        if written is None:
            control.unconfirmed.append(attempt_id)
        elif written:
            control.unsent.append(self.stored.find_attempt(attempt_id))

    def confirm_writes(self, control):
        """Checks whether writes that were not answered took effect."""
        for attempt_id in control.unconfirmed:
            if self.stored.find_attempt(attempt_id) is not None:
                control.unsent.append(self.stored.find_attempt(attempt_id))
        control.unconfirmed.clear()

    def send(self, control):
        """Sends the oldest unsent attempt, any time after it was written."""
        if not control.unsent:
            return
        attempt = control.unsent.pop(0)
        self.in_transit.append(attempt)
        control.waiting.append(attempt.id)

    def withdraw(self, control):
        if control.unsent:
            attempt = control.unsent.pop(0)
            self._change(lambda old: old.withdraw(attempt.id))

    def deliver(self, index, is_answer_lost):
        if not self.in_transit:
            return
        attempt = self.in_transit.pop(index % len(self.in_transit))
        outcome = self._apply(attempt)
        residency = self._take_snapshot()
        if not is_answer_lost:
            self.answers.append((attempt, outcome, residency))

    def drop(self, index):
        if self.in_transit:
            self.in_transit.pop(index % len(self.in_transit))

    def receive(self, index):
        """Delivers an answer if its sender still waits for it."""
        if not self.answers:
            return
        attempt, outcome, residency = self.answers.pop(
            index % len(self.answers)
        )
        waits = any(attempt.id in c.waiting for c in self.controls)
        if waits:
            self._change(lambda old: old.settle(attempt.id, outcome, residency))
            for control in self.controls:
                if attempt.id in control.waiting:
                    control.waiting.remove(attempt.id)

    def time_out(self, control):
        """Makes a control process stop waiting for its oldest answer."""
        if control.waiting:
            attempt_id = control.waiting.pop(0)
            now = self.now
            self._change(lambda old: old.give_up(attempt_id, now))

    def crash(self, control):
        """Crashes a control process; another one gives up its attempts."""
        sender, now = control.sender, self.now
        control.incarnation += 1
        control.unsent.clear()
        control.unconfirmed.clear()
        control.waiting.clear()
        self._change(lambda old: old.give_up_sender(sender, now))

    def observe(self, index):
        """Applies a report; a higher index gives an older one."""
        taken, residency = self.snapshots[-1 - index % len(self.snapshots)]
        if not self.checks_fence and self.now - taken > REPORT_SECONDS:
            residency = self._take_snapshot()
        now = self.now
        self._change(
            lambda old: old.observe(residency, now, QUARANTINE_SECONDS)
        )

    def advance(self, seconds):
        """Advances the clock.

        Without fences, drops orders that the sender gave up more than
        `ORDER_SECONDS` ago: transit time is limited.
        """
        self.now += seconds
        given_up = {
            a.id
            for a in self.stored.attempts
            if a.given_up and self.now - a.given_up > ORDER_SECONDS
        }
        if not self.checks_fence:
            self.in_transit = [
                a for a in self.in_transit if a.id not in given_up
            ]

    # Invariants

    def check(self):
        """Fails if memory is overcommitted or a loaded item is not charged."""
        used = sum(self.memory.values())
        assert used <= CAPACITY_UNITS, f"overcommitted: {self.memory}"
        charged = {c.item for c in self.stored.charges}
        assert self.memory.keys() <= charged, "memory is not charged"

    def step(self, rng: random.Random):
        """Makes one random step and checks the invariants."""
        control = rng.choice(self.controls)
        item = rng.choice(list(SIZES))
        match rng.randrange(16):
            case 0 | 1:
                # Mostly loads of absent items and unloads of loaded
                # ones, so that memory is in use.
                likely = ledger.Action.LOAD
                if item in self.memory:
                    likely = ledger.Action.UNLOAD
                actions = (likely,) * 3 + tuple(ledger.Action)
                self.begin(
                    control,
                    rng.choice(actions),
                    item,
                    rng.choice((0, 0, 0, 1, 2)),
                    rng.random() < 0.1,
                )
            case 2 | 3 | 4:
                self.send(control)
            case 5 | 6 | 7:
                self.deliver(rng.randrange(99), rng.random() < 0.2)
            case 8:
                if rng.random() < 0.3:
                    self.drop(rng.randrange(99))
            case 9 | 10:
                self.receive(rng.randrange(99))
            case 11:
                self.observe(rng.choice((0, 0, 0, 1, 2, 5, 20)))
            case 12:
                if rng.random() < 0.3:
                    self.time_out(control)
            case 13:
                self.confirm_writes(control)
                if rng.random() < 0.1:
                    self.withdraw(control)
            case 14:
                self.advance(rng.random() * 5)
                if rng.random() < 0.3:
                    self.observe(0)
            case 15:
                if rng.random() < 0.1:
                    self.crash(control)
                elif rng.random() < 0.1:
                    self.restart_engine()
        self.steps += 1
        self.check()
