"""Keeps the configuration in force the newest, and knows whether it is.

It is read from the store, handed on between instances, and confirmed by those
that the store answers; see `watching`, `distribution` and `confirming`.
"""

from collections.abc import Callable
from collections.abc import Set

from wayslip import clock
from wayslip import metrics as metrics_module
from wayslip.decisions import access
from wayslip.decisions import manifest
from wayslip.gateway import configuration
from wayslip.gateway import confirmations
from wayslip.gateway import copy_client
from wayslip.gateway import distribution as distribution_module
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import leadership as leadership_module
from wayslip.gateway import members as members_module
from wayslip.gateway import options as options_module
from wayslip.gateway import staleness as staleness_module
from wayslip.gateway import store as store_module
from wayslip.gateway import watcher

# What a store that comes back from a copy has lost is written again within
# this, seconds; entries of endpoints take as long.
_REWRITE_SECONDS = 2.0


class ConfigurationSync:
    """What an instance does to hold the newest configuration.

    Attributes:
        watcher: Reads the store.
        distribution: Hands copies on and asks for them.
        confirmations: Has what is held confirmed as the newest.
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
        on_own: Callable[[], None],
    ) -> None:
        """Initializes without a configuration.

        Args:
            options: Of this instance.
            store: Where the configuration lies.
            kind: Of its object.
            name: Of its object.
            holder: Of the configuration in force.
            copies: Asks other instances for theirs.
            hub: Sends to other instances.
            leadership: Of the lease.
            members: Know where the other instances are.
            find_pause: See `watcher.Watcher`.
            metrics: Where reads and copies are counted.
            on_own: Called once a newer one that we read is in force.
        """
        self._name = name
        self._holder = holder
        self._on_own = on_own
        # The version that the store has, as last read.
        self._read_version = 0
        # Until then the store may lack what it came back without.
        self._rewritten_at = float("-inf")
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
                options.bounds.word, lambda: leadership.is_held, self._obtain
            ),
            self._take_list,
            self._take_changes,
            options.bounds.watch,
            find_pause,
            metrics,
            lists_anew=True,
            on_read=self._note_read,
        )
        self.confirmations = confirmations.Confirmations(
            options,
            holder,
            hub,
            lambda: leadership.holder_address,
            members.list_addresses,
            self._take_word,
            self.watcher.look,
        )

    @property
    def sight(self) -> access.ConfigurationStatus:
        """What is known of the configuration in force."""
        is_newest = self.watcher.is_current and not self._may_lack
        return access.ConfigurationStatus(
            self.confirmations.is_reliable, is_newest
        )

    @property
    def _may_lack(self) -> bool:
        """Whether the store may lack a configuration that it has lost."""
        return clock.now() < self._rewritten_at

    def _note_return(self) -> None:
        self._rewritten_at = clock.now() + _REWRITE_SECONDS

    @property
    def seen(self) -> facts.WatchProgress:
        """How far it is followed, as the lease's holder tells it."""
        return facts.WatchProgress(self._holder.version or 0, self.watcher.age)

    def apply_update(self, told: facts.WatchProgress) -> None:
        """Takes in how far the lease's holder follows it."""
        self._take_word(told.revision, told.age)

    def _take_word(self, version: int, age: float) -> None:
        """Takes in which version another instance has as the newest."""
        self.distribution.hear(version)
        self.watcher.staleness.hear(age, not self.distribution.is_behind)

    async def _obtain(self) -> None:
        """Asks other instances for the configuration that we lack."""
        await self.distribution.obtain()
        if not self.distribution.is_behind:
            self.watcher.staleness.note_complete()

    # From the store

    def _take_list(
        self, listing: store_module.Listing[manifest.Manifest]
    ) -> None:
        for item in listing.items:
            if item.name == self._name:
                self._take(item.value)

    def _take_changes(
        self, changes: store_module.Changes[manifest.Manifest]
    ) -> None:
        for change in changes.items:
            if change.name == self._name and change.value is not None:
                self._take(change.value)

    def _take(self, value: manifest.Manifest) -> None:
        self._read_version = value.version
        if self._holder.offer(value):
            self._on_own()

    def _note_read(self, asked_at: float, refused: Set[str]) -> None:
        """Notes a read of the store, unless it proves nothing.

        It does not where our object could not be read, or where the store may
        have lost a later one.
        """
        is_older = self._read_version < (self._holder.version or 0)
        if self._name in refused or self._may_lack or is_older:
            return
        self.confirmations.note_read(asked_at)
