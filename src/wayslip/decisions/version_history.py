"""Which software versions the endpoints of a service ever had.

If all of them had the same, every stream that can be taken up was begun by it,
also one that no instance remembers. No time is long enough to forget a version:
nothing bounds how late a client takes a stream up.

An instance sees the versions that are listed while it runs, and the store keeps
a record of those that any instance ever saw.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

# Versions that are kept of a service: more are told from one, not counted.
_MAX_VERSIONS = 2
# The list is looked at several times a second. After a longer pause, as of a
# process that stood still, versions may have come and gone.
_MAX_PAUSE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The versions that any instance ever saw.

    Attributes:
        era: Era of the store in which the record was written.
        is_complete: Whether it was begun before any instance served. Otherwise
            versions may have come and gone before it.
        versions: Versions by service, the first ones seen.
    """

    era: int
    is_complete: bool
    versions: Mapping[str, tuple[str, ...]]


class VersionHistory:
    """Versions by service, from the list of endpoints and the record."""

    def __init__(self) -> None:
        # Versions seen in the list or in the record.
        self._known: dict[str, tuple[str, ...]] = {}
        # The record's versions, as last read or written.
        self._recorded: Mapping[str, tuple[str, ...]] = {}
        # Era of the store, and the last one with a complete record.
        self._era = 0
        self._complete_era: int | None = None
        # When the record was read, and since when no change of the list can
        # have been missed, steady seconds.
        self._read_at = -math.inf
        self._current_since = math.inf
        self._looked_at = -math.inf

    # The list

    def note_listed(self, service: str, versions: Iterable[str]) -> None:
        """Records the versions of a service's listed endpoints."""
        self._add(service, sorted(versions))

    def note_list(self, is_current: bool, now: float) -> None:
        """Records whether the list is current; called several times a second.

        One that is not may lack a version that has come and gone.
        """
        has_paused = now - self._looked_at > _MAX_PAUSE_SECONDS
        self._looked_at = now
        if has_paused or not is_current:
            self._current_since = math.inf
        if is_current:
            self._current_since = min(self._current_since, now)

    # The record

    @property
    def has_unrecorded(self) -> bool:
        """Whether the record, as last read, lacks a version."""
        return any(
            _unite(self._recorded.get(service, ()), versions)
            != self._recorded.get(service, ())
            for service, versions in self._known.items()
        )

    def note_record(
        self, record: Record, era: int, read_at: float = -math.inf
    ) -> None:
        """Applies the record as it was read or written.

        Args:
            record: The record.
            era: Era of the store. A record of an earlier one comes from a copy,
                and what was added later may be lost.
            read_at: When the read was sent, steady seconds; infinitely early if
                the answer may have been out of date.
        """
        self._recorded = record.versions
        for service, versions in record.versions.items():
            self._add(service, versions)
        self._era = era
        if record.is_complete and record.era == era:
            self._complete_era = era
        self._read_at = max(self._read_at, read_at)

    def forget_record(self) -> None:
        """Has the record read and written again after the store was restored.

        The copy may lack versions that were recorded.
        """
        self._recorded = {}
        self._read_at = -math.inf

    def make_record(
        self, stored: Record | None, era: int, is_first: bool
    ) -> Record:
        """Returns the record with what this instance knows.

        Args:
            stored: The record as it is stored, None if there is none.
            era: Era of the store.
            is_first: Whether no instance served before the present ones.
        """
        versions = {} if stored is None else dict(stored.versions)
        for service, known in self._known.items():
            versions[service] = _unite(versions.get(service, ()), known)
        is_complete = is_first or self._complete_era is not None
        if stored is None:
            return Record(era, is_complete, versions)
        if stored.era != era and is_complete:
            # This instance knows what the copy lacks.
            return Record(era, True, versions)
        return dataclasses.replace(stored, versions=versions)

    # What is known

    @property
    def is_record_due(self) -> bool:
        """Whether `find_only` needs the record to be read before."""
        return self._read_at < self._current_since < math.inf

    @property
    def is_current(self) -> bool:
        """Whether no version can be missing that the record has."""
        return self._current_since <= self._read_at

    def find_only(self, service: str) -> str | None:
        """Returns the only version that a service ever had.

        Returns:
            None if there were several, or if that is not known.
        """
        if self._complete_era != self._era or not self.is_current:
            return None
        versions = self._known.get(service, ())
        return versions[0] if len(versions) == 1 else None

    def _add(self, service: str, versions: Iterable[str]) -> None:
        self._known[service] = _unite(self._known.get(service, ()), versions)


def _unite(known: tuple[str, ...], more: Iterable[str]) -> tuple[str, ...]:
    """Returns known versions and further ones, as many as are kept."""
    new = [v for v in more if v not in known]
    return (*known, *new)[:_MAX_VERSIONS]
