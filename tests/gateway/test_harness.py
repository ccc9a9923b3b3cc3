"""Tests of the harness: errors of a gateway that did not start, ports."""

import pytest

from standins import ports
from tests.gateway import harness


@harness.run
async def test_start_error_of_a_gateway_is_raised(system):
    # Without this a test waits 10 s for a gateway that has ended, and the error
    # is lost.
    options = harness.make_options("g2", system.options.store)
    gateway = system._launch(
        harness.replace_peers(options, system.options.peers)
    )
    with pytest.raises(OSError, match="in use"):
        await system.until(lambda: False)
    del system._tasks[gateway]


def test_port_of_a_datagram_socket_is_not_free():
    host = ports.make_own_host()
    port = ports.find_free(host)
    with ports.hold(host, port):
        assert not ports.is_free(host, port)
    assert ports.is_free(host, port)
