"""Until when a configuration may be relied on, though a newer one may exist.

A key that an operator took away must not work for longer than a bound, at an
instance that is out of touch too. So each instance knows the time at which the
configuration that it holds was the newest for sure: when the read of the store
that said so was sent, on its own steady clock. From another instance it takes
that instance's age of the same knowledge, counted from when it asked. Whatever
the way, a pause of the process or a full queue took is then part of the age.
"""

import dataclasses

# A watch of the store may hear nothing for this long though changes are made,
# before its history goes; its word may be older by so much, seconds.
MAX_WATCH_LAG_SECONDS = 1.0
# Between the check of a key and the request's leaving, seconds.
_SEND_DELAY_SECONDS = 0.1
# Share of the bound at which another confirmation is asked for. The rest is
# for attempts: of 5 s, 1.9 s are left before the configuration has lapsed.
_CONFIRM_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """What an instance knows of the age of its configuration.

    Attributes:
        bound: Seconds from the removal of a key after which no request may run
            under it; None where no such bound is set.
        held: The version in force, 0 for none.
        proven_at: When that version was the newest, or before it came into
            being; steady seconds.
        ahead: A version that is newer than what is held, and when that was the
            newest.
    """

    bound: float | None
    held: int = 0
    proven_at: float = float("-inf")
    ahead: tuple[int, float] | None = None

    def confirm(self, version: int, at: float) -> "Freshness":
        """Returns the freshness after word that a version was the newest.

        Args:
            version: That was the newest.
            at: When it was so at least, steady seconds of this instance.
        """
        if version > self.held:
            if self.ahead is not None and self.ahead >= (version, at):
                return self
            return dataclasses.replace(self, ahead=(version, at))
        # What is held came into being after that version, so after that time.
        return dataclasses.replace(self, proven_at=max(self.proven_at, at))

    def hold(self, version: int) -> "Freshness":
        """Returns the freshness once a newer version is in force."""
        held = dataclasses.replace(self, held=max(version, self.held))
        if self.ahead is None or self.ahead[0] > held.held:
            return held
        proven_at = max(held.proven_at, self.ahead[1])
        return dataclasses.replace(held, proven_at=proven_at, ahead=None)

    def is_reliable(self, now: float) -> bool:
        """Whether a key that the configuration holds may be relied on."""
        if self.bound is None:
            return True
        return (
            now - self.proven_at
            < self.bound - MAX_WATCH_LAG_SECONDS - _SEND_DELAY_SECONDS
        )

    def is_due(self, now: float) -> bool:
        """Whether another confirmation should be asked for."""
        if self.bound is None:
            return False
        return now - self.proven_at > self.bound * _CONFIRM_SHARE
