"""Keeps the newest configuration in force, and knows whether it is the newest.

It is read from the store, copied between instances, and confirmed by instances
that reach the store; see `watcher`, `distribution` and `confirmations`.
"""

from collections.abc import Callable
from collections.abc import Set

from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip.decisions import access
from wayslip.decisions import manifest
from wayslip.decisions import position
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import confirmations
from wayslip.gateway.sharing import copy_client
from wayslip.gateway.sharing import distribution as distribution_module
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import members as members_module
from wayslip.gateway.sharing import staleness as staleness_module
from wayslip.gateway.sharing import watcher

# What a restored store has lost is written again within this time; entries of
# endpoints take as long.
_REWRITE_SECONDS = 2.0


class ConfigurationSync:
    """Keeps the configuration of an instance synchronized with the newest.

    Attributes:
        watcher: Reads the store.
        distribution: Serves copies and requests them.
        confirmations: Has the configuration in force confirmed as the newest.
    """

    def __init__(
        self,
        options: options_module.Options,
        store: store_module.Store,
        kind: store_module.Kind[manifest.Manifest],
        name: str,
        holder: configuration.Holder,
        copies: copy_client.CopyClient,
        hub: hub_module.Hub,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
        find_pause: Callable[[float], float],
        metrics: metrics_module.Metrics,
        on_new_configuration: Callable[[], None],
    ) -> None:
        """Initializes without a configuration.

        Args:
            options: Options of this instance.
            store: Store that has the configuration.
            kind: Kind of its object.
            name: Name of its object.
            holder: Holds the configuration in force.
            copies: Requests copies from other instances.
            hub: Sends to other instances.
            leadership: Knows the lease and its holder.
            members: Know the addresses of the other instances.
            find_pause: See `watcher.Watcher`.
            metrics: Where reads and copies are counted.
            on_new_configuration: Called when this instance has read a newer
                configuration from the store and put it in force.
        """
        self._store = store
        self._name = name
        self._holder = holder
        self._on_new_configuration = on_new_configuration
        # Version in the store when it was last read.
        self._read_version = 0
        self._has_read = False
        # Until this time a restored store may lack its last changes.
        self._may_lack_until = float("-inf")
        store.on_restore(self._note_return)
        self.distribution = distribution_module.Distribution(
            options,
            holder,
            copies,
            lambda: leadership.holder_address,
            members.list_addresses,
            metrics,
        )
        self.watcher = watcher.Watcher(
            store,
            kind,
            staleness_module.Staleness(
                options.bounds.max_staleness,
                lambda: leadership.is_held,
                self._obtain,
            ),
            self._apply_list,
            self._apply_changes,
            options.bounds.watch,
            find_pause,
            metrics,
            relists_after_gap=True,
            on_read=self._note_read,
        )
        self.confirmations = confirmations.Confirmations(
            options,
            holder,
            hub,
            lambda: leadership.holder_address,
            members.list_addresses,
            self._apply_peer_version,
            self.watcher.read_now,
        )

    @property
    def status(self) -> access.ConfigurationStatus:
        """Whether the configuration in force is reliable and the newest."""
        is_newest = self.watcher.is_current and not self._may_lack
        return access.ConfigurationStatus(
            self.confirmations.is_reliable, is_newest
        )

    @property
    def _may_lack(self) -> bool:
        """Whether the store may have lost the newest configuration."""
        return clock.now() < self._may_lack_until

    def _note_return(self) -> None:
        self._may_lack_until = clock.now() + _REWRITE_SECONDS

    @property
    def progress(self) -> facts.WatchProgress:
        """How far the configuration is followed, for announcements."""
        return facts.WatchProgress(self._holder.version or 0, self.watcher.age)

    def apply_update(self, announced: facts.WatchProgress) -> None:
        """Applies how far the lease holder follows the configuration."""
        self._apply_peer_version(announced.revision, announced.age)

    def _apply_peer_version(self, version: int, age: float) -> None:
        """Applies which version another instance has as the newest."""
        self.distribution.note_announcement(version)
        self.watcher.staleness.note_announcement(
            age, not self.distribution.is_behind
        )

    async def _obtain(self) -> None:
        """Asks other instances for the missing configuration."""
        await self.distribution.obtain()
        if not self.distribution.is_behind:
            self.watcher.staleness.note_complete()

    # From the store

    def _apply_list(
        self, listing: store_module.Listing[manifest.Manifest]
    ) -> None:
        for item in listing.items:
            if item.name == self._name:
                self._apply(item.value)

    def _apply_changes(
        self, changes: store_module.Changes[manifest.Manifest]
    ) -> None:
        for change in changes.items:
            if change.name == self._name and change.value is not None:
                self._apply(change.value)

    def _apply(self, value: manifest.Manifest) -> None:
        self._read_version = value.version
        if self._holder.offer(value):
            self._on_new_configuration()

    def _note_first_read(self) -> None:
        """Takes a restore that this process has not seen for a recent one.

        The store tells that it lost writes, not when. What it lacks may have
        revoked keys that its copy still has.
        """
        self._has_read = True
        if self._store.era > position.FIRST_ERA:
            self._note_return()

    def _note_read(self, asked_at: float, refused: Set[str]) -> None:
        """Records a read of the store, unless it confirms nothing.

        This is so if the object of the configuration could not be decoded, or
        if the store may have lost a later one.
        """
        if not self._has_read:
            self._note_first_read()
        is_older = self._read_version < (self._holder.version or 0)
        if self._name in refused or self._may_lack or is_older:
            return
        self.confirmations.note_read(asked_at)
