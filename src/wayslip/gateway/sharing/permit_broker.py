"""Permits for endpoints that name a rate limit for all instances together.

Before an instance sends a request to such an endpoint it asks the lease holder
for a permit, which is granted at once, with a delay, or not at all. The lease
holder takes permits from its own buckets, for its reports and orders too. See
`decisions.permits`.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import logging

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip.decisions import fleet
from wayslip.decisions import permits
from wayslip.gateway.sharing import endpoint_notices as endpoint_notices_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import peer_broadcast as peer_broadcast_module

_LOG = logging.getLogger(__name__)
# Time-out of the lease holder's response: a round trip, and a plan that it may
# be computing.
RESPONSE_TIMEOUT_SECONDS = 0.1
# Without a lease holder, the pause before an instance considers a limited
# endpoint again that is left to other instances.
_EXCLUDED_RETRY_SECONDS = 1.0
# Buckets that are kept; the least recently used are dropped.
_MAX_BUCKETS = 2000
# Maximum time to wait for a permit; then the own share is used, since the
# holder may have ended.
_MAX_PERMIT_WAIT_SECONDS = 0.3
# Interval at which a question that waits at the holder is repeated.
_WAITING_REPEAT_SECONDS = 0.25
_DRAW_BYTES = 4
# Questions without an answer that are remembered; the oldest are dropped.
_MAX_GIVEN_UP = 1000


class _Buckets:
    """Permit buckets by incarnation of an endpoint."""

    def __init__(self, burst: float) -> None:
        """Initializes without buckets.

        Args:
            burst: Maximum number of permits that a bucket accumulates.
        """
        self._burst = burst
        self._buckets: dict[fleet.Incarnation, permits.PermitBucket] = {}

    def take(
        self, start: fleet.Incarnation, rate: float, max_wait: float
    ) -> permits.Verdict:
        """Takes a permit from an endpoint's bucket."""
        now = clock.now()
        bucket = self._buckets.pop(start, None)
        if bucket is None:
            bucket = permits.PermitBucket.begin(rate, now, self._burst)
        elif bucket.rate != rate:
            bucket = bucket.change_rate(rate, now)
        bucket, verdict = bucket.take(max_wait, now)
        self._buckets[start] = bucket
        if len(self._buckets) > _MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        return verdict

    def give_back(self, start: fleet.Incarnation) -> None:
        """Returns a permit to an endpoint's bucket, if there is one."""
        bucket = self._buckets.get(start)
        if bucket is not None:
            self._buckets[start] = bucket.give_back(clock.now())

    def discard(self, start: fleet.Incarnation) -> None:
        """Drops an endpoint's bucket with the permits accumulated there."""
        self._buckets.pop(start, None)

    def clear(self) -> None:
        """Drops all buckets."""
        self._buckets.clear()


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenUp:
    """A question that nobody waits for any more.

    Attributes:
        holder: Address of the lease holder that was asked.
        give_back: Called with the question's number if it is granted.
    """

    holder: str
    give_back: Callable[[int], None]


