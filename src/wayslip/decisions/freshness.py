"""Bounded staleness: how long a configuration's keys may be accepted.

A key that an operator revoked must stop working within a bound, also at an
instance that is disconnected. So each instance records the latest time at
which its configuration is known to have been the newest: when it sent the read
of the store that showed this, on its own monotonic clock. From another
instance it takes the age of that instance's confirmation, counted from the
time of its own query. The age therefore includes any delay by the network, a
paused process or a full queue.
"""

import dataclasses

# A watch of the store may receive nothing for this long although changes are
# made, before its history is lost, so its confirmations may be this much older.
MAX_WATCH_LAG_SECONDS = 1.0
# Time between the check of a key and the sending of the request.
_SEND_DELAY_SECONDS = 0.1
# Age, as a share of the bound, at which another confirmation is requested. The
# rest is for attempts: with a bound of 5 s, 1.9 s are left before the
# configuration is no longer reliable.
_CONFIRM_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """An instance's knowledge of the age of its configuration.

    Attributes:
        bound: Seconds after the removal of a key from which no request may
            run under it; None for no bound.
        held: The version in force, 0 for none.
        proven_at: Latest known time at which that version was the newest or
            did not exist yet; seconds of a monotonic clock.
        ahead: A version newer than the one held, and a time at which it was
            the newest; None if no such version is known.
    """

    bound: float | None
    held: int = 0
    proven_at: float = float("-inf")
    ahead: tuple[int, float] | None = None

    def confirm(self, version: int, at: float) -> "Freshness":
        """Returns the freshness after a confirmation of the newest version.

        Args:
            version: The version that was the newest.
            at: A time at which it was, seconds of this instance's monotonic
                clock.
        """
        if version > self.held:
            if self.ahead is not None and self.ahead >= (version, at):
                return self
            return dataclasses.replace(self, ahead=(version, at))
        # The version held is not older than that one, which was the newest at
        # that time, so nothing newer than the version held existed then.
        return dataclasses.replace(self, proven_at=max(self.proven_at, at))

    def hold(self, version: int) -> "Freshness":
        """Returns the freshness after a version came into force."""
        held = dataclasses.replace(self, held=max(version, self.held))
        if self.ahead is None or self.ahead[0] > held.held:
            return held
        proven_at = max(held.proven_at, self.ahead[1])
        return dataclasses.replace(held, proven_at=proven_at, ahead=None)

    def is_reliable(self, now: float) -> bool:
        """Whether keys of the configuration may still be accepted."""
        if self.bound is None:
            return True
        return (
            now - self.proven_at
            < self.bound - MAX_WATCH_LAG_SECONDS - _SEND_DELAY_SECONDS
        )

    def is_due(self, now: float) -> bool:
        """Whether another confirmation should be requested."""
        if self.bound is None:
            return False
        return now - self.proven_at > self.bound * _CONFIRM_SHARE
