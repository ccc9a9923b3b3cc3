"""Decides which contents an instance holds back because it is isolated.

Load pattern: all instances of a fleet start at once, and a caller repeats a
poison request at each of them. An instance is isolated until it knows another
one: it can neither announce a crash nor hear of one.
Each further attempt would crash another endpoint that no other instance can
count. So a content that was in flight to a crashed endpoint meanwhile gets no
further attempt until its crash records were exchanged.
"""

from collections.abc import Iterable

from wayslip.decisions import suspicion

# After contact, instances exchange what they recorded while isolated. The
# holder knows the instances from their first reports, which pass every 0.25 s;
# its announcements reach them within 1 s, their answers and repeats within
# another 0.8 s.
EXCHANGE_SECONDS = 2.0
# Assumed time until contact, for the retry time of a content held before it.
# Instances that started together write their addresses at once and read them
# within a second; an isolation that lasts longer only costs another refusal.
_CONTACT_SECONDS = 1.0
# Maximum number of contents kept, as many as `suspicion` keeps; the oldest are
# evicted first. Each takes about 150 bytes.
_MAX_CONTENTS = 4000


class HeldContents:
    """Contents of crash records that other instances may not have.

    It does no I/O; its methods take the time in seconds.
    """

    def __init__(self) -> None:
        # Contents not told yet, and when they were first recorded.
        self._untold: dict[bytes, float] = {}
        # Contents told on contact, and until when they are held back.
        self._held_until: dict[bytes, float] = {}

    def __bool__(self) -> bool:
        """Whether crash records wait to be announced on contact."""
        return bool(self._untold)

    def note_crash(self, contents: Iterable[bytes], now: float) -> None:
        """Records contents in flight to an endpoint that crashed.

        To be called by an isolated instance only.
        """
        for content in contents:
            self._untold.setdefault(content, now)
        _evict_oldest(self._untold)

    def list_untold(self) -> frozenset[bytes]:
        """Returns the contents that wait to be announced."""
        return frozenset(self._untold)

    def note_contact(self, now: float) -> frozenset[bytes]:
        """Begins the exchange; returns the contents to announce."""
        self.forget(now)
        told = frozenset(self._untold)
        self._held_until.update(
            dict.fromkeys(self._untold, now + EXCHANGE_SECONDS)
        )
        self._untold.clear()
        _evict_oldest(self._held_until)
        return told

    def release(self, content: bytes) -> None:
        """Removes a content that was cleared."""
        self._untold.pop(content, None)
        self._held_until.pop(content, None)

    def forget(self, now: float) -> None:
        """Removes expired contents; their crash records expire with them."""
        limit = now - suspicion.RETENTION_SECONDS
        self._untold = {c: t for c, t in self._untold.items() if t > limit}
        self._held_until = {
            c: end for c, end in self._held_until.items() if end > now
        }

    def is_held(self, content: bytes, now: float) -> bool:
        """Whether a content gets no attempt for now."""
        return self.find_left(content, now) > 0

    def find_left(self, content: bytes, now: float) -> float:
        """Returns for how many seconds a content is held back, 0 if it isn't.

        Before contact this is an estimate, longer than the exchange takes.
        """
        since = self._untold.get(content)
        if since is not None and now - since < suspicion.RETENTION_SECONDS:
            return _CONTACT_SECONDS + EXCHANGE_SECONDS
        return max(self._held_until.get(content, now) - now, 0.0)


def _evict_oldest(times: dict[bytes, float]) -> None:
    while len(times) > _MAX_CONTENTS:
        del times[next(iter(times))]
