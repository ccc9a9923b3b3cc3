"""Two instances never order an engine within the distance, store or not.

Instances, a store and one engine in simulated time. Messages are lost, the
store is away for all or turns some away, instances are cut off, freeze and
restart, in series and together. The decisions are the real ones; what stands
around them is kept as small as it can be. One case is left out, as the design
says: an instance that reaches the store and no other instance while the store
answers nobody else.
"""

import random

import pytest

from wayslip.decisions import detachment
from wayslip.decisions import lease

STEP = 0.05
TELL = 0.25
DISTANCE = 3.0
SECONDS = 60.0
COUNT = 4
KEEP_AWAY = detachment.HOLD_OFF_SECONDS + DISTANCE + lease.TRANSIT_SECONDS


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
        """Starts the process, which knows nothing."""
        self.term = 0
        self.heard = now
        self.yielded = 0
        self.echo = (0, 0.0)
        self.cut_off = True
        self.away_until = 0.0
        # What the process before knew of it is lost; the first of all follows
        # on nobody.
        self.started_until = now + KEEP_AWAY if now else 0.0
        self.claim = (None, 0, now)
        self.held = 0
        self.valid_until = 0.0
        self.doubtful = False
        self.words = {}
        self.missing = {}
        self.state = detachment.NONE

    def take_state(self, term, sent, holds, detached, now):
        if term < self.term:
            return
        if self.held and term > self.held:
            self.held = 0
        if self.held:
            return
        self.term = term
        self.heard = now
        self.echo = (term, sent)
        if not holds:
            self.yielded = term
        if detached:
            self.yielded = 0
            self.away_until = now + KEEP_AWAY

    def take_report(self, name, echo, cut_off, now):
        self.missing.pop(name, None)
        echoed = echo[1] if echo[0] == self.held else float("-inf")
        self.words[name] = (now, detachment.PeerStatus(echoed, cut_off))

    def judge(self, now):
        for name, (heard, _) in list(self.words.items()):
            if now - heard > 2.0:
                del self.words[name]
                self.missing[name] = now
        if self.held and not self.doubtful:
            self.missing = {
                n: at
                for n, at in self.missing.items()
                if now - at <= detachment.MISSING_SECONDS
            }
        if not self.held or not self.doubtful:
            self.state = detachment.NONE
            return
        words = [word for _, word in self.words.values()]
        self.state = self.state.judge(words, bool(self.missing), now)


class World:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.instances = [Instance(n, 0.0) for n in range(COUNT)]
        self.turned_away = set()
        self.isolated = set()
        self.orders = []
        self.detached_orders = 0

    # What reaches whom

    def reaches_store(self, one):
        return one.name not in self.turned_away | self.isolated

    def reaches(self, one, other):
        if {one.name, other.name} & self.isolated:
            return False
        return self.rng.random() > 0.05

    # Faults

    def disturb(self):
        draw = self.rng.random()
        names = range(COUNT)
        if draw < 0.006:
            self.turned_away = set(names)
        elif draw < 0.009:
            self.turned_away = set(self.rng.sample(names, 2))
        elif draw < 0.014:
            self.turned_away = set()
        elif draw < 0.016:
            self.isolated = {self.rng.randrange(COUNT)}
        elif draw < 0.022:
            self.isolated = set()
        elif draw < 0.024:
            self.rng.choice(self.instances).begin(self.now)
        elif draw < 0.026:
            one = self.rng.choice(self.instances)
            one.frozen_until = self.now + self.rng.uniform(0.5, 4.0)

    # What instances do

    def run(self):
        while self.now < SECONDS:
            self.disturb()
            running = [i for i in self.instances if i.frozen_until <= self.now]
            for one in running:
                self.look(one)
                one.judge(self.now)
                self.order(one)
            if round(self.now / STEP) % round(TELL / STEP) == 0:
                for one in running:
                    self.tell(one, running)
            self.now += STEP

    def look(self, one):
        if one.held:
            self.renew(one)
            return
        if not self.reaches_store(one):
            one.cut_off = True
            return
        is_silent = self.now - one.heard >= lease.EXPIRY_SECONDS
        if not (one.cut_off or is_silent or one.yielded):
            return
        one.cut_off = False
        if self.store.term > one.term:
            one.term = self.store.term
            one.heard = self.now
            return
        if one.yielded == self.store.term or is_silent:
            if self.store.holder in (None, one.name):
                one.started_until = 0.0
            self.store.take(one.name)
            one.term = one.held = self.store.term
            one.valid_until = self.now + lease.HOLD_SECONDS
            one.words, one.missing = {}, {}
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
            one.doubtful = False
        elif self.now > one.valid_until - lease.HOLD_SECONDS + 0.6:
            one.doubtful = True

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
        if self.now < max(one.away_until, one.started_until):
            return
        if not lease.may_claim(seen, str(one.name), DISTANCE, self.now):
            return
        if one.state.is_granted:
            self.detached_orders += 1
            self.orders.append((self.now, one.name))
            return
        if one.doubtful or not self.reaches_store(one):
            return
        if self.store.claim[1] != revision:
            self.read_claim(one)
            return
        self.store.revision += 1
        self.store.claim = (one.name, self.store.revision)
        self.read_claim(one)
        self.orders.append((self.now, one.name))

    def tell(self, one, running):
        for other in running:
            if other is one or not self.reaches(one, other):
                continue
            if one.held:
                detached = one.state.proposed_at is not None
                holds = detached or not one.doubtful
                other.take_state(one.held, self.now, holds, detached, self.now)
            elif other.held == one.term:
                other.take_report(one.name, one.echo, one.cut_off, self.now)


def find_broken(orders):
    return [
        (first, second)
        for first, second in zip(orders, orders[1:], strict=False)
        if first[1] != second[1] and second[0] - first[0] < DISTANCE
    ]


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_holders_keep_their_distance(first):
    detached = 0
    for seed in range(first, first + 50):
        world = World(seed)
        world.run()
        assert not find_broken(world.orders), seed
        detached += world.detached_orders
    # Otherwise nothing was tested.
    assert detached > 100


@pytest.mark.parametrize("seed", [1388, 3879])
def test_instance_that_started_again_keeps_away_too(seed):
    # Symptom: two of 2,600 further worlds broke the distance, 1388 and 3879 (of
    # the code before 1561, 2427 and 3879).
    # Sequence of 1388: instance 1 orders the engine at 39 s and writes the
    # claim; from 40 to 46.4 s instance 3 orders it without the store; 3
    # freezes, 1 starts again at 47.25 s, 0 takes the lease at 48.05 s, yields
    # it, and 1 takes it at 48.1 s and orders at once.
    # Cause: the claim is its own, so it need not wait, and that a holder
    # ordered without claims was known to its earlier process only.
    world = World(seed)
    world.run()
    assert world.detached_orders
    assert not find_broken(world.orders)


def test_without_keeping_away_the_distance_is_broken(monkeypatch):
    # Shows that the worlds above reach what keeping away is there for.
    monkeypatch.setattr(f"{__name__}.KEEP_AWAY", 0.0)
    for seed in range(200):
        world = World(seed)
        world.run()
        if find_broken(world.orders):
            return
    pytest.fail("no world needs it")
