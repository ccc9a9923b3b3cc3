"""Places at endpoints that name a limit for all instances together.

Whoever is about to send a request to one asks the lease's holder for a place
and gets it at once, a little later, or not. The holder asks its own accounts,
for its reports and orders too. See `decisions.places`.
"""

import asyncio
from collections.abc import Callable
import hashlib
import logging

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip.decisions import fleet
from wayslip.decisions import permits
from wayslip.gateway import endpoint_notices as endpoint_notices_module
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import peer_broadcast as peer_broadcast_module

_LOG = logging.getLogger(__name__)
# The holder's answer is waited for this long, seconds: a trip there and back,
# and a plan that it is at work on.
_ANSWER_SECONDS = 0.1
# An endpoint that is left to other instances is looked at again after this,
# seconds.
_LEFT_SECONDS = 1.0
# Accounts that are kept; the oldest are forgotten.
_ACCOUNTS_MOST = 2000
_DRAW_BYTES = 4


class _Accounts:
    """Accounts of endpoints, by their starts."""

    def __init__(self, burst: float) -> None:
        """Initializes without any.

        Args:
            burst: Places that each saves up at most.
        """
        self._burst = burst
        self._accounts: dict[fleet.Start, permits.PermitBucket] = {}

    def take(
        self, start: fleet.Start, rate: float, max_wait: float
    ) -> permits.Verdict:
        """Takes a place of an endpoint under a limit."""
        now = clock.now()
        account = self._accounts.pop(start, None)
        if account is None:
            account = permits.PermitBucket.begin(rate, now, self._burst)
        elif account.rate != rate:
            account = account.change_rate(rate, now)
        account, verdict = account.take(max_wait, now)
        self._accounts[start] = account
        if len(self._accounts) > _ACCOUNTS_MOST:
            del self._accounts[next(iter(self._accounts))]
        return verdict

    def begin_anew(self, start: fleet.Start) -> None:
        """Forgets what an endpoint's account has saved up."""
        self._accounts.pop(start, None)

    def clear(self) -> None:
        """Forgets all."""
        self._accounts.clear()


