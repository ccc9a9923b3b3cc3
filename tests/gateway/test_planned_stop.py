"""A planned stop, from the signal to the end of the grace time.

Guards against requests that are taken late and broken off by the end of the
grace time: one sent 3.01 s after the signal was cut after 4.6 s of work.
"""

from tests.gateway import harness
from wayslip.gateway import daemon

# From the platform's rules: a request sent later than this after the signal
# must not be broken off by the stop.
LATEST_SECONDS = 3.0
# Two answers that it isn't ready, one second apart, take an instance out.
BALANCER_SECONDS = 2.0
# A caller sends its request within this time of connecting.
SEND_SECONDS = 0.2


def test_no_request_is_taken_that_the_stop_may_not_break_off():
    last = daemon._BALANCER_SECONDS + daemon._STOP_POLL_SECONDS
    assert last + SEND_SECONDS < LATEST_SECONDS
    assert daemon._BALANCER_SECONDS > BALANCER_SECONDS


@harness.run
async def test_idle_connection_is_closed_once_no_requests_are_taken(system):
    await system.add("e1", "plain")
    caller = await system.connect()
    await caller.send("/get/a", "r1")
    assert (await caller.read()).status == 200
    system.gateway._stopping.set()
    # It closes without bytes; a request after that would be sent elsewhere.
    assert await caller.reader.read() == b""
