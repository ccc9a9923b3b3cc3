"""Applies the platform's list of endpoints to the view.

The lease holder watches the list and announces changes to the other instances.
Every announcement names the revision that it follows, so that an instance that
missed one detects this and reads the list itself.

An address belongs to one endpoint at a time. So a new entry with the address
of a known endpoint shows that the known endpoint has ended, well before its
own entry is removed.

While the store is unavailable, entries of live endpoints may lapse. After the
store has returned, such an endpoint has some time to list itself again before
it is removed.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import logging
import math

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import position
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import staleness as staleness_module
from wayslip.gateway.sharing import view as view_module
from wayslip.gateway.sharing import watcher

_LOG = logging.getLogger(__name__)
# A lapsed entry is listed again within about two seconds of the store's return.
_RELIST_SECONDS = 2.0
# The same from when an instance notices the return, which may be later.
_RETURN_SECONDS = 2.5
# Engines' entries change with every adapter, so changes are read in batches. A
# leaving endpoint becomes known this much later, of two seconds allowed.
_PAUSE_AFTER_CHANGES_SECONDS = 0.25
# An entry lapses after three missed heartbeats, and the removal is announced
# some time later.
_LAPSE_SECONDS = 6.0
_MAX_DEPARTED = 1000
# Entries in one datagram; each takes 0.3 KB of its 30 KB.
_MAX_ENTRIES_PER_DATAGRAM = 60


class EndpointFollower:
    """Keeps the view consistent with the list.

    Args:
        announce: Receives the changes; sends them to the other instances if
            this one holds the lease.
        knows_service: Whether the configuration in force names a service.
    """

    def __init__(
        self,
        store: store_module.Store,
        kind: store_module.Kind[fleet.Endpoint],
        staleness: staleness_module.Staleness,
        view: view_module.EndpointView,
        on_change: Callable[[], None],
        on_gone: Callable[[str], None],
        announce: Callable[[facts.Changes], None],
        wait: float,
        find_pause: Callable[[float], float],
        metrics: metrics_module.Metrics,
        knows_service: Callable[[str], bool],
    ) -> None:
        self._view = view
        self._knows_service = knows_service
        self._on_change = on_change
        self._on_gone = on_gone
        self._announce = announce
        self._listed: set[str] = set()
        # Endpoints that ended but are still listed; bounded by the list.
        self._replaced: set[str] = set()
        self._outage_ended = -math.inf
        # Last known entries of endpoints that left the list; bounded, the
        # oldest are removed first.
        self._departed: collections.OrderedDict[str, fleet.Endpoint] = (
            collections.OrderedDict()
        )
        # Missing endpoints that have time to list themselves again.
        self._lapsed: set[str] = set()
        # Departed endpoints that a restored list contains, until it is known
        # whether they are alive.
        self._withheld: dict[str, fleet.Endpoint] = {}
        # Revision of the store after the last known change.
        self.changed_at = 0
        self.watcher = watcher.Watcher(
            store,
            kind,
            staleness,
            self._apply_list,
            self._apply_changes,
            wait,
            find_pause,
            metrics,
            _PAUSE_AFTER_CHANGES_SECONDS,
        )

    # From the store

    def _apply_list(
        self, listing: store_module.Listing[fleet.Endpoint]
    ) -> None:
        found = [item.value for item in listing.items]
        self._note_outage()
        # What a restored store lacks is written again, as after an outage.
        is_from_later_era = self._is_from_later_era(listing.revision)
        may_return = is_from_later_era or self._may_have_lapsed()
        if is_from_later_era:
            found = self._withhold_departed(found)
        self._listed = {e.name for e in found}
        self._replaced &= self._listed
        self._add_to_view(found)
        # An endpoint within its time to return keeps it, though still missing.
        present = self._listed | self._lapsed
        missing = [n for n in self._view.tracked if n not in present]
        # A whole list follows any earlier revision.
        self._announce_changes(0, listing.revision, found, missing, may_return)
        self._remove_missing(missing, may_return)
        self._on_change()

    def _apply_changes(
        self, changes: store_module.Changes[fleet.Endpoint]
    ) -> None:
        newest = {c.name: c.value for c in changes.items}
        found = [e for e in newest.values() if e is not None]
        missing = [n for n, e in newest.items() if e is None]
        self._note_outage()
        may_return = self._may_have_lapsed()
        self._announce_changes(
            self.changed_at, changes.revision, found, missing, may_return
        )
        self._apply_entries(found)
        for name in missing:
            self._forget(name)
        self._remove_missing(missing, may_return)
        self._on_change()

    def _apply_entries(self, found: list[fleet.Endpoint]) -> None:
        self._listed.update(e.name for e in found)
        for endpoint in found:
            self._withheld.pop(endpoint.name, None)
        self._add_to_view(found)

    def _add_to_view(self, endpoints: list[fleet.Endpoint]) -> None:
        """Adds entries to the view and removes the endpoints they replace."""
        known = {t.endpoint.address: n for n, t in self._view.tracked.items()}
        current = [e for e in endpoints if e.name not in self._replaced]
        for endpoint in current:
            before = known.get(endpoint.address, endpoint.name)
            is_new = endpoint.name not in self._view.tracked
            # An entry of another writer may name any address.
            is_configured = self._knows_service(endpoint.service)
            if is_new and is_configured and before != endpoint.name:
                self._replaced.add(before)
                self._remove(before)
        for endpoint in current:
            tracked = self._view.tracked.get(endpoint.name)
            if tracked is not None and endpoint.succeeds(tracked.endpoint):
                # Connections to the earlier incarnation are no evidence any
                # more.
                self._remove(endpoint.name)
            self._departed.pop(endpoint.name, None)
            self._view.apply_entry(endpoint)

    def _forget(self, name: str) -> None:
        self._listed.discard(name)
        self._replaced.discard(name)
        self._withheld.pop(name, None)

    # A store that was restored from a copy

    def _is_from_later_era(self, revision: int) -> bool:
        """Whether a list is from a later era than the last one."""
        known = self.watcher.revision
        if known is None:
            return False
        return position.find_era(revision) > position.find_era(known)

    def _withhold_departed(
        self, found: list[fleet.Endpoint]
    ) -> list[fleet.Endpoint]:
        """Returns entries without those that left before the restore.

        A live endpoint is still listed after the time in which an entry without
        heartbeats lapses.
        """
        withheld = {
            e.name: e
            for e in found
            if e.name in self._departed
            and not e.succeeds(self._departed[e.name])
            and e.beat <= self._departed[e.name].beat
        }
        if withheld:
            self._withheld.update(withheld)
            logs.event(_LOG, "entries_withheld", entries=",".join(withheld))
            loop = asyncio.get_running_loop()
            loop.call_later(_LAPSE_SECONDS, self._release_withheld)
        return [e for e in found if e.name not in withheld]

    def _release_withheld(self) -> None:
        found = list(self._withheld.values())
        self._withheld.clear()
        if found:
            for part in _split(found):
                self._announce(facts.Changes(0, 0, 0, part))
            self._apply_entries(found)
            self._on_change()

    def _announce_changes(
        self,
        since: int,
        revision: int,
        found: list[fleet.Endpoint],
        missing: list[str],
        may_return: bool,
    ) -> None:
        parts = _split(found)
        for part in parts[:-1]:
            self._announce(facts.Changes(0, 0, 0, part))
        if len(parts) > 1:
            # A part may be lost undetected. So these changes follow no known
            # revision, and an instance that reaches the store reads the list.
            since = revision
        self.changed_at = max(self.changed_at, revision)
        self._announce(
            facts.Changes(
                term=0,
                since=since,
                revision=revision,
                listed=parts[-1],
                gone=() if may_return else tuple(missing),
                lapsed=tuple(missing) if may_return else (),
            )
        )

    # Announcements from and to other instances

    def apply_update(self, changes: facts.Changes) -> None:
        """Applies changes of the list that the lease holder announced."""
        revision = self.watcher.revision
        if (
            changes.revision
            and revision is not None
            and revision >= changes.revision
        ):
            logs.event(
                _LOG,
                "told_list_is_old",
                logging.DEBUG if revision == changes.revision else logging.INFO,
                told=changes.revision,
                known=revision,
                term=changes.term,
                entries=len(changes.listed),
            )
            return
        found = [listed.restore() for listed in changes.listed]
        if self._is_from_later_era(changes.revision):
            found = self._withhold_departed(found)
        self._listed.update(e.name for e in found)
        self._add_to_view(found)
        for name in changes.gone:
            self._forget(name)
            self._remove(name)
        for name in changes.lapsed:
            self._forget(name)
            self._remove_later(name)
        if changes.names:
            self._keep_only(changes.names)
        # A missed change is detected by the revision in the holder's state.
        if (
            revision is not None
            and revision >= changes.since
            and changes.revision
        ):
            self.watcher.revision = changes.revision
            self.changed_at = max(self.changed_at, changes.revision)
        self._on_change()

    def _keep_only(self, names: tuple[str, ...]) -> None:
        for name in [n for n in self._view.tracked if n not in names]:
            self._forget(name)
            self._remove(name)

    def has_applied(self, revision: int) -> bool:
        """Whether all changes up to a revision were applied."""
        return (self.watcher.revision or 0) >= revision

    @property
    def lacks_list(self) -> bool:
        """Whether changes of the list are missing and can not be read."""
        if self.watcher.lost_since is None:
            return False
        return self.watcher.staleness.is_behind or not self.watcher.is_synced

    def list_all(self) -> list[facts.Changes]:
        """Returns the list in parts, for an instance that can not read it."""
        endpoints = [t.endpoint for t in self._view.tracked.values()]
        parts = [facts.Changes(0, 0, 0, p) for p in _split(endpoints)]
        names = tuple(e.name for e in endpoints)
        parts[-1] = dataclasses.replace(
            parts[-1], revision=self.changed_at, names=names
        )
        return parts

    # Entries that are missing

    def _note_outage(self) -> None:
        if self.watcher.lost_since is not None:
            self._outage_ended = clock.now()

    def _may_have_lapsed(self) -> bool:
        return self._find_return_seconds() > 0

    def _find_return_seconds(self) -> float:
        """Returns the seconds left for entries that lapsed in an outage."""
        return self._outage_ended + _RETURN_SECONDS - clock.now()

    def _remove_missing(self, names: list[str], may_return: bool) -> None:
        """Removes endpoints, now or after their time to return."""
        for name in names:
            if may_return:
                self._remove_later(name)
            else:
                self._remove(name)

    def _remove_later(self, name: str) -> None:
        self._lapsed.add(name)
        seconds = self._find_return_seconds()
        if seconds <= 0:
            # This instance has noticed no outage: another one announced it, or
            # the store was restored from a copy.
            seconds = _RELIST_SECONDS
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._remove_if_missing, name)

    def _remove_if_missing(self, name: str) -> None:
        self._lapsed.discard(name)
        if name not in self._listed:
            self._remove(name)
            self._on_change()

    def _remove(self, name: str) -> None:
        tracked = self._view.tracked.get(name)
        if tracked is not None:
            self._departed[name] = tracked.endpoint
            if len(self._departed) > _MAX_DEPARTED:
                self._departed.popitem(last=False)
        self._view.remove(name)
        self._on_gone(name)


def _split(endpoints: list[fleet.Endpoint]) -> list[tuple[facts.Listed, ...]]:
    """Returns entries in parts that fit into a datagram, at least one part."""
    return [
        tuple(
            facts.Listed.of(e)
            for e in endpoints[i : i + _MAX_ENTRIES_PER_DATAGRAM]
        )
        for i in range(0, max(len(endpoints), 1), _MAX_ENTRIES_PER_DATAGRAM)
    ]
