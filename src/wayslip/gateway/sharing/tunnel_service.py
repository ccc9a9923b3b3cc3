"""Opens tunnels to endpoints for instances that don't reach them."""

from collections.abc import Callable
import logging

from wayslip import addresses
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fanout
from wayslip.decisions import helpers
from wayslip.gateway.sharing import endpoint_paths
from wayslip.gateway.sharing import view as view_module
from wayslip.http1 import tunnels

_LOG = logging.getLogger(__name__)
# Each takes two sockets and, at most, two buffers of 64 KB.
_MAX_TUNNELS = 256
# The asking instance waits for a little longer.
_CONNECT_TIMEOUT_SECONDS = 0.3


class TunnelService:
    """Serves tunnels. Used on the event loop only.

    It listens at the address for peers, over TCP.

    Attributes:
        is_draining: Whether it takes no new tunnels.
    """

    def __init__(
        self,
        address: str,
        view: view_module.EndpointView,
        paths: endpoint_paths.EndpointPaths,
        list_peers: Callable[[], list[fanout.Peer]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes the service.

        Args:
            address: Address of this instance for its peers, "IP:PORT".
            view: The endpoints that this instance knows.
            paths: What is known of its own paths to them.
            list_peers: Returns the known instances; only these are served.
            metrics: Where tunnels are counted.
        """
        self._view = view
        self._paths = paths
        self._list_peers = list_peers
        self._metrics = metrics
        self.is_draining = False
        self._server = tunnels.Server(
            addresses.split_address(address),
            self._judge,
            self._note_outcome,
            _CONNECT_TIMEOUT_SECONDS,
        )

    def __len__(self) -> int:
        """Returns the number of tunnels."""
        return len(self._server)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be used.
        """
        await self._server.start()

    def close(self) -> None:
        """Stops listening and breaks all tunnels off."""
        self._server.close()

    def _judge(
        self, source: str, endpoint: str
    ) -> tuple[str, int] | tunnels.Outcome:
        """Returns the address to connect to, or a refusal."""
        if not any(
            addresses.split_address(p.address)[0] == source
            for p in self._list_peers()
        ):
            return self._refuse(
                source,
                endpoint,
                tunnels.Status.FORBIDDEN,
                helpers.Reason.UNKNOWN_INSTANCE,
            )
        reason = self._find_obstacle(endpoint)
        if reason:
            return self._refuse(source, endpoint, tunnels.Status.BUSY, reason)
        return addresses.split_address(
            self._view.tracked[endpoint].endpoint.address
        )

    def _find_obstacle(self, endpoint: str) -> str:
        """Returns why no tunnel is opened, empty if nothing is in the way."""
        if self.is_draining:
            return helpers.Reason.STOPPING
        if len(self._server) > _MAX_TUNNELS:
            return helpers.Reason.TOO_MANY
        tracked = self._view.tracked.get(endpoint)
        if tracked is None:
            return helpers.Reason.UNKNOWN_ENDPOINT
        if tracked.endpoint.is_leaving:
            return helpers.Reason.ENDPOINT_LEAVES
        if self._paths.is_cut_off:
            return helpers.Reason.CUT_OFF
        if self._paths.is_lost(endpoint):
            return helpers.Reason.PATH_LOST
        return ""

    def _refuse(
        self, source: str, endpoint: str, status: tunnels.Status, reason: str
    ) -> tunnels.Outcome:
        self._log(source, endpoint, reason)
        return tunnels.Outcome(status, reason)

    async def _note_outcome(
        self, source: str, endpoint: str, status: tunnels.Status
    ) -> tunnels.Outcome:
        """Records what connecting showed; returns the answer."""
        if status is tunnels.Status.OPENED:
            self._paths.note_opened(endpoint)
            self._log(source, endpoint, "opened")
            return tunnels.Outcome(status)
        self._paths.note_failed(endpoint, status is tunnels.Status.SILENT)
        if self._paths.is_in_doubt or not await self._paths.prove_links(
            endpoint
        ):
            # The fault may be at this instance, so that this tells nothing.
            return self._refuse(
                source, endpoint, tunnels.Status.BUSY, helpers.Reason.IN_DOUBT
            )
        self._log(source, endpoint, status.name.lower())
        return tunnels.Outcome(status)

    def _log(self, source: str, endpoint: str, outcome: str) -> None:
        self._metrics.count("tunnels_served", outcome=outcome)
        logs.event(
            _LOG,
            "tunnel_asked_for",
            endpoint=endpoint,
            source=source,
            outcome=outcome,
            tunnels=len(self._server),
        )
