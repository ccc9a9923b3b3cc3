"""The configuration that a process holds, which only rises."""

from collections.abc import Callable
import logging
import threading
import time

from wayslip import logs
from wayslip.decisions import catalog
from wayslip.decisions import configuration

_LOG = logging.getLogger(__name__)

Listener = Callable[[catalog.Catalog], None]


class ConfigurationHolder:
    """Takes configurations from any source and keeps the newest.

    Reading is free of locks: the current values are replaced whole.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        self.configuration = configuration.Configuration()
        self.catalog = catalog.build_catalog(self.configuration)
        self.changed_at = time.time()

    @property
    def generation(self) -> int:
        """The generation in force here."""
        return self.configuration.generation

    def subscribe(self, listener: Listener) -> None:
        """Has a function called, under the lock, after each rise."""
        self._listeners.append(listener)

    def merge(self, delta: configuration.Delta, source: str) -> bool:
        """Takes a delta in; returns whether the generation rose."""
        with self._lock:
            return self._set(self.configuration.merge(delta), source)

    def offer(self, config: configuration.Configuration, source: str) -> bool:
        """Takes a whole configuration in, unless it is not newer."""
        with self._lock:
            if config.generation <= self.generation:
                return False
            return self._set(config, source)

    def _set(self, config: configuration.Configuration, source: str) -> bool:
        if config is self.configuration:
            return False
        configuration.check_rises(self.configuration, config)
        self.configuration = config
        self.catalog = catalog.build_catalog(config)
        self.changed_at = time.time()
        logs.event(
            _LOG,
            "configuration_in_force",
            generation=config.generation,
            source=source,
        )
        for listener in self._listeners:
            listener(self.catalog)
        return True
