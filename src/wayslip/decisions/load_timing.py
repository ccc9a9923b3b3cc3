"""Times that loads are planned and waited for with. Times are seconds.

Load pattern: more models are asked for than engines hold, and demand moves.
Where a load from the weight store takes six seconds and more, callers can't
wait for one, and every load is a rare, costly decision. Where it ends within
the longest target of the routes, callers can wait for the result, and pauses
between the steps of a load are a large part of it. What keeps an engine busy is
weighed a second at a time in both cases.

Another load pattern: orders are answered late or not at all while a model is
asked for many times a second. A load whose time has passed without a result
says little about when it ends; counted as due at once, it keeps the model from
being loaded elsewhere and sends its callers back in vain.
"""

import dataclasses
import statistics

from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import profile

# A load is overdue once it is late by this share of its duration: engines that
# share their host take that much longer without a fault.
_OVERDUE_SHARE = 0.5
# The same for every load: its result is known a report and an announcement
# later, and an order may need one repetition.
_OVERDUE_SECONDS = 1.0
# Least time that a load takes which has not been reported as done: reports and
# announcements each lag by some hundred milliseconds.
_MIN_REMAINING_SECONDS = 0.25
# Time from a request until instances know of the load that it causes: the next
# report to the holder, its next plan and its announcement.
_PLAN_SECONDS = 0.5
# Interval between reports while a step is awaited, as a share of the load: the
# pauses of a step's two orders then add as much to it on average.
_POLL_SHARE = 0.15
# More frequent reports show nothing new.
_MIN_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The times of one service's loads; the defaults suit loads of seconds.

    Attributes:
        horizon: A load must pay off within this, because demand moves to other
            models within half a minute, however long a load takes.
        min_resident: A loaded model is not evicted for this long, so that the
            requests that it was loaded for can be retried.
        load_loss_rate: Cost of keeping an engine busy with a load, requests
            per second, besides its adapters: another model may be needed more
            shortly after.
        load_loss_share: Additional cost where all other engines are busy too,
            as a share of the mean request rate of an engine: demand moves to a
            model that no engine holds, and no engine is free to load it.
            Without it, loads of six seconds for single requests kept all
            engines busy.
        unload: Unloading waits for the model's running requests.
        unknown_wait_share: Share of its target that a request waits without a
            known load. If the planner starts a load, it is announced by then.
        expected_wait_share: Share of its target that a request waits for a
            load that ends by then; the answer can still be in time.
        come_back: Retry-After without a known load, which the planner starts
            almost at once; a retry before its end would be refused again.
        poll: Interval between reports while a step is awaited; the list shows
            the result a heartbeat later.
        known_after: Time from the end of a load until instances know of it,
            as far as waits count it: a report's age and an announcement.
        is_prompt: Whether a load ends within the longest target.
    """

    horizon: float = 12.0
    min_resident: float = 4.0
    load_loss_rate: float = 0.12
    load_loss_share: float = 0.6
    unload: float = 1.5
    unknown_wait_share: float = 0.2
    expected_wait_share: float = 0.6
    come_back: float = 2.5
    poll: float = 0.4
    known_after: float = 0.0
    is_prompt: bool = False

    def find_return(self, load_seconds: float, target: float) -> float:
        """Returns when a client should return for a model without a load.

        The planner starts one for it. The client returns when the rest of the
        load is short enough for its second request to wait for it.
        """
        end = _PLAN_SECONDS + load_seconds
        return max(end - self.expected_wait_share * target, load_seconds)


DEFAULT = Timing()
# An engine that has just loaded a model has no queue for it: what is left of
# the target covers reading the prompt and the announcement.
_PROMPT_EXPECTED_WAIT_SHARE = 0.8
# Routes with a target that allows for a load wait until the load is announced.
_PROMPT_UNKNOWN_WAIT_SHARE = 0.3
# Reports are some hundred milliseconds old, and announcements are collected.
_KNOWN_SECONDS = 0.3


def find_timing(manifest: manifest_module.Manifest, service: str) -> Timing:
    """Returns the timing of a service; `DEFAULT` unless it holds requests."""
    if not profile.find_profile(manifest, service).holds_requests:
        return DEFAULT
    pool = manifest.services[service].pool
    assert pool is not None
    return derive(pool)


def derive(pool: manifest_module.Pool) -> Timing:
    """Returns the timing of a pool whose loads end within a target.

    Demand moves, requests run and clients return at their own pace, however
    short a load is, and a second of an engine is worth the same. So `horizon`,
    `min_resident`, `unload` and the costs stay.
    """
    load = statistics.median(m.load_s for m in pool.models.values())
    return Timing(
        unknown_wait_share=_PROMPT_UNKNOWN_WAIT_SHARE,
        expected_wait_share=_PROMPT_EXPECTED_WAIT_SHARE,
        poll=min(max(load * _POLL_SHARE, _MIN_POLL_SECONDS), DEFAULT.poll),
        known_after=_KNOWN_SECONDS,
        is_prompt=True,
    )


class Timings:
    """Timings by service, derived once for each manifest."""

    def __init__(self) -> None:
        self._manifest: manifest_module.Manifest | None = None
        self._known: dict[str, Timing] = {}

    def find(self, manifest: manifest_module.Manifest, service: str) -> Timing:
        """Returns the timing of a service."""
        if self._manifest is not manifest:
            self._manifest = manifest
            self._known = {}
        if service not in self._known:
            self._known[service] = find_timing(manifest, service)
        return self._known[service]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLoad:
    """A load that was planned or ordered.

    Attributes:
        ready_at: When it is expected to serve.
        seconds: Duration of the load alone.
    """

    ready_at: float
    seconds: float

    def estimate_remaining(self, now: float) -> float | None:
        """Returns the seconds until it can serve, None if it is overdue."""
        return estimate_remaining(self.ready_at - now, self.seconds)


def estimate_remaining(expected: float, seconds: float) -> float | None:
    """Returns the seconds until a load can serve, None if it is overdue.

    A load that is late is expected to take as long again as it is late.

    Args:
        expected: Seconds until it was expected to serve, negative if late.
        seconds: Duration of the load alone.
    """
    if expected < -(seconds * _OVERDUE_SHARE + _OVERDUE_SECONDS):
        return None
    return max(abs(expected), _MIN_REMAINING_SECONDS)
