"""Which endpoints this instance reaches over its own links.

An endpoint that can't be reached may have ended, or this instance's own links
may be cut. A single failure doesn't tell these apart; what another instance
sees of the same endpoint at the same time does. So a path counts as lost only
if this instance failed to connect and another instance connected.

Times are steady seconds. Endpoints are known by name.
"""

import dataclasses
import math

# Time within which this instance's failure and another one's success show
# together that a path is lost. Longer than a time limit for connecting.
_MATCH_SECONDS = 1.0
# Interval between attempts to connect over a lost path. Callers are served
# through other instances meanwhile, at the cost of a detour.
_MIN_TRIAL_SECONDS = 0.4
_MAX_TRIAL_SECONDS = 1.0
# Paths that fail at the same time, from which the fault is at this end. One or
# two endpoints end together where they share a host.
_MIN_SHARED_FAILURES = 2
# For how long a connection that was opened shows that the own links work.
_PROOF_SECONDS = 0.2
# A failure that wasn't repeated for this long no longer casts doubt.
_DOUBT_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _Path:
    """What is known of the path to an endpoint.

    Attributes:
        opened_at: When a connection was last opened.
        failed_at: When one could last not be opened.
        failing_since: When that began, without one opened since.
        silent_since: The same, for failures without any answer.
        reached_at: When another instance last connected to the endpoint.
        lost_at: Since when the path counts as lost, None if it doesn't.
        next_trial_at: When to try it again if it is lost.
    """

    opened_at: float = -math.inf
    failed_at: float = -math.inf
    failing_since: float = -math.inf
    silent_since: float = -math.inf
    reached_at: float = -math.inf
    lost_at: float | None = None
    next_trial_at: float = -math.inf


class Reachability:
    """The paths to all endpoints. It does no I/O."""

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}
        # When a connection to any endpoint was last opened.
        self._opened_at = -math.inf

    def note_opened(self, endpoint: str, now: float) -> float | None:
        """Records that a connection was opened.

        Returns:
            For how long the path was lost, None if it wasn't.
        """
        path = self._find(endpoint)
        path.opened_at = now
        self._opened_at = now
        lost_at, path.lost_at = path.lost_at, None
        return None if lost_at is None else now - lost_at

    def note_failed(self, endpoint: str, is_silent: bool, now: float) -> bool:
        """Records that no connection could be opened.

        Args:
            endpoint: The endpoint's name.
            is_silent: Whether there was no answer; if not, it was refused.
            now: Steady seconds.

        Returns:
            Whether the path is newly lost.
        """
        path = self._find(endpoint)
        path.failed_at = now
        if path.failing_since <= path.opened_at:
            path.failing_since = now
        if is_silent and path.silent_since <= path.opened_at:
            path.silent_since = now
        return self._judge(path, now)

    def note_reached_by_peer(self, endpoint: str, now: float) -> bool:
        """Records that another instance connected to an endpoint.

        Returns:
            Whether the path is newly lost.
        """
        path = self._find(endpoint)
        path.reached_at = now
        return self._judge(path, now)

    def _judge(self, path: _Path, now: float) -> bool:
        if path.lost_at is not None or path.failed_at <= path.opened_at:
            return False
        if now - min(path.failed_at, path.reached_at) > _MATCH_SECONDS:
            return False
        path.lost_at = now
        path.next_trial_at = now + _MIN_TRIAL_SECONDS
        return True

    def is_lost(self, endpoint: str) -> bool:
        """Whether an endpoint lives, but not on a path of this instance."""
        path = self._paths.get(endpoint)
        return path is not None and path.lost_at is not None

    def take_trial(self, endpoint: str, draw: float, now: float) -> bool:
        """Returns whether to try a lost path now, and plans the next trial.

        Args:
            endpoint: The endpoint's name.
            draw: A random number from [0, 1), so that not all instances try at
                the same time.
            now: Steady seconds.
        """
        path = self._find(endpoint)
        if now < path.next_trial_at:
            return False
        spread = _MAX_TRIAL_SECONDS - _MIN_TRIAL_SECONDS
        path.next_trial_at = now + _MIN_TRIAL_SECONDS + draw * spread
        return True

    @property
    def is_cut_off(self) -> bool:
        """Whether paths were lost and none was opened since."""
        lost = [
            p.lost_at
            for p in self._paths.values()
            if p.lost_at is not None and p.lost_at > self._opened_at
        ]
        return len(lost) >= _MIN_SHARED_FAILURES

    def is_failing(self, endpoint: str) -> bool:
        """Whether the last attempt to connect to an endpoint failed."""
        path = self._paths.get(endpoint)
        return path is not None and path.failed_at > path.opened_at

    def has_proof(self, endpoint: str, now: float) -> bool:
        """Whether another endpoint was reached since one began to fail."""
        is_recent = now - self._opened_at < _PROOF_SECONDS
        return (
            is_recent and self._opened_at > self._find(endpoint).failing_since
        )

    def is_in_doubt(self, now: float) -> bool:
        """Whether this instance's links may be what keeps it from endpoints."""
        failed = [
            p
            for p in self._paths.values()
            if p.failed_at > self._opened_at
            and now - p.failed_at < _DOUBT_SECONDS
        ]
        return len(failed) >= _MIN_SHARED_FAILURES

    def find_trusted_since(
        self, endpoint: str, may_repeat: bool, now: float
    ) -> float:
        """Returns since when a connection must have been heard to be used.

        An open connection may lead nowhere if nothing arrived on it since its
        path turned silent, or since that happened to several others. Where new
        connections are refused, open ones may live on or be reset when they are
        used; a request that may not be repeated isn't risked on one.
        """
        lost = [p for p in self._paths.values() if p.lost_at is not None]
        suspects = [self._find(endpoint)]
        if len(lost) >= _MIN_SHARED_FAILURES or self.is_in_doubt(now):
            suspects = list(self._paths.values())
        return max(
            p.silent_since if may_repeat else p.failing_since for p in suspects
        )

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint that is gone."""
        self._paths.pop(endpoint, None)

    def list_lost(self) -> list[str]:
        """Returns the endpoints whose paths are lost."""
        return sorted(
            n for n, p in self._paths.items() if p.lost_at is not None
        )

    def _find(self, endpoint: str) -> _Path:
        return self._paths.setdefault(endpoint, _Path())
