"""Unmarked answers of an engine whose process is killed.

Guards against a check that comes before the kernel has closed the process's
other connections and its listening socket.
"""

import asyncio
import multiprocessing

from standins import platform_engine
from standins import platform_site
from standins import ports
from tests.gateway import harness
from tests.gateway import test_unmarked_ends as ends

HOST = ports.make_own_host()
# As many as the engine has slots.
STREAMS = 8
ROUNDS = 3


def serve(host, port):
    """Begins streams, without a mark, and never ends them."""

    async def answer(reader, writer):
        try:
            while True:
                request = await platform_engine._read_request(reader, 0.0)
                line = platform_engine.Connection(reader, writer)
                await respond(request, line)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def respond(request, line):
        if request.target == "/wayslip/report":
            report = b'{"seq": 0, "models": [{"name": "m1"}]}'
            await line.answer(request, report)
            return
        await ends.write_part(request, line)
        await asyncio.sleep(60)

    async def run():
        await asyncio.start_server(answer, host, port)
        await asyncio.sleep(60)

    asyncio.run(run())


async def wait_for(port):
    while True:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return


async def ask_stream(system, number):
    """Asks for a stream; returns a task that reads it."""
    client = await system.connect()
    await client.send(
        "/live/a",
        f"s{number}",
        "POST",
        # The same content again would count as what ended the engine.
        number.encode(),
        **ends.unreachable.fields("m1"),
    )
    return asyncio.create_task(client.read())


@harness.run
async def test_streams_of_a_killed_process_do_not_look_complete(system):
    context = multiprocessing.get_context("spawn")
    for round_number in range(ROUNDS):
        port = ports.find_free(HOST)
        process = context.Process(target=serve, args=(HOST, port))
        process.start()
        name = f"e{round_number}"
        try:
            await wait_for(port)
            entry = platform_site.entry("models", f"{HOST}:{port}", ["m1"])
            system.store.put("servers", name, entry)
            await system.until(lambda n=name: n in system.gateway.view.tracked)
            answers = [
                await ask_stream(system, f"{round_number}-{n}")
                for n in range(STREAMS)
            ]
            tracked = system.gateway.view.tracked[name]
            await system.until(lambda t=tracked: t.in_flight == STREAMS)
            await asyncio.sleep(0.3)
            process.kill()
            received = await asyncio.gather(*answers)
        finally:
            process.kill()
            process.join()
            system.store.remove("servers", name)
        assert [a.is_whole for a in received] == [False] * STREAMS
        assert {a.status for a in received} == {200}
        await system.until(lambda n=name: n not in system.gateway.view.tracked)
