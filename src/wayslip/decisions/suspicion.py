"""Which requests end the endpoints that run them, judged by their content.

When an endpoint ends, whatever was on its way there is a suspect, and most of
it is innocent: some eighteen requests of which one did it. What is known is a
set of marks, each one content on its way to one start of an endpoint that
ended. A content that an endpoint answered is cleared of its marks. Marks and
clearings are merged by union, so instances that heard the same in any order,
twice or in parts agree.

Two things speak against a content. How deep it is in suspicion, counted along
a chain: a mark goes on from what its sender knew when it sent the request. And
how many attempts at it broke off with an endpoint, under way together or not,
unless endpoints were seen to answer it before: a common request is on its way
to each endpoint that ends.
"""

from collections.abc import Iterable
import dataclasses

from wayslip.decisions import fleet

# A content is condemned when so many attempts at it broke off with endpoints,
# when it is this deep in suspicion, or one less if it alone was on its way to
# those that ended.
_CONDEMNED_ATTEMPTS = 3
_CONDEMNED_DEPTH = 3
_ALONE_DEPTH = 2
# What is condemned after one end only is tried again after this, seconds, and
# so many times as late for each further step: so long a common request can be
# refused that is on its way to endpoints which end before any was answered.
_TRIAL_SECONDS = 30.0
_TRIAL_FACTOR = 4
# How long a mark is kept, seconds: whoever asks again and again for longer
# waits in between, and an engine may be mended meanwhile.
KEPT_SECONDS = 600.0
# Contents that are remembered, those under least suspicion go first. Each takes
# some 300 bytes.
_CONTENTS_MOST = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A content that was on its way to an endpoint that ended.

    Attributes:
        content: Its digest; see `contents`.
        endpoint, born: The start that ended; see `fleet.Incarnation`.
        depth: How deep the content was in suspicion, as far as its sender
            knew when it sent it.
        reporter: The instance that sent it.
        attempts: Of that instance that broke off with this end; 0 where it
            has seen the content answered.
    """

    content: bytes
    endpoint: str
    born: int = 0
    depth: int = 0
    reporter: str = ""
    attempts: int = 1

    @property
    def start(self) -> fleet.Incarnation:
        """What ended."""
        return fleet.Incarnation(self.endpoint, self.born)


@dataclasses.dataclass
class _Suspect:
    """What is known of one content.

    Attributes:
        since: When its first mark came.
        crash_records: By the start that ended, and the witness.
    """

    since: float
    crash_records: dict[fleet.Incarnation, dict[str, CrashRecord]] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def depth(self) -> int:
        """How often it was tried again after an end, and the first time."""
        deepest = max((m.depth for m in self.list_crash_records()), default=-1)
        # A mark may go on from one that was cleared since.
        return min(1 + deepest, len(self.crash_records))

    @property
    def attempts(self) -> int:
        """How many attempts broke off with endpoints."""
        return sum(m.attempts for m in self.list_crash_records())

    def list_crash_records(self) -> list[CrashRecord]:
        """Returns its marks, those of one start together."""
        return [
            mark
            for _, told in sorted(self.crash_records.items())
            for _, mark in sorted(told.items())
        ]

    def add(self, mark: CrashRecord) -> bool:
        """Takes a mark in; returns whether it was news."""
        told = self.crash_records.setdefault(mark.start, {})
        known = told.get(mark.reporter)
        if known is not None:
            mark = dataclasses.replace(
                mark,
                depth=max(mark.depth, known.depth),
                attempts=max(mark.attempts, known.attempts),
            )
        told[mark.reporter] = mark
        return mark != known


class Suspicion:
    """All marks that an instance knows. Does no I/O and is given the time."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._at_start: dict[fleet.Incarnation, set[bytes]] = {}
        # Contents that endpoints answered before, and since when that is known.
        self._common: dict[bytes, float] = {}
        # Marks that no longer count, and since when.
        self._cleared: dict[tuple[bytes, fleet.Incarnation], float] = {}

    def __bool__(self) -> bool:
        """Whether any content is under suspicion."""
        return bool(self._suspects)

    # What is known

    def find_depth(self, content: bytes) -> int:
        """Returns how deep a content is in suspicion, 0 if it is not."""
        suspect = self._suspects.get(content)
        return suspect.depth if suspect else 0

    def is_blocked(self, content: bytes) -> bool:
        """Whether a content should reach no endpoint."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return False
        is_common = content in self._common
        if suspect.attempts >= _CONDEMNED_ATTEMPTS and not is_common:
            return True
        depth = suspect.depth
        if depth >= _CONDEMNED_DEPTH:
            return True
        return depth >= _ALONE_DEPTH and self._is_alone(content)

    def _is_alone(self, content: bytes) -> bool:
        """Whether no other content that came again shares an end with it."""
        rivals = {
            other
            for start in self._suspects[content].crash_records
            for other in self._at_start[start]
            if self.find_depth(other) >= _ALONE_DEPTH
        }
        return rivals == {content}

    def may_be_tried(self, content: bytes, now: float) -> bool:
        """Whether a condemned content should be tried once more.

        It may be a common one that was on its way to endpoints that ended and
        never answered before; the deeper it is in suspicion, the later.
        """
        suspect = self._suspects.get(content)
        if suspect is None:
            return False
        pause = _TRIAL_SECONDS * _TRIAL_FACTOR ** (suspect.depth - 1)
        return now - suspect.since >= pause

    def list_blocked(self) -> list[bytes]:
        """Returns the contents that should reach no endpoint."""
        return [c for c in self._suspects if self.is_blocked(c)]

    def list_crash_records(self, content: bytes) -> list[CrashRecord]:
        """Returns the marks of a content."""
        suspect = self._suspects.get(content)
        return suspect.list_crash_records() if suspect else []

    def list_contents(self, least_depth: int) -> list[bytes]:
        """Returns the contents that are at least so deep in suspicion."""
        return [c for c, s in self._suspects.items() if s.depth >= least_depth]

    def list_open(self, since: float) -> list[bytes]:
        """Returns the contents that all should know of.

        Those first seen later, those that came again, and the condemned.
        """
        return [
            c
            for c, s in self._suspects.items()
            if s.since >= since or s.depth > 1 or self.is_blocked(c)
        ]

    def list_cleared(self) -> list[CrashRecord]:
        """Returns the marks that no longer count."""
        return [CrashRecord(c, s.endpoint, s.born) for c, s in self._cleared]

    def find_left(self, content: bytes, now: float) -> float:
        """Returns the seconds until what is known of a content is forgotten."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return 0.0
        return max(suspect.since + KEPT_SECONDS - now, 0.0)

    # What comes to be known

    def add(
        self, crash_records: Iterable[CrashRecord], now: float
    ) -> list[CrashRecord]:
        """Takes marks in; returns those that are news."""
        news = []
        for mark in crash_records:
            if (mark.content, mark.start) in self._cleared:
                continue
            suspect = self._suspects.setdefault(mark.content, _Suspect(now))
            if suspect.add(mark):
                self._at_start.setdefault(mark.start, set()).add(mark.content)
                news.append(mark)
        self._keep_bounds()
        return news

    def clear(
        self, crash_records: Iterable[CrashRecord], now: float
    ) -> list[CrashRecord]:
        """Has marks count no longer; returns those for which that is news."""
        news = []
        for mark in crash_records:
            key = (mark.content, mark.start)
            if key in self._cleared:
                continue
            self._cleared[key] = now
            self._drop(mark.content, mark.start)
            news.append(mark)
        self._keep_bounds()
        return news

    def exempt(self, contents: Iterable[bytes], now: float) -> list[bytes]:
        """Notes contents that endpoints answered before.

        Only what they are deep in suspicion for counts against them.

        Returns:
            Those for which that is news.
        """
        news = [c for c in contents if c not in self._common]
        self._common.update(dict.fromkeys(news, now))
        self._keep_bounds()
        return news

    def forget(self, now: float) -> bool:
        """Forgets what was known for long enough; returns whether it did.

        It is cleared, so that nobody who knew it later brings it back.
        """
        limit = now - KEPT_SECONDS
        old = [c for c, s in self._suspects.items() if s.since <= limit]
        for content in old:
            self.clear(self.list_crash_records(content), now)
        self._cleared = {k: t for k, t in self._cleared.items() if t > limit}
        self._common = {c: t for c, t in self._common.items() if t > limit}
        return bool(old)

    def _drop(self, content: bytes, start: fleet.Incarnation) -> None:
        suspect = self._suspects.get(content)
        if suspect is None or start not in suspect.crash_records:
            return
        del suspect.crash_records[start]
        self._leave(content, start)
        if not suspect.crash_records:
            del self._suspects[content]

    def _drop_all(self, content: bytes) -> None:
        for start in self._suspects.pop(content).crash_records:
            self._leave(content, start)

    def _leave(self, content: bytes, start: fleet.Incarnation) -> None:
        there = self._at_start[start]
        there.discard(content)
        if not there:
            del self._at_start[start]

    def _keep_bounds(self) -> None:
        over = len(self._suspects) - _CONTENTS_MOST
        if over > 0:
            # Sorted is stable: of those as deep the oldest go first.
            ranked = sorted(
                self._suspects, key=lambda c: self._suspects[c].depth
            )
            for content in ranked[:over]:
                self._drop_all(content)
        while len(self._cleared) > _CONTENTS_MOST:
            del self._cleared[next(iter(self._cleared))]
        while len(self._common) > _CONTENTS_MOST:
            del self._common[next(iter(self._common))]
