"""Detects poison requests, which crash endpoints, by their content.

When an endpoint crashes, all contents in flight there are suspects, typically
about eighteen of which one caused the crash. The state is a set of crash
records: each says that one content was in flight to one incarnation of an
endpoint when it crashed. When an endpoint answers a content, the content's
crash records are cleared. Records and clearings are merged by union, so
instances that received the same ones agree, whatever the order or repeats.

A suspect is a whole content, or a part of prompts that different contents have
in common; the methods call both of them contents, and one table holds them.

Two criteria count against a whole content. The first is its suspicion depth: a
record is one deeper than the depth that its sender knew when it sent the
request, so the depth counts consecutive retries that ended in a crash. The
second is the number of attempts that were aborted by crashes, concurrent or
not. The second does not apply to contents that endpoints answered before: a
common content is in flight to every endpoint that crashes.

A part is blocked after several crashes that no single content explains. Another
part that was in flight at all of these, its companion, may be the cause as
well; then only requests that have both are refused, until a request with one of
them has told which it is. A request that had been written to for a while does
not count: an endpoint crashes as it begins to write.
"""

from collections.abc import Iterable
import dataclasses

from wayslip.decisions import contents
from wayslip.decisions import fleet

# A content is blocked after this number of attempts aborted by crashes, or at
# this suspicion depth; at one depth less if no other content of that depth was
# in flight to the same crashed endpoints.
_BLOCKING_ATTEMPTS = 3
_BLOCKING_DEPTH = 3
_SOLE_SUSPECT_DEPTH = 2
# Crashed endpoints after which a part is blocked, and from which on it is
# blocked without its companions.
_BLOCKING_ENDS = 3
_SURE_ENDS = 5
# Pause between the last crash under a part that was just blocked and a probe;
# it doubles with each further crash.
_PART_PROBE_SECONDS = 20.0
# Contents that a record of a part names, for each reporter, and the bytes of
# each.
_MAX_NAMED_CONTENTS = 4
_NAME_BYTES = 8
# A content blocked at depth 1 may be probed after this time, multiplied by the
# factor for each further depth. This bounds how long a harmless content is
# refused that was in flight to crashing endpoints before any answered it.
_PROBE_SECONDS = 30.0
_PROBE_FACTOR = 4
# Retention of crash records: callers that retry for longer pause in between,
# and an engine may have been fixed by then.
RETENTION_SECONDS = 600.0
# Maximum number of contents kept; those of the lowest depth are evicted first.
# Each takes about 300 bytes.
_MAX_CONTENTS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Records that a content was in flight to an endpoint when it crashed.

    Attributes:
        content: Digest of the content; see `contents`.
        endpoint: Name of the endpoint that crashed.
        born: Start time of its crashed incarnation; see `fleet.Incarnation`.
        depth: Suspicion depth of the content that its sender knew when it
            sent the request.
        reporter: The instance that sent the request.
        attempts: Attempts of that instance that this crash aborted; 0 if the
            instance saw the content answered before.
        within: Of a part of prompts: the beginnings of the contents that had
            it. Empty for a whole content.
    """

    content: bytes
    endpoint: str
    born: int = 0
    depth: int = 0
    reporter: str = ""
    attempts: int = 1
    within: tuple[bytes, ...] = ()

    @property
    def is_part(self) -> bool:
        """Whether it is the record of a part of prompts."""
        return bool(self.within)

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Returns what two records of the same reporter tell together."""
        return dataclasses.replace(
            self,
            depth=max(self.depth, other.depth),
            attempts=max(self.attempts, other.attempts),
            within=tuple(sorted({*self.within, *other.within}))[
                :_MAX_NAMED_CONTENTS
            ],
        )

    @property
    def start(self) -> fleet.Incarnation:
        """The incarnation that crashed."""
        return fleet.Incarnation(self.endpoint, self.born)


def make_part_record(
    part: bytes, content: bytes, start: fleet.Incarnation, reporter: str
) -> CrashRecord:
    """Returns the record of an aborted attempt for a part of its prompt."""
    return CrashRecord(
        part,
        start.endpoint,
        start.born,
        reporter=reporter,
        within=(content[:_NAME_BYTES],),
    )


