"""Has the lease handed over while its holder reaches no engine.

Such a holder can neither order nor read reports, yet the store answers it, so
that it would keep the lease and nothing would be loaded.
"""

import asyncio
from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import logs
from wayslip.gateway.sharing import endpoint_paths
from wayslip.gateway.sharing import leadership as leadership_module

_LOG = logging.getLogger(__name__)
_PERIOD_SECONDS = 0.1
# How long the holder must be cut off before it steps down. A change of the
# holder stops orders to an engine for some seconds.
_PATIENCE_SECONDS = 0.6


class LinkWatch:
    """Watches the paths of the lease holder. Used on the event loop only."""

    def __init__(
        self,
        paths: endpoint_paths.EndpointPaths,
        leadership: leadership_module.Leadership,
        announce: Callable[[], None],
    ) -> None:
        """Initializes the watch.

        Args:
            paths: The paths of this instance.
            leadership: The lease.
            announce: Announces that this instance no longer holds it.
        """
        self._paths = paths
        self._leadership = leadership
        self._announce = announce

    async def run(self) -> None:
        """Steps down whenever that is due; runs until cancelled."""
        cut_off_since: float | None = None
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            # While the store is away nobody else could take the lease.
            is_unfit = (
                self._leadership.is_valid
                and not self._leadership.is_cut_off
                and self._paths.is_cut_off_alone
            )
            if not is_unfit:
                cut_off_since = None
                continue
            now = clock.now()
            cut_off_since = now if cut_off_since is None else cut_off_since
            if now - cut_off_since < _PATIENCE_SECONDS:
                continue
            logs.event(
                _LOG,
                "lease_handed_over",
                logging.WARNING,
                reason="this instance reaches no endpoint and others do",
                seconds=f"{now - cut_off_since:.2f}",
            )
            await self._leadership.step_down()
            self._announce()
