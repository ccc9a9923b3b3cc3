"""Crowds of clients at a gateway's process.

The machine has less memory and fewer descriptors than any on the platform, so
that a small crowd suffices. The bounds are those of the machine.
"""

import asyncio
import contextlib

import pytest

from standins import platform_client
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import ports
from tests.crowds import clients
from tests.crowds import processes
from wayslip import addresses

_MEMORY_MB = 96
# Room for 150 connections of clients.
_DESCRIPTORS = 1000
_CROWD = 120
_LARGE_CROWD = 300
# Each client of it has sent what it sends before the next one comes.
_PAUSE_SECONDS = 0.01
_LARGE_BODY_BYTES = 1024 * 1024
# Of bodies in small chunks, which cost far more than their size.
_SMALL_BODY_BYTES = 256 * 1024
_HEAD_BYTES = 64 * 1024
# More than the sockets of a connection take.
_LARGE_ANSWER_BYTES = 8 * 1024 * 1024
_ATTEMPTS = 5
_HANG_SECONDS = 60.0
_WORK_SECONDS = 1.0


async def _work(engine, request, connection):
    """Works for a second on the crowd's requests."""
    body = b"%d" % len(request.body)
    if request.target == "/get/large":
        body = b"x" * _LARGE_ANSWER_BYTES
    elif request.id == "crowd":
        await asyncio.sleep(_WORK_SECONDS)
    await connection.answer(request, body)


class _System:
    """A gateway's process, a store and an endpoint."""

    def __init__(self, folder, process, settings):
        self.folder = folder
        self.process = process
        self.settings = settings

    @property
    def address(self):
        return addresses.split_address(self.settings["callers"])

    async def ask(self, path="/get/a", body=b"", data=None):
        """Returns the answer to an ordinary request, tried a few times.

        Args:
            path: Its path.
            body: Its body, sent with a length.
            data: The whole request as bytes, to send it otherwise.
        """
        answer = None
        for number in range(_ATTEMPTS):
            with contextlib.suppress(OSError, EOFError):
                answer = await self._ask_once(path, f"r{number}", body, data)
                if answer.status == 200:
                    return answer
            wait = 0.0
            if answer is not None:
                wait = float(answer.headers.get("retry-after", 0))
            await asyncio.sleep(max(wait, 0.2))
        return answer

    async def _ask_once(self, path, request_id, body, data):
        async with asyncio.timeout(_HANG_SECONDS):
            streams = await asyncio.open_connection(*self.address)
            client = platform_client.Client(*streams)
            try:
                if data is None:
                    method = "POST" if body else "GET"
                    await client.send(path, request_id, method, body)
                else:
                    client.writer.write(data)
                    await client.writer.drain()
                return await client.read()
            finally:
                client.close()

    def check(self):
        """Checks that the process lives, and its memory and descriptors."""
        assert self.process.is_alive, self.process.log[-2000:]
        assert self.process.descriptors <= _DESCRIPTORS
        assert self.process.peak_mb <= _MEMORY_MB

    async def check_ordinary(self):
        """Checks that an ordinary request is answered."""
        answer = await self.ask()
        assert answer is not None
        assert answer.status == 200


def _write_settings(folder, host, store):
    settings = {
        "callers": f"{host}:{ports.find_free(host)}",
        "ready": f"{host}:{ports.find_free(host)}",
    }
    port = ports.find_free(host)
    path = folder / "g1.toml"
    path.write_text(
        f'node_name = "g1"\nip = "{host}"\nzone = "hall-1"\n'
        f"internal_ports = [{port}, {port + 15}]\n"
        f'[listen]\nfront = "{settings["callers"]}"\n'
        f'ready = "{settings["ready"]}"\n'
        f"[limits]\nmemory_mb = {_MEMORY_MB}\nmax_fds = {_DESCRIPTORS}\n"
        f'[platform]\naddress = "{store}"\n'
    )
    return path, settings


@contextlib.asynccontextmanager
async def _run_system(folder, body_bytes):
    host = ports.make_own_host()
    store = platform_store.PlatformStore()
    store_address = await store.start()
    manifest = platform_site.manifest(
        max_body_bytes=body_bytes, max_header_bytes=_HEAD_BYTES
    )
    manifest["services"][0]["max_conns"] = 2 * _LARGE_CROWD
    store.put("config", "main", manifest)
    engine = platform_engine.PlatformEngine("e1", _work)
    entry = platform_site.entry("plain", await engine.start())
    store.put("servers", "e1", entry)
    path, settings = _write_settings(folder, host, store_address)
    arguments = ["-S", "-m", "wayslip.cli.gateway"]
    with processes.Process(
        folder / "g1.log", *arguments, WAYSLIP_SETTINGS=str(path)
    ) as process:
        system = _System(folder, process, settings)
        try:
            await _until_ready(system)
            yield system
        finally:
            engine.stop()
            store.stop()


