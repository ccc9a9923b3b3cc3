"""Opens connections to endpoints, directly or through another instance.

A direct connection is tried first. If it fails, or takes long, others that know
the endpoint are asked for a tunnel to it. So a request is lost to an endpoint
only if nobody reaches it, whatever links of this instance are cut.

Once a path is known to be lost, tunnels come first and the path is tried again
in the background.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import logging
import random

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fanout
from wayslip.decisions import fleet
from wayslip.decisions import reachability
from wayslip.gateway import background
from wayslip.gateway.sharing import connection_race
from wayslip.gateway.sharing import helper_search
from wayslip.http1 import client

_LOG = logging.getLogger(__name__)
# Connecting inside a region takes 2 ms, and a lost packet is retransmitted
# after a few hundred. After this time an endpoint counts as unreachable.
CONNECT_TIMEOUT_SECONDS = 0.4
# Interval of questions to others about an endpoint that does not answer.
_CHECK_PERIOD_SECONDS = 1.0
# Limits for connections that are to show that the own links work: others may
# have ended too, and a peer waits for the answer.
_MAX_PROOFS = 3
_PROOF_TIMEOUT_SECONDS = 0.15
# What others reached this long ago says that they do now.
_MAX_WITNESS_AGE_SECONDS = 1.5

Dial = Callable[[tuple[str, int], float], Awaitable[client.Connection]]


class EndpointPaths:
    """Paths of this instance to endpoints. Used on the event loop only.

    Attributes:
        dial: Opens a direct connection, see `client.connect`.
        list_endpoints: Returns all known endpoints.
        on_found: Gets a connection that was opened over a path that had been
            lost, with the endpoint's name.
    """

    def __init__(
        self,
        data_hall: str,
        own_address: str,
        list_peers: Callable[[], list[fanout.Peer]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes with all paths in order.

        Args:
            data_hall: The data hall of this instance.
            own_address: Address of this instance for its peers, "IP:PORT".
            list_peers: Returns the known instances.
            metrics: Where tunnels and lost paths are counted.
        """
        self._metrics = metrics
        self._reachability = reachability.Reachability()
        self._helpers = helper_search.HelperSearch(
            data_hall, own_address, list_peers, metrics
        )
        self._helpers.on_opened = self._note_reached_by_peer
        self._reached_by_peer_at = 0.0
        # When others may be asked again what they see of an endpoint, by name.
        self._next_checks: dict[str, float] = {}
        self._rng = random.Random()
        self._tasks = background.BackgroundTasks("path_trial_failed")
        self._proof: asyncio.Task[bool] | None = None
        self.dial: Dial = client.connect
        self.list_endpoints: Callable[[], Iterable[fleet.Endpoint]] = list
        self.on_found: Callable[[str, client.Connection], None] = (
            lambda name, connection: connection.close()
        )

    # State

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance reaches no endpoint, and others do."""
        return self._reachability.is_cut_off

    @property
    def is_cut_off_alone(self) -> bool:
        """Whether it is cut off, and another instance lately was not."""
        age = clock.now() - self._reached_by_peer_at
        return self.is_cut_off and age < _MAX_WITNESS_AGE_SECONDS

    @property
    def is_in_doubt(self) -> bool:
        """Whether failures may be due to this instance's own links."""
        return self.is_cut_off or self._reachability.is_in_doubt(clock.now())

    def is_lost(self, name: str) -> bool:
        """Whether others reach an endpoint, and this instance doesn't."""
        return self._reachability.is_lost(name)

    def find_trusted_since(self, name: str, may_repeat: bool) -> float:
        """Returns since when a connection must have been heard to be used.

        Args:
            name: The endpoint's name.
            may_repeat: Whether the request may be repeated.
        """
        return self._reachability.find_trusted_since(
            name, may_repeat, clock.now()
        )

    def note_opened(self, name: str) -> None:
        """Records that this instance connected to an endpoint."""
        lost_for = self._reachability.note_opened(name, clock.now())
        if lost_for is not None:
            logs.event(
                _LOG, "path_found", endpoint=name, seconds=f"{lost_for:.2f}"
            )

    def note_failed(self, name: str, is_silent: bool) -> None:
        """Records that this instance could not connect to an endpoint."""
        now = clock.now()
        if self._reachability.note_failed(name, is_silent, now):
            self._note_lost(name)

    def note_unreachable(
        self, endpoint: fleet.Endpoint, is_silent: bool
    ) -> None:
        """Records a failure to connect, and asks others what they see.

        Args:
            endpoint: The endpoint.
            is_silent: Whether it did not answer at all.
        """
        self.note_failed(endpoint.name, is_silent)
        if self._is_check_due(endpoint.name):
            self._tasks.start(self._ask_others(endpoint))

    async def verify(self, endpoint: fleet.Endpoint) -> bool:
        """Returns whether a path that seems silent is lost."""
        self.note_failed(endpoint.name, True)
        if not self.is_lost(endpoint.name) and self._is_check_due(
            endpoint.name
        ):
            await self._ask_others(endpoint)
        return self.is_lost(endpoint.name)

    async def prove_links(self, name: str) -> bool:
        """Returns whether this instance reaches endpoints other than one.

        A failure to connect says something about an endpoint only if the own
        links work.

        Args:
            name: The endpoint that could not be reached.
        """
        if self._reachability.has_proof(name, clock.now()):
            return True
        others = [
            e
            for e in self.list_endpoints()
            if e.name != name and not e.is_leaving
        ]
        if not others:
            # There is nothing to compare with.
            return True
        if self._proof is None or self._proof.done():
            self._proof = asyncio.create_task(self._prove_links(others))
        return await asyncio.shield(self._proof)

    async def _prove_links(self, endpoints: list[fleet.Endpoint]) -> bool:
        """Returns whether one of some endpoints can be reached."""
        self._rng.shuffle(endpoints)
        endpoints.sort(key=lambda e: self._reachability.is_failing(e.name))
        end = clock.now() + _PROOF_TIMEOUT_SECONDS
        reasons = []
        for endpoint in endpoints[:_MAX_PROOFS]:
            try:
                connection = await self._open_directly(
                    endpoint, max(end - clock.now(), 0.0)
                )
            except errors.NotSentError as e:
                reasons.append(f"{endpoint.name}: {e.reason}")
                continue
            self.on_found(endpoint.name, connection)
            return True
        logs.event(_LOG, "links_not_proved", reason="; ".join(reasons))
        return False

    def _is_check_due(self, name: str) -> bool:
        now = clock.now()
        if now < self._next_checks.get(name, 0.0):
            return False
        self._next_checks = {
            n: t for n, t in self._next_checks.items() if t > now
        }
        self._next_checks[name] = now + _CHECK_PERIOD_SECONDS
        return True

    async def _ask_others(self, endpoint: fleet.Endpoint) -> None:
        if not self._helpers.has_peers:
            return
        try:
            connection = await self._race(
                endpoint, self._helpers.list_openers(endpoint)
            )
        except errors.NotSentError as e:
            logs.event(
                _LOG,
                "endpoint_not_reached",
                endpoint=endpoint.name,
                reason=e.reason,
            )
            return
        self.on_found(endpoint.name, connection)

    def forget(self, name: str) -> None:
        """Forgets an endpoint that was removed."""
        self._reachability.forget(name)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "is_cut_off": self.is_cut_off,
            "lost": self._reachability.list_lost(),
        }

    def close(self) -> None:
        """Cancels attempts in the background."""
        self._tasks.cancel()
        if self._proof is not None:
            self._proof.cancel()

    # Opening

    async def open(
        self, endpoint: fleet.Endpoint, request_id: str = ""
    ) -> client.Connection:
        """Returns a new connection to an endpoint.

        Args:
            endpoint: The endpoint.
            request_id: The request that waits for it, for the log.

        Raises:
            NobodyListensError: The connection was refused, also elsewhere.
            NotSentError: Neither this instance nor others could connect.
        """
        if not self._helpers.has_peers:
            return await self._open_directly(endpoint)
        openers = self._helpers.list_openers(endpoint)
        if not self.is_lost(endpoint.name) and not self.is_cut_off:
            direct = [lambda: self._open_directly(endpoint)]
            return await self._race(
                endpoint, itertools.chain(direct, openers), request_id
            )
        now = clock.now()
        if self._reachability.take_trial(
            endpoint.name, self._rng.random(), now
        ):
            self._tasks.start(self._try_directly(endpoint))
        return await self._race(endpoint, openers, request_id)

    async def reopen(
        self, endpoint: fleet.Endpoint, is_through_peer: bool
    ) -> client.Connection:
        """Returns a new connection in place of one that the endpoint closed.

        Args:
            endpoint: The endpoint.
            is_through_peer: Whether the closed one led through another
                instance.

        Raises:
            NobodyListensError: The endpoint's address refuses connections.
            NotSentError: It did not answer.
        """
        opener = self.open if is_through_peer else self._open_directly
        return await opener(endpoint)

    async def probe(self, endpoint: fleet.Endpoint) -> None:
        """Returns if an endpoint can be reached.

        Raises:
            NobodyListensError: Its process has ended, as far as this instance
                and others see.
            NotSentError: It can't be told.
        """
        try:
            connection = await self.open(endpoint)
        except errors.NobodyListensError as e:
            if self.is_cut_off or not await self.prove_links(endpoint.name):
                raise errors.NotSentError(
                    f"this instance reaches no endpoint, {endpoint.name} too",
                    "see path_lost in its log",
                ) from e
            raise
        connection.close()

    async def _open_directly(
        self,
        endpoint: fleet.Endpoint,
        seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> client.Connection:
        name = endpoint.name
        address = addresses.split_address(endpoint.address)
        try:
            connection = await self.dial(address, seconds)
        except errors.NotSentError as e:
            self.note_failed(name, not isinstance(e, errors.NobodyListensError))
            raise
        self.note_opened(name)
        return connection

    async def _try_directly(self, endpoint: fleet.Endpoint) -> None:
        """Tries a lost path; keeps the connection if that succeeds."""
        try:
            connection = await self._open_directly(endpoint)
        except errors.NotSentError as e:
            logs.event(
                _LOG, "path_tried", endpoint=endpoint.name, reason=e.reason
            )
            return
        self.on_found(endpoint.name, connection)

    # Tunnels

    def _note_reached_by_peer(self, name: str) -> None:
        now = clock.now()
        self._reached_by_peer_at = now
        if self._reachability.note_reached_by_peer(name, now):
            self._note_lost(name)

    def _note_lost(self, name: str) -> None:
        self._metrics.count("paths_lost")
        logs.event(
            _LOG,
            "path_lost",
            logging.WARNING,
            endpoint=name,
            cut_off=self.is_cut_off,
        )

    async def _race(
        self,
        endpoint: fleet.Endpoint,
        openers: Iterable[connection_race.Opener],
        request_id: str = "",
    ) -> client.Connection:
        began = clock.now()
        refused = self._helpers.refusals
        peer = ""
        try:
            connection = await connection_race.race(
                endpoint.name,
                openers,
                lambda connection: self.on_found(endpoint.name, connection),
            )
            peer = connection.peer
            return connection
        finally:
            if peer or self._helpers.refusals > refused:
                self._log_search(
                    endpoint.name, request_id, peer, clock.now() - began
                )

    def _log_search(
        self, endpoint: str, request_id: str, peer: str, seconds: float
    ) -> None:
        """Logs how long a request waited for a way through another instance."""
        self._metrics.latency("helper_wait").observe(seconds)
        logs.event(
            _LOG,
            "helper_searched",
            request=request_id,
            endpoint=endpoint,
            peer=peer,
            seconds=f"{seconds:.3f}",
            cut_off=self.is_cut_off,
        )
