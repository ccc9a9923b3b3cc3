"""Orders of two instances to an engine are `DISTANCE_SECONDS` apart.

This holds with and without the store. Simulates instances, a store and one
engine with the real decisions and a minimal environment: messages are lost, the
store is unreachable for all or some instances, and instances are isolated,
freeze and restart. One case is excluded by design: an instance that reaches the
store but no other instance, while the store answers no other instance.
"""

import random

import pytest

from wayslip.decisions import detachment
from wayslip.decisions import lease

STEP_SECONDS = 0.05
ANNOUNCE_SECONDS = 0.25
DISTANCE_SECONDS = 3.0
DURATION_SECONDS = 60.0
INSTANCE_COUNT = 4
HOLD_BACK_SECONDS = (
    detachment.HOLD_OFF_SECONDS + DISTANCE_SECONDS + lease.TRANSIT_SECONDS
)


class Store:
    """The lease's term and holder, and the claim on the engine."""

    def __init__(self):
        self.revision = 1
        self.term = 0
        self.holder = None
        self.claim = (None, 0)

    def take(self, name):
        self.revision += 1
        self.term += 1
        self.holder = name


class Instance:
    def __init__(self, name, now):
        self.name = name
        self.frozen_until = 0.0
        self.begin(now)

    def begin(self, now):
        """Starts the process with empty state."""
        self.term = 0
        self.last_contact = now
        self.yielded = 0
        self.echo = (0, 0.0)
        self.is_disconnected = True
        self.held_back_until = 0.0
        # The state of the previous process is lost. At time 0 there was none,
        # so there is nothing to hold back for.
        self.started_until = now + HOLD_BACK_SECONDS if now else 0.0
        self.claim = (None, 0, now)
        self.held = 0
        self.valid_until = 0.0
        self.renewal_overdue = False
        self.peer_statuses = {}
        self.missing = {}
        self.state = detachment.NONE

    def apply_state(self, term, sent, holds, detached, now):
        if term < self.term:
            return
        if self.held and term > self.held:
            self.held = 0
        if self.held:
            return
        self.term = term
        self.last_contact = now
        self.echo = (term, sent)
        if not holds:
            self.yielded = term
        if detached:
            self.yielded = 0
            self.held_back_until = now + HOLD_BACK_SECONDS

    def apply_report(self, name, echo, is_disconnected, now):
        self.missing.pop(name, None)
        echoed = echo[1] if echo[0] == self.held else float("-inf")
        self.peer_statuses[name] = (
            now,
            detachment.PeerStatus(echoed, is_disconnected),
        )

    def judge(self, now):
        for name, (last_contact, _) in list(self.peer_statuses.items()):
            if now - last_contact > 2.0:
                del self.peer_statuses[name]
                self.missing[name] = now
        if self.held and not self.renewal_overdue:
            self.missing = {
                n: at
                for n, at in self.missing.items()
                if now - at <= detachment.MISSING_SECONDS
            }
        if not self.held or not self.renewal_overdue:
            self.state = detachment.NONE
            return
        peer_statuses = [status for _, status in self.peer_statuses.values()]
        self.state = self.state.judge(peer_statuses, bool(self.missing), now)


