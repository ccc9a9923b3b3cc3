"""The configuration in force on this instance; its version never decreases."""

import logging

from wayslip import logs
from wayslip.decisions import manifest as manifest_module

_LOG = logging.getLogger(__name__)


class Holder:
    """Holds the newest configuration that was received or read."""

    def __init__(self) -> None:
        self.manifest: manifest_module.Manifest | None = None

    @property
    def version(self) -> int | None:
        """The version in force, None before a configuration is known."""
        return self.manifest.version if self.manifest else None

    @property
    def limits(self) -> manifest_module.Limits:
        """Limits on clients, the defaults before a configuration is known."""
        if self.manifest is None:
            return manifest_module.Limits()
        return self.manifest.limits

    def names_service(self, name: str) -> bool:
        """Whether the configuration in force has a service.

        Before a configuration is known, any service may exist.
        """
        return self.manifest is None or name in self.manifest.services

    def offer(self, manifest: manifest_module.Manifest) -> bool:
        """Puts a configuration in force if it is newer; returns whether so."""
        known = self.manifest
        if known is not None and manifest.version <= known.version:
            return False
        self.manifest = manifest
        logs.event(
            _LOG,
            "configuration_in_force",
            version=manifest.version,
            before=known.version if known else None,
            routes=len(manifest.routes),
        )
        return True
