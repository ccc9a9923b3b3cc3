"""Exchanges the endpoints' speeds: reports to the lease holder, and its states.

An instance that hears an endpoint state something unexpected reports it to the
holder at once, and the holder announces it to all. Both collect what else comes
up until the next message is due. Without a holder, an instance uses what it
hears itself. Nothing is sent unless endpoints state a time factor.
"""

import asyncio
from collections.abc import Callable
import math

from wayslip import addresses
from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import speed
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import peer_broadcast as peer_broadcast_module
from wayslip.gateway.sharing import view as view_module

# Shortest interval between two messages: a sixth of a spell, so that others
# hear of one while most of it is left.
_INTERVAL_SECONDS = 0.1
# Reports that the holder receives from all instances together each second, and
# states that a fleet does; each costs its receiver about 0.1 ms.
_MAX_REPORTS_PER_SECOND = 400
_MAX_STATES_PER_SECOND = 1000
# Speeds in one message; each takes about 40 bytes of a datagram's 30 KB.
_MAX_SPEEDS = 400
# Time factors of peers outside of these bounds are mistakes.
_MIN_SLOWDOWN = 0.1
_MAX_SLOWDOWN = 100.0
# An own factor that was estimated from less is not sent: it is near 1 whatever
# the endpoint's is, and would replace what others know.
_MIN_OBSERVED_SECONDS = 1.0


class SpeedExchange:
    """Sends and receives speeds. Used on the event loop only."""

    def __init__(
        self,
        name: str,
        view: view_module.EndpointView,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        peer_broadcast: peer_broadcast_module.PeerBroadcast,
        count_instances: Callable[[], int],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes without a message to send.

        Args:
            name: Name of this instance.
            view: The endpoints and their speeds.
            hub: Sends reports.
            leadership: Who the holder is.
            peer_broadcast: Sends states to all instances.
            count_instances: Returns how many instances there are.
            metrics: Counts messages and records the age of statements.
        """
        self._name = name
        self._view = view
        self._hub = hub
        self._leadership = leadership
        self._peer_broadcast = peer_broadcast
        self._count_instances = count_instances
        self._metrics = metrics
        self._sent_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        view.speeds.on_news = self._schedule

    def _schedule(self) -> None:
        """Sends news now, or when the next message is due."""
        if self._timer is not None:
            return
        is_held = self._leadership.is_held
        most = _MAX_STATES_PER_SECOND if is_held else _MAX_REPORTS_PER_SECOND
        interval = max(_INTERVAL_SECONDS, self._count_instances() / most)
        delay = max(self._sent_at + interval - clock.now(), 0.0)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._send)

    def _send(self) -> None:
        self._timer = None
        self._sent_at = clock.now()
        speeds = tuple(
            _make_sample(start, known, self._sent_at)
            for start, known in self._view.speeds.take_news(_MAX_SPEEDS)
        )
        if not speeds:
            return
        if self._view.speeds.has_news:
            self._schedule()
        if self._leadership.is_held:
            term = self._leadership.seen_term
            self._peer_broadcast.broadcast(facts.SpeedState(term, speeds))
            self._metrics.count("speeds_sent", len(speeds), kind="state")
            return
        holder = self._leadership.holder_address
        if holder is None:
            return
        report = facts.SpeedReport(self._name, speeds)
        self._hub.send(report, addresses.split_address(holder))
        self._metrics.count("speeds_sent", len(speeds), kind="report")

    def take_report(self, report: facts.SpeedReport) -> None:
        """Merges a report if this instance is the holder."""
        if not self._leadership.is_held:
            return
        for sample in report.speeds:
            endpoint = self._find_endpoint(sample)
            if endpoint is not None:
                self._view.speeds.merge(endpoint, sample.slowdown, sample.age)

    def apply_state(self, state: facts.SpeedState) -> None:
        """Applies the holder's state, unless it is of an earlier term."""
        if state.term < self._leadership.seen_term or self._leadership.is_held:
            return
        for sample in state.speeds:
            endpoint = self._find_endpoint(sample)
            if endpoint is None:
                continue
            self._metrics.latency("speed_age").observe(sample.age)
            self._view.speeds.apply(
                endpoint, sample.own, sample.slowdown, sample.age
            )

    def _find_endpoint(
        self, sample: facts.SpeedSample
    ) -> fleet.Endpoint | None:
        """Returns the endpoint if its incarnation is the listed one."""
        tracked = self._view.tracked.get(sample.endpoint)
        if tracked is None or not _is_plausible(sample):
            return None
        start = fleet.Incarnation(sample.endpoint, sample.born)
        return (
            tracked.endpoint if tracked.endpoint.incarnation == start else None
        )


def _is_plausible(sample: facts.SpeedSample) -> bool:
    numbers = (sample.own, sample.slowdown, sample.age)
    if not all(isinstance(n, int | float) for n in numbers):
        return False
    return (
        all(math.isfinite(n) and n >= 0 for n in numbers)
        and _MIN_SLOWDOWN <= sample.slowdown <= _MAX_SLOWDOWN
    )


def _make_sample(
    start: fleet.Incarnation, known: speed.Speed, now: float
) -> facts.SpeedSample:
    return facts.SpeedSample(
        start.endpoint,
        start.born,
        round(known.own, 3) if known.observed >= _MIN_OBSERVED_SECONDS else 0.0,
        round(known.slowdown, 2),
        round(max(now - known.stated_at, 0.0), 3),
    )
