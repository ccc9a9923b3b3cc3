"""Keeps the configuration in force confirmed as the newest.

Only the store can say which configuration is the newest. An instance that has
read it confirms this to any instance that asks. So an instance that the store
rejects continues to serve as long as it reaches a peer that the store answers.
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
from wayslip.gateway import options as options_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import hub as hub_module

_LOG = logging.getLogger(__name__)
# Interval of checks whether a confirmation is due, and of attempts to get one.
# An answer takes 10 ms, and seven attempts fit before the configuration lapses.
_CHECK_SECONDS = 0.25
# Attempts at the lease holder alone before other instances are asked too.
_ATTEMPTS_AT_HOLDER = 1
_PEERS_ASKED = 2
# Requests whose answers are still accepted; answers to older ones confirm
# nothing newer.
_MAX_OPEN_REQUESTS = 20
# Share of the bound after which the store is read without waiting for answers.
_READ_SHARE = 0.55


class Confirmations:
    """Age of the configuration of this instance, and requests to confirm it.

    Attributes:
        freshness: What is known of the age.
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
            options: Options of this instance.
            holder: Holds the configuration in force.
            hub: Sends to other instances.
            find_holder: Returns the address of the lease holder for its peers.
            list_peers: Returns the addresses of all known instances for their
                peers.
            on_confirmed: Receives a version that another instance confirms as
                the newest, and the age of that in seconds.
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
        """Returns the freshness of the configuration now in force."""
        version = self._holder.version or 0
        if version != self.freshness.held:
            self.freshness = self.freshness.hold(version)
        return self.freshness

    @property
    def is_reliable(self) -> bool:
        """Whether a key in the configuration may still be accepted."""
        return self._update().is_reliable(clock.now())

    def note_read(self, asked_at: float) -> None:
        """Records that the store had the newest version, which is in force.

        Args:
            asked_at: When the read was sent, steady seconds.
        """
        self.freshness = self._update().confirm(
            self._holder.version or 0, asked_at
        )

    # Requests

    async def run(self) -> None:
        """Asks for confirmations as they become due, until cancelled."""
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
        """Returns the instances to ask: the lease holder, then others too."""
        own = self._options.peers
        holder = self._find_holder()
        chosen = [] if holder in (None, own) else [str(holder)]
        if chosen and self._attempts <= _ATTEMPTS_AT_HOLDER:
            return chosen
        others = [p for p in self._list_peers() if p not in (own, holder)]
        count = min(_PEERS_ASKED, len(others))
        return chosen + self._rng.sample(others, count)

    async def _read_store(self) -> None:
        """Reads the store, because no confirmation came for too long."""
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

    # Answers

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
        """Applies an answer; its age counts from the time of the request."""
        if message.stamp not in self._open_stamps:
            return
        at = detachment.read_stamp(message.stamp) - message.age
        self.freshness = self._update().confirm(message.version, at)
        self._on_confirmed(message.version, clock.now() - at)
