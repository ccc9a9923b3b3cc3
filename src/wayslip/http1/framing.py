"""Bounds the bytes of a message that are neither its head nor its body.

A peer in trouble may send them without end: lines of interim responses, chunk
headers with extensions, trailers, responses to other requests. Parsers pass
over most of them, so that only their count shows them. A long body is bounded
by its reader, not here.
"""

# Limit for all heads, chunk headers and trailers of a message and of those
# skipped before it.
MAX_FRAMING_BYTES = 256 * 1024
# Addition to it for each byte of a body: a chunk of one byte has five bytes of
# framing.
_FRAMING_PER_BODY_BYTE = 8
# Limit for what follows a head or a part of a body up to the next part.
MAX_PAUSE_BYTES = 64 * 1024
# Limit for the bodies of skipped responses.
MAX_SKIPPED_BYTES = 1024 * 1024


class Usage:
    """Counts the bytes received for one message."""

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._skipped = 0
        self._since_progress = 0

    def note_received(self, size: int) -> None:
        """Counts bytes that are about to be parsed."""
        self._received += size
        self._since_progress += size

    def note_head(self) -> None:
        """Records that a head is complete."""
        self._since_progress = 0

    def note_body(self, size: int, is_skipped: bool = False) -> None:
        """Counts bytes of a body among those received."""
        self._since_progress = 0
        if is_skipped:
            self._skipped += size
        else:
            self._body += size

    def find_excess(self) -> str | None:
        """Returns which limit is exceeded, None if none is."""
        if self._skipped > MAX_SKIPPED_BYTES:
            return f"skipped bodies exceed {MAX_SKIPPED_BYTES} bytes"
        framing = self._received - self._body - self._skipped
        if framing > MAX_FRAMING_BYTES + _FRAMING_PER_BODY_BYTE * self._body:
            return (
                f"heads, chunk headers and trailers exceed {MAX_FRAMING_BYTES}"
                " bytes"
            )
        if self._since_progress > MAX_PAUSE_BYTES:
            return (
                "chunk headers and trailers between parts of a body exceed"
                f" {MAX_PAUSE_BYTES} bytes"
            )
        return None
