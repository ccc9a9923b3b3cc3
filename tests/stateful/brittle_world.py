"""A simulated brittle engine, instances that send to it, and slow messages.

Times are simulated seconds. Bursts of requests arrive at all instances; each of
them asks the lease holder for a place until it gets one or gives up.
"""

import collections
import heapq
import itertools
import random

from wayslip.decisions import concurrency
from wayslip.decisions import fleet
from wayslip.decisions import place_ledger
from wayslip.decisions import places

START = fleet.Incarnation("e1", 1)
SLOTS = 8
INSTANCES = 3
CLOCK_OFFSETS = {"g0": 0.0, "g1": 1000.0, "g2": -5.0}
SERVICE_SECONDS = 0.05
ONE_WAY_SECONDS = 0.001
# What instances measure for the way to the engine and back.
ROUND_TRIP_SECONDS = 0.005
BURST_SECONDS = 0.15
BURST_SIZE = 6
PATIENCE_SECONDS = 0.4
RETRY_SECONDS = 0.1
# The second in which refusals count.
WINDOW_SECONDS = 1.0


class World:
    """One engine with less room than slots, and what happened there."""

    def __init__(self, seed, room, seconds, late_share, late_seconds):
        self._rng = random.Random(seed)
        self._room = room
        self._end = seconds
        self._late_share = late_share
        self._late_seconds = late_seconds
        self._events = []
        self._order = itertools.count()
        self._places = places.Places()
        self._now = 0.0
        self._numbers = itertools.count(1)
        self.at_engine = 0
        self.most_at_engine = 0
        self.served = 0
        self.refused_at = []

    def run(self):
        """Plays until all requests have ended."""
        self._places.begin(-10.0)
        burst = 0.0
        while burst < self._end:
            for name in range(INSTANCES):
                for _ in range(BURST_SIZE):
                    give_up = burst + PATIENCE_SECONDS
                    self._at(burst, self._ask, f"g{name}", give_up)
            burst += BURST_SECONDS
        while self._events:
            self._now, _, handler, arguments = heapq.heappop(self._events)
            handler(*arguments)

    def count_refusals(self):
        """Returns the most refusals in any second."""
        window = collections.deque()
        most = 0
        for at in self.refused_at:
            window.append(at)
            while at - window[0] >= WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        return most

    def _at(self, time, handler, *arguments):
        heapq.heappush(
            self._events, (time, next(self._order), handler, arguments)
        )

    def _send(self, handler, *arguments):
        """Delivers a message between instances, sometimes late."""
        delay = ONE_WAY_SECONDS
        if self._rng.random() < self._late_share:
            delay += self._rng.uniform(0, self._late_seconds)
        self._at(self._now + delay, handler, *arguments)

    def _read_clock(self, name):
        """Returns the time by an instance's own clock."""
        return self._now + CLOCK_OFFSETS[name]

    def _ask(self, name, give_up):
        if self._now < give_up:
            self._send(self._decide, name, give_up, next(self._numbers))

    def _decide(self, name, give_up, number):
        question = place_ledger.Question(name, SLOTS, number)
        verdict = self._places.take(START, question, self._now)
        handler = self._dispatch if verdict.is_granted else self._wait
        self._send(handler, name, give_up, number)

    def _wait(self, name, give_up, _):
        self._at(self._now + RETRY_SECONDS, self._ask, name, give_up)

    def _dispatch(self, name, give_up, number):
        sent = (name, number, self._read_clock(name))
        self._at(self._now + ONE_WAY_SECONDS, self._arrive, sent)

    def _arrive(self, sent):
        if self.at_engine >= self._room:
            self.refused_at.append(self._now)
            self._at(self._now + ONE_WAY_SECONDS, self._leave, sent, True)
            return
        self.at_engine += 1
        self.most_at_engine = max(self.most_at_engine, self.at_engine)
        seconds = SERVICE_SECONDS * self._rng.uniform(0.5, 1.5)
        self._at(self._now + seconds, self._answer, sent)

    def _answer(self, sent):
        self.at_engine -= 1
        self.served += 1
        self._at(self._now + ONE_WAY_SECONDS, self._leave, sent, False)

    def _leave(self, sent, is_refused):
        name, number, sent_at = sent
        now = self._read_clock(name)
        exchange = concurrency.Exchange(
            taken_at=sent_at,
            sent_at=sent_at,
            answered_at=now,
            returned_at=now,
            round_trip=ROUND_TRIP_SECONDS,
        )
        place = place_ledger.Return(
            name, number, is_refused, None if is_refused else exchange
        )
        self._send(self._give_back, place)

    def _give_back(self, place):
        self._places.give_back(START, place, self._now)
