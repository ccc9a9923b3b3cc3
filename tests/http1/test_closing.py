"""Bodies without a marked end: a break is a reset, whatever breaks them off."""

import asyncio
import multiprocessing
import os
import socket
import time

import pytest

from standins import ports
from wayslip.decisions import manifest
from wayslip.http1 import messages
from wayslip.http1 import server

HOST = ports.make_own_host()
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
PART = b"a part of the body"
LARGE = bytes(3_000_000)


async def send_part(exchange):
    exchange.start(200, (), None, messages.BodyEnd.UNMARKED)
    await exchange.send(PART)


async def hang(exchange):
    await send_part(exchange)
    await asyncio.sleep(60)


async def abort(exchange):
    await send_part(exchange)
    await asyncio.sleep(0.05)
    exchange.abort()


async def fail(exchange):
    await send_part(exchange)
    await asyncio.sleep(0.05)
    raise RuntimeError("the application failed")


async def finish(exchange):
    await send_part(exchange)
    exchange.finish()


async def finish_large(exchange):
    exchange.answer(200, (), LARGE, messages.BodyEnd.UNMARKED)


async def exit_process(exchange):
    await send_part(exchange)
    await asyncio.sleep(0.05)
    os._exit(0)


def serve(host, port, application):
    async def run():
        listener = server.Server((host, port), application, manifest.Limits)
        await listener.start()
        await asyncio.sleep(60)

    asyncio.run(run())


async def receive(port):
    """Returns the body that a client receives; raises if it is reset."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head
        assert b"content-length" not in head and b"chunked" not in head
        return await reader.read()
    finally:
        writer.close()


def run_client(application):
    async def run():
        port = ports.find_free(HOST)
        listener = server.Server((HOST, port), application, manifest.Limits)
        await listener.start()
        try:
            async with asyncio.timeout(10):
                return await receive(port)
        finally:
            listener.stop_listening()

    return asyncio.run(run())


@pytest.mark.parametrize("application", [abort, fail])
def test_body_that_is_aborted_is_reset(application):
    with pytest.raises(ConnectionResetError):
        run_client(application)


def test_body_that_is_finished_is_closed_in_order():
    assert run_client(finish) == PART


def test_large_body_is_closed_in_order_once_it_was_sent():
    assert run_client(finish_large) == LARGE


@pytest.mark.parametrize("application", [hang, exit_process])
def test_end_of_the_process_resets_the_body(application):
    port = ports.find_free(HOST)
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=serve, args=(HOST, port, application))
    process.start()
    try:
        with connect(port) as sock:
            sock.sendall(REQUEST)
            received = b""
            while not received.endswith(PART):
                received += sock.recv(4096)
            if application is hang:
                process.kill()
            with pytest.raises(ConnectionResetError):
                sock.recv(4096)
    finally:
        process.kill()
        process.join()


def connect(port):
    """Returns a connection to a process that may have to start first."""
    for _ in range(500):
        try:
            return socket.create_connection((HOST, port), 10.0)
        except ConnectionRefusedError:
            time.sleep(0.02)
    raise TimeoutError("the process does not listen")
