"""Cancels streams at their engines after their callers disconnected.

A caller that lost its connection may resume its stream through any entry, so a
stream is cancelled only if it is not resumed within a delay.
"""

import threading

from wayslip import errors
from wayslip import metrics as metrics_module
from wayslip.endpoints import engine as engine_module
from wayslip.entry import tokens
from wayslip.entry import view as view_module

_CANCEL_TIMEOUT_SECONDS = 1.0


class Cancellations:
    """Pending cancellations. Safe for many threads."""

    def __init__(
        self,
        view: view_module.EndpointView,
        metrics: metrics_module.Metrics,
        delay: float,
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._delay = delay
        self._dialect = engine_module.DIALECTS.get("openai")
        self._lock = threading.Lock()
        self._timers: dict[str, threading.Timer] = {}

    def add(self, token: tokens.StreamToken) -> None:
        """Schedules a stream's cancellation after the delay."""
        timer = threading.Timer(self._delay, self._cancel, [token])
        timer.daemon = True
        with self._lock:
            self._timers[token.request_id] = timer
        timer.start()

    def drop(self, request_id: str) -> None:
        """Withdraws the cancellation of a stream that was resumed."""
        with self._lock:
            timer = self._timers.pop(request_id, None)
        if timer is not None:
            timer.cancel()

    def _cancel(self, token: tokens.StreamToken) -> None:
        with self._lock:
            self._timers.pop(token.request_id, None)
        address = self._view.address(token.endpoint)
        if address is None:
            return
        try:
            self._dialect.cancel(
                address, token.request_id, _CANCEL_TIMEOUT_SECONDS
            )
            self._metrics.count("streams_cancelled")
        except errors.WayslipError:
            # Without a cancellation, the engine ends the stream at its token
            # limit.
            return
