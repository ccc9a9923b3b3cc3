"""Parts of prompts that crash the engines which write an answer to them.

Guards against requests that are all different and have one part in common: 19
engines ended one after the other, since evidence was kept by the whole request.
"""

import asyncio

import pytest

from standins import platform_engine
from tests.gateway import harness

BAD = "bad"
# Shared by all requests.
FIRST = "f1"
ENGINES = 16
REQUESTS = 48
PAUSE_SECONDS = 0.1
# Engines that a part may crash before it is blocked everywhere.
MAX_ENDS = 3
# More of them if another unknown part always comes with it.
MAX_ENDS_OF_PAIRS = 5
EVENTS = 3


def read_shared(request):
    """Returns the ids of a prompt's parts without the last one."""
    prefix = request.headers.get("wayslip-prompt-prefix", "")
    return [part.partition(":")[0] for part in prefix.split(",")][:-1]


async def crash_on_part(engine, request, connection):
    """Writes a stream, or crashes as it begins to write."""
    if BAD in read_shared(request):
        await asyncio.sleep(0.02)
        engine.crash()
        return
    await connection.begin(
        request,
        platform_engine.Framing.CHUNKED,
        Content_Type="text/event-stream",
    )
    for n in range(1, EVENTS + 1):
        await asyncio.sleep(0.01)
        await connection.write_part(b"id: %d\ndata: x\n\n" % n)
    await connection.finish()


async def make_fleet(system, engines=ENGINES):
    found = [
        await system.add(f"e{n}", "models", ["m1"], crash_on_part)
        for n in range(engines)
    ]
    gateways = [system.gateway, *await system.join_all(2, "hall-1")]
    for gateway in gateways:
        await system.until(lambda g=gateway: len(g.view.tracked) == engines)
    return found, gateways


async def ask(system, gateway, name, parts, path="/live/a"):
    """Sends a request whose content nothing else has; returns its answer."""
    prefix = ",".join(f"{part}:100" for part in (*parts, f"own-{name}"))
    client = await system.connect(gateway)
    await client.send(
        path,
        name,
        "POST",
        name.encode(),
        Wayslip_Model="m1",
        Wayslip_Token_Count="300,20",
        Wayslip_Prompt_Prefix=prefix,
    )
    return await client.read()


async def send_mixed(system, gateways, make_bad, path="/live/a"):
    """Sends bad and sound requests by turns; returns the sound statuses."""
    bad, sound = [], []
    for n in range(REQUESTS):
        at = gateways[n % len(gateways)]
        parts = make_bad(n)
        bad.append(
            asyncio.create_task(ask(system, at, f"bad-{n}", parts, path))
        )
        parts = [FIRST, f"other-{n}"]
        sound.append(
            asyncio.create_task(ask(system, at, f"sound-{n}", parts, path))
        )
        await asyncio.sleep(PAUSE_SECONDS)
    refused = [a.status for a in await asyncio.gather(*bad)]
    served = [a.status for a in await asyncio.gather(*sound)]
    print(f"bad {refused}, sound {served}")
    return refused, served


def count_ends(engines):
    return sum(e.is_ended for e in engines)


@pytest.mark.parametrize("path", ["/live/a", "/gen/a"])
def test_part_that_crashes_engines_is_blocked_in_all_requests(path):
    @harness.run
    async def check(system):
        engines, gateways = await make_fleet(system)
        refused, served = await send_mixed(
            system, gateways, lambda n: [FIRST, BAD, f"with-{n}"], path
        )
        assert count_ends(engines) <= MAX_ENDS
        half = REQUESTS // 2
        assert refused[half:] == [503] * half
        assert served[half:] == [200] * half

    check()


@harness.run
async def test_sound_requests_with_the_other_parts_are_served(system):
    # An unknown part comes with each bad request, and alone afterwards.
    engines, gateways = await make_fleet(system)
    refused, _ = await send_mixed(
        system, gateways, lambda n: [FIRST, "rare", BAD]
    )
    assert count_ends(engines) <= MAX_ENDS_OF_PAIRS
    assert refused[-1] == 503
    ends = count_ends(engines)
    for n, gateway in enumerate(gateways):
        answer = await ask(system, gateway, f"rare-{n}", [FIRST, "rare"])
        assert answer.status == 200
    for n, gateway in enumerate(gateways):
        parts = [FIRST, f"new-{n}", BAD]
        await ask(system, gateway, f"again-{n}", parts)
    assert count_ends(engines) <= max(ends, MAX_ENDS) + 1


@harness.run
async def test_requests_that_come_at_once_crash_no_more_engines(system):
    engines, gateways = await make_fleet(system)
    for n in range(8):
        await asyncio.gather(
            *(
                ask(system, g, f"bad-{n}-{k}", [FIRST, BAD, f"x{n}{k}"])
                for k, g in enumerate(gateways)
            )
        )
        await asyncio.sleep(0.05)
    # Three are under way before the first has ended an engine.
    assert count_ends(engines) <= MAX_ENDS + len(gateways) - 1


@harness.run
async def test_instance_that_starts_later_knows_the_part(system):
    engines, gateways = await make_fleet(system)
    await send_mixed(system, gateways, lambda n: [FIRST, BAD])
    ends = count_ends(engines)
    late = await system.join("late")
    answer = await ask(system, late, "late", [FIRST, BAD])
    assert answer.status == 503
    assert count_ends(engines) == ends


@harness.run
async def test_own_part_of_a_request_is_never_blocked(system):
    # The last part belongs to the request or its session.
    async def crash_on_body(engine, request, connection):
        if request.body.startswith(b"bad"):
            engine.crash()
            return
        await crash_on_part(engine, request, connection)

    for n in range(8):
        await system.add(f"e{n}", "models", ["m1"], crash_on_body)
    for n in range(4):
        await ask(system, system.gateway, f"bad-{n}", [])
        await asyncio.sleep(0.1)
    assert not any(s["is_condemned"] for s in system.gateway._quarantine.dump())
    answer = await ask(system, system.gateway, "sound", [])
    assert answer.status == 200