class PermitBroker:
    """Requests and grants permits. Used on the event loop only."""

    def __init__(
        self,
        name: str,
        notices: endpoint_notices_module.EndpointNotices,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        has_holder_contact: Callable[[], bool],
        count_instances: Callable[[], int],
    ) -> None:
        """Initializes without known limits.

        Args:
            name: Name of this instance.
            notices: Notices of endpoints, with their limits.
            hub: Sends datagrams.
            leadership: Knows the lease holder.
            peer_broadcast: Announces limits to the other instances.
            has_holder_contact: Returns whether the lease holder was heard from
                recently.
            count_instances: Returns how many instances there are.
        """
        self._name = name
        self._notices = notices
        self._hub = hub
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self.has_holder_contact = has_holder_contact
        self.count_instances = count_instances
        self._granted = _Buckets(permits.BURST)
        self._calls = _Buckets(1.0)
        # This instance's share of limits, without contact to a lease holder.
        self._local = _Buckets(1.0)
        self._pending: dict[int, asyncio.Queue[facts.PermitResponse]] = {}
        # What to do if a question is granted after it was given up.
        self._given_up: dict[int, _GivenUp] = {}
        self._last_number = 0

    # Limits that endpoints name

    def note_answer(
        self,
        endpoint: fleet.Endpoint,
        limit: float | None,
        sent_at: float,
    ) -> None:
        """Records the limit that an answer names, or that it names none.

        Args:
            endpoint: The endpoint that answered.
            limit: Requests per second, None for no limit.
            sent_at: When the answer's request was sent, steady seconds.
        """
        start = endpoint.incarnation
        if not self._notices.note_limit(start, limit, sent_at):
            return
        self._log(start, limit, self._name)
        update = facts.Limited(start.endpoint, start.born, limit)
        self._peer_broadcast.broadcast(update)

    def apply_update(self, update: facts.Limited, source: str) -> None:
        """Records a limit that another instance announced."""
        start = fleet.Incarnation(update.endpoint, update.born)
        if not self._notices.note_limit(start, update.limit, clock.now()):
            return
        self._log(start, update.limit, source)
        self._peer_broadcast.forward_as_holder(update)

    def _log(
        self, start: fleet.Incarnation, limit: float | None, source: str
    ) -> None:
        logs.event(
            _LOG,
            "endpoint_limit",
            endpoint=start.endpoint,
            born=start.born,
            limit="none" if limit is None else limit,
            source=source,
        )

    # Requesting permits

    async def take(
        self, endpoint: fleet.Endpoint, max_wait: float, request_id: str
    ) -> permits.Verdict:
        """Takes a permit for one request.

        Args:
            endpoint: The endpoint to send the request to.
            max_wait: Seconds that the request can wait before it is sent.
            request_id: Id of the request, for the log.

        Returns:
            A verdict; a granted permit can't be returned.
        """
        limit = self._notices.find_limit(endpoint.incarnation)
        if limit is None:
            return permits.GRANTED
        verdict, source = await self._decide(
            endpoint.incarnation, limit, max_wait
        )
        logs.event(
            _LOG,
            "permit_asked_for",
            request=request_id,
            endpoint=endpoint.name,
            limit=limit,
            patience=f"{max_wait:.2f}",
            granted=verdict.is_granted,
            wait=f"{verdict.wait:.2f}",
            source=source,
        )
        return verdict

    async def _decide(
        self, start: fleet.Incarnation, limit: float, max_wait: float
    ) -> tuple[permits.Verdict, str]:
        if self._leadership.is_held:
            return self._granted.take(start, limit, max_wait), "own"
        response = await self.ask_holder(
            lambda number: facts.PermitRequest(
                number, start.endpoint, start.born, limit, max_wait
            ),
            lambda number: self._give_back(start),
            min(max_wait, _MAX_PERMIT_WAIT_SECONDS),
        )
        if response is not None:
            # The local share accumulates only without a lease holder.
            self._local.discard(start)
            return permits.Verdict(response.is_granted, response.wait), "holder"
        return self._take_from_share(start, limit, max_wait), "part"

    async def ask_holder(
        self,
        make_request: Callable[[int], facts.Message],
        give_back: Callable[[int], None],
        max_wait: float = 0.0,
        is_repeatable: bool = False,
    ) -> facts.PermitResponse | None:
        """Asks the lease holder; returns None if it doesn't answer.

        While the holder has the question wait, it is repeated now and then, in
        case the grant was lost.

        Args:
            make_request: Returns the message with a number; a
                `PermitResponse` answers it.
            give_back: Called with the number if what was asked for is granted
                and nobody waits for it any more.
            max_wait: Seconds to wait for an answer; the time-out at least.
            is_repeatable: Whether the holder tells a repeated message from a
                new one by its number.
        """
        holder = self._leadership.holder_address
        if holder is None or not self.has_holder_contact():
            return None
        number = self.draw_number()
        message = make_request(number)
        answers: asyncio.Queue[facts.PermitResponse] = asyncio.Queue()
        self._pending[number] = answers
        response = None
        until = clock.now() + max(max_wait, RESPONSE_TIMEOUT_SECONDS)
        send_at = clock.now()
        try:
            while (now := clock.now()) < until:
                if now >= send_at:
                    self._hub.send(message, addresses.split_address(holder))
                    send_at = until
                    if is_repeatable:
                        send_at = now + _find_repeat_seconds(response)
                answer = await _get(answers, min(send_at, until) - now)
                response = answer or response
                if answer is not None and not answer.is_waiting:
                    return answer
            return response
        finally:
            del self._pending[number]
            if response is None or response.is_waiting:
                self._give_up(number, _GivenUp(holder, give_back), answers)

    def draw_number(self) -> int:
        """Returns a number that no question of this instance has had."""
        self._last_number += 1
        return self._last_number

    def _give_up(
        self,
        number: int,
        question: _GivenUp,
        answers: asyncio.Queue[facts.PermitResponse],
    ) -> None:
        """Has what is granted to a question from now on given back."""
        self._given_up[number] = question
        if len(self._given_up) > _MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]
        while not answers.empty():
            self.apply_response(answers.get_nowait())

    def _give_back(self, start: fleet.Incarnation) -> None:
        """Returns a permit that was not used to the lease holder."""
        holder = self._leadership.holder_address
        if holder is None:
            return
        message = facts.PermitReturn(start.endpoint, start.born)
        self._hub.send(message, addresses.split_address(holder))

    def _take_from_share(
        self, start: fleet.Incarnation, limit: float, max_wait: float
    ) -> permits.Verdict:
        """Takes a permit from this instance's share of a limit."""
        share = permits.find_share(
            limit, self.count_instances(), draw(self._name, start)
        )
        if share is None:
            return permits.Verdict(False, _EXCLUDED_RETRY_SECONDS)
        return self._local.take(start, share, max_wait)

    # Granting permits

    def answer(
        self, request: facts.PermitRequest, source: hub_module.Address
    ) -> None:
        """Answers another instance, if this instance holds the lease."""
        if not self._leadership.is_held:
            return
        start = fleet.Incarnation(request.endpoint, request.born)
        known = self._notices.find_limit(start)
        limit = request.limit if known is None else min(request.limit, known)
        verdict = self._granted.take(start, limit, request.max_wait)
        response = facts.PermitResponse(
            request.number, verdict.is_granted, verdict.wait
        )
        self._hub.send(response, source)

    def apply_response(self, response: facts.PermitResponse) -> None:
        """Applies the lease holder's response; what comes late is returned."""
        answers = self._pending.get(response.number)
        if answers is not None:
            answers.put_nowait(response)
            return
        question = self._given_up.get(response.number)
        if question is None or response.is_waiting:
            return
        del self._given_up[response.number]
        logs.event(
            _LOG,
            "grant_came_late",
            number=response.number,
            granted=response.is_granted,
        )
        if (
            response.is_granted
            and question.holder == self._leadership.holder_address
        ):
            question.give_back(response.number)

    def apply_return(self, message: facts.PermitReturn) -> None:
        """Takes a permit back that another instance did not use."""
        if self._leadership.is_held:
            start = fleet.Incarnation(message.endpoint, message.born)
            self._granted.give_back(start)

    def begin_term(self) -> None:
        """Starts to grant permits as the new lease holder."""
        self._granted.clear()

    def may_call(self, endpoint: fleet.Endpoint) -> bool:
        """Whether the lease holder may request a report or send an order now.

        If so, this takes a permit.
        """
        limit = self._notices.find_limit(endpoint.incarnation)
        if limit is None:
            return True
        share = max(limit, permits.MIN_RATE) * permits.INTERNAL_CALLS_SHARE
        may_call = (
            self._calls.take(endpoint.incarnation, share, 0.0).is_granted
            and self._granted.take(endpoint.incarnation, limit, 0.0).is_granted
        )
        if not may_call:
            logs.event(
                _LOG, "call_put_off", endpoint=endpoint.name, limit=limit
            )
        return may_call


def _find_repeat_seconds(response: facts.PermitResponse | None) -> float:
    """Returns after how long a question is repeated.

    Args:
        response: The last answer; it says that the question waits.
    """
    if response is None:
        return RESPONSE_TIMEOUT_SECONDS
    return _WAITING_REPEAT_SECONDS


async def _get(
    answers: asyncio.Queue[facts.PermitResponse], seconds: float
) -> facts.PermitResponse | None:
    """Returns the next answer, None if none comes in time."""
    try:
        async with asyncio.timeout(seconds):
            return await answers.get()
    except TimeoutError:
        return None


def draw(name: str, start: fleet.Incarnation) -> float:
    """Returns a number from [0, 1), the same for an instance and endpoint."""
    text = f"{name}/{start.endpoint}/{start.born}".encode()
    digest = hashlib.blake2b(text, digest_size=_DRAW_BYTES).digest()
    return int.from_bytes(digest, "big") / 256**_DRAW_BYTES