class PermitBroker:
    """Asks for places, and gives them out. Used on the event loop only."""

    def __init__(
        self,
        name: str,
        notices: endpoint_notices_module.EndpointNotices,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        hears_holder: Callable[[], bool],
        count_instances: Callable[[], int],
    ) -> None:
        """Initializes without any limit.

        Args:
            name: Of this instance.
            notices: What endpoints said of themselves.
            hub: Sends datagrams.
            leadership: Knows the lease's holder.
            peer_broadcast: Whom news concerns.
            hears_holder: Whether the holder was heard a moment ago.
            count_instances: Returns how many instances there are.
        """
        self._name = name
        self._words = notices
        self._hub = hub
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self._hears_holder = hears_holder
        self._count_instances = count_instances
        self._given = _Accounts(permits.BURST)
        self._calls = _Accounts(1.0)
        # By ourselves, while no holder is heard.
        self._own = _Accounts(1.0)
        self._asked: dict[int, asyncio.Future[permits.Verdict]] = {}
        self._number = 0

    # What endpoints say

    def note_answer(
        self,
        endpoint: fleet.Endpoint,
        limit: float | None,
        sent_at: float,
    ) -> None:
        """Takes in the limit that an answer names, or that it names none.

        Args:
            endpoint: Whose answer it is.
            limit: Requests a second, None for no limit.
            sent_at: When its request was sent, steady seconds.
        """
        start = endpoint.start
        if not self._words.note_limit(start, limit, sent_at):
            return
        self._log(start, limit, self._name)
        told = facts.Limited(start.endpoint, start.born, limit)
        self._peer_broadcast.broadcast(told)

    def apply_update(self, told: facts.Limited, source: str) -> None:
        """Takes in what another instance heard."""
        start = fleet.Start(told.endpoint, told.born)
        if not self._words.note_limit(start, told.limit, clock.now()):
            return
        self._log(start, told.limit, source)
        self._peer_broadcast.forward_as_holder(told)

    def _log(
        self, start: fleet.Start, limit: float | None, source: str
    ) -> None:
        logs.event(
            _LOG,
            "endpoint_limit",
            endpoint=start.endpoint,
            born=start.born,
            limit="none" if limit is None else limit,
            source=source,
        )

    # Asking

    async def take(
        self, endpoint: fleet.Endpoint, max_wait: float, request_id: str
    ) -> permits.Verdict:
        """Takes a place for one request.

        Args:
            endpoint: Where it is to be sent.
            max_wait: Seconds that it can wait before it is sent.
            request_id: Of the request.

        Returns:
            A verdict; a place that is granted is spent.
        """
        limit = self._words.find_limit(endpoint.start)
        if limit is None:
            return permits.FREE
        verdict, source = await self._decide(endpoint.start, limit, max_wait)
        logs.event(
            _LOG,
            "place_asked_for",
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
        self, start: fleet.Start, limit: float, max_wait: float
    ) -> tuple[permits.Verdict, str]:
        if self._leadership.is_held:
            return self._given.take(start, limit, max_wait), "own"
        if self._hears_holder():
            verdict = await self._ask(start, limit, max_wait)
            if verdict is not None:
                # Our part is saved up from when the holder falls silent.
                self._own.begin_anew(start)
                return verdict, "holder"
        return self._take_part(start, limit, max_wait), "part"

    async def _ask(
        self, start: fleet.Start, limit: float, max_wait: float
    ) -> permits.Verdict | None:
        """Asks the holder; returns None if it does not answer."""
        holder = self._leadership.holder_address
        if holder is None:
            return None
        self._number += 1
        number = self._number
        answer = asyncio.get_running_loop().create_future()
        self._asked[number] = answer
        ask = facts.PermitRequest(
            number, start.endpoint, start.born, limit, max_wait
        )
        self._hub.send(ask, addresses.split_address(holder))
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._asked[number]

    def _take_part(
        self, start: fleet.Start, limit: float, max_wait: float
    ) -> permits.Verdict:
        """Takes a place of our own part of a limit."""
        draw = _draw(self._name, start)
        part = permits.find_part(limit, self._count_instances(), draw)
        if part is None:
            return permits.Verdict(False, _LEFT_SECONDS)
        return self._own.take(start, part, max_wait)

    # Giving

    def answer(
        self, ask: facts.PermitRequest, source: hub_module.Address
    ) -> None:
        """Answers another instance, if we hold the lease."""
        if not self._leadership.is_held:
            return
        start = fleet.Start(ask.endpoint, ask.born)
        known = self._words.find_limit(start)
        limit = ask.limit if known is None else min(ask.limit, known)
        verdict = self._given.take(start, limit, ask.max_wait)
        told = facts.PermitResponse(
            ask.number, verdict.is_granted, verdict.wait
        )
        self._hub.send(told, source)

    def take_answer(self, told: facts.PermitResponse) -> None:
        """Takes in the holder's answer, unless it comes too late."""
        answer = self._asked.get(told.number)
        if answer is not None and not answer.done():
            answer.set_result(permits.Verdict(told.is_granted, told.wait))

    def begin_term(self) -> None:
        """Begins to give places out, as a new holder."""
        self._given.clear()

    def may_call(self, endpoint: fleet.Endpoint) -> bool:
        """Whether the holder may send a report or an order now.

        The place is spent then.
        """
        limit = self._words.find_limit(endpoint.start)
        if limit is None:
            return True
        share = max(limit, permits.LEAST_RATE) * permits.CALLS_SHARE
        may_call = (
            self._calls.take(endpoint.start, share, 0.0).is_granted
            and self._given.take(endpoint.start, limit, 0.0).is_granted
        )
        if not may_call:
            logs.event(
                _LOG, "call_put_off", endpoint=endpoint.name, limit=limit
            )
        return may_call


def _draw(name: str, start: fleet.Start) -> float:
    """Returns a number from [0, 1), the same for an instance and endpoint."""
    text = f"{name}/{start.endpoint}/{start.born}".encode()
    digest = hashlib.blake2b(text, digest_size=_DRAW_BYTES).digest()
    return int.from_bytes(digest, "big") / 256**_DRAW_BYTES
