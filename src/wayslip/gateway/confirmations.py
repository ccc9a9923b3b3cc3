"""Keeps the configuration in force confirmed as the newest.

Only the store can say which configuration is the newest. Whoever has read it
vouches for it to any instance that asks, so an instance that the store turns
away goes on as long as it hears a peer that the store serves.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.decisions import detachment
from wayslip.decisions import freshness as freshness_module
from wayslip.gateway import configuration
from wayslip.gateway import facts
from wayslip.gateway import hub as hub_module
from wayslip.gateway import options as options_module

_LOG = logging.getLogger(__name__)
# Between looks whether a confirmation is due, and between attempts to get one,
# seconds: an answer takes 10 ms, and seven attempts fit before it is too late.
_CHECK_SECONDS = 0.25
# Attempts at the lease's holder alone before other instances are asked too.
_ATTEMPTS_AT_HOLDER = 1
_PEERS_ASKED = 2
# Questions whose answers are still taken; later ones prove nothing newer.
_MAX_OPEN_REQUESTS = 20
# Share of the bound at which the store is read without waiting for others.
_READ_SHARE = 0.55


class Confirmations:
    """What this instance knows of the age of its configuration.

    Attributes:
        freshness: The same.
    """

    def __init__(
        self,
        options: options_module.Options,
        holder: configuration.Holder,
        hub: hub_module.Hub,
        find_holder: Callable[[], str | None],
        list_peers: Callable[[], list[str]],
        on_confirmed: Callable[[int, float], None],
        read: Callable[[], Awaitable[None]],
    ) -> None:
        """Initializes without any confirmation.

        Args:
            options: Of this instance.
            holder: Of the configuration in force.
            hub: Sends to other instances.
            find_holder: Returns where the lease's holder hears its peers.
            list_peers: Returns where all known instances hear their peers.
            on_confirmed: Is given a version that another instance vouches for
                as the newest, and its age in seconds.
            read: Reads the store.
        """
        self._options = options
        self._holder = holder
        self._hub = hub
        self._find_holder = find_holder
        self._list_peers = list_peers
        self._on_confirmed = on_confirmed
        self._read = read
        self._open_stamps: collections.deque[int] = collections.deque(
            maxlen=_MAX_OPEN_REQUESTS
        )
        self._attempts = 0
        self._rng = random.Random()
        self.freshness = freshness_module.Freshness(options.bounds.revocation)

    def _update(self) -> freshness_module.Freshness:
        """Returns the freshness of what is held now."""
        version = self._holder.version or 0
        if version != self.freshness.held:
            self.freshness = self.freshness.hold(version)
        return self.freshness

    @property
    def is_reliable(self) -> bool:
        """Whether a key that the configuration holds may be relied on."""
        return self._update().is_reliable(clock.now())

    def note_read(self, asked_at: float) -> None:
        """Notes that the store showed the newest, and it is in force.

        Args:
            asked_at: When the read was sent, steady seconds.
        """
        self.freshness = self._update().confirm(
            self._holder.version or 0, asked_at
        )

    # Asking

    async def run(self) -> None:
        """Asks for confirmations as they become due, for ever."""
        while True:
            await asyncio.sleep(_CHECK_SECONDS * self._rng.uniform(0.8, 1.2))
            now = clock.now()
            if not self._update().is_due(now):
                self._attempts = 0
                continue
            self._ask(now)
            bound = self.freshness.bound or 0.0
            if now - self.freshness.proven_at > bound * _READ_SHARE:
                await self._read_store()

    def _ask(self, now: float) -> None:
        stamp = detachment.make_stamp(now)
        self._open_stamps.append(stamp)
        self._attempts += 1
        for address in self._choose():
            self._hub.send(
                facts.Confirm(stamp), addresses.split_address(address)
            )

    def _choose(self) -> list[str]:
        """Returns whom to ask: the lease's holder, then others besides."""
        own = self._options.peers
        holder = self._find_holder()
        chosen = [] if holder in (None, own) else [str(holder)]
        if chosen and self._attempts <= _ATTEMPTS_AT_HOLDER:
            return chosen
        others = [p for p in self._list_peers() if p not in (own, holder)]
        count = min(_PEERS_ASKED, len(others))
        return chosen + self._rng.sample(others, count)

    async def _read_store(self) -> None:
        """Reads the store: nobody has confirmed what we hold for too long."""
        try:
            await self._read()
        except errors.ObjectError as e:
            logs.event(
                _LOG,
                "not_confirmed",
                logging.WARNING,
                age=f"{clock.now() - self.freshness.proven_at:.1f}",
                version=self._holder.version,
                reason=e.reason,
            )

    # Answering and hearing

    def answer(
        self, message: facts.Confirm, source: hub_module.Address
    ) -> None:
        """Answers an instance that asks which configuration is the newest."""
        known = self._update()
        version, at = known.ahead or (known.held, known.proven_at)
        age = clock.now() - at
        if version and known.bound is not None and age < known.bound:
            found = facts.Confirmed(message.stamp, version, round(age, 4))
            self._hub.send(found, source)

    def apply_answer(self, message: facts.Confirmed) -> None:
        """Takes an answer in; its age counts from when we asked."""
        if message.stamp not in self._open_stamps:
            return
        at = detachment.read_stamp(message.stamp) - message.age
        self.freshness = self._update().confirm(message.version, at)
        self._on_confirmed(message.version, clock.now() - at)
