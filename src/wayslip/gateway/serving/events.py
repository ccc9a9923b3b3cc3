"""Splits a stream of server-sent events at event boundaries."""

import re

# An empty line ends an event. Each of the three line ends is matched whole, so
# that the two bytes of one are not taken for two.
_EVENT_END = re.compile(rb"(?>\r\n|\r|\n){2}")
_COMMENT = b":"


class EventSplitter:
    """Returns whole events, and keeps the id of the last one forwarded.

    Attributes:
        last_id: Id of the last event that the client has.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Returns all bytes up to the end of the last whole event."""
        self._remainder += data
        end = _find_end(self._remainder)
        whole, self._remainder = self._remainder[:end], self._remainder[end:]
        return whole

    def note_forwarded(self, events: bytes) -> None:
        """Records that whole events were forwarded.

        Another attempt goes on after them; events that were only read must be
        asked for again.
        """
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return

    def drop_remainder(self) -> None:
        """Drops an incomplete event when the stream is resumed elsewhere."""
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event was fed, and not its end."""
        return any(
            line and not line.startswith(_COMMENT)
            for line in self._remainder.splitlines()
        )


def _find_end(data: bytes) -> int:
    return max((m.end() for m in _EVENT_END.finditer(data)), default=0)
