"""Membership of daemons, by probing one random peer at a time.

The protocol follows SWIM (Das, Gupta and Motivala, 2002): in each period a
member probes one other member, and probes it indirectly through a few relays
if it does not answer. Membership updates are piggybacked on the probes. A
suspect refutes a suspicion with a higher incarnation. The cost of a member
therefore does not grow with the fleet, and no full mesh is needed.

`Membership` is the state of one member. It does no I/O: its methods take the
time and return the messages to send.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math
import random

_RELAY_COUNT = 2
_MAX_UPDATES_PER_MESSAGE = 6
_RETRANSMIT_FACTOR = 3
_DEAD_RETENTION_SECONDS = 60.0
_REJOIN_PROBABILITY = 0.1


class Role(enum.StrEnum):
    """The program that a member runs."""

    ENTRY = "entry"
    CONTROL = "control"


class Status(enum.StrEnum):
    """State of a member; later values win within one incarnation."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {s: n for n, s in enumerate(Status)}


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon.

    Attributes:
        name: Role and instance, "entry/kolkata-1".
        boot: Start time of the process, milliseconds; constant while it runs.
        incarnation: Starts at `boot` and is increased to refute a suspicion.
    """

    name: str
    role: Role
    address: str
    data_hall: str
    boot: int
    incarnation: int
    status: Status = Status.ALIVE

    @property
    def process(self) -> str:
        """Identifies the process; it differs after a restart."""
        return f"{self.name}#{self.boot}"

    def supersedes(self, other: "Member") -> bool:
        """Whether this update on a member replaces another one."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return _PRECEDENCE[self.status] > _PRECEDENCE[other.status]


class Probe(enum.StrEnum):
    """The kinds of probe messages."""

    PING = "ping"
    ACK = "ack"
    RELAY = "relay"


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A probe message with piggybacked membership updates.

    Attributes:
        seq: Sequence number, repeated by the answer.
        sender: Name of the sending member.
        news: Membership updates.
        subject: For a relay, the address to probe.
    """

    probe: Probe
    seq: int
    sender: str
    news: tuple[Member, ...]
    subject: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and its destination address."""

    address: str
    message: Message


@dataclasses.dataclass(slots=True)
class _Pending:
    """A probe that was not answered yet.

    Attributes:
        name: The probed member, empty if only its address is known.
        sent: When it was sent.
        relayed: Whether relays were asked to probe the member too.
        answer_to: For a relayed probe, the address that asked for it.
        answer_seq: For a relayed probe, the sequence number to answer with.
    """

    name: str
    sent: float
    relayed: bool = False
    answer_to: str = ""
    answer_seq: int = 0


