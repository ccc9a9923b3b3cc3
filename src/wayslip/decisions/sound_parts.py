"""Remembers which parts of prompts were answered lately.

A common part is answered somewhere all the time, so that it is in flight to
each endpoint that crashes without being the cause.
"""

import collections
from collections.abc import Iterable

# For how long after an answer a part counts as sound.
_SOUND_SECONDS = 10.0
# Maximum number of parts kept, at 100 bytes each; the oldest are evicted.
_MAX_PARTS = 4000


class SoundParts:
    """Parts by digest; see `contents`. It does no I/O."""

    def __init__(self) -> None:
        self._answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def note_answer(self, parts: Iterable[bytes], now: float) -> None:
        """Records that an endpoint answered a prompt with some parts."""
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > _MAX_PARTS:
            self._answered_at.popitem(last=False)

    def is_sound(self, part: bytes, now: float) -> bool:
        """Whether a part was answered lately."""
        answered_at = self._answered_at.get(part)
        return answered_at is not None and now - answered_at < _SOUND_SECONDS
