"""How late the event loop is.

Everything that an instance does waits for its one loop: answers, renewals of
the lease and statements alike. A plan that takes 40 ms, or a processor that is
busy elsewhere, shows here first.
"""

import asyncio
import time

from wayslip import metrics as metrics_module

# Between looks, seconds: a look costs 0.02 ms.
_LOOK_SECONDS = 0.1
NAME = "loop_lag"


async def observe(metrics: metrics_module.Metrics) -> None:
    """Measures until it is cancelled."""
    latency = metrics.latency(NAME)
    while True:
        due = time.monotonic() + _LOOK_SECONDS
        await asyncio.sleep(_LOOK_SECONDS)
        latency.observe(max(time.monotonic() - due, 0.0))
