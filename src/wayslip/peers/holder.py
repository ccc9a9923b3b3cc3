"""The configuration of a process, whose generation never decreases."""

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
    """Accepts configurations from any source and keeps the newest.

    Readers need no lock: each update replaces the attributes, and the objects
    that they refer to are never modified.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        self.configuration = configuration.Configuration()
        self.catalog = catalog.build_catalog(self.configuration)
        self.changed_at = time.time()

    @property
    def generation(self) -> int:
        """The generation in force in this process."""
        return self.configuration.generation

    def subscribe(self, listener: Listener) -> None:
        """Registers a function to call, under the lock, after each update."""
        self._listeners.append(listener)

    def merge(self, delta: configuration.Delta, source: str) -> bool:
        """Applies a delta; returns whether the configuration changed."""
        with self._lock:
            return self._set(self.configuration.merge(delta), source)

    def offer(self, config: configuration.Configuration, source: str) -> bool:
        """Applies a full configuration if newer; returns whether it was."""
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
