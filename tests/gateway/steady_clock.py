"""A clock that stands still while the test process waits for a processor.

Gateways, engines, the store and clients of a test share one event loop. On a
machine with many busy processes that loop is held up for longer than many of
their time limits, which shows nothing about the program. So the time of a test
is its processor time plus what it waited in the selector, at most up to the
next timer. On an idle machine that is the time of day's pace.
"""

import asyncio
import contextlib
import selectors
import time
from unittest import mock

from wayslip import clock


class _Selector(selectors.DefaultSelector):
    """Counts the time for which it waited as asked."""

    def __init__(self):
        super().__init__()
        self.waited = 0.0

    def select(self, timeout=None):
        began = time.monotonic()
        events = super().select(timeout)
        elapsed = time.monotonic() - began
        self.waited += elapsed if timeout is None else min(elapsed, timeout)
        return events


class Loop(asyncio.SelectorEventLoop):
    """An event loop on this clock."""

    def __init__(self):
        self._steady = _Selector()
        self._began = time.monotonic() - time.process_time()
        super().__init__(self._steady)

    def time(self):
        """Returns the time that timers are based on."""
        awake = self._began + time.process_time() + self._steady.waited
        return awake + find_suspended()


def find_suspended():
    """Returns the seconds for which the machine was suspended since boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )


@contextlib.contextmanager
def run():
    """Yields a runner whose loop, and `clock.now`, are on this clock."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        loop = runner.get_loop()
        with mock.patch.object(clock, "now", loop.time):
            yield runner
