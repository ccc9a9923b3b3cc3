"""Tells and asks other instances which software version began a stream.

See `decisions.stream_origins`. Keepers acknowledge what they are told, and are
told again until they do. That goes on beside the request, which waits for it
only if its stream was sent to two versions before its first event: a keeper
must not name the wrong one.
"""

import asyncio
import dataclasses
import logging

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fanout
from wayslip.decisions import stream_origins
from wayslip.gateway import background
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import peer_broadcast as peer_broadcast_module

_LOG = logging.getLogger(__name__)
# When keepers that did not acknowledge are told again: an answer takes a few
# milliseconds, and the last time outlasts a short freeze.
_REPEAT_SECONDS = (0.05, 0.15, 0.5, 1.0)
# For how long the first event is held for acknowledgements, if they are needed.
_CONFIRM_SECONDS = 0.3
# For how long the instances that should know are asked, and then all others.
_ASK_SECONDS = 0.08
_ASK_ALL_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What the instances that answered know of a stream.

    Attributes:
        origin: Its origin, None if none of them knows it.
        is_settled: Whether all others that are known answered.
    """

    origin: stream_origins.Origin | None
    is_settled: bool


class _Telling:
    """What the keepers of one stream were told by this instance.

    Attributes:
        told: Instances that were told any version.
        misled: Those that may still name an earlier version.
        unacknowledged: Those that did not acknowledge the last one.
        changed: Set when one of them did.
        is_finished: Whether no keeper is told again.
        is_answered: Whether the stream's request has ended here.
    """

    def __init__(self, origin: stream_origins.Origin) -> None:
        self.origin = origin
        self.told: set[str] = set()
        self.misled: set[str] = set()
        self.unacknowledged: set[str] = set()
        self.changed = asyncio.Event()
        self.is_finished = False
        self.is_answered = False

    def change(self, service: str, version: str) -> None:
        """Records that the stream is sent to another version."""
        self.origin = stream_origins.Origin(
            service, version, self.origin.number + 1
        )
        self.misled = set(self.told)

    def acknowledge(self, address: str) -> None:
        """Records that an instance knows the last version."""
        self.unacknowledged.discard(address)
        self.misled.discard(address)
        self.changed.set()


class _Question:
    """A question about one stream that awaits answers."""

    def __init__(self) -> None:
        self.origin: stream_origins.Origin | None = None
        self.source = ""
        self.negative: set[str] = set()
        self.changed = asyncio.Event()


class StreamRegistry:
    """Origins of streams, own and others'. Used on the event loop only."""

    def __init__(
        self,
        address: str,
        hub: hub_module.Hub,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes without origins.

        Args:
            address: Address of this instance for its peers, "IP:PORT".
            hub: Sends datagrams.
            peer_broadcast: Knows the other instances.
            metrics: Counts questions by their outcome.
        """
        self._address = address
        self._hub = hub
        self._peer_broadcast = peer_broadcast
        self._metrics = metrics
        self._origins = stream_origins.Origins()
        # Bounded by the streams in progress and those of `_REPEAT_SECONDS`.
        self._tellings: dict[str, _Telling] = {}
        self._questions: dict[int, _Question] = {}
        self._last_number = 0
        self._tasks = background.BackgroundTasks("origin_not_told")

    def dump(self) -> dict[str, int]:
        """Returns the state for operators."""
        return {"origins": len(self._origins), "telling": len(self._tellings)}

    def close(self) -> None:
        """Stops telling others."""
        self._tasks.cancel()

    def _list_others(self) -> list[fanout.Peer]:
        return [
            p
            for p in self._peer_broadcast.list_peers()
            if p.address != self._address
        ]

    # Telling

    def note_sent(self, stream: str, service: str, version: str) -> None:
        """Records and tells to which version a stream is sent."""
        telling = self._tellings.get(stream)
        if telling is None:
            known = self._origins.find(stream, clock.now())
            telling = _Telling(known or stream_origins.Origin(service, version))
            self._tellings[stream] = telling
        if (telling.origin.service, telling.origin.version) != (
            service,
            version,
        ):
            telling.change(service, version)
        self._origins.note(stream, telling.origin, clock.now())
        keepers = stream_origins.choose_keepers(stream, self._list_others())
        telling.told.update(keepers)
        telling.unacknowledged = set(telling.told)
        telling.is_finished = telling.is_answered = False
        self._tasks.start(self._tell(stream, telling, telling.origin))

    async def _tell(
        self,
        stream: str,
        telling: _Telling,
        origin: stream_origins.Origin,
    ) -> None:
        message = facts.StreamOrigin(
            stream, origin.service, origin.version, origin.number
        )
        for pause in _REPEAT_SECONDS:
            for keeper in telling.unacknowledged:
                self._hub.send(message, addresses.split_address(keeper))
            await _wait_until_empty(telling, telling.unacknowledged, pause)
            if telling.origin != origin:
                return
            if not telling.unacknowledged:
                break
        telling.is_finished = True
        self._drop_if_over(stream, telling)

    def note_ended(self, stream: str) -> None:
        """Records that a stream's request has ended here."""
        telling = self._tellings.get(stream)
        if telling is not None:
            telling.is_answered = True
            self._drop_if_over(stream, telling)

    def _drop_if_over(self, stream: str, telling: _Telling) -> None:
        if telling.is_finished and telling.is_answered:
            self._tellings.pop(stream, None)

    async def confirm(self, stream: str) -> bool:
        """Returns whether no keeper names a version that didn't begin a stream.

        To be called before its first event is forwarded.
        """
        telling = self._tellings.get(stream)
        if telling is None:
            return True
        await _wait_until_empty(telling, telling.misled, _CONFIRM_SECONDS)
        return not telling.misled

    def apply_acknowledgement(
        self, message: facts.StreamOriginKept, source: hub_module.Address
    ) -> None:
        """Records that a keeper knows an origin."""
        telling = self._tellings.get(message.stream)
        if telling is None or message.number != telling.origin.number:
            return
        telling.acknowledge(f"{source[0]}:{source[1]}")

    # Keeping

    def keep(
        self, message: facts.StreamOrigin, source: hub_module.Address
    ) -> None:
        """Records what another instance tells, and acknowledges it."""
        origin = stream_origins.Origin(
            message.service, message.version, message.number
        )
        self._origins.note(message.stream, origin, clock.now())
        kept = facts.StreamOriginKept(message.stream, message.number)
        self._hub.send(kept, source)

    def answer(self, message: facts.StreamQuestion) -> None:
        """Answers another instance."""
        origin = self._origins.find(message.stream, clock.now())
        answer = facts.StreamAnswer(message.number, self._address)
        if origin is not None:
            answer = facts.StreamAnswer(
                message.number,
                self._address,
                True,
                origin.service,
                origin.version,
                origin.number,
            )
        self._hub.send(answer, addresses.split_address(message.address))

    # Asking

    async def find(self, stream: str) -> Finding:
        """Looks a stream's origin up, and asks others if it is not known."""
        began = clock.now()
        origin = self._origins.find(stream, began)
        source, is_settled = "own", True
        if origin is None:
            question, is_settled = await self._ask(stream)
            origin, source = question.origin, question.source
        outcome = "unknown" if origin is None else "known"
        self._metrics.count("stream_origins", outcome=outcome)
        logs.event(
            _LOG,
            "stream_origin",
            stream=stream,
            version=origin.version if origin else "",
            source=source,
            seconds=f"{clock.now() - began:.3f}",
            outcome=outcome,
            settled=is_settled,
        )
        return Finding(origin, is_settled)

    async def _ask(self, stream: str) -> tuple[_Question, bool]:
        """Asks others; returns the question, and whether all answered it."""
        others = self._list_others()
        addresses_asked = {p.address for p in others}
        asked = stream_origins.choose_asked(stream, others)
        self._last_number += 1
        number = self._last_number
        message = facts.StreamQuestion(number, stream, self._address)
        question = self._questions[number] = _Question()
        try:
            for address in asked:
                self._hub.send(message, addresses.split_address(address))
            await self._wait_for_answer(question, set(asked), _ASK_SECONDS)
            if question.origin is None and others:
                self._hub.broadcast(message, others)
                await self._wait_for_answer(
                    question, addresses_asked, _ASK_ALL_SECONDS
                )
        finally:
            del self._questions[number]
        if question.origin is not None:
            self._origins.note(stream, question.origin, clock.now())
        # A process that has just started may not know any other.
        have_all_answered = addresses_asked <= question.negative
        is_settled = bool(others) and have_all_answered
        return question, question.origin is not None or is_settled

    async def _wait_for_answer(
        self, question: _Question, asked: set[str], seconds: float
    ) -> None:
        try:
            async with asyncio.timeout(seconds):
                while question.origin is None and asked - question.negative:
                    question.changed.clear()
                    await question.changed.wait()
        except TimeoutError:
            # Those that are silent don't count.
            return

    def apply_answer(self, message: facts.StreamAnswer) -> None:
        """Records the answer of another instance."""
        question = self._questions.get(message.number)
        if question is None:
            return
        if message.is_known:
            origin = stream_origins.Origin(
                message.service, message.version, message.origin_number
            )
            known = question.origin
            if known is None or known.number < origin.number:
                question.origin, question.source = origin, message.address
        else:
            question.negative.add(message.address)
        question.changed.set()


async def _wait_until_empty(
    telling: _Telling, addresses_left: set[str], seconds: float
) -> None:
    """Waits until all of some instances acknowledged, or the time is over."""
    try:
        async with asyncio.timeout(seconds):
            while addresses_left:
                telling.changed.clear()
                await telling.changed.wait()
    except TimeoutError:
        # The caller looks at those that are left.
        return
