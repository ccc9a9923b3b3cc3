"""Requests, grants and returns places at brittle endpoints.

See `decisions.places`. Before an instance sends a request to an endpoint that
announces to be brittle, it asks the lease holder for a place, and returns it
once the request has left the endpoint. Without a holder it keeps to its share.
"""

import asyncio
import dataclasses
import logging
import math

from wayslip import addresses
from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import concurrency
from wayslip.decisions import fleet
from wayslip.decisions import place_ledger
from wayslip.decisions import places as places_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import held_places
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import peer_broadcast as peer_broadcast_module
from wayslip.gateway.sharing import permit_broker as permit_broker_module
from wayslip.gateway.sharing import view as view_module

_LOG = logging.getLogger(__name__)
# Without an answer of the lease holder, the wait that a request is told.
_SHARE_RETRY_SECONDS = 0.5
# A holder that is heard and answers no question for this long grants no places.
_MAX_UNANSWERED_SECONDS = 1.0
# The same for one that answered before; it may be late under load.
_MAX_LATE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """A verdict, where it came from, and the question's number."""

    verdict: place_ledger.Verdict
    source: str
    number: int = 0


class PlaceBroker:
    """Places at brittle endpoints. Used on the event loop only."""

    def __init__(
        self,
        name: str,
        view: view_module.EndpointView,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        permit_broker: permit_broker_module.PermitBroker,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes without brittle endpoints.

        Args:
            name: Name of this instance.
            view: What this instance knows of the endpoints.
            hub: Sends datagrams.
            leadership: Knows the lease holder.
            peer_broadcast: Announces to the other instances.
            permit_broker: Asks the lease holder.
            metrics: Where verdicts are counted.
        """
        self._name = name
        self._view = view
        self._hub = hub
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self._permit_broker = permit_broker
        self._metrics = metrics
        self._granting = places_module.Places()
        # Places that this instance holds, by endpoint.
        self._held: dict[fleet.Incarnation, int] = {}
        # Since when the lease holder answered no question, infinite if it did.
        self._unanswered_since = math.inf
        # The holder that last answered one, by its address.
        self._answered_by: str | None = None
        # Where the answers to other instances' questions go.
        self._askers: dict[str, hub_module.Address] = {}
        # Requests of this instance that wait while it holds the lease.
        self._own_waiting: dict[int, asyncio.Event] = {}

    # What endpoints announce

    def note_answer(
        self, endpoint: fleet.Endpoint, allowed: int | None, sent_at: float
    ) -> None:
        """Records whether an answer announces that its endpoint is brittle.

        Args:
            endpoint: The endpoint that answered.
            allowed: Refusals a second that it bears, None if it is not
                brittle.
            sent_at: When the answer's request was sent, steady seconds.
        """
        if not self._view.notices.note_brittle(endpoint, allowed, sent_at):
            return
        self._announce(endpoint.incarnation, allowed)

    def note_refusal(
        self, endpoint: fleet.Endpoint, load: fleet.Load | None
    ) -> None:
        """Records that a brittle endpoint refused a request for lack of room.

        Args:
            endpoint: The endpoint.
            load: What it stated with the refusal.
        """
        allowed = self._view.notices.find_brittle(endpoint)
        if allowed is None:
            return
        places = self._find_places(endpoint) - 1
        if load is not None:
            places = min(places, load.running + load.waiting)
        start = endpoint.incarnation
        self._view.notices.note_depth(start, max(places, 1))
        self._announce(start, allowed, max(places, 1))

    def _announce(
        self, start: fleet.Incarnation, allowed: int | None, places: int = 0
    ) -> None:
        self._log(start, allowed, places, self._name)
        self._peer_broadcast.broadcast(
            facts.Brittle(start.endpoint, start.born, allowed, places)
        )

    def apply_update(self, update: facts.Brittle, source: str) -> None:
        """Records what another instance heard of an endpoint."""
        tracked = self._view.tracked.get(update.endpoint)
        start = fleet.Incarnation(update.endpoint, update.born)
        if tracked is None or tracked.endpoint.incarnation != start:
            return
        now = clock.now()
        notices = self._view.notices
        is_new = notices.note_brittle(tracked.endpoint, update.allowed, now)
        if update.places:
            is_new = notices.note_depth(start, update.places) or is_new
        if not is_new:
            return
        self._log(start, update.allowed, update.places, source)
        self._peer_broadcast.forward_as_holder(update)

    def _log(
        self,
        start: fleet.Incarnation,
        allowed: int | None,
        places: int,
        source: str,
    ) -> None:
        logs.event(
            _LOG,
            "endpoint_brittle",
            endpoint=start.endpoint,
            born=start.born,
            allowed="none" if allowed is None else allowed,
            places=places or "",
            source=source,
        )

    def _find_places(self, endpoint: fleet.Endpoint) -> int:
        return self._view.notices.find_places(endpoint)

    # Places of this instance

    async def take(
        self,
        endpoint: fleet.Endpoint,
        request_id: str,
        is_first: bool,
        max_wait: float = 0.0,
        may_queue: bool = False,
    ) -> held_places.Admission:
        """Takes a place for one request, if the endpoint is brittle.

        Args:
            endpoint: The endpoint to send the request to.
            request_id: Id of the request, for the log.
            is_first: Whether the request asks for the first time.
            max_wait: Seconds that the request can wait for an answer.
            may_queue: Whether it waits that long for a place too.
        """
        if self._view.notices.find_brittle(endpoint) is None:
            return held_places.Admission(True)
        places = self._find_places(endpoint)
        start = endpoint.incarnation
        question = place_ledger.Question(
            self._name,
            places,
            is_first=is_first,
            max_wait=max_wait if may_queue else 0.0,
        )
        decision = await self._decide(start, question, max_wait)
        verdict = decision.verdict
        if verdict.is_granted:
            self._held[start] = self._held.get(start, 0) + 1
        outcome = "granted" if verdict.is_granted else "refused"
        self._metrics.count("places", outcome=outcome)
        logs.event(
            _LOG,
            "room_asked_for",
            request=request_id,
            endpoint=endpoint.name,
            places=places,
            held=self._held.get(start, 0),
            granted=verdict.is_granted,
            wait=f"{verdict.wait:.2f}",
            source=decision.source,
        )
        if not verdict.is_granted:
            return held_places.Admission(False, verdict.wait)
        place = held_places.Place(start, decision.number, clock.now())
        return held_places.Admission(True, place=place)

    async def _decide(
        self,
        start: fleet.Incarnation,
        question: place_ledger.Question,
        max_wait: float,
    ) -> _Decision:
        if self._leadership.is_held:
            return await self._decide_own(start, question)
        has_contact = self._permit_broker.has_holder_contact()
        response = await self._ask(start, question, max_wait)
        if response is not None:
            self._unanswered_since = math.inf
            self._answered_by = self._leadership.holder_address
            verdict = place_ledger.Verdict(response.is_granted, response.wait)
            return _Decision(verdict, "holder", response.number)
        self._unanswered_since = min(self._unanswered_since, clock.now())
        if has_contact and not self._grants_nothing:
            # Its answer is late. A place of the own share might be one that it
            # has granted to another instance.
            verdict = place_ledger.Verdict(False, _SHARE_RETRY_SECONDS)
            return _Decision(verdict, "late")
        share = places_module.find_share(
            question.places,
            self._permit_broker.count_instances(),
            permit_broker_module.draw(self._name, start),
        )
        if self._held.get(start, 0) < share:
            # The number keeps its return from freeing a granted place.
            number = self._permit_broker.draw_number()
            return _Decision(place_ledger.Verdict(True), "part", number)
        verdict = place_ledger.Verdict(False, _SHARE_RETRY_SECONDS)
        return _Decision(verdict, "part")

    async def _decide_own(
        self, start: fleet.Incarnation, question: place_ledger.Question
    ) -> _Decision:
        """Grants a place to a request of this instance, the lease holder."""
        number = self._permit_broker.draw_number()
        question = dataclasses.replace(question, number=number)
        verdict = self._granting.take(start, question, clock.now())
        if not verdict.is_waiting:
            return _Decision(verdict, "own", number)
        granted = self._own_waiting[number] = asyncio.Event()
        is_taken = False
        try:
            async with asyncio.timeout(question.max_wait):
                await granted.wait()
            is_taken = True
            return _Decision(place_ledger.Verdict(True), "own", number)
        except TimeoutError:
            return _Decision(verdict, "own", number)
        finally:
            del self._own_waiting[number]
            if not is_taken:
                self._return_place(
                    held_places.Place(start, number, clock.now()), False
                )

    async def _ask(
        self,
        start: fleet.Incarnation,
        question: place_ledger.Question,
        max_wait: float,
    ) -> facts.PermitResponse | None:
        """Asks the lease holder for a place.

        A question that is given up is taken back, since it may be granted all
        the same.
        """
        numbers: list[int] = []

        def make_request(number: int) -> facts.PlaceRequest:
            numbers.append(number)
            return facts.PlaceRequest(
                number,
                self._name,
                start.endpoint,
                start.born,
                question.places,
                question.is_first,
                question.max_wait,
            )

        def give_back(number: int) -> None:
            self._return_place(
                held_places.Place(start, number, clock.now()), False
            )

        response = None
        try:
            response = await self._permit_broker.ask_holder(
                make_request, give_back, max_wait, is_repeatable=True
            )
        finally:
            if response is None or response.is_waiting:
                for number in numbers:
                    give_back(number)
        return response

    @property
    def _grants_nothing(self) -> bool:
        """Whether the holder answers no questions, as a release before.

        One that has answered before is more likely late, and grants places
        meanwhile.
        """
        holder = self._leadership.holder_address
        has_answered = holder is not None and holder == self._answered_by
        silence = clock.now() - self._unanswered_since
        return silence > (
            _MAX_LATE_SECONDS if has_answered else _MAX_UNANSWERED_SECONDS
        )

    def give_back(self, place: held_places.Place, is_refused: bool) -> None:
        """Gives a place back.

        Args:
            place: The place.
            is_refused: Whether the endpoint refused the request for lack of
                room.
        """
        held = self._held.get(place.start, 0) - 1
        if held > 0:
            self._held[place.start] = held
        else:
            self._held.pop(place.start, None)
        self._return_place(place, is_refused)

    def _return_place(self, place: held_places.Place, is_refused: bool) -> None:
        """Tells the lease holder that a place is free again."""
        start, exchange = place.start, place.find_exchange()
        if self._leadership.is_held:
            self._granting.give_back(
                start,
                place_ledger.Return(
                    self._name, place.number, is_refused, exchange
                ),
                clock.now(),
            )
            self._grant_waiting()
            return
        holder = self._leadership.holder_address
        if holder is None:
            return
        message = facts.PlaceReturn(
            self._name, start.endpoint, start.born, is_refused, place.number
        )
        if exchange is not None:
            message = dataclasses.replace(
                message, is_answered=True, **dataclasses.asdict(exchange)
            )
        self._hub.send(message, addresses.split_address(holder))

    def note_load(
        self, endpoint: fleet.Endpoint, load: fleet.Load | None, sent_at: float
    ) -> None:
        """Tells the lease holder how many requests a brittle endpoint has.

        Args:
            endpoint: The endpoint.
            load: What it stated with an answer.
            sent_at: When the answer's request was sent, steady seconds.
        """
        if load is None or self._view.notices.find_brittle(endpoint) is None:
            return
        start, age = endpoint.incarnation, clock.now() - sent_at
        count = load.running + load.waiting
        if self._leadership.is_held:
            self._granting.note_concurrent(start, count, age, clock.now())
            self._grant_waiting()
            return
        holder = self._leadership.holder_address
        if holder is not None:
            message = facts.Concurrent(start.endpoint, start.born, count, age)
            self._hub.send(message, addresses.split_address(holder))

    # Granting

    def begin_term(self) -> None:
        """Starts to grant places as the new lease holder."""
        self._granting.begin(clock.now())
        self._askers.clear()

    def answer(
        self, request: facts.PlaceRequest, source: hub_module.Address
    ) -> None:
        """Answers another instance, if this instance holds the lease."""
        if not self._leadership.is_held:
            return
        start = fleet.Incarnation(request.endpoint, request.born)
        places = request.places
        tracked = self._view.tracked.get(request.endpoint)
        if tracked is not None and tracked.endpoint.incarnation == start:
            places = min(places, self._find_places(tracked.endpoint))
        self._askers[request.instance] = source
        question = place_ledger.Question(
            request.instance,
            places,
            request.number,
            request.is_first,
            request.max_wait,
        )
        verdict = self._granting.take(start, question, clock.now())
        response = facts.PermitResponse(
            request.number,
            verdict.is_granted,
            verdict.wait,
            verdict.is_waiting,
        )
        self._hub.send(response, source)

    def _grant_waiting(self) -> None:
        """Grants free places to the requests that wait for one."""
        if not self._leadership.is_held:
            # The next holder counts the places that are taken.
            return
        for start, question in self._granting.grant_waiting(clock.now()):
            logs.event(
                _LOG,
                "place_granted",
                endpoint=start.endpoint,
                instance=question.instance,
                number=question.number,
            )
            if question.instance != self._name:
                response = facts.PermitResponse(question.number, True, 0.0)
                self._hub.send(response, self._askers[question.instance])
            elif question.number in self._own_waiting:
                self._own_waiting[question.number].set()

    def apply_return(self, message: facts.PlaceReturn) -> None:
        """Records that another instance gave a place back."""
        exchange = None
        if message.is_answered:
            exchange = concurrency.Exchange(
                message.taken_at,
                message.sent_at,
                message.answered_at,
                message.returned_at,
                message.round_trip,
            )
        place = place_ledger.Return(
            message.instance, message.number, message.is_refused, exchange
        )
        start = fleet.Incarnation(message.endpoint, message.born)
        self._granting.give_back(start, place, clock.now())
        self._grant_waiting()

    def apply_concurrent(self, message: facts.Concurrent) -> None:
        """Records what another instance heard an endpoint state."""
        start = fleet.Incarnation(message.endpoint, message.born)
        self._granting.note_concurrent(
            start, message.count, message.age, clock.now()
        )
        self._grant_waiting()

    def note_report(self, report: facts.Report) -> None:
        """Applies what another instance reports to have in flight."""
        usages = {u.endpoint: u.in_flight for u in report.usages}
        self._granting.reconcile(report.instance, usages, clock.now())
        self._grant_waiting()

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint that is gone."""
        self._granting.forget(endpoint)