async def _until_ready(system):
    host, port = addresses.split_address(system.settings["ready"])
    async with asyncio.timeout(_HANG_SECONDS):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /wayslip/readiness HTTP/1.1\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.05)


async def _play(
    folder, parts, body_bytes, count, path="/get/a", model="", pause=0.0
):
    async with _run_system(folder, body_bytes) as system:
        await system.check_ordinary()
        target = clients.Target(
            system.address,
            clients.make_platform_head(path, model),
            body_bytes,
            _HEAD_BYTES,
        )
        # The second crowd finds what the first one left behind.
        for _ in range(2):
            async with clients.Crowd(target, parts, count, pause) as crowd:
                async with asyncio.timeout(2 * _HANG_SECONDS):
                    await crowd.send()
                await system.check_ordinary()
                system.check()
            await system.check_ordinary()
            system.check()


_LARGE = [
    "bodies_short_of_their_end",
    "bodies_in_pieces_short_of_their_end",
    "bodies_announced_far_over_the_limit",
    "whole_bodies_over_the_limit",
    "chunks_without_end",
    "large_chunks_short_of_their_end",
    "heads_of_short_lines_with_a_body_short_of_its_end",
    "heads_of_short_lines_short_of_their_end",
    "requests_queued_on_each_connection",
]
_SMALL = [
    "chunks_of_two_bytes_short_of_their_end",
    "chunks_of_one_byte_short_of_their_end",
    "whole_bodies_in_chunks_of_two_bytes",
]


@pytest.mark.parametrize("name", _LARGE)
def test_crowd_with_large_requests(name, tmp_path):
    parts = clients.PATTERNS[name]
    asyncio.run(_play(tmp_path, parts, _LARGE_BODY_BYTES, _CROWD))


@pytest.mark.parametrize("name", _SMALL)
def test_crowd_with_small_chunks(name, tmp_path):
    parts = clients.PATTERNS[name]
    asyncio.run(_play(tmp_path, parts, _SMALL_BODY_BYTES, _CROWD))


def test_crowd_with_whole_bodies(tmp_path):
    parts = clients.whole_bodies
    asyncio.run(_play(tmp_path, parts, _LARGE_BODY_BYTES, _CROWD))


def test_crowd_with_whole_bodies_for_a_model_that_nobody_serves(tmp_path):
    asyncio.run(
        _play(
            tmp_path,
            clients.whole_bodies,
            _LARGE_BODY_BYTES,
            _CROWD,
            "/gen/a",
            "m1",
        )
    )


def test_crowd_that_reads_no_answers(tmp_path):
    parts = clients.requests_whose_answers_are_not_read
    asyncio.run(_play(tmp_path, parts, 1024, _CROWD, "/get/large"))


@pytest.mark.parametrize(
    "name",
    [
        "bodies_short_of_their_end",
        "chunks_of_two_bytes_short_of_their_end",
    ],
)
def test_crowd_with_more_connections_than_descriptors_allow(name, tmp_path):
    parts = clients.PATTERNS[name]
    asyncio.run(
        _play(tmp_path, parts, 1024, _LARGE_CROWD, pause=_PAUSE_SECONDS)
    )


@pytest.mark.parametrize("size", [2, 64 * 1024])
def test_request_of_legal_size_is_served(size, tmp_path):
    # The length is the endpoint's count of the bytes that it was sent.
    async def body():
        async with _run_system(tmp_path, _LARGE_BODY_BYTES) as system:
            answer = await system.ask(body=b"x" * _LARGE_BODY_BYTES)
            assert answer.body == b"%d" % _LARGE_BODY_BYTES
            parts = [
                clients.make_platform_head("/get/a", deadline=30_000),
                b"Transfer-Encoding: chunked\r\n\r\n",
                clients.chunk(b"x" * size) * (_SMALL_BODY_BYTES // size),
                clients.chunk(b""),
            ]
            answer = await system.ask(data=b"".join(parts))
            assert answer.body == b"%d" % _SMALL_BODY_BYTES
            system.check()

    asyncio.run(body())