@dataclasses.dataclass
class _Suspect:
    """The state of one content.

    Attributes:
        since: When its first crash record was received.
        last_at: When the record of a further crash was last received.
        crash_records: Records by crashed incarnation and reporter.
    """

    since: float
    last_at: float = 0.0
    crash_records: dict[fleet.Incarnation, dict[str, CrashRecord]] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def depth(self) -> int:
        """Length of the longest chain of attempts that each met a crash.

        Different requests with a part make no chain; each crash counts there.
        """
        if self.is_part:
            return len(self.crash_records)
        deepest = max((m.depth for m in self.list_crash_records()), default=-1)
        # The depth of a record may count records that were cleared since.
        return min(1 + deepest, len(self.crash_records))

    @property
    def is_part(self) -> bool:
        """Whether it is a part of prompts."""
        return any(m.is_part for m in self.list_crash_records())

    @property
    def is_explained(self) -> bool:
        """Whether a single content was in flight at all of its crashes."""
        by_end = [
            {name for record in by_reporter.values() for name in record.within}
            for by_reporter in self.crash_records.values()
        ]
        return bool(set.intersection(*by_end))

    @property
    def attempts(self) -> int:
        """Number of attempts that were aborted by crashes."""
        return sum(m.attempts for m in self.list_crash_records())

    def list_crash_records(self) -> list[CrashRecord]:
        """Returns its crash records, grouped by incarnation."""
        return [
            record
            for _, by_reporter in sorted(self.crash_records.items())
            for _, record in sorted(by_reporter.items())
        ]

    def add(self, record: CrashRecord) -> bool:
        """Merges a crash record; returns whether it changed anything."""
        by_reporter = self.crash_records.setdefault(record.start, {})
        known = by_reporter.get(record.reporter)
        if known is not None:
            record = record.merge(known)
        by_reporter[record.reporter] = record
        return record != known


