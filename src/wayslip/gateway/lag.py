"""Measures the event loop's lag and suspensions of the machine.

An instance runs on one event loop: answers, lease renewals and announcements
wait for it. The lag shows a plan that takes 40 ms, or a processor that is busy
with other processes.
"""

import asyncio
from collections.abc import Callable
import logging

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module

_LOG = logging.getLogger(__name__)
# Between samples; a sample takes 0.02 ms.
_SAMPLE_INTERVAL_SECONDS = 0.1
# A smaller difference between two samples is the time to read two clocks.
_MIN_SUSPENSION_SECONDS = 0.05
NAME = "loop_lag"


async def observe(
    metrics: metrics_module.Metrics, on_lag: Callable[[float], None]
) -> None:
    """Records lag and suspensions until cancelled.

    Args:
        metrics: Where they are recorded.
        on_lag: Called with each sample of the lag, seconds.
    """
    latency = metrics.latency(NAME)
    previous = clock.find_suspended()
    while True:
        due = clock.now() + _SAMPLE_INTERVAL_SECONDS
        await asyncio.sleep(_SAMPLE_INTERVAL_SECONDS)
        late = max(clock.now() - due, 0.0)
        latency.observe(late)
        on_lag(late)
        suspended = clock.find_suspended()
        if suspended - previous > _MIN_SUSPENSION_SECONDS:
            logs.event(
                _LOG,
                "machine_was_suspended",
                logging.WARNING,
                seconds=f"{suspended - previous:.3f}",
            )
            metrics.count("suspensions")
        previous = suspended
