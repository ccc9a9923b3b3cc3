"""Requests that end the engines that run them.

Callers got 502 while one engine after the other ended, and some eighteen streams
broke off with each. All ends had one thing in common: among the requests on their
way to the engine was one with the same path, caller and body as before, sent again
under a new id, mostly at another instance. Nothing outlived an attempt, so each
repeat was a first attempt. On a day like that the lines of broken attempts name five
engines; ten of them have one digest, every other digest occurs once:

    5.50  attempt_unclear endpoint=i-7a6d066430 content=215695...  (8 others there)
    12.00 attempt_unclear endpoint=i-edddf18d21 content=215695...  (14)
    18.50 attempt_unclear endpoint=i-1021bfbdd6 content=215695...  (14)
    20.75 attempt_unclear endpoint=i-fd7067e2fe content=215695...  (18)
    24.00 attempt_unclear endpoint=i-9c72c8b95e content=215695...  (9)
"""

import asyncio

from standins import platform_engine
from tests.gateway import harness

DEADLY = b"deadly"
# Nobody who is refused should take an engine with it after so many ends.
MOST_ENDS = 3


async def end_under_deadly(engine, request, line):
    if request.body == DEADLY:
        engine.crash()
        return
    await platform_engine.answer_whole(engine, request, line)


async def ask(system, gateway, request_id, body, path="/once/a"):
    host, _, port = gateway._options.callers.rpartition(":")
    client = harness.platform_client.Client(
        *await asyncio.open_connection(host, int(port))
    )
    await client.send(path, request_id, "POST", body)
    return await client.read()


async def add_engines(system, count):
    return [
        await system.add(f"e{n}", "plain", script=end_under_deadly)
        for n in range(count)
    ]


@harness.run
async def test_request_that_ends_engines_stops_reaching_them(system):
    engines = await add_engines(system, 8)
    other = await system.join("g2")
    gateways = [system.gateway, other]
    answers = []
    for n in range(10):
        answers.append(await ask(system, gateways[n % 2], f"r{n}", DEADLY))
        await asyncio.sleep(0.1)
    assert sum(e.is_ended for e in engines) <= MOST_ENDS
    assert answers[-1].status == 503
    assert float(answers[-1].headers["retry-after"]) > 0
    for n, gateway in enumerate(gateways):
        served = await ask(system, gateway, f"s{n}", b"harmless")
        assert served.status == 200
