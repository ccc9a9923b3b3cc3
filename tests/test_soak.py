"""Tests of the soak: short seeded runs, and the faults of its proxy."""

import asyncio
import os
import pathlib
import subprocess
import sys

import pytest

from soak import proxy as proxy_module

ROOT = pathlib.Path(__file__).parent.parent
# Seeds, with the fault that they once found.
SEEDS = [
    7,  # none; the default run
    102,  # SIGHUP ended a gateway that was still importing its modules
]


@pytest.mark.parametrize("seed", SEEDS)
def test_short_seeded_run_breaks_nothing(seed, tmp_path):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "soak",
            f"--seed={seed}",
            "--seconds=8",
            "--gateways=3",
            "--clients=6",
            f"--keep={tmp_path}",
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        timeout=240,
    )
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr[-1000:]


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def with_proxy(test):
    def wrapper():
        async def body():
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            proxy = proxy_module.Proxy(f"127.0.0.1:{port}")
            host, _, proxy_port = (await proxy.start()).rpartition(":")
            reader, writer = await asyncio.open_connection(
                host, int(proxy_port)
            )
            try:
                async with asyncio.timeout(20):
                    await test(proxy, reader, writer)
            finally:
                writer.close()
                proxy.close()
                server.close()

        asyncio.run(body())

    wrapper.__name__ = test.__name__
    return wrapper


@with_proxy
async def test_bytes_pass_without_a_fault(proxy, reader, writer):
    writer.write(b"hello")
    assert await reader.readexactly(5) == b"hello"


@pytest.mark.parametrize(
    "fault",
    [
        proxy_module.LinkFault.STALL,
        proxy_module.LinkFault.STALL_TO_SERVER,
        proxy_module.LinkFault.STALL_FROM_SERVER,
    ],
)
def test_stalled_bytes_arrive_once_the_fault_is_over(fault):
    @with_proxy
    async def body(proxy, reader, writer):
        proxy.set_fault(fault)
        writer.write(b"hello")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), 0.3)
        proxy.set_fault(proxy_module.LinkFault.NONE)
        assert await reader.readexactly(5) == b"hello"

    body()


@with_proxy
async def test_reset_ends_open_and_new_connections(proxy, reader, writer):
    writer.write(b"hello")
    await reader.readexactly(5)
    proxy.set_fault(proxy_module.LinkFault.RESET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
