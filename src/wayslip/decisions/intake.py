"""Decides how much of what clients send an instance holds in memory.

Load pattern: many clients send large bodies at once, whole or in parts, and
most stop short of the end and stay connected. Each request keeps to the limits
for one request; together they exceed the memory of the machine. So what all
connections hold is counted, with the objects that it is kept in, and a request
for which no room is left is rejected before its body is read.

Room is made for it where others have fallen behind: a connection whose request
is incomplete and that sent less than a least pace gives way, the one that is
furthest behind first. A request that is complete never gives way.

Large requests have a share of the room to themselves. They leave the rest to
the usual small ones, which are admitted while large ones are rejected.

Times are steady seconds, sizes bytes.
"""

from collections.abc import Hashable
import dataclasses

# Share of a machine's memory that requests may take. The rest is for the
# process itself, answers to slow readers, and copies that last for a moment.
_MEMORY_SHARE = 0.4
# Memory of a process that serves a large configuration without any request.
_PROCESS_BYTES = 56_000_000
# Room where the machine's memory is unknown, and the least on any machine.
_DEFAULT_ROOM_BYTES = 64_000_000
_MIN_ROOM_BYTES = 4_000_000
# Share of the room that large requests may take, and from which size on a
# request is large.
_LARGE_SHARE = 0.5
_LARGE_BYTES = 64 * 1024
# A body is held once as received and once in the buffer towards an endpoint.
_COPIES = 2
# The objects of a request in progress, and of each header.
_REQUEST_BYTES = 16 * 1024
_HEADER_BYTES = 200
# A document is held once parsed and once or twice encoded for the endpoint.
# Text beyond ASCII takes up to four times its bytes.
_ASCII_COPIES = 3
_UNICODE_COPIES = 6
# An object or array that has no members, and the place of a value in one.
_CONTAINER_BYTES = 64
_VALUE_BYTES = 32
# Pace below which a connection falls behind, and by how many seconds of it one
# may be ahead; that much time without a byte is not yet a delay.
_MIN_PACE = 16 * 1024
_MAX_LEAD_SECONDS = 1.0


def find_room(memory_mb: float) -> int:
    """Returns the memory that requests may take, in bytes.

    Args:
        memory_mb: The memory of the machine, 0 if unknown.
    """
    if not memory_mb:
        return _DEFAULT_ROOM_BYTES
    memory = int(memory_mb * 1_000_000)
    share = int(memory * _MEMORY_SHARE)
    return max(min(share, memory - _PROCESS_BYTES), _MIN_ROOM_BYTES)


def estimate_cost(headers: int, head_bytes: int, body_bytes: int) -> int:
    """Returns the memory that a request takes until it is answered.

    Args:
        headers: The number of its headers.
        head_bytes: Size of its target and headers.
        body_bytes: Size of its body, the announced one if it is known.
    """
    head = head_bytes + headers * _HEADER_BYTES
    return _REQUEST_BYTES + head + _COPIES * body_bytes


