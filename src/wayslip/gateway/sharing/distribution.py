"""Distributes configurations between instances.

The lease holder announces which version is the newest. An instance that lacks
it asks another one for a copy before it reads the store, and serves copies of
its own configuration.
"""

import asyncio
from collections.abc import Callable
import logging
import random
import urllib.parse

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import copy_sources
from wayslip.gateway import options as options_module
from wayslip.gateway.sharing import configuration
from wayslip.gateway.sharing import copy_client
from wayslip.gateway.sharing import snapshots
from wayslip.http1 import server

_LOG = logging.getLogger(__name__)
# Pause between requests to two instances: a copy of 0.07 MB takes 0.11 s of a
# link of 5 Mbit/s, after which one more instance has it.
_MIN_PAUSE_SECONDS = 0.03
_MAX_PAUSE_SECONDS = 0.12
_COPY_HEADERS = ((b"content-type", b"application/octet-stream"),)


class Distribution:
    """Obtains copies of the newest configuration and serves them.

    Attributes:
        newest: Newest version that any lease holder announced.
    """

    def __init__(
        self,
        options: options_module.Options,
        holder: configuration.Holder,
        client: copy_client.CopyClient,
        find_holder: Callable[[], str | None],
        list_peers: Callable[[], list[str]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes without any announced version.

        Args:
            options: Options of this instance.
            holder: Holds the configuration in force.
            client: Requests copies from other instances.
            find_holder: Returns the address of the lease holder for its peers.
            list_peers: Returns the addresses of all known instances for their
                peers.
            metrics: Where copies and their bytes are counted.
        """
        self._options = options
        self._holder = holder
        self._client = client
        self._find_holder = find_holder
        self._list_peers = list_peers
        self._metrics = metrics
        # Version and encoded copy of the configuration.
        self._snapshot: tuple[int, bytes] = (0, b"")
        self._link_free_at = 0.0
        self._rng = random.Random()
        self.newest = 0

    @property
    def _version(self) -> int:
        return self._holder.version or 0

    @property
    def is_behind(self) -> bool:
        """Whether a newer version is known to exist."""
        return self._version < self.newest

    def note_announcement(self, version: int) -> None:
        """Records which version the lease holder has."""
        self.newest = max(self.newest, version)

    # Requests

    async def obtain(self) -> None:
        """Asks other instances for the missing configuration.

        Returns once it is in force, or after `Bounds.copies` without a copy;
        the store is read then.
        """
        end = clock.now() + self._options.bounds.copies
        while self.is_behind and clock.now() < end:
            address = self._choose()
            if address is None:
                return
            if await self._fetch(address):
                # There may have been another change during the transfer.
                end = clock.now() + self._options.bounds.copies
            else:
                pause = self._rng.uniform(
                    _MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS
                )
                await asyncio.sleep(pause)

    def _choose(self) -> tuple[str, int] | None:
        """Returns the address for operators of the instance to ask."""
        own = self._options.peers
        peers = [p for p in self._list_peers() if p != own]
        holder = self._find_holder()
        found = copy_sources.choose_source(
            None if holder == own else holder, peers, self._rng
        )
        if found is None or not self._options.metrics_port:
            return None
        # All instances listen on the same ports.
        return addresses.split_address(found)[0], self._options.metrics_port

    async def _fetch(self, address: tuple[str, int]) -> bool:
        """Asks one instance; returns whether it had a newer configuration."""
        began = clock.now()
        before = self._version
        data = b""
        outcome = "none"
        try:
            data = await self._client.fetch(address, before)
            if data:
                outcome = "taken" if self._apply(data) else "old"
        except (errors.EndpointError, errors.FrameError) as e:
            outcome = "failed"
            logs.event(
                _LOG,
                "copy_failed",
                logging.WARNING,
                source=address[0],
                reason=e.reason,
            )
        self._metrics.count("configuration_copies", outcome=outcome)
        self._metrics.count("configuration_copy_bytes", len(data), way="in")
        logs.event(
            _LOG,
            "copy_asked_for",
            source=address[0],
            outcome=outcome,
            before=before,
            version=self._version,
            told=self.newest,
            bytes=len(data),
            seconds=f"{clock.now() - began:.3f}",
        )
        return outcome == "taken"

    def _apply(self, data: bytes) -> bool:
        manifest = snapshots.decode(data)
        if not self._holder.offer(manifest):
            return False
        self._snapshot = (manifest.version, data)
        return True

    # Answers

    async def answer(self, exchange: server.Exchange) -> None:
        """Answers another instance that asks for a copy."""
        query = exchange.request.target.partition(b"?")[2].decode("latin-1")
        known = urllib.parse.parse_qs(query).get("newer_than", ["0"])[0]
        if not known.isdigit():
            exchange.answer(400, (), b"give newer_than as a whole number\n")
            return
        data = self.serve_copy(int(known))
        if data is None:
            exchange.answer(204, (), b"")
        elif not data:
            exchange.answer(503, (), b"")
        else:
            exchange.answer(200, _COPY_HEADERS, data)

    def serve_copy(self, known: int) -> bytes | None:
        """Returns a copy for an instance that has a version.

        Returns:
            None if there is no newer version; empty if the link is busy.
        """
        manifest = self._holder.manifest
        if manifest is None or manifest.version <= known:
            return None
        if self._snapshot[0] != manifest.version:
            self._snapshot = (manifest.version, snapshots.encode(manifest))
        data = self._snapshot[1]
        free_at = copy_sources.plan_sending(
            self._link_free_at,
            clock.now(),
            len(data),
            self._options.bytes_per_s,
        )
        if free_at is None:
            return b""
        self._link_free_at = free_at
        self._metrics.count("configuration_copy_bytes", len(data), way="out")
        return data
