"""Keeps requests that end endpoints away from them, at all instances.

An instance whose attempt breaks off looks whether the endpoint has ended: then
nobody listens at its address. If so, all instances hear what was on its way
there; `decisions.suspicion` judges. The lease's holder tells what is known
again and again, for those that start or were cut off, and keeps what is
condemned in the store, for when all instances end together.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import random

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import suspicion
from wayslip.gateway import background
from wayslip.gateway import blocked_contents as blocked_contents_module
from wayslip.gateway import facts
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import peer_broadcast as peer_broadcast_module
from wayslip.gateway import store as store_module
from wayslip.http1 import client

_LOG = logging.getLogger(__name__)
# What was seen is told at once and again after these, seconds: a datagram that
# is lost costs an endpoint more.
_REPEATS = (0.0, 0.2, 0.8, 1.5)
# Between statements of the holder, seconds: an instance that starts or comes
# back from a cut is to have it within three.
_TELL_SECONDS = 1.0
# What came up only once is told again by the holder for so long, seconds: those
# that did not hear it are to know of it when it comes again.
_OPEN_SECONDS = 15.0
# Between the holder's looks at what it has to keep in the store, seconds.
_STEP_SECONDS = 0.25
# Contents that endpoints answered lately, so that a common one on its way to an
# endpoint that ends is no worse than others; each takes 100 bytes.
_ANSWERED_MOST = 2000
# Instances that have all seen a content answered speak at different times, so
# that one of them does, seconds.
_EXCUSE_SECONDS = 0.05
# Between trials of a condemned content, seconds: longer than requests take.
_TRIAL_PAUSE = 20.0
# Marks of one datagram, some 60 bytes each.
_PART = 300


@dataclasses.dataclass
class _Breaks:
    """Attempts that broke off at one start of an endpoint."""

    at: float
    crash_records: dict[bytes, suspicion.CrashRecord] = dataclasses.field(
        default_factory=dict
    )


Open = Callable[[tuple[str, int]], Awaitable[client.Connection]]


class Quarantine:
    """What this instance knows of such requests. On the event loop only."""

    def __init__(
        self,
        store: store_module.Store,
        leadership: leadership_module.Leadership,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        metrics: metrics_module.Metrics,
        reporter: str,
        find_pause: Callable[[float], float],
    ) -> None:
        """Initializes without any knowledge.

        Args:
            store: Where what is condemned is kept.
            leadership: Of the lease.
            peer_broadcast: The other instances.
            metrics: Where ends and contents are counted.
            reporter: The name of this instance.
            find_pause: Returns the seconds to wait before an attempt that
                others make too; given what one instance alone would wait.
        """
        self._witness = reporter
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self._metrics = metrics
        self._suspicion = suspicion.Suspicion()
        # When condemned contents were last tried here; bounded by those.
        self._tried: dict[bytes, float] = {}
        self._answered: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._breaks: dict[fleet.Start, _Breaks] = {}
        self._background_tasks = background.BackgroundTasks("quarantine_failed")
        self._kept = blocked_contents_module.BlockedContents(
            store, find_pause, self._learn
        )
        self._condemned: frozenset[bytes] = frozenset()
        self._told_at = 0.0

    # For requests

    def __bool__(self) -> bool:
        """Whether any content is under suspicion."""
        return bool(self._suspicion)

    def find_depth(self, content: bytes) -> int:
        """Returns how deep a content is in suspicion."""
        return self._suspicion.find_depth(content)

    def is_blocked(self, content: bytes) -> bool:
        """Whether a content should reach no endpoint."""
        return self._suspicion.is_blocked(content)

    def begin_trial(self, content: bytes) -> bool:
        """Returns whether a condemned content is to be sent once more now.

        Only the lease's holder tries, so that one endpoint at most ends.
        """
        now = clock.now()
        if not self._leadership.is_held:
            return False
        if not self._suspicion.may_be_tried(content, now):
            return False
        if now - self._tried.get(content, float("-inf")) < _TRIAL_PAUSE:
            return False
        self._tried[content] = now
        logs.event(_LOG, "content_tried", content=content.hex())
        return True

    def find_left(self, content: bytes) -> float:
        """Returns the seconds for which a condemned content stays so."""
        return self._suspicion.find_left(content, clock.now())

    def note_answer(self, content: bytes) -> None:
        """Notes that an endpoint answered a content: it ends none."""
        self._answered[content] = None
        self._answered.move_to_end(content)
        if len(self._answered) > _ANSWERED_MOST:
            self._answered.popitem(last=False)
        if self._suspicion:
            self.lift(content, "answered")

    def lift(self, content: bytes, reason: str) -> bool:
        """Clears a content; returns whether it was under suspicion."""
        crash_records = self._suspicion.list_crash_records(content)
        news = self._suspicion.clear(crash_records, clock.now())
        if not news:
            return False
        logs.event(
            _LOG,
            "content_cleared",
            content=content.hex(),
            reason=reason,
            ends=len(news),
        )
        self._note_condemned()
        self._tell(facts.Suspects(cleared=tuple(news)))
        return True

    def note_broken_attempt(
        self,
        endpoint: fleet.Endpoint,
        content: bytes,
        depth: int,
        open_connection: Open,
    ) -> None:
        """Notes that an attempt broke off at an endpoint.

        Args:
            endpoint: Where it was sent.
            content: What was asked for.
            depth: How deep that was in suspicion when it was sent.
            open_connection: Makes a connection to an address; raises
                NobodyListensError if the endpoint's process is gone.
        """
        if endpoint.is_leaving:
            # It ends as planned, whatever is on its way there.
            return
        start = endpoint.start
        breaks = self._breaks.get(start)
        if breaks is None:
            breaks = _Breaks(clock.now())
            self._breaks[start] = breaks
            self._background_tasks.start(
                self._look(start, endpoint, open_connection)
            )
        known = breaks.crash_records.get(content)
        attempts = 0 if content in self._answered else 1
        breaks.crash_records[content] = suspicion.CrashRecord(
            content,
            start.endpoint,
            start.born,
            depth if known is None else max(depth, known.depth),
            self._witness,
            attempts if known is None else attempts + known.attempts,
        )

    async def _look(
        self,
        start: fleet.Start,
        endpoint: fleet.Endpoint,
        open_connection: Open,
    ) -> None:
        """Finds out whether an endpoint has ended, or broke off only."""
        # What breaks off in the same moment is to be there first.
        await asyncio.sleep(0)
        try:
            address = addresses.split_address(endpoint.address)
            connection = await open_connection(address)
            connection.close()
        except errors.NobodyListensError:
            self._confirm(start)
        except errors.NotSentError as e:
            # It may be cut off, which says nothing of the requests.
            logs.event(
                _LOG,
                "endpoint_not_looked_at",
                endpoint=start.endpoint,
                reason=e.reason,
            )
        finally:
            self._breaks.pop(start, None)

    def _confirm(self, start: fleet.Start) -> None:
        """Takes in that an endpoint ended, and tells everybody."""
        breaks = self._breaks[start]
        crash_records = list(breaks.crash_records.values())
        logs.event(
            _LOG,
            "endpoint_ended",
            logging.WARNING,
            endpoint=start.endpoint,
            born=start.born,
            seconds=f"{clock.now() - breaks.at:.3f}",
            contents=",".join(m.content.hex()[:8] for m in crash_records),
        )
        self._metrics.count("endpoint_ends")
        news = self._suspicion.add(crash_records, clock.now())
        self._note_condemned()
        if news:
            self._tell(facts.Suspects(tuple(news)))

    def _note_condemned(self) -> None:
        """Logs what came to be condemned, or is so no longer."""
        condemned = frozenset(self._suspicion.list_blocked())
        for content in condemned - self._condemned:
            crash_records = self._suspicion.list_crash_records(content)
            logs.event(
                _LOG,
                "content_condemned",
                logging.WARNING,
                content=content.hex(),
                ends=",".join(sorted({m.endpoint for m in crash_records})),
                attempts=sum(m.attempts for m in crash_records),
                depth=self._suspicion.find_depth(content),
            )
            self._metrics.count("contents", outcome="condemned")
            if content in self._answered:
                self._background_tasks.start(self._exempt(content))
        for content in self._condemned - condemned:
            logs.event(_LOG, "content_released", content=content.hex())
            self._metrics.count("contents", outcome="released")
        self._condemned = condemned
        self._tried = {c: t for c, t in self._tried.items() if c in condemned}

    async def _exempt(self, content: bytes) -> None:
        """Tells that a content was answered here, unless others do."""
        await asyncio.sleep(random.uniform(0, _EXCUSE_SECONDS))
        news = self._suspicion.exempt((content,), clock.now())
        if news:
            logs.event(_LOG, "content_is_common", content=content.hex())
            self._note_condemned()
            self._tell(facts.Suspects(common=tuple(news)))

    # Between instances

    def take(self, told: facts.Suspects) -> None:
        """Takes in what another instance tells."""
        now = clock.now()
        self._suspicion.clear(told.cleared, now)
        self._suspicion.exempt(told.common, now)
        if self._suspicion.add(told.crash_records, now):
            # As the lease's holder, for those whom the sender does not know.
            self._told_at = 0.0
        self._note_condemned()

    def _tell(self, told: facts.Suspects) -> None:
        self._background_tasks.start(self._repeat(told))

    async def _repeat(self, told: facts.Suspects) -> None:
        for pause in _REPEATS:
            await asyncio.sleep(pause)
            self._spread(told)

    def _spread(self, told: facts.Suspects) -> None:
        most = max(len(told.crash_records), len(told.cleared), len(told.common))
        for i in range(0, most, _PART):
            part = facts.Suspects(
                told.crash_records[i : i + _PART],
                told.cleared[i : i + _PART],
                told.common[i : i + _PART],
            )
            self._peer_broadcast.broadcast(part)

    def _tell_again(self) -> None:
        """Tells what others may have missed."""
        now = clock.now()
        if now - self._told_at < _TELL_SECONDS:
            return
        self._told_at = now
        contents = self._suspicion.list_open(now - _OPEN_SECONDS)
        crash_records = [
            m for c in contents for m in self._suspicion.list_crash_records(c)
        ]
        cleared = self._suspicion.list_cleared()[-_PART:]
        if crash_records or cleared:
            self._spread(facts.Suspects(tuple(crash_records), tuple(cleared)))

    # The lease's holder

    def begin_term(self) -> None:
        """Has the store read, because what it holds may not be known here."""
        self._kept.begin_term()
        self._told_at = 0.0

    async def run(self) -> None:
        """Forgets, and as the lease's holder tells and keeps, for ever."""
        self._background_tasks.start(self._kept.read_at_start())
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            if self._suspicion.forget(clock.now()):
                self._note_condemned()
            if not self._leadership.is_held:
                continue
            self._tell_again()
            try:
                await self._keep()
            except errors.ObjectError as e:
                logs.event(
                    _LOG,
                    "suspects_not_kept",
                    logging.WARNING,
                    reason=e.reason,
                )

    async def _keep(self) -> None:
        """Keeps in the store what is condemned; reads it first in a term."""
        if await self._kept.read():
            # Whoever started with us is to hear of it at once.
            self._told_at = 0.0
            self._tell_again()
        await self._kept.keep(
            self._condemned, self._suspicion.list_crash_records
        )

    def _learn(self, crash_records: Iterable[suspicion.CrashRecord]) -> None:
        self._suspicion.add(crash_records, clock.now())
        self._note_condemned()

    def close(self) -> None:
        """Ends what is still to be told or looked at."""
        self._background_tasks.cancel()

    def dump(self) -> list[dict[str, object]]:
        """Returns the contents that are under suspicion, condemned first."""
        found: list[dict[str, object]] = []
        for content in self._suspicion.list_contents(1):
            crash_records = self._suspicion.list_crash_records(content)
            found.append(
                {
                    "content": content.hex(),
                    "is_condemned": content in self._condemned,
                    "depth": self._suspicion.find_depth(content),
                    "ends": sorted({m.endpoint for m in crash_records}),
                    "attempts": sum(m.attempts for m in crash_records),
                    "seconds_left": round(self.find_left(content), 1),
                }
            )
        return sorted(found, key=lambda one: not one["is_condemned"])
