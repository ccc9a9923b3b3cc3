"""How long work takes at the endpoints, as this instance knows it."""

from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import logs
from wayslip.decisions import demand
from wayslip.decisions import fleet
from wayslip.decisions import hold_times
from wayslip.decisions import selection
from wayslip.decisions import speed

_LOG = logging.getLogger(__name__)
# Time constant with which older requests decay: an instance of a large fleet
# sends a few in this time.
_DECAY_SECONDS = 4.0


class EndpointSpeeds:
    """Speeds of the listed endpoints. Used on the event loop only.

    A service is active once one of its endpoints stated a time factor. For the
    others all factors are 1 and costs are as if nothing had been stated.

    Attributes:
        on_news: Called when there is something that others should hear of.
    """

    def __init__(self) -> None:
        self.on_news: Callable[[], None] = lambda: None
        self._speeds = speed.Speeds()
        self._hold_times = hold_times.HoldTimes()
        # Seconds of slots that this instance asks for, by service.
        self._work: demand.Rates[str] = demand.Rates(_DECAY_SECONDS)
        # Incarnations that stated a factor, by service.
        self._active: dict[str, set[fleet.Incarnation]] = {}
        # Incarnations whose last statement was not sent yet.
        self._news: dict[fleet.Incarnation, None] = {}

    def is_active(self, service: str) -> bool:
        """Whether an endpoint of a service stated a time factor."""
        return bool(self._active.get(service))

    def note_load(self, endpoint: fleet.Endpoint, load: fleet.Load) -> None:
        """Records the load that a listed endpoint stated just now."""
        if load.slowdown is None:
            return
        start = endpoint.incarnation
        now = clock.now()
        expected = self._speeds.find_factor(start, now)
        is_news = self._speeds.note(start, load.slowdown, now)
        self._active.setdefault(endpoint.service, set()).add(start)
        if not is_news:
            return
        logs.event(
            _LOG,
            "endpoint_speed",
            endpoint=start.endpoint,
            born=start.born,
            stated=load.slowdown,
            expected=f"{expected:.2f}",
            own=f"{self._speeds.find_own(start, now):.2f}",
        )
        self._announce(start)

    def apply(
        self,
        endpoint: fleet.Endpoint,
        own: float,
        slowdown: float,
        age: float,
    ) -> None:
        """Records what the lease holder knows of a listed endpoint."""
        start = endpoint.incarnation
        self._speeds.adopt(start, own, slowdown, clock.now() - age)
        self._active.setdefault(endpoint.service, set()).add(start)

    def merge(
        self, endpoint: fleet.Endpoint, slowdown: float, age: float
    ) -> None:
        """Records a statement that another instance reported."""
        start = endpoint.incarnation
        known = self._speeds.get(start)
        stated_at = clock.now() - age
        if known is not None and stated_at <= known.stated_at:
            return
        self._speeds.note(start, slowdown, stated_at)
        self._active.setdefault(endpoint.service, set()).add(start)
        self._announce(start)

    def _announce(self, start: fleet.Incarnation) -> None:
        self._news[start] = None
        self.on_news()

    @property
    def has_news(self) -> bool:
        """Whether there are speeds that were not sent yet."""
        return bool(self._news)

    def take_news(
        self, limit: int
    ) -> list[tuple[fleet.Incarnation, speed.Speed]]:
        """Removes and returns speeds that were not sent yet."""
        found = []
        for start in list(self._news)[:limit]:
            del self._news[start]
            known = self._speeds.get(start)
            if known is not None:
                found.append((start, known))
        return found

    def forget(self, endpoint: fleet.Endpoint) -> None:
        """Removes an incarnation that is not listed any more."""
        start = endpoint.incarnation
        self._speeds.forget(start)
        self._news.pop(start, None)
        known = self._active.get(endpoint.service)
        if known is not None:
            known.discard(start)

    # Use

    def find_factor(self, endpoint: fleet.Endpoint, now: float) -> float:
        """Returns the time factor that is expected of an endpoint now."""
        return self._speeds.find_factor(endpoint.incarnation, now)

    def find_own(self, endpoint: fleet.Endpoint) -> float:
        """Returns the time factor that an endpoint has outside of spells."""
        return self._speeds.find_own(endpoint.incarnation, clock.now())

    def find_queue_cost(self, endpoint: fleet.Endpoint) -> float:
        """Returns the delay per queued request at factor 1, seconds."""
        known = None
        if self.is_active(endpoint.service):
            known = self._hold_times.find_queue_cost(
                endpoint.service, endpoint.slots
            )
        return selection.QUEUE_COST if known is None else known

    def learn_hold_time(self, endpoint: fleet.Endpoint, seconds: float) -> None:
        """Records how long a completed request held a slot."""
        if not self.is_active(endpoint.service):
            return
        # A long answer averages over spells.
        if seconds > speed.SPELL_SECONDS:
            factor = self.find_own(endpoint)
        else:
            factor = self.find_factor(endpoint, clock.now())
        self._hold_times.learn(endpoint.service, seconds, factor)

    def note_request(self, endpoint: fleet.Endpoint) -> None:
        """Counts a request without a model that is sent to an endpoint."""
        if self.is_active(endpoint.service):
            cost = self.find_queue_cost(endpoint)
            self._work.add(endpoint.service, cost, clock.now())

    def find_work(self, service: str) -> float:
        """Returns the work of this instance's requests without a model.

        Returns:
            Seconds by which they lengthen queues at a usual endpoint, a second;
            0 for a service that is not active.
        """
        return self._work.get(service, clock.now())
