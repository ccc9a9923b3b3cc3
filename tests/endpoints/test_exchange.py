"""Answers to the own interface whose end is told by a close only.

Guards against half an answer of an endpoint that ended being kept as the result
of a call that runs at most once.
"""

import socket
import struct
import threading
from unittest import mock

import pytest

from standins import ports
from wayslip import errors
from wayslip.decisions import body_ends
from wayslip.endpoints import exchange

HOST = ports.make_own_host()
UNMARKED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LIMIT = 1000


def close(listener, connection):
    connection.close()


def end_process(listener, connection):
    # Otherwise the accepting thread keeps the socket open.
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    connection.close()


def end_process_late(listener, connection):
    connection.shutdown(socket.SHUT_RDWR)
    # A connection that was accepted is reset.
    accepted, _ = listener.accept()
    reset(listener, accepted)
    listener.close()


def reset(listener, connection):
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def read(answer, end):
    """Returns the body that a caller reads of an answer that ends so."""
    listener = socket.create_server((HOST, 0))
    listener.settimeout(10.0)

    def serve():
        connection, _ = listener.accept()
        connection.recv(4096)
        connection.sendall(answer)
        end(listener, connection)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    host, port = listener.getsockname()
    try:
        call = exchange.Call(f"{host}:{port}", "GET", "/", {}, b"", 5.0)
        return exchange.begin(call).read(LIMIT)
    finally:
        thread.join()
        listener.close()


def test_orderly_close_ends_an_answer():
    assert read(UNMARKED + b"whole", close) == b"whole"


@pytest.mark.parametrize("end", [end_process, end_process_late, reset])
def test_half_an_answer_of_an_ended_endpoint_is_unclear(end):
    # The stand-in resets a connection when its thread runs, not the kernel.
    settling = mock.patch.object(body_ends, "SETTLING_SECONDS", 5.0)
    with settling, pytest.raises(errors.EndpointUnclearError):
        read(UNMARKED + b"half", end)


def test_answer_with_chunks_needs_its_last_chunk():
    assert read(CHUNKED + b"2\r\nok\r\n0\r\n\r\n", end_process) == b"ok"
    with pytest.raises(errors.EndpointUnclearError):
        read(CHUNKED + b"2\r\nok\r\n", close)