def estimate_document_cost(data: bytes) -> int:
    """Returns the memory that a JSON document takes, parsed and as text.

    Args:
        data: The document.
    """
    copies = _ASCII_COPIES if data.isascii() else _UNICODE_COPIES
    containers = data.count(b"{") + data.count(b"[")
    return (
        _REQUEST_BYTES
        + copies * len(data)
        + containers * _CONTAINER_BYTES
        + data.count(b",") * _VALUE_BYTES
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request has room.

    Attributes:
        is_admitted: Whether it may be held.
        displaced: Connections that give way to it, whose requests are to be
            rejected. They hold nothing any more.
    """

    is_admitted: bool
    displaced: tuple[Hashable, ...] = ()


_ADMITTED = Verdict(True)


@dataclasses.dataclass(slots=True)
class _Claim:
    """What a connection holds.

    Attributes:
        on_pace_until: When it falls behind if no more bytes arrive; None while
            it may not give way.
    """

    cost: int = 0
    on_pace_until: float | None = None

    @property
    def is_large(self) -> bool:
        return self.cost >= _LARGE_BYTES


class Intake:
    """What the connections of an instance hold. It does no I/O."""

    def __init__(self, room: int = _DEFAULT_ROOM_BYTES) -> None:
        """Initializes with nothing held.

        Args:
            room: The memory that requests may take, bytes.
        """
        large = int(room * _LARGE_SHARE)
        # By whether requests are large.
        self._rooms = {True: large, False: room - large}
        self._held = {True: 0, False: 0}
        self._claims: dict[Hashable, _Claim] = {}
        # Before this time no connection is behind.
        self._none_behind_until = 0.0

    @property
    def held(self) -> int:
        """The memory that all connections hold."""
        return sum(self._held.values())

    def hold(
        self, owner: Hashable, cost: int, now: float, is_single: bool = True
    ) -> Verdict:
        """Changes what a connection holds, if there is room.

        Args:
            owner: The connection.
            cost: What its requests take in all; see `estimate_cost`.
            now: Steady seconds.
            is_single: Whether it holds one request only. That is admitted
                whatever its size if no other connection holds any room.
        """
        claim = self._claims.get(owner) or _Claim()
        if cost <= claim.cost:
            self._set_cost(owner, claim, cost)
            return _ADMITTED
        is_large = cost >= _LARGE_BYTES
        own = claim.cost if claim.is_large == is_large else 0
        others = self._held[is_large] - own
        excess = others + cost - self._rooms[is_large]
        if excess <= 0 or (is_single and not others):
            self._set_cost(owner, claim, cost)
            return _ADMITTED
        displaced = self._choose_displaced(
            owner, is_large, excess, others, is_single, now
        )
        if displaced is None:
            return Verdict(False)
        for other in displaced:
            self.release(other)
        self._set_cost(owner, claim, cost)
        return Verdict(True, displaced)

    def note_received(self, owner: Hashable, size: int, now: float) -> None:
        """Records bytes of an incomplete request, which may give way."""
        claim = self._claims.get(owner)
        if claim is None:
            return
        latest = now + _MAX_LEAD_SECONDS
        due = claim.on_pace_until
        if due is None:
            claim.on_pace_until = latest
        else:
            claim.on_pace_until = min(due + size / _MIN_PACE, latest)

    def note_complete(self, owner: Hashable) -> None:
        """Records that a connection's request is complete."""
        claim = self._claims.get(owner)
        if claim is not None:
            claim.on_pace_until = None

    def release(self, owner: Hashable) -> None:
        """Forgets a connection, which holds nothing any more."""
        claim = self._claims.pop(owner, None)
        if claim is not None:
            self._held[claim.is_large] -= claim.cost

    def find_furthest_behind(self, now: float) -> Hashable | None:
        """Returns the connection that is furthest behind the least pace.

        Returns:
            None if each one is on pace.
        """
        behind = self._list_behind(now)
        return behind[0] if behind else None

    def _list_behind(self, now: float) -> list[Hashable]:
        """Returns the connections that are behind, the furthest first."""
        if now < self._none_behind_until:
            return []
        due = {
            owner: claim.on_pace_until
            for owner, claim in self._claims.items()
            if claim.on_pace_until is not None
        }
        # Others fall behind after them: each one may be ahead equally far.
        self._none_behind_until = min(due.values(), default=now)
        behind = [owner for owner, at in due.items() if at < now]
        return sorted(behind, key=due.__getitem__)

    def _set_cost(self, owner: Hashable, claim: _Claim, cost: int) -> None:
        self._held[claim.is_large] -= claim.cost
        claim.cost = cost
        self._held[claim.is_large] += cost
        self._claims[owner] = claim

    def _choose_displaced(
        self,
        owner: Hashable,
        is_large: bool,
        excess: int,
        others: int,
        is_single: bool,
        now: float,
    ) -> tuple[Hashable, ...] | None:
        """Returns which connections give way, None if too few are behind."""
        displaced = []
        for other in self._list_behind(now):
            claim = self._claims[other]
            if other == owner or claim.is_large != is_large:
                continue
            displaced.append(other)
            excess -= claim.cost
            others -= claim.cost
            if excess <= 0 or (is_single and not others):
                return tuple(displaced)
        return None
