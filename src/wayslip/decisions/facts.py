"""Small facts that daemons tell each other, newest version wins.

A fact is soft: it has a lifetime and may be lost. What must last goes through
the object API.
"""

from collections.abc import Iterable
import dataclasses
import enum


class Topic(enum.StrEnum):
    """What a fact is about."""

    LEAVING = "leaving"
    IN_FLIGHT = "in_flight"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """One fact.

    Attributes:
        subject: Whom it is about: an endpoint, or an entry and an endpoint.
        origin: The member that found it.
        at: When it was found, seconds of the origin's wall clock; the
            version among facts of one topic, subject and origin.
        value: A number whose meaning the topic gives.
        ttl: Seconds for which it holds.
    """

    topic: Topic
    subject: str
    origin: str
    at: float
    value: float = 0.0
    ttl: float = 30.0

    @property
    def id(self) -> tuple[Topic, str, str]:
        """What the fact is a version of."""
        return (self.topic, self.subject, self.origin)


class FactTable:
    """The facts one process knows, bounded, with their local arrival time.

    Lifetimes run from the arrival, so clocks of instances need not agree.
    """

    def __init__(self, limit: int = 20_000) -> None:
        self._limit = limit
        self._facts: dict[tuple[Topic, str, str], tuple[Fact, float]] = {}

    def merge(self, facts: Iterable[Fact], now: float) -> tuple[Fact, ...]:
        """Takes facts in and returns those that were news."""
        added = []
        for fact in facts:
            known = self._facts.get(fact.id)
            if known is not None and known[0].at >= fact.at:
                continue
            if known is None and len(self._facts) >= self._limit:
                continue
            self._facts[fact.id] = (fact, now)
            added.append(fact)
        return tuple(added)

    def expire(self, now: float) -> None:
        """Drops facts past their lifetime."""
        old = [i for i, (f, at) in self._facts.items() if now - at > f.ttl]
        for fact_id in old:
            del self._facts[fact_id]

    def about(self, topic: Topic) -> tuple[Fact, ...]:
        """Returns the facts of a topic."""
        return tuple(f for f, _ in self._facts.values() if f.topic is topic)

    def arrivals(self, topic: Topic) -> tuple[tuple[Fact, float], ...]:
        """Returns the facts of a topic with their arrival times."""
        return tuple(p for p in self._facts.values() if p[0].topic is topic)

    def __len__(self) -> int:
        return len(self._facts)
