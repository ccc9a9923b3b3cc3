"""What the planner tells the instances, and how often."""

from collections.abc import Mapping
import time

from wayslip.decisions import fleet
from wayslip.gateway import books as books_module
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import members as members_module
from wayslip.gateway import ordering as ordering_module
from wayslip.gateway import view as view_module

# Demand is told to every instance this often, seconds; it fades in 4.
_RATES_SECONDS = 0.8


class Teller:
    """Makes the planner's statements and sends them."""

    def __init__(
        self,
        view: view_module.EndpointView,
        leadership: leadership_module.Leadership,
        ordering: ordering_module.Ordering,
        members: members_module.Members,
        hub: hub_module.Hub,
    ) -> None:
        self._view = view
        self._leadership = leadership
        self._ordering = ordering
        self._members = members
        self._hub = hub
        self._rates_told = 0.0

    @property
    def _books(self) -> Mapping[str, books_module.Book]:
        return self._ordering.books

    def answer(self, source: hub_module.Address, is_blind: bool) -> None:
        """Answers an instance's report."""
        listed = self._list_endpoints() if is_blind else ()
        self._hub.send(self._make_state(listed=listed), source)

    def tell_all(self, rates: tuple[facts.Rate, ...] = ()) -> None:
        """Tells all instances at once."""
        if not self._leadership.is_held:
            # Series that end because the lease was lost come here too; their
            # word would be taken for the next holder's.
            return
        state = self._make_state(rates)
        for address in self._members.addresses():
            self._hub.send(state, address)

    def tell_rates(self) -> None:
        """Tells the demand, if it was not told lately."""
        now = time.monotonic()
        if now - self._rates_told >= _RATES_SECONDS:
            self._rates_told = now
            self.tell_all(self._members.list_rates())

    def _list_endpoints(self) -> tuple[facts.Listed, ...]:
        """Returns the list for an instance that can not read it."""
        return tuple(
            facts.Listed(
                t.endpoint.name,
                t.endpoint.service,
                t.endpoint.address,
                t.endpoint.data_hall,
                t.endpoint.slots,
                t.endpoint.is_leaving,
                tuple(
                    f"{m}/{a}" if a else m
                    for m, a in fleet.list_items(t.endpoint.models)
                ),
            )
            for t in self._view.tracked.values()
        )

    def _make_state(
        self,
        rates: tuple[facts.Rate, ...] = (),
        listed: tuple[facts.Listed, ...] = (),
    ) -> facts.State:
        now = time.monotonic()
        return facts.State(
            term=self._leadership.seen_term,
            revision=self._leadership.revision,
            is_holder=self._leadership.is_valid,
            instances=tuple(f"{h}:{p}" for h, p in self._members.addresses()),
            usages=tuple(self._members.total_usages().values()),
            words=tuple(self._list_words(now)),
            arrivals=tuple(self._list_arrivals(now)),
            claims=tuple(
                facts.ClaimRevision(name, seen.revision)
                for name, seen in self._ordering.claims.items()
            ),
            rates=rates,
            listed=listed,
        )

    def _list_words(self, now: float) -> list[facts.Word]:
        words = []
        for name, book in self._books.items():
            for model, adapter in book.removed:
                words.append(facts.Word(name, model, adapter, False, 0.0))
            listed = book.listed()
            for item in book.usable() - listed:
                seconds = max(book.added.get(item, now) - now, 0.0)
                words.append(facts.Word(name, *item, True, seconds))
        return words

    def _list_arrivals(self, now: float) -> list[facts.Arrival]:
        return [
            facts.Arrival(
                book.endpoint.name,
                book.endpoint.service,
                model,
                max(at - now, 0.0),
                (model, "") in book.charged(),
            )
            for book in self._books.values()
            for model, at in book.ready_at.items()
        ]
