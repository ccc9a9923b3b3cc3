"""Closes new connections of clients that this instance could not serve."""

import logging

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import connection_gate

_LOG = logging.getLogger(__name__)
# Interval of the log line about connections that were closed.
_LOG_PERIOD_SECONDS = 1.0


class Admission:
    """Decides on new connections and records what was refused."""

    def __init__(
        self, descriptors: int, metrics: metrics_module.Metrics
    ) -> None:
        """Initializes with all connections admitted.

        Args:
            descriptors: Descriptors that the process may have open, 0 if
                unknown.
            metrics: Where closed connections are counted.
        """
        self._metrics = metrics
        self._gate = connection_gate.ConnectionGate(
            connection_gate.find_max_connections(descriptors), clock.now()
        )
        self._closed = 0
        self._logged_at = 0.0

    def note_lag(self, lag: float) -> None:
        """Records by how many seconds the event loop is late."""
        self._gate.note_lag(lag, clock.now())

    def admit(self, open_connections: int) -> connection_gate.Refusal | None:
        """Returns why a new connection is not served, None if it is.

        Args:
            open_connections: Those that are open already.
        """
        now = clock.now()
        refusal = self._gate.judge(open_connections, now)
        if refusal is None:
            return None
        self._metrics.count("connections_closed_unread", reason=refusal.reason)
        self._closed += 1
        if now - self._logged_at >= _LOG_PERIOD_SECONDS:
            self._log(refusal, open_connections, now)
        return refusal

    def _log(
        self,
        refusal: connection_gate.Refusal,
        open_connections: int,
        now: float,
    ) -> None:
        logs.event(
            _LOG,
            "connections_closed_unread",
            logging.WARNING,
            reason=refusal.reason,
            limit=f"{refusal.limit:.0f}",
            open=open_connections,
            count=self._closed,
        )
        self._closed = 0
        self._logged_at = now
