"""Estimates how long work takes at each endpoint from what it states.

Load pattern: the endpoints of a service run at different speeds, and share
their hosts with others that slow them down for spells of half a second or so.
An endpoint states its time factor, 1 for the usual of its service, with its
answers. The stated factor is exact and soon obsolete; what it is outside of
spells is the endpoint's own.

The own factor is a running low quantile over time, because others only slow an
endpoint down: a spell moves it little, and only as long as it lasts, however
many answers state it. Between two statements the expected factor returns from
the last one to the own factor, at the rate at which spells end.
"""

import dataclasses
import math

from wayslip.decisions import fleet

# Mean duration of a spell. Hosts are shared by processes that are busy for
# fractions of a second; a longer time would let endpoints idle after a spell,
# a shorter one would make a statement obsolete before other instances hear it.
SPELL_SECONDS = 0.6
# Change of the logarithm of the own factor in one second of statements above
# it: a spell changes it by 6 %, and a factor of two takes 7 s.
_SLOWER_STEP_PER_SECOND = 0.1
# The same for statements below it, so that what a spell changed is undone when
# it ends: statements are passed on only while they differ from expectations.
_FASTER_STEP_PER_SECOND = 0.4
# Either in the first second. An endpoint without statements counts as a usual
# one, and the first statements may be those of a spell.
_FIRST_STEP_PER_SECOND = 1.0
# From then on a second changes it no more than any later one.
_SETTLED_SECONDS = _FIRST_STEP_PER_SECOND / _SLOWER_STEP_PER_SECOND
# Bounds of a plausible own factor. Beyond them an endpoint is broken, which
# `condition` and `health` find out.
_MIN_OWN = 0.1
_MAX_OWN = 10.0
# An own factor is kept this long without a statement, many times the pause
# between requests at an endpoint in use. After that it returns to the usual
# with this time constant: an endpoint that was slow for a while and gets no
# requests for it would otherwise never be measured again.
_KEEP_SECONDS = 30.0
_FORGET_SECONDS = 120.0
# A statement that differs from what was expected by less than this changes no
# choice of an endpoint: prompts differ by more in length.
_MIN_RATIO = 1.15


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """How long work takes at one incarnation of an endpoint.

    Attributes:
        own: Time factor that it has outside of spells.
        slowdown: Time factor that it stated last.
        stated_at: When it stated that, steady seconds.
        observed: Seconds of statements that `own` is estimated from.
    """

    own: float = 1.0
    slowdown: float = 1.0
    stated_at: float = -math.inf
    observed: float = 0.0

    def find_factor(self, now: float) -> float:
        """Returns the expected time factor."""
        left = math.exp(-self._find_age(now) / SPELL_SECONDS)
        own = self.find_own(now)
        return own + (self.slowdown - own) * left

    def find_own(self, now: float) -> float:
        """Returns the time factor that is expected outside of spells."""
        unused = max(self._find_age(now) - _KEEP_SECONDS, 0.0)
        left = math.exp(-unused / _FORGET_SECONDS)
        return 1.0 + (self.own - 1.0) * left

    def _find_age(self, now: float) -> float:
        return max(now - self.stated_at, 0.0)

    def note(self, slowdown: float, stated_at: float) -> "Speed":
        """Returns the speed after a statement; an older one changes nothing."""
        if stated_at <= self.stated_at:
            return self
        # The last statement held until this one, at most for a spell.
        held = min(stated_at - self.stated_at, SPELL_SECONDS)
        if math.isinf(self.stated_at):
            held = 0.0
        return Speed(
            self._move_own(held), slowdown, stated_at, self.observed + held
        )

    def _move_own(self, held: float) -> float:
        """Returns the own factor after the last statement held for a time."""
        change = math.log(self.slowdown / self.own)
        usual = (
            _SLOWER_STEP_PER_SECOND if change > 0 else _FASTER_STEP_PER_SECOND
        )
        rate = max(usual, _FIRST_STEP_PER_SECOND / (1.0 + self.observed))
        step = min(abs(change), rate * held)
        own = self.own * math.exp(math.copysign(step, change))
        return min(max(own, _MIN_OWN), _MAX_OWN)

    def differs(self, slowdown: float, now: float) -> bool:
        """Whether a statement tells more than what was expected."""
        ratio = slowdown / self.find_factor(now)
        return max(ratio, 1 / ratio) >= _MIN_RATIO


class Speeds:
    """Speeds by incarnation, of endpoints that stated a time factor."""

    def __init__(self) -> None:
        self._known: dict[fleet.Incarnation, Speed] = {}

    def get(self, start: fleet.Incarnation) -> Speed | None:
        """Returns the speed of an incarnation, None if it stated none."""
        return self._known.get(start)

    def find_factor(self, start: fleet.Incarnation, now: float) -> float:
        """Returns the expected time factor of an incarnation."""
        known = self._known.get(start)
        return 1.0 if known is None else known.find_factor(now)

    def find_own(self, start: fleet.Incarnation, now: float) -> float:
        """Returns the time factor that an incarnation has outside of spells."""
        known = self._known.get(start)
        return 1.0 if known is None else known.find_own(now)

    def note(
        self, start: fleet.Incarnation, slowdown: float, stated_at: float
    ) -> bool:
        """Records a statement of an endpoint.

        Returns:
            Whether it is newer and differs from what was expected, so that
            other instances should hear of it.
        """
        known = self._known.get(start)
        if known is not None and stated_at <= known.stated_at:
            return False
        is_news = known is None or known.differs(slowdown, stated_at)
        self._known[start] = (known or Speed()).note(slowdown, stated_at)
        return is_news

    def adopt(
        self,
        start: fleet.Incarnation,
        own: float,
        slowdown: float,
        stated_at: float,
    ) -> None:
        """Records what another instance estimated from more statements.

        Its statement counts if it is newer; its own factor always does, unless
        it is 0 for unknown.
        """
        known = self._known.get(start, Speed())
        if stated_at > known.stated_at:
            known = dataclasses.replace(
                known, slowdown=slowdown, stated_at=stated_at
            )
        if own > 0:
            own = min(max(own, _MIN_OWN), _MAX_OWN)
            observed = max(known.observed, _SETTLED_SECONDS)
            known = dataclasses.replace(known, own=own, observed=observed)
        self._known[start] = known

    def forget(self, start: fleet.Incarnation) -> None:
        """Removes an incarnation that is gone."""
        self._known.pop(start, None)
