"""Facts that daemons gossip to each other; the newest version wins.

Facts are soft state: they have a lifetime and may be lost. State that must
last is stored through the object API.
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
        topic: What it is about.
        subject: An endpoint, or an entry and an endpoint.
        origin: The member that found it.
        at: When it was found, seconds of the origin's wall clock; also the
            version among facts of one topic, subject and origin.
        value: A number whose meaning depends on the topic.
        ttl: Lifetime in seconds.
    """

    topic: Topic
    subject: str
    origin: str
    at: float
    value: float = 0.0
    ttl: float = 30.0

    @property
    def id(self) -> tuple[Topic, str, str]:
        """Key that all versions of the fact share."""
        return (self.topic, self.subject, self.origin)


class FactTable:
    """The facts that a process knows, with their local arrival times.

    Lifetimes are counted from the arrival, so the clocks of instances need not
    agree.

    Args:
        limit: Maximum number of facts; new ones beyond it are dropped.
    """

    def __init__(self, limit: int = 20_000) -> None:
        self._limit = limit
        self._facts: dict[tuple[Topic, str, str], tuple[Fact, float]] = {}

    def merge(self, facts: Iterable[Fact], now: float) -> tuple[Fact, ...]:
        """Adds facts and returns those that were new or newer."""
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
        """Removes facts past their lifetime."""
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
