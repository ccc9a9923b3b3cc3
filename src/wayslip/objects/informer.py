"""A local copy of all objects of a kind, updated by list and watch.

The copy lags behind the object API and is not updated during an outage; its
age is available. Decisions that must not use stale data read the object
itself.
"""

from collections.abc import Callable
import logging
import threading
from typing import Generic
from typing import TypeVar

from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.objects import client as client_module
from wayslip.objects import kinds

T = TypeVar("T")

_LOG = logging.getLogger(__name__)
_RETRY_SECONDS = 0.5
# A watch may miss events, so the whole list is read again at this interval.
_RELIST_SECONDS = 30.0

Listener = Callable[[str, T | None], None]


class Informer(Generic[T]):
    """Lists and watches the objects of a kind in a thread of its own."""

    def __init__(
        self,
        client: client_module.ObjectClient,
        kind: kinds.Kind[T],
        is_enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes an informer without starting it.

        Args:
            client: The client for the object API.
            kind: The kind of objects.
            is_enabled: Returns whether this process should watch; called before
                each list and watch.
        """
        self._client = client
        self._kind = kind
        self._is_enabled = is_enabled
        self._listeners: list[Listener[T]] = []
        self._objects: dict[str, T] = {}
        self._stopping = threading.Event()
        self.synced_at = 0.0
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{kind.plural}", daemon=True
        )

    def subscribe(self, listener: Listener[T]) -> None:
        """Registers a callback for the name and content of each change.

        The content is None if the object was deleted. Subscribe before
        `start`; the informer's thread calls the callback.
        """
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts listing and watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the call in progress."""
        self._stopping.set()

    @property
    def objects(self) -> dict[str, T]:
        """The objects by name; never mutated, so safe to iterate."""
        return self._objects

    @property
    def age(self) -> float:
        """Seconds since the last contact with the object API."""
        return clock.now() - self.synced_at

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._is_enabled():
                self._stopping.wait(_RETRY_SECONDS)
                continue
            try:
                self._list_and_watch()
            except errors.WatchExpiredError:
                continue
            except errors.WayslipError as e:
                logs.event(
                    _LOG,
                    "watch_broken",
                    logging.DEBUG,
                    kind=self._kind.plural,
                    reason=e.reason,
                )
                self._stopping.wait(_RETRY_SECONDS)
            except Exception:
                _LOG.exception("watch_failed")
                self._stopping.wait(_RETRY_SECONDS)

    def _list_and_watch(self) -> None:
        listing = self._client.list(self._kind)
        self._replace({s.name: s.value for s in listing.items})
        version = listing.version
        relist_at = clock.now() + _RELIST_SECONDS
        while clock.now() < relist_at and self._is_enabled():
            for event in self._client.watch(self._kind, version):
                version = event.version
                self._apply(event)
                if self._stopping.is_set():
                    return
            self.synced_at = clock.now()

    def _replace(self, objects: dict[str, T]) -> None:
        old, self._objects = self._objects, objects
        self.synced_at = clock.now()
        for name in old.keys() - objects.keys():
            self._notify(name, None)
        for name, value in objects.items():
            if old.get(name) != value:
                self._notify(name, value)

    def _apply(self, event: client_module.Event[T]) -> None:
        self.synced_at = clock.now()
        if event.stored is None:
            return
        name = event.stored.name
        objects = dict(self._objects)
        if event.is_deleted:
            objects.pop(name, None)
        else:
            objects[name] = event.stored.value
        self._objects = objects
        self._notify(name, None if event.is_deleted else event.stored.value)

    def _notify(self, name: str, value: T | None) -> None:
        for listener in self._listeners:
            listener(name, value)
