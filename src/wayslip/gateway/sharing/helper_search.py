"""Asks other instances for tunnels to endpoints, one after the other."""

from collections.abc import Callable
from collections.abc import Iterator
import logging
import random

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fanout
from wayslip.decisions import fleet
from wayslip.decisions import helpers as helpers_module
from wayslip.gateway.sharing import connection_race
from wayslip.http1 import client
from wayslip.http1 import tunnels

_LOG = logging.getLogger(__name__)
# Limit for a tunnel; another instance is asked meanwhile.
_TUNNEL_TIMEOUT_SECONDS = 0.5
# Instances asked in one search. A refusal comes within a round trip, so that
# many can be asked where most of a fleet is cut off.
_MAX_ASKED = 12
# Questions without an answer at which a search asks nobody else: where no peer
# answers, callers are told soon.
_MAX_UNANSWERED = 4


class HelperSearch:
    """Searches for instances that reach an endpoint. For the event loop only.

    Attributes:
        refusals: Questions that opened no tunnel, in total.
        on_opened: Called with the name of an endpoint to which a peer opened a
            tunnel.
    """

    def __init__(
        self,
        data_hall: str,
        own_address: str,
        list_peers: Callable[[], list[fanout.Peer]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes without a question asked.

        Args:
            data_hall: The data hall of this instance.
            own_address: Address of this instance for its peers, "IP:PORT".
            list_peers: Returns the known instances.
            metrics: Where tunnels are counted.
        """
        self._own_address = own_address
        self._list_peers = list_peers
        self._metrics = metrics
        self._helpers = helpers_module.Helpers(data_hall, random.Random())
        self.refusals = 0
        self.on_opened: Callable[[str], None] = lambda name: None

    @property
    def has_peers(self) -> bool:
        """Whether another instance is known."""
        return bool(self._find_peers())

    def list_openers(
        self, endpoint: fleet.Endpoint
    ) -> Iterator[connection_race.Opener]:
        """Yields openers of tunnels, each chosen when it is wanted."""
        search = _Search()
        while (
            len(search.asked) < _MAX_ASKED
            and search.unanswered < _MAX_UNANSWERED
        ):
            peer = self._helpers.choose(
                self._find_peers(), endpoint.name, search.asked, clock.now()
            )
            if peer is None:
                return
            search.asked.append(peer)
            yield self._make_opener(endpoint, peer.address, search)

    def _find_peers(self) -> list[fanout.Peer]:
        return [p for p in self._list_peers() if p.address != self._own_address]

    def _make_opener(
        self, endpoint: fleet.Endpoint, peer: str, search: "_Search"
    ) -> connection_race.Opener:
        async def open_tunnel() -> client.Connection:
            search.unanswered += 1
            try:
                connection = await tunnels.connect(
                    addresses.split_address(self._own_address)[0],
                    addresses.split_address(peer),
                    endpoint.name,
                    _TUNNEL_TIMEOUT_SECONDS,
                )
            except (errors.PeerError, errors.NotSentError) as e:
                self._note_no_tunnel(endpoint.name, peer, e)
                raise
            finally:
                search.unanswered -= 1
            self._note_tunnel(endpoint.name, peer)
            return connection

        return open_tunnel

    def _note_no_tunnel(
        self, endpoint: str, peer: str, error: errors.WayslipError
    ) -> None:
        now = clock.now()
        if isinstance(error, errors.TunnelRefusedError):
            self._helpers.note_refused(peer, endpoint, error.cause, now)
        elif isinstance(error, errors.PeerError):
            self._helpers.note_unanswered(peer, now)
        self.refusals += 1
        self._metrics.count("tunnels", outcome=type(error).__name__)
        logs.event(
            _LOG,
            "tunnel_not_opened",
            endpoint=endpoint,
            peer=peer,
            reason=error.reason,
        )

    def _note_tunnel(self, endpoint: str, peer: str) -> None:
        self._helpers.note_opened(peer, endpoint, clock.now())
        self._metrics.count("tunnels", outcome="opened")
        logs.event(_LOG, "tunnel_opened", endpoint=endpoint, peer=peer)
        self.on_opened(endpoint)


class _Search:
    """The questions of one search.

    Attributes:
        asked: Instances that were asked, in order.
        unanswered: Questions that are not answered yet.
    """

    def __init__(self) -> None:
        self.asked: list[fanout.Peer] = []
        self.unanswered = 0