class Membership:
    """One member's view of all members."""

    def __init__(
        self,
        me: Member,
        seeds: Iterable[str],
        period: float,
        suspicion: float,
        rng: random.Random,
    ) -> None:
        self.me = me
        self._seeds = tuple(s for s in seeds if s != me.address)
        self._period = period
        self._suspicion = suspicion
        self._rng = rng
        self._members: dict[str, Member] = {me.name: me}
        self._changed: dict[str, float] = {}
        # Suspect and dead members, so that a tick only scans these.
        self._unhealthy: set[str] = set()
        self._sends_left: dict[str, int] = {}
        self._pending: dict[int, _Pending] = {}
        self._seq = 0
        self._next_probe = 0.0
        self._order: list[str] = []
        self._enqueue_update(me)

    # Looking up

    @property
    def members(self) -> tuple[Member, ...]:
        """All known members; dead ones are kept for a limited time."""
        return tuple(self._members.values())

    def live(self, role: Role | None = None) -> tuple[Member, ...]:
        """Returns the alive and suspect members."""
        working = (Status.ALIVE, Status.SUSPECT)
        return tuple(
            m
            for m in self._members.values()
            if m.status in working and (role is None or m.role is role)
        )

    def get(self, name: str) -> Member | None:
        """Returns a member by name."""
        return self._members.get(name)

    def pick(self, count: int) -> list[Member]:
        """Returns up to `count` random live members except this one."""
        others = [m for m in self.live() if m.name != self.me.name]
        return self._rng.sample(others, min(count, len(others)))

    # Events

    def leave(self) -> None:
        """Starts to announce that this member is leaving."""
        self.me = dataclasses.replace(self.me, status=Status.LEAVING)
        self._members[self.me.name] = self.me
        self._enqueue_update(self.me)

    def tick(self, now: float) -> list[Outgoing]:
        """Returns the messages that are due.

        To be called several times a period.
        """
        self._expire(now)
        out = self._check_pending(now)
        if now >= self._next_probe:
            self._next_probe = now + self._period
            out += self._probe_next(now)
        return out

    def receive(
        self, message: Message, source: str, now: float
    ) -> list[Outgoing]:
        """Returns the answers to a message from an address."""
        for member in message.news:
            self.merge(member, now)
        match message.probe:
            case Probe.PING:
                return [self._out(source, Probe.ACK, message.seq)]
            case Probe.RELAY:
                pending = _Pending(
                    "", now, answer_to=source, answer_seq=message.seq
                )
                return [self._send(message.subject, pending)]
        return self._settle(message, now)

    def merge(self, member: Member, now: float) -> bool:
        """Applies an update on a member; returns whether it was new."""
        if member.name == self.me.name:
            return self._refute(member)
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            return False
        if known is None and member.status is Status.DEAD:
            return False
        self._members[member.name] = member
        self._changed[member.name] = now
        if member.status in (Status.SUSPECT, Status.DEAD):
            self._unhealthy.add(member.name)
        else:
            self._unhealthy.discard(member.name)
        self._enqueue_update(member)
        return True

    def _refute(self, member: Member) -> bool:
        if not member.supersedes(self.me):
            return False
        if member.incarnation == self.me.incarnation and member.status in (
            Status.ALIVE,
            self.me.status,
        ):
            return False
        self.me = dataclasses.replace(
            self.me, incarnation=member.incarnation + 1
        )
        self._members[self.me.name] = self.me
        self._enqueue_update(self.me)
        return True

    # Probing

    def _probe_next(self, now: float) -> list[Outgoing]:
        if self._rng.random() < _REJOIN_PROBABILITY:
            addresses = self._list_rejoin_addresses()
            if addresses:
                return [
                    self._send(self._rng.choice(addresses), _Pending("", now))
                ]
        target = self._next_target()
        if target is not None:
            return [self._send(target.address, _Pending(target.name, now))]
        return [self._send(s, _Pending("", now)) for s in self._seeds]

    def _list_rejoin_addresses(self) -> list[str]:
        """Returns addresses to probe so that a healed partition can rejoin.

        Dead members are dropped after a time; the seeds never are.
        """
        dead = [
            self._members[n].address
            for n in sorted(self._unhealthy)
            if self._members[n].status is Status.DEAD
        ]
        known = {m.address for m in self._members.values()}
        return [*dead, *(s for s in self._seeds if s not in known)]

    def _next_target(self) -> Member | None:
        # Round robin over a shuffled list bounds the failure detection time.
        while self._order:
            member = self._members.get(self._order.pop())
            if member and member.status is not Status.DEAD:
                return member
        self._order = [
            m.name
            for m in self._members.values()
            if m.name != self.me.name and m.status is not Status.DEAD
        ]
        self._rng.shuffle(self._order)
        return self._members[self._order.pop()] if self._order else None

    def _send(self, address: str, pending: _Pending) -> Outgoing:
        self._seq += 1
        self._pending[self._seq] = pending
        return self._out(address, Probe.PING, self._seq, recipient=pending.name)

    def _check_pending(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for seq, pending in list(self._pending.items()):
            waited = now - pending.sent
            if waited >= self._period and not pending.relayed:
                pending.relayed = True
                out += self._request_relays(seq, pending)
            if waited >= 2 * self._period:
                del self._pending[seq]
                self._suspect(pending.name, now)
        return out

    def _request_relays(self, seq: int, pending: _Pending) -> list[Outgoing]:
        target = self._members.get(pending.name)
        if target is None:
            return []
        relays = [m for m in self.pick(_RELAY_COUNT) if m.name != target.name]
        return [
            self._out(h.address, Probe.RELAY, seq, target.address)
            for h in relays
        ]

    def _settle(self, message: Message, now: float) -> list[Outgoing]:
        pending = self._pending.pop(message.seq, None)
        if pending is None:
            return []
        if pending.answer_to:
            answer = self._out(pending.answer_to, Probe.ACK, pending.answer_seq)
            return [answer]
        return []

    def _suspect(self, name: str, now: float) -> None:
        member = self._members.get(name)
        if member is None or member.status in (Status.SUSPECT, Status.DEAD):
            return
        self.merge(dataclasses.replace(member, status=Status.SUSPECT), now)

    def _expire(self, now: float) -> None:
        for name in list(self._unhealthy):
            member = self._members[name]
            age = now - self._changed.get(member.name, now)
            if member.status is Status.SUSPECT and age >= self._suspicion:
                dead = dataclasses.replace(member, status=Status.DEAD)
                self.merge(dead, now)
            elif (
                member.status is Status.DEAD and age >= _DEAD_RETENTION_SECONDS
            ):
                del self._members[member.name]
                self._unhealthy.discard(member.name)
                self._changed.pop(member.name, None)
                self._sends_left.pop(member.name, None)

    # Updates

    def _enqueue_update(self, member: Member) -> None:
        count = max(len(self._members), 2)
        self._sends_left[member.name] = _RETRANSMIT_FACTOR * math.ceil(
            math.log2(count) + 1
        )

    def _out(
        self,
        address: str,
        probe: Probe,
        seq: int,
        subject: str = "",
        recipient: str = "",
    ) -> Outgoing:
        news = self._select_updates(recipient)
        return Outgoing(
            address, Message(probe, seq, self.me.name, news, subject)
        )

    def _select_updates(self, recipient: str) -> tuple[Member, ...]:
        fresh = sorted(self._sends_left, key=lambda n: -self._sends_left[n])
        chosen = fresh[:_MAX_UPDATES_PER_MESSAGE]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        # Each message carries the sender's own state, which shows that it is
        # alive, and the recipient's state as known here, so that the recipient
        # can refute a suspicion or its death.
        if recipient in self._members:
            chosen.append(recipient)
        news = {n: self._members[n] for n in chosen if n in self._members}
        news[self.me.name] = self.me
        return tuple(news.values())