class World:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.instances = [Instance(n, 0.0) for n in range(INSTANCE_COUNT)]
        self.refused_by_store = set()
        self.isolated = set()
        self.orders = []
        self.detached_orders = 0

    # Network

    def reaches_store(self, one):
        return one.name not in self.refused_by_store | self.isolated

    def reaches(self, one, other):
        if {one.name, other.name} & self.isolated:
            return False
        return self.rng.random() > 0.05

    # Faults

    def inject_faults(self):
        draw = self.rng.random()
        names = range(INSTANCE_COUNT)
        if draw < 0.006:
            self.refused_by_store = set(names)
        elif draw < 0.009:
            self.refused_by_store = set(self.rng.sample(names, 2))
        elif draw < 0.014:
            self.refused_by_store = set()
        elif draw < 0.016:
            self.isolated = {self.rng.randrange(INSTANCE_COUNT)}
        elif draw < 0.022:
            self.isolated = set()
        elif draw < 0.024:
            self.rng.choice(self.instances).begin(self.now)
        elif draw < 0.026:
            one = self.rng.choice(self.instances)
            one.frozen_until = self.now + self.rng.uniform(0.5, 4.0)

    # Instances

    def run(self):
        while self.now < DURATION_SECONDS:
            self.inject_faults()
            running = [i for i in self.instances if i.frozen_until <= self.now]
            for one in running:
                self.check_lease(one)
                one.judge(self.now)
                self.order(one)
            if (
                round(self.now / STEP_SECONDS)
                % round(ANNOUNCE_SECONDS / STEP_SECONDS)
                == 0
            ):
                for one in running:
                    self.announce(one, running)
            self.now += STEP_SECONDS

    def check_lease(self, one):
        if one.held:
            self.renew(one)
            return
        if not self.reaches_store(one):
            one.is_disconnected = True
            return
        is_unresponsive = self.now - one.last_contact >= lease.EXPIRY_SECONDS
        if not (one.is_disconnected or is_unresponsive or one.yielded):
            return
        one.is_disconnected = False
        if self.store.term > one.term:
            one.term = self.store.term
            one.last_contact = self.now
            return
        if one.yielded == self.store.term or is_unresponsive:
            if self.store.holder in (None, one.name):
                one.started_until = 0.0
            self.store.take(one.name)
            one.term = one.held = self.store.term
            one.valid_until = self.now + lease.HOLD_SECONDS
            one.peer_statuses, one.missing = {}, {}
            one.missing = {
                i.name: self.now for i in self.instances if i is not one
            }
            self.read_claim(one)

    def renew(self, one):
        if self.reaches_store(one):
            if self.store.holder != one.name or self.store.term != one.held:
                one.held = 0
                return
            one.valid_until = self.now + lease.HOLD_SECONDS
            one.renewal_overdue = False
        elif self.now > one.valid_until - lease.HOLD_SECONDS + 0.6:
            one.renewal_overdue = True

    def read_claim(self, one):
        holder, revision = self.store.claim
        since = one.claim[2] if one.claim[1] == revision else self.now
        one.claim = (holder, revision, since)

    def order(self, one):
        if not one.held or self.rng.random() > 0.3:
            return
        holder, revision, since = one.claim
        seen = None
        if holder is not None:
            claim = lease.Claim("e", str(holder), 1)
            seen = lease.ObservedClaim(claim, revision, since)
        if self.now < max(one.held_back_until, one.started_until):
            return
        if not lease.may_claim(seen, str(one.name), DISTANCE_SECONDS, self.now):
            return
        if one.state.is_granted:
            self.detached_orders += 1
            self.orders.append((self.now, one.name))
            return
        if one.renewal_overdue or not self.reaches_store(one):
            return
        if self.store.claim[1] != revision:
            self.read_claim(one)
            return
        self.store.revision += 1
        self.store.claim = (one.name, self.store.revision)
        self.read_claim(one)
        self.orders.append((self.now, one.name))

    def announce(self, one, running):
        for other in running:
            if other is one or not self.reaches(one, other):
                continue
            if one.held:
                detached = one.state.proposed_at is not None
                holds = detached or not one.renewal_overdue
                other.apply_state(one.held, self.now, holds, detached, self.now)
            elif other.held == one.term:
                other.apply_report(
                    one.name, one.echo, one.is_disconnected, self.now
                )


def find_violations(orders):
    return [
        (first, second)
        for first, second in zip(orders, orders[1:], strict=False)
        if first[1] != second[1] and second[0] - first[0] < DISTANCE_SECONDS
    ]


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_holders_keep_their_distance(first):
    detached = 0
    for seed in range(first, first + 50):
        world = World(seed)
        world.run()
        assert not find_violations(world.orders), seed
        detached += world.detached_orders
    # Ensures that detached operation was exercised.
    assert detached > 100


@pytest.mark.parametrize("seed", [1388, 3879])
def test_restarted_instance_holds_back_too(seed):
    # An instance must not order an engine at once after a restart because the
    # claim is its own: another holder may have ordered the engine without
    # claims in detached operation, which only the earlier process knew.
    # In seed 1388 instance 1 writes the claim, instance 3 then orders the
    # engine without the store and freezes, and instance 1 restarts, takes the
    # lease and orders within the distance.
    world = World(seed)
    world.run()
    assert world.detached_orders
    assert not find_violations(world.orders)


def test_distance_is_violated_without_holding_back(monkeypatch):
    # Shows that the simulations reach the case that requires holding back.
    monkeypatch.setattr(f"{__name__}.HOLD_BACK_SECONDS", 0.0)
    for seed in range(200):
        world = World(seed)
        world.run()
        if find_violations(world.orders):
            return
    pytest.fail("no seed violates the distance without holding back")
