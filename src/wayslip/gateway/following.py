"""Follows the platform's list of endpoints into the view.

While the store is away, entries of endpoints that live may lapse. After it is
back such an endpoint has some time to list itself again before it is taken as
gone.
"""

import asyncio
from collections.abc import Callable
import time

from wayslip.decisions import fleet
from wayslip.gateway import store as store_module
from wayslip.gateway import view as view_module
from wayslip.gateway import watching

# An entry that lapsed is back within about two seconds of the store's return.
_RETURN_SECONDS = 2.0
# Engines' entries change with every adapter; a leaving endpoint is heard of
# this much later, of two seconds that are allowed.
_REST_SECONDS = 0.7
# For so long after an outage a missing entry may have lapsed in it, seconds.
_AFTERMATH_SECONDS = 3.0


class EndpointFollower:
    """Keeps the view in line with the list."""

    def __init__(
        self,
        store: store_module.Store,
        kind: store_module.Kind[fleet.Endpoint],
        view: view_module.EndpointView,
        on_change: Callable[[], None],
        on_gone: Callable[[str], None],
        wait: float,
    ) -> None:
        self._view = view
        self._on_change = on_change
        self._on_gone = on_gone
        self._listed: set[str] = set()
        self._outage_ended = -_AFTERMATH_SECONDS
        self.watcher = watching.Watcher(
            store,
            kind,
            self._take_list,
            self._take_change,
            wait,
            _REST_SECONDS,
        )

    def _take_list(
        self, items: tuple[store_module.Stored[fleet.Endpoint], ...]
    ) -> None:
        self._listed = {item.name for item in items}
        for item in items:
            self._view.take(item.value)
        for name in [n for n in self._view.tracked if n not in self._listed]:
            self._miss(name)
        self._on_change()

    def _take_change(self, change: store_module.Change[fleet.Endpoint]) -> None:
        if change.value is not None:
            self._listed.add(change.name)
            self._view.take(change.value)
        else:
            self._listed.discard(change.name)
            self._miss(change.name)
        self._on_change()

    def _miss(self, name: str) -> None:
        """Takes an endpoint out, now or when it had time to come back."""
        now = time.monotonic()
        if self.watcher.lost_since is not None:
            self._outage_ended = now
        if now - self._outage_ended >= _AFTERMATH_SECONDS:
            self._remove(name)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_RETURN_SECONDS, self._remove_if_missing, name)

    def _remove_if_missing(self, name: str) -> None:
        if name not in self._listed:
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._view.remove(name)
        self._on_gone(name)
        self._on_change()