class Suspicion:
    """All crash records known to an instance.

    It does no I/O; its methods take the time in seconds.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._at_start: dict[fleet.Incarnation, set[bytes]] = {}
        # Contents that endpoints answered before, and when that became known.
        self._exempt: dict[bytes, float] = {}
        # Crash records that were cleared, and when.
        self._cleared: dict[tuple[bytes, fleet.Incarnation], float] = {}

    def __bool__(self) -> bool:
        """Whether any content is under suspicion."""
        return bool(self._suspects)

    # Queries

    def find_depth(self, content: bytes) -> int:
        """Returns a content's suspicion depth, 0 if it is not a suspect."""
        suspect = self._suspects.get(content)
        return suspect.depth if suspect else 0

    def find_block(self, identity: contents.Identity) -> bytes | None:
        """Returns why a request should not be sent to any endpoint.

        Returns:
            Its content or a part of its prompt, whichever is blocked; None if
            it may be sent.
        """
        if self.is_blocked(identity.content):
            return identity.content
        for part in identity.parts:
            if self.is_blocked(part) and self._find_companions(part).issubset(
                identity.parts
            ):
                return part
        return None

    def _find_companions(self, part: bytes) -> set[bytes]:
        """Returns other parts that may have caused all crashes of one."""
        ends = self._suspects[part].crash_records
        if len(ends) >= _SURE_ENDS:
            return set()
        common = set.intersection(*(self._at_start[start] for start in ends))
        return {c for c in common if c != part and self._suspects[c].is_part}

    def is_blocked(self, content: bytes) -> bool:
        """Whether a content should not be sent to any endpoint.

        For a part of prompts, see also `find_block`.
        """
        suspect = self._suspects.get(content)
        if suspect is None:
            return False
        if suspect.is_part:
            is_frequent = len(suspect.crash_records) >= _BLOCKING_ENDS
            return is_frequent and not suspect.is_explained
        is_exempt = content in self._exempt
        if suspect.attempts >= _BLOCKING_ATTEMPTS and not is_exempt:
            return True
        depth = suspect.depth
        if depth >= _BLOCKING_DEPTH:
            return True
        return depth >= _SOLE_SUSPECT_DEPTH and self._is_sole_suspect(content)

    def _is_sole_suspect(self, content: bytes) -> bool:
        """Whether no other retried content shares a crash with this one."""
        rivals = {
            other
            for start in self._suspects[content].crash_records
            for other in self._at_start[start]
            if self.find_depth(other) >= _SOLE_SUSPECT_DEPTH
            and not self._suspects[other].is_part
        }
        return rivals == {content}

    def may_probe(self, content: bytes, now: float) -> bool:
        """Whether a probe request with a blocked content may be sent.

        The content may be harmless and just have been in flight to crashing
        endpoints before any answered it. The pause grows with its depth.
        """
        suspect = self._suspects.get(content)
        if suspect is None:
            return False
        if suspect.is_part:
            return now >= _find_next_probe(suspect)
        pause = _PROBE_SECONDS * _PROBE_FACTOR ** (suspect.depth - 1)
        return now - suspect.since >= pause

    def list_blocked(self) -> list[bytes]:
        """Returns the contents that should not be sent to any endpoint."""
        return [c for c in self._suspects if self.is_blocked(c)]

    def list_crash_records(self, content: bytes) -> list[CrashRecord]:
        """Returns the crash records of a content."""
        suspect = self._suspects.get(content)
        return suspect.list_crash_records() if suspect else []

    def list_contents(self, min_depth: int) -> list[bytes]:
        """Returns the contents of at least a suspicion depth."""
        return [c for c, s in self._suspects.items() if s.depth >= min_depth]

    def list_to_share(self, since: float) -> list[bytes]:
        """Returns the contents that all instances should know.

        These are the contents first recorded at or after a time, those with a
        suspicion depth above 1, and the blocked ones.

        Args:
            since: The time.
        """
        return [
            c
            for c, s in self._suspects.items()
            if s.since >= since or s.depth > 1 or self.is_blocked(c)
        ]

    def list_cleared(self) -> list[CrashRecord]:
        """Returns the cleared crash records."""
        return [CrashRecord(c, s.endpoint, s.born) for c, s in self._cleared]

    def find_left(self, content: bytes, now: float) -> float:
        """Returns the seconds until the records of a content expire.

        For a part of prompts, until a request with it may be sent as a probe.
        """
        suspect = self._suspects.get(content)
        if suspect is None:
            return 0.0
        if suspect.is_part:
            return max(_find_next_probe(suspect) - now, 0.0)
        return max(suspect.since + RETENTION_SECONDS - now, 0.0)

    # Updates

    def add(
        self, crash_records: Iterable[CrashRecord], now: float
    ) -> list[CrashRecord]:
        """Merges crash records; returns those that were new."""
        added = []
        for record in crash_records:
            if (record.content, record.start) in self._cleared:
                continue
            suspect = self._suspects.setdefault(record.content, _Suspect(now))
            if record.start not in suspect.crash_records:
                suspect.last_at = now
            if suspect.add(record):
                self._at_start.setdefault(record.start, set()).add(
                    record.content
                )
                added.append(record)
        self._enforce_limits()
        return added

    def clear(
        self, crash_records: Iterable[CrashRecord], now: float
    ) -> list[CrashRecord]:
        """Clears crash records; returns those that were not cleared yet."""
        added = []
        for record in crash_records:
            key = (record.content, record.start)
            if key in self._cleared:
                continue
            self._cleared[key] = now
            self._drop(record.content, record.start)
            added.append(record)
        self._enforce_limits()
        return added

    def exempt(self, answered: Iterable[bytes], now: float) -> list[bytes]:
        """Records contents that endpoints answered before.

        They are blocked by their suspicion depth only, not by the number of
        aborted attempts.

        Returns:
            The contents that were not exempt yet.
        """
        added = [c for c in answered if c not in self._exempt]
        self._exempt.update(dict.fromkeys(added, now))
        self._enforce_limits()
        return added

    def forget(self, now: float) -> bool:
        """Removes expired contents; returns whether there were any.

        Their records are cleared, so that an instance that received them later
        can not add them again.
        """
        limit = now - RETENTION_SECONDS
        old = [c for c, s in self._suspects.items() if s.since <= limit]
        for content in old:
            self.clear(self.list_crash_records(content), now)
        self._cleared = {k: t for k, t in self._cleared.items() if t > limit}
        self._exempt = {c: t for c, t in self._exempt.items() if t > limit}
        return bool(old)

    def _drop(self, content: bytes, start: fleet.Incarnation) -> None:
        suspect = self._suspects.get(content)
        if suspect is None or start not in suspect.crash_records:
            return
        del suspect.crash_records[start]
        self._unlink(content, start)
        if not suspect.crash_records:
            del self._suspects[content]

    def _drop_all(self, content: bytes) -> None:
        for start in self._suspects.pop(content).crash_records:
            self._unlink(content, start)

    def _unlink(self, content: bytes, start: fleet.Incarnation) -> None:
        suspects = self._at_start[start]
        suspects.discard(content)
        if not suspects:
            del self._at_start[start]

    def _enforce_limits(self) -> None:
        over = len(self._suspects) - _MAX_CONTENTS
        if over > 0:
            # The sort is stable: at equal depth the oldest are evicted first.
            ranked = sorted(
                self._suspects, key=lambda c: self._suspects[c].depth
            )
            for content in ranked[:over]:
                self._drop_all(content)
        while len(self._cleared) > _MAX_CONTENTS:
            del self._cleared[next(iter(self._cleared))]
        while len(self._exempt) > _MAX_CONTENTS:
            del self._exempt[next(iter(self._exempt))]


def _find_next_probe(part: _Suspect) -> float:
    """Returns when a request with a blocked part may be sent as a probe."""
    further = max(len(part.crash_records) - _BLOCKING_ENDS, 0)
    return part.last_at + _PART_PROBE_SECONDS * 2**further
