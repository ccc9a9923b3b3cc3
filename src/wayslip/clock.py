"""The monotonic clock for all time limits.

The clock includes the time for which the machine was suspended.
`time.monotonic` does not, so anything that is valid for a limited time, such
as a lease, a confirmation or a share of a quota, would stay valid too long by
the time suspended. The programs' event loops use this clock too, so that
timers which became due during a suspension fire as soon as the machine resumes.
"""

import asyncio
import time


def now() -> float:
    """Returns seconds; only differences on one machine are meaningful."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def find_suspended() -> float:
    """Returns the seconds for which the machine was suspended since boot."""
    return now() - time.clock_gettime(time.CLOCK_MONOTONIC)


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time suspended."""

    def time(self) -> float:
        """Returns the time that timers are based on."""
        return now()
