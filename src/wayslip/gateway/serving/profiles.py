"""Profiles of services, recomputed when the configuration changes."""

from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import profile
from wayslip.gateway.sharing import configuration


class Profiles:
    """Profiles under the configuration in force."""

    def __init__(self, holder: configuration.Holder) -> None:
        self._holder = holder
        self._manifest: manifest_module.Manifest | None = None
        # Bounded by the services of one configuration.
        self._known: dict[str, profile.Profile] = {}
        self._holding: dict[str, bool] = {}

    def find(self, service: str) -> profile.Profile:
        """Returns the profile of a service; `NONE` without configuration."""
        manifest = self._update()
        if manifest is None:
            return profile.NONE
        found = self._known.get(service)
        if found is None:
            found = profile.find_profile(manifest, service)
            self._known[service] = found
        return found

    def may_hold(self, service: str) -> bool:
        """Whether requests for a service may wait at the instance."""
        manifest = self._update()
        if manifest is None:
            return False
        found = self._holding.get(service)
        if found is None:
            found = profile.may_hold(manifest, service)
            self._holding[service] = found
        return found

    def _update(self) -> manifest_module.Manifest | None:
        """Returns the configuration; forgets what an earlier one said."""
        manifest = self._holder.manifest
        if manifest is not self._manifest:
            self._manifest = manifest
            self._known = {}
            self._holding = {}
        return manifest
