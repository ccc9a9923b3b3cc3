"""An event loop on simulated time."""

import asyncio
import selectors

from wayslip import clock


class _SimulatedSelector(selectors.DefaultSelector):
    """Advances the simulated time instead of blocking."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        assert timeout is not None, "deadlock: no callback is scheduled"
        self.now += timeout
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when all tasks wait."""

    def __init__(self):
        self.simulated = _SimulatedSelector()
        super().__init__(self.simulated)

    def time(self):
        return self.simulated.now


def run(work):
    """Runs a coroutine in simulated time; returns what it returns."""
    loop = SimulatedLoop()
    real = clock.now
    clock.now = loop.time
    try:
        return loop.run_until_complete(work)
    finally:
        clock.now = real
        loop.close()
