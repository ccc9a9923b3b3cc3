"""Which software versions the endpoints of a service had lately.

If all of them had the same, every stream that can be taken up was begun by it,
and nobody has to be asked.
"""

import math

# A stream that can still be taken up began within this time: longer than
# clients wait for a whole stream.
_STREAM_SECONDS = 30.0


class VersionHistory:
    """Versions by service, from the list of endpoints."""

    def __init__(self) -> None:
        # When endpoints of a version were last listed, infinite if they are,
        # by service and version.
        self._listed_until: dict[str, dict[str, float]] = {}
        # Since when no change of the list can have been missed.
        self._complete_since = math.inf

    def note_listed(self, service: str, versions: set[str], now: float) -> None:
        """Records the versions of a service's listed endpoints."""
        known = self._listed_until.setdefault(service, {})
        for version in [v for v in known if v not in versions]:
            known[version] = min(known[version], now)
            if known[version] < now - _STREAM_SECONDS:
                del known[version]
        known.update(dict.fromkeys(versions, math.inf))

    def note_list(self, is_current: bool, now: float) -> None:
        """Records whether the list is current; called several times a second.

        One that is not may lack a version that has come and gone.
        """
        if not is_current:
            self._complete_since = math.inf
        else:
            self._complete_since = min(self._complete_since, now)

    def find_only(self, service: str, now: float) -> str | None:
        """Returns the only version of the time in which streams may have begun.

        Returns:
            None if there were several, or if that is not known.
        """
        oldest = now - _STREAM_SECONDS
        if self._complete_since > oldest:
            return None
        listed = self._listed_until.get(service, {})
        lately = [v for v, until in listed.items() if until >= oldest]
        return lately[0] if len(lately) == 1 else None
