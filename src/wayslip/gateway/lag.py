"""How late the event loop is, and how long the machine was suspended.

Everything that an instance does waits for its one loop: answers, renewals of
the lease and statements alike. A plan that takes 40 ms, or a processor that is
busy elsewhere, shows here first.
"""

import asyncio
import logging

from wayslip import clock
from wayslip import logs
from wayslip import metrics as metrics_module

_LOG = logging.getLogger(__name__)
# Between looks, seconds: a look costs 0.02 ms.
_SAMPLE_INTERVAL_SECONDS = 0.1
# Less than this between two looks is what reading two clocks takes, seconds.
_MIN_SUSPENSION_SECONDS = 0.05
NAME = "loop_lag"


async def observe(metrics: metrics_module.Metrics) -> None:
    """Measures until it is cancelled."""
    latency = metrics.latency(NAME)
    previous = clock.find_suspended()
    while True:
        due = clock.now() + _SAMPLE_INTERVAL_SECONDS
        await asyncio.sleep(_SAMPLE_INTERVAL_SECONDS)
        latency.observe(max(clock.now() - due, 0.0))
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
