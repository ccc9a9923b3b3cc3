"""Quarantine of poison requests, which crash the endpoints that run them.

An instance whose attempt broke off checks whether the endpoint has crashed: no
process listens at its address then. If so, it announces the contents that were
in progress there to all instances, and the parts of their prompts, which other
contents may have too; `decisions.suspicion` decides which are blocked. An
isolated instance, which knows no other one, holds such contents back until it
has contact; see `decisions.isolation`. The lease holder repeats what is known
periodically, for instances that start or were disconnected, and stores the
blocked contents, so that they survive a crash of all instances.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import random

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import contents
from wayslip.decisions import fleet
from wayslip.decisions import isolation
from wayslip.decisions import sound_parts
from wayslip.decisions import suspicion
from wayslip.gateway import background
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import blocked_contents as blocked_contents_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import peer_broadcast as peer_broadcast_module

_LOG = logging.getLogger(__name__)
# Pauses before each announcement of a change. It is repeated because a lost
# datagram may cost another endpoint.
_ANNOUNCE_PAUSES_SECONDS = (0.0, 0.2, 0.8, 1.5)
# Interval between the lease holder's announcements. An instance that starts or
# was disconnected is to be informed within 3 s.
_REANNOUNCE_PERIOD_SECONDS = 1.0
# How long the lease holder repeats a content with a single crash, so that
# instances that missed it know of it when it is requested again.
_REANNOUNCE_WINDOW_SECONDS = 15.0
# Interval at which the lease holder updates the stored contents.
_STEP_SECONDS = 0.25
# Maximum number of recently answered contents, at 100 bytes each. They are
# remembered so that a common content in progress at a crash counts no more than
# others.
_MAX_ANSWERED = 2000
# From this long after its first event on, a stream can't have crashed its
# endpoint, which crashes as it begins to write.
_WRITTEN_SECONDS = 0.3
# Limit of the wait for a look before a request is repeated; a look at an
# endpoint that crashed takes some milliseconds.
_OWN_LOOK_SECONDS = 0.05
# Maximum random delay before an exemption is announced, so that one of the
# instances that saw the content answered announces it instead of all.
_EXEMPT_JITTER_SECONDS = 0.05
# Interval at which an isolated instance checks for contact.
_CONTACT_POLL_SECONDS = 0.05
# Interval at which an isolated instance that has something to tell reads who
# holds the lease. Its checks of the lease itself are further apart.
_LOOK_UP_SECONDS = 0.1
# Lower bound of the retry time of a content that is held back: a few round
# trips, as the hold may end while the request is refused.
_MIN_HELD_RETRY_SECONDS = 0.1
# Interval between probe requests of a blocked content; longer than requests
# take.
_PROBE_PERIOD_SECONDS = 20.0
# Crash records are some 60 bytes each.
_MAX_RECORDS_PER_DATAGRAM = 300


@dataclasses.dataclass
class _BrokenAttempts:
    """Attempts that broke off at one incarnation of an endpoint."""

    at: float
    # Determines whether the endpoint crashed.
    look: asyncio.Task[None]
    crash_records: dict[bytes, suspicion.CrashRecord] = dataclasses.field(
        default_factory=dict
    )


# Returns if an endpoint can be reached; raises NobodyListensError if its
# process has ended, and NotSentError if that can't be told.
Probe = Callable[[fleet.Endpoint], Awaitable[None]]


class Quarantine:
    """What this instance knows of poison requests. Event loop only."""

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
            store: Where blocked contents are stored.
            leadership: The lease.
            peer_broadcast: Sends to the other instances.
            metrics: Where crashes and contents are counted.
            reporter: The name of this instance.
            find_pause: Returns the seconds to wait before an attempt that
                other instances make too; given what a single instance would
                wait.
        """
        self._reporter = reporter
        self._find_pause = find_pause
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self._metrics = metrics
        self._suspicion = suspicion.Suspicion()
        # When blocked contents were last probed here; holds those only.
        self._probed_at: dict[bytes, float] = {}
        self._answered: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._sound_parts = sound_parts.SoundParts()
        self._broken_attempts: dict[fleet.Incarnation, _BrokenAttempts] = {}
        self._background_tasks = background.BackgroundTasks("quarantine_failed")
        self._blocked_contents = blocked_contents_module.BlockedContents(
            store, find_pause, self._add_records
        )
        self._blocked: frozenset[bytes] = frozenset()
        self._held = isolation.HeldContents()
        self._contact_task: asyncio.Task[None] | None = None
        self._announced_at = 0.0

    # For requests

    def __bool__(self) -> bool:
        """Whether any content is under suspicion."""
        return bool(self._suspicion)

    @property
    def is_looking(self) -> bool:
        """Whether attempts may have to wait for looks at endpoints.

        An instance with peers does not wait: the others count its attempts.
        """
        if self._peer_broadcast.awaits_first_reports:
            return bool(self._broken_attempts) or bool(self._held)
        return bool(self._broken_attempts) and self._peer_broadcast.is_isolated

    async def wait_for_looks(self, content: bytes) -> bool:
        """Waits until it is known whether endpoints crashed under a content.

        Each look is bounded by the time limit for connecting. A new lease
        holder then waits for what the others may know of the content.

        Returns:
            Whether there was anything to wait for.
        """
        has_waited = False
        while self.is_looking and (looks := self._list_looks(content)):
            has_waited = True
            await asyncio.wait(looks)
        while self._awaits_reports_of(content):
            has_waited = True
            await asyncio.sleep(_CONTACT_POLL_SECONDS)
        return has_waited

    async def wait_for_own_look(self, content: bytes) -> None:
        """Waits, for a moment, until it is known why an attempt broke off.

        Each repeat of a request that crashes endpoints may crash another one.
        """
        looks = self._list_looks(content)
        if looks:
            await asyncio.wait(looks, timeout=_OWN_LOOK_SECONDS)

    def _awaits_reports_of(self, content: bytes) -> bool:
        return (
            self._peer_broadcast.awaits_first_reports
            and content in self._held.list_untold()
        )

    def _list_looks(self, content: bytes) -> list[asyncio.Task[None]]:
        """Returns the pending looks at endpoints that may have crashed.

        Contents that were answered before crash no endpoint.
        """
        return [
            broken.look
            for broken in self._broken_attempts.values()
            if (record := broken.crash_records.get(content))
            and record.attempts
            and not broken.look.done()
        ]

    def find_depth(self, content: bytes) -> int:
        """Returns the depth of suspicion of a content."""
        return self._suspicion.find_depth(content)

    def find_block(self, identity: contents.Identity) -> bytes | None:
        """Returns why a request must not be sent to any endpoint.

        Returns:
            Its content or a part of its prompt; None if it may be sent.
        """
        if self._held.is_held(identity.content, clock.now()):
            return identity.content
        return self._suspicion.find_block(identity)

    def begin_probe(self, content: bytes) -> bool:
        """Returns whether a blocked content is to be sent as a probe now.

        Only the lease holder probes, so that at most one endpoint crashes.
        """
        now = clock.now()
        if not self._leadership.is_held:
            return False
        if not self._suspicion.may_probe(content, now):
            return False
        if (
            now - self._probed_at.get(content, float("-inf"))
            < _PROBE_PERIOD_SECONDS
        ):
            return False
        self._probed_at[content] = now
        logs.event(_LOG, "content_tried", content=content.hex())
        return True

    def find_left(self, content: bytes) -> float:
        """Returns the seconds for which a refused content stays refused."""
        now = clock.now()
        if self._suspicion.is_blocked(content):
            return self._suspicion.find_left(content, now)
        return max(self._held.find_left(content, now), _MIN_HELD_RETRY_SECONDS)

    def note_answer(
        self, identity: contents.Identity, is_success: bool = True
    ) -> None:
        """Records that an endpoint answered a request, which clears it.

        Args:
            identity: What the request has in common with others.
            is_success: Whether the endpoint wrote an answer to the prompt,
                which clears its parts too.
        """
        content = identity.content
        self._answered[content] = None
        self._answered.move_to_end(content)
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)
        if self._suspicion:
            self.lift(content, "answered")
        if is_success:
            self._note_sound_parts(identity.parts)

    def _note_sound_parts(self, parts: Iterable[bytes]) -> None:
        self._sound_parts.note_answer(parts, clock.now())
        if not self._suspicion:
            return
        for part in parts:
            self.lift(part, "answered")

    def lift(self, content: bytes, reason: str) -> bool:
        """Clears a content; returns whether it was suspect."""
        self._held.release(content)
        crash_records = self._suspicion.list_crash_records(content)
        changed = self._suspicion.clear(crash_records, clock.now())
        if not changed:
            return False
        logs.event(
            _LOG,
            "content_cleared",
            content=content.hex(),
            reason=reason,
            ends=len(changed),
        )
        self._update_blocked()
        self._announce(facts.Suspects(cleared=tuple(changed)))
        return True

    def note_broken_attempt(
        self,
        endpoint: fleet.Endpoint,
        identity: contents.Identity,
        depth: int,
        probe: Probe,
        written_seconds: float = 0.0,
    ) -> None:
        """Records that an attempt broke off at an endpoint.

        Args:
            endpoint: Where it was sent.
            identity: What the request has in common with others.
            depth: The content's depth of suspicion when it was sent.
            probe: Finds out whether the endpoint's process has ended.
            written_seconds: For how long the endpoint had written an answer.
        """
        if endpoint.is_leaving:
            # Its process ends as planned, whatever requests are in progress.
            return
        start = endpoint.incarnation
        broken = self._broken_attempts.get(start)
        if broken is None:
            look = self._background_tasks.start(
                self._probe_endpoint(start, endpoint, probe)
            )
            broken = _BrokenAttempts(clock.now(), look)
            self._broken_attempts[start] = broken
        content = identity.content
        known = broken.crash_records.get(content)
        attempts = 0 if content in self._answered else 1
        broken.crash_records[content] = suspicion.CrashRecord(
            content,
            start.endpoint,
            start.born,
            depth if known is None else max(depth, known.depth),
            self._reporter,
            attempts if known is None else attempts + known.attempts,
        )
        if written_seconds < _WRITTEN_SECONDS:
            self._note_broken_parts(broken, identity, start)

    def _note_broken_parts(
        self,
        broken: _BrokenAttempts,
        identity: contents.Identity,
        start: fleet.Incarnation,
    ) -> None:
        """Records the parts of a prompt that may have crashed an endpoint."""
        now = clock.now()
        for part in identity.parts:
            if self._sound_parts.is_sound(part, now):
                continue
            record = suspicion.make_part_record(
                part, identity.content, start, self._reporter
            )
            known = broken.crash_records.get(part)
            broken.crash_records[part] = (
                record if known is None else record.merge(known)
            )

    async def _probe_endpoint(
        self,
        start: fleet.Incarnation,
        endpoint: fleet.Endpoint,
        probe: Probe,
    ) -> None:
        """Determines whether an endpoint crashed or only reset connections."""
        # Lets attempts that broke off at the same time be recorded first.
        await asyncio.sleep(0)
        try:
            await probe(endpoint)
        except errors.NobodyListensError:
            self._record_crash(start)
        except errors.NotSentError as e:
            # It may be unreachable, which shows nothing about the requests.
            logs.event(
                _LOG,
                "endpoint_not_looked_at",
                endpoint=start.endpoint,
                reason=e.reason,
            )
        finally:
            self._broken_attempts.pop(start, None)

    def _record_crash(self, start: fleet.Incarnation) -> None:
        """Records that an endpoint crashed and announces it."""
        broken = self._broken_attempts[start]
        crash_records = list(broken.crash_records.values())
        logs.event(
            _LOG,
            "endpoint_ended",
            logging.WARNING,
            endpoint=start.endpoint,
            born=start.born,
            seconds=f"{clock.now() - broken.at:.3f}",
            contents=",".join(m.content.hex()[:8] for m in crash_records),
        )
        self._metrics.count("endpoint_ends")
        changed = self._suspicion.add(crash_records, clock.now())
        self._update_blocked()
        if changed:
            self._announce(facts.Suspects(tuple(changed)))
        # Contents that were answered before crash no endpoint. Parts aren't
        # held: most of them are in all requests.
        held = [
            m.content for m in crash_records if m.attempts and not m.is_part
        ]
        if self._peer_broadcast.is_isolated:
            self._hold(held, "no other instance is known")
        elif self._peer_broadcast.awaits_first_reports:
            self._hold(held, "others may not have reported yet")

    def _hold(self, held: list[bytes], reason: str) -> None:
        """Holds contents back until other instances know of the crash."""
        if not held:
            return
        if self._contact_task is None or self._contact_task.done():
            self._contact_task = self._background_tasks.start(
                self._announce_on_contact()
                if self._peer_broadcast.is_isolated
                else self._release_after_reports()
            )
        self._held.note_crash(held, clock.now())
        logs.event(
            _LOG,
            "contents_held",
            reason=reason,
            contents=",".join(c.hex()[:8] for c in held),
        )

    async def _release_after_reports(self) -> None:
        """Ends the hold of a new lease holder once others can have reported."""
        while self._peer_broadcast.awaits_first_reports:
            await asyncio.sleep(_CONTACT_POLL_SECONDS)
        if self._peer_broadcast.is_isolated or self._peer_broadcast.has_peers:
            # What the others recorded is still on its way.
            await self._announce_on_contact()
            return
        untold = self._held.list_untold()
        for content in untold:
            self._held.release(content)
        logs.event(
            _LOG,
            "held_contents_released",
            reason="no other instance reported",
            contents=len(untold),
        )

    async def _announce_on_contact(self) -> None:
        """Announces what was recorded in isolation once that has ended."""
        began = clock.now()
        holder = None
        look_up = None
        while self._peer_broadcast.is_isolated:
            if look_up is None or look_up.done():
                look_up = self._background_tasks.start(self._look_up_holder())
            if holder != self._leadership.holder_address:
                # It may have ended since it wrote its address, so that this is
                # no contact, but it is the first that can be told.
                holder = self._leadership.holder_address
                self._announce(self._list_suspects(self._held.list_untold()))
            await asyncio.sleep(_CONTACT_POLL_SECONDS)
        now = clock.now()
        told = self._held.note_contact(now)
        logs.event(
            _LOG,
            "held_contents_announced",
            contents=len(told),
            seconds=f"{now - began:.3f}",
        )
        self._announce(self._list_suspects(told))

    async def _look_up_holder(self) -> None:
        """Reads who holds the lease, to have somebody to tell."""
        await self._leadership.look_up()
        await asyncio.sleep(self._find_pause(_LOOK_UP_SECONDS))

    def _list_suspects(self, suspects: Iterable[bytes]) -> facts.Suspects:
        return facts.Suspects(
            tuple(
                record
                for content in suspects
                for record in self._suspicion.list_crash_records(content)
            )
        )

    def _update_blocked(self) -> None:
        """Updates the blocked contents and logs the changes."""
        blocked = frozenset(self._suspicion.list_blocked())
        for content in blocked - self._blocked:
            crash_records = self._suspicion.list_crash_records(content)
            logs.event(
                _LOG,
                "content_condemned",
                logging.WARNING,
                content=content.hex(),
                ends=",".join(sorted({m.endpoint for m in crash_records})),
                attempts=sum(m.attempts for m in crash_records),
                depth=self._suspicion.find_depth(content),
                is_part=crash_records[0].is_part,
            )
            self._metrics.count("contents", outcome="condemned")
            if content in self._answered:
                self._background_tasks.start(self._exempt(content))
        for content in self._blocked - blocked:
            logs.event(_LOG, "content_released", content=content.hex())
            self._metrics.count("contents", outcome="released")
        self._blocked = blocked
        self._probed_at = {
            c: t for c, t in self._probed_at.items() if c in blocked
        }

    async def _exempt(self, content: bytes) -> None:
        """Announces that a content was answered here, unless others did."""
        await asyncio.sleep(random.uniform(0, _EXEMPT_JITTER_SECONDS))
        changed = self._suspicion.exempt((content,), clock.now())
        if changed:
            logs.event(_LOG, "content_is_common", content=content.hex())
            self._update_blocked()
            self._announce(facts.Suspects(common=tuple(changed)))

    # Between instances

    def apply(self, message: facts.Suspects) -> None:
        """Applies an announcement of another instance."""
        now = clock.now()
        self._suspicion.clear(message.cleared, now)
        self._suspicion.exempt(message.common, now)
        if self._suspicion.add(message.crash_records, now):
            # Has the lease holder repeat it at once, for instances that the
            # sender does not know.
            self._announced_at = 0.0
        sound = [
            m.content
            for m in message.crash_records
            if m.is_part and self._sound_parts.is_sound(m.content, now)
        ]
        if sound:
            self._background_tasks.start(self._clear_sound_parts(sound))
        self._update_blocked()

    async def _clear_sound_parts(self, parts: list[bytes]) -> None:
        """Clears parts that were answered here, unless others did."""
        await asyncio.sleep(
            random.uniform(0, self._find_pause(_EXEMPT_JITTER_SECONDS))
        )
        for part in parts:
            self.lift(part, "answered lately")

    def _announce(self, message: facts.Suspects) -> None:
        self._background_tasks.start(self._announce_repeatedly(message))

    async def _announce_repeatedly(self, message: facts.Suspects) -> None:
        for pause in _ANNOUNCE_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            self._broadcast(message)

    def _broadcast(self, message: facts.Suspects) -> None:
        longest = max(
            len(message.crash_records),
            len(message.cleared),
            len(message.common),
        )
        for i in range(0, longest, _MAX_RECORDS_PER_DATAGRAM):
            chunk = facts.Suspects(
                message.crash_records[i : i + _MAX_RECORDS_PER_DATAGRAM],
                message.cleared[i : i + _MAX_RECORDS_PER_DATAGRAM],
                message.common[i : i + _MAX_RECORDS_PER_DATAGRAM],
            )
            self._peer_broadcast.broadcast(chunk)

    def _reannounce(self) -> None:
        """Repeats what other instances may have missed."""
        now = clock.now()
        if now - self._announced_at < _REANNOUNCE_PERIOD_SECONDS:
            return
        self._announced_at = now
        suspects = self._list_suspects(
            self._suspicion.list_to_share(now - _REANNOUNCE_WINDOW_SECONDS)
        )
        cleared = self._suspicion.list_cleared()[-_MAX_RECORDS_PER_DATAGRAM:]
        if suspects.crash_records or cleared:
            self._broadcast(
                dataclasses.replace(suspects, cleared=tuple(cleared))
            )

    # The lease holder

    def begin_term(self) -> None:
        """Has the stored contents read again, as some may be unknown here."""
        self._blocked_contents.begin_term()
        self._announced_at = 0.0

    async def run(self) -> None:
        """Drops old records, and as lease holder announces and stores them.

        Runs until cancelled.
        """
        self._background_tasks.start(self._blocked_contents.read_at_start())
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            now = clock.now()
            self._held.forget(now)
            if self._suspicion.forget(now):
                self._update_blocked()
            if not self._leadership.is_held:
                continue
            self._reannounce()
            try:
                await self._sync_store()
            except errors.ObjectError as e:
                logs.event(
                    _LOG,
                    "suspects_not_kept",
                    logging.WARNING,
                    reason=e.reason,
                )

    async def _sync_store(self) -> None:
        """Stores the blocked contents; reads those stored first in a term."""
        if await self._blocked_contents.read():
            # Instances that started at the same time are informed at once.
            self._announced_at = 0.0
            self._reannounce()
        await self._blocked_contents.sync(
            self._blocked, self._suspicion.list_crash_records
        )

    def _add_records(
        self, crash_records: Iterable[suspicion.CrashRecord]
    ) -> None:
        self._suspicion.add(crash_records, clock.now())
        self._update_blocked()

    def close(self) -> None:
        """Cancels pending announcements and checks."""
        self._background_tasks.cancel()

    def dump(self) -> list[dict[str, object]]:
        """Returns suspect contents for the state dump, blocked ones first."""
        now = clock.now()
        found: list[dict[str, object]] = []
        for content in self._suspicion.list_contents(1):
            crash_records = self._suspicion.list_crash_records(content)
            found.append(
                {
                    "content": content.hex(),
                    "is_part": crash_records[0].is_part,
                    "is_condemned": content in self._blocked,
                    "depth": self._suspicion.find_depth(content),
                    "ends": sorted({m.endpoint for m in crash_records}),
                    "attempts": sum(m.attempts for m in crash_records),
                    "seconds_left": round(
                        self._suspicion.find_left(content, now), 1
                    ),
                }
            )
        return sorted(found, key=lambda one: not one["is_condemned"])
