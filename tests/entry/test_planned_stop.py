"""A planned stop while answers are being written.

Guards against a stop that ends the process as soon as an answer is made,
though its caller has only read a part of it.
"""

import socket
import threading
import time

from tests import system as system_module
from wayslip import addresses
from wayslip import settings
from wayslip import web

# More than the sockets of a connection take.
BODY = bytes(16_000_000)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
WAIT_SECONDS = 10.0


def until(check):
    end = time.monotonic() + WAIT_SECONDS
    while not check():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_request_is_active_until_the_socket_has_its_answer():
    made = threading.Event()

    def answer(request):
        made.set()
        return web.Answer(200, BODY)

    server = web.Server("127.0.0.1:0", answer, settings.Limits(), 2)
    server.start()
    try:
        address = addresses.split_address(server.address)
        with socket.create_connection(address, WAIT_SECONDS) as caller:
            caller.sendall(REQUEST)
            assert made.wait(WAIT_SECONDS)
            time.sleep(0.2)
            assert server.active == 1
            data = b"".join(iter(lambda: caller.recv(1 << 20), b""))
        assert data.endswith(BODY)
        until(lambda: server.active == 0)
    finally:
        server.stop()


def test_stop_waits_for_answers_that_are_being_written():
    with system_module.System(1, engines=1) as system:
        entry = system.entries[0]
        waiter = threading.Thread(target=entry._wait_for_requests)
        with entry._callers_port.count_request():
            waiter.start()
            waiter.join(0.5)
            assert waiter.is_alive()
        waiter.join(WAIT_SECONDS)
        assert not waiter.is_alive()
