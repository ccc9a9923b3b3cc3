"""Poison requests: requests that crash the engines that run them.

A caller that repeats such a request, mostly at another instance and under a new
id, crashes one engine after the other, and some eighteen streams break off with
each. No single attempt reveals it, but the same content is in progress at each
crash. An instance that observes a crash therefore announces the contents in
progress to all instances, and repeated ones are blocked.
"""

import asyncio
from unittest import mock

from standins import platform_engine
from standins import platform_site
from tests import test_cli
from tests.gateway import harness
from wayslip import clock
from wayslip.decisions import contents
from wayslip.decisions import suspicion
from wayslip.gateway.sharing import datagrams
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import records

POISON = b"deadly"
CONTENT = contents.Identity(b"c")
# Maximum number of engines that a poison request may crash.
MAX_CRASHES = 3


async def crash_on_poison(engine, request, line):
    if request.body == POISON:
        engine.crash()
        return
    await platform_engine.answer_whole(engine, request, line)


async def hang(engine, request, line):
    """Sends no answer until the connection ends."""
    await line.reader.read(1)


async def ask(system, gateway, request_id, body, path="/once/a"):
    host, _, port = gateway._options.callers.rpartition(":")
    client = harness.platform_client.Client(
        *await asyncio.open_connection(host, int(port))
    )
    await client.send(path, request_id, "POST", body)
    return await client.read()


async def add_engines(system, count):
    return [
        await system.add(f"e{n}", "plain", script=crash_on_poison)
        for n in range(count)
    ]


@harness.run
async def test_poison_request_is_blocked_at_all_instances(system):
    engines = await add_engines(system, 8)
    other = await system.join("g2")
    gateways = [system.gateway, other]
    answers = []
    for n in range(10):
        answers.append(await ask(system, gateways[n % 2], f"r{n}", POISON))
        await asyncio.sleep(0.1)
    assert sum(e.is_ended for e in engines) <= MAX_CRASHES
    assert answers[-1].status == 503
    assert float(answers[-1].headers["retry-after"]) > 0
    for n, gateway in enumerate(gateways):
        served = await ask(system, gateway, f"s{n}", b"harmless")
        assert served.status == 200


def has_blocked(gateway):
    return any(s["is_condemned"] for s in gateway._quarantine.dump())


async def block_poison(system, gateway):
    """Sends the poison request until an instance has blocked it."""
    for n in range(2):
        await ask(system, gateway, f"c{n}", POISON)
        await system.until(lambda: gateway._quarantine)
    await system.until(lambda: has_blocked(gateway))


@harness.run
async def test_block_survives_a_crash_of_all_instances(system):
    engines = await add_engines(system, 4)
    await block_poison(system, system.gateway)
    stored = system.store.objects
    await system.until(lambda: stored.get(records.SUSPECT.name))
    await system.kill(system.gateway)
    options = harness.make_options("g1", system.options.store)
    system.gateway = system._launch(options)
    await system.until(system.gateway.is_ready)
    await system.until(lambda: has_blocked(system.gateway))
    answer = await ask(system, system.gateway, "r1", POISON)
    assert answer.status == 503
    assert sum(e.is_ended for e in engines) == 2


@harness.run
async def test_joining_instance_receives_blocked_contents(system):
    engines = await add_engines(system, 4)
    await block_poison(system, system.gateway)
    other = await system.join("g2")
    await system.until(lambda: has_blocked(other))
    answer = await ask(system, other, "r1", POISON)
    assert answer.status == 503
    assert sum(e.is_ended for e in engines) == 2


@harness.run
async def test_connection_reset_causes_no_suspicion(system):
    async def reset(engine, request, line):
        line.reset()

    await system.add("e1", "plain", script=reset)
    for n in range(3):
        answer = await ask(system, system.gateway, f"r{n}", POISON)
        assert answer.status == 502
    await asyncio.sleep(0.1)
    assert not system.gateway._quarantine


@harness.run
async def test_request_that_another_engine_answers_is_cleared(system):
    has_crashed = asyncio.Event()

    async def crash_once(engine, request, line):
        if not has_crashed.is_set():
            has_crashed.set()
            engine.crash()
            return
        await platform_engine.answer_whole(engine, request, line)

    for n in range(3):
        await system.add(f"e{n}", "plain", script=crash_once)
    assert (await ask(system, system.gateway, "r1", b"mild")).status == 502
    await system.until(lambda: system.gateway._quarantine)
    assert (await ask(system, system.gateway, "r2", b"mild")).status == 200
    assert not system.gateway._quarantine


@harness.run
async def test_planned_stop_of_an_engine_causes_no_suspicion(system):
    engine = await system.add("e1", "plain", script=crash_on_poison)
    tracked = system.gateway.view.tracked["e1"]
    address = tracked.endpoint.address
    leaving = platform_site.entry("plain", address, state="draining", seq=78)
    system.store.put("servers", "e1", leaving)
    await system.until(lambda: tracked.endpoint.is_leaving)
    system.gateway._quarantine.note_broken_attempt(
        tracked.endpoint, CONTENT, 0, system.gateway.paths.probe
    )
    engine.crash()
    await asyncio.sleep(0.1)
    assert not system.gateway._quarantine


@harness.run
async def test_idempotent_poison_request_crashes_no_more_engines(system):
    engines = await add_engines(system, 6)
    for n in range(4):
        await ask(system, system.gateway, f"r{n}", POISON, "/get/a")
        await asyncio.sleep(0.1)
    assert sum(e.is_ended for e in engines) <= MAX_CRASHES


@harness.run
async def test_crash_notice_survives_lost_datagrams(system):
    await add_engines(system, 4)
    other = await system.join("g2")
    send = system.gateway._hub._send
    lost = []

    def lose_first(data, address):
        message = datagrams.decode(data)
        if isinstance(message, facts.Suspects) and not lost:
            lost.append(data)
            return
        send(data, address)

    system.gateway._hub._send = lose_first
    await ask(system, system.gateway, "r1", POISON)
    await system.until(lambda: other._quarantine)
    assert lost


async def run_ctl(system, *args):
    url = f"http://{harness.HOST}:{system.options.metrics_port}"
    return await asyncio.to_thread(test_cli.run, "ctl", f"--url={url}", *args)


@harness.run
async def test_operators_list_and_lift_blocked_contents(system):
    await add_engines(system, 4)
    await block_poison(system, system.gateway)
    listed = await run_ctl(system, "suspects")
    assert listed.returncode == 0, listed.stderr
    content = system.gateway.dump()["suspects"][0]["content"]
    assert f"*  {content}  2" in listed.stdout
    lifted = await run_ctl(system, "lift", content)
    assert (lifted.returncode, lifted.stdout) == (0, f"lifted {content}\n")
    assert not system.gateway._quarantine
    stored = system.store.objects
    await system.until(lambda: not stored.get(records.SUSPECT.name))


@harness.run
async def test_lift_of_an_unknown_content_names_the_remedy(system):
    unknown = await run_ctl(system, "lift", "ab12")
    assert unknown.returncode == 2
    assert "wayslipctl suspects" in unknown.stderr
    malformed = await run_ctl(system, "lift", "no-digest")
    assert malformed.returncode == 2
    assert "in hex" in malformed.stderr


@harness.run
async def test_common_request_is_not_blocked_when_engines_crash_together(
    system,
):
    is_released = asyncio.Event()

    async def wait_for_release(engine, request, line):
        if request.body == b"common" and not is_released.is_set():
            await line.reader.read(1)
            return
        await platform_engine.answer_whole(engine, request, line)

    is_released.set()
    engines = [
        await system.add(f"e{n}", "plain", script=wait_for_release)
        for n in range(4)
    ]
    asked = await ask(system, system.gateway, "r0", b"common")
    assert asked.status == 200
    is_released.clear()
    tasks = [
        asyncio.create_task(ask(system, system.gateway, f"r{n}", b"common"))
        for n in range(1, 13)
    ]
    await system.until(lambda: sum(len(e.received) for e in engines) == 13)
    for engine in engines[:3]:
        engine.crash()
    is_released.set()
    await asyncio.sleep(0.2)
    for task in tasks:
        task.cancel()
    again = await ask(system, system.gateway, "r20", b"common")
    assert again.status == 200


@harness.run
async def test_three_attempts_at_one_crashed_engine_block_a_request(system):
    # Where many of a route's requests have the same content, several are in
    # progress at the first crash. The content must be blocked then already: 5 s
    # passed until the next crash, in which eight more were sent to engines.
    is_full = asyncio.Event()

    async def end_when_full(engine, request, line):
        if request.body != POISON:
            await platform_engine.answer_whole(engine, request, line)
            return
        await is_full.wait()
        engine.crash()

    engine = await system.add("e0", "plain", script=end_when_full)
    tasks = [
        asyncio.create_task(ask(system, system.gateway, f"r{n}", POISON))
        for n in range(3)
    ]
    await system.until(lambda: len(engine.received) == 3)
    other = await system.add("e1", "plain", script=end_when_full)
    is_full.set()
    assert {a.status for a in await asyncio.gather(*tasks)} == {502}
    await system.until(lambda: has_blocked(system.gateway))
    answer = await ask(system, system.gateway, "r9", POISON)
    assert answer.status == 503
    assert not other.is_ended


@harness.run
async def test_answer_to_a_probe_clears_a_blocked_request(
    system,
):
    await system.until(lambda: system.gateway.leadership.is_held)
    engine = await system.add("e1", "plain", script=hang)
    quarantine = system.gateway._quarantine
    tasks = [
        asyncio.create_task(ask(system, system.gateway, f"r{n}", b"mild"))
        for n in range(3)
    ]
    await system.until(lambda: len(engine.received) == 3)
    engine.crash()
    await asyncio.gather(*tasks)
    await system.until(lambda: has_blocked(system.gateway))
    await system.add("e2", "plain")
    refused = await ask(system, system.gateway, "r8", b"mild")
    assert refused.status == 503
    with mock.patch.object(suspicion, "_PROBE_SECONDS", 0.0):
        answer = await ask(system, system.gateway, "r9", b"mild")
    assert answer.status == 200
    assert not quarantine


@harness.run
async def test_one_probe_is_sent_in_a_period(system):
    await system.until(lambda: system.gateway.leadership.is_held)
    quarantine = system.gateway._quarantine
    quarantine.apply(
        facts.Suspects((suspicion.CrashRecord(b"c", "e1", attempts=3),))
    )
    assert not quarantine.begin_probe(b"c")
    later = clock.now() + suspicion._PROBE_SECONDS
    with mock.patch.object(clock, "now", lambda: later):
        assert quarantine.begin_probe(b"c")
        assert not quarantine.begin_probe(b"c")


@harness.run
async def test_instance_that_saw_an_answer_exempts_the_content(system):
    quarantine = system.gateway._quarantine
    quarantine.note_answer(CONTENT)
    quarantine.apply(
        facts.Suspects(
            (suspicion.CrashRecord(b"c", "e1", reporter="g2", attempts=3),)
        )
    )
    await system.until(lambda: quarantine.find_block(CONTENT) is None)


@harness.run
async def test_instance_without_peers_announces_to_the_holder(system):
    # An instance that has just started may know no peers when it observes
    # crashes. Without an announcement to the lease holder, further engines
    # crashed (soak seed 2106).
    other = await system.join("g2")
    third = await system.join("g3")
    gateways = [system.gateway, other, third]
    holder = next(g for g in gateways if g.leadership.is_held)
    announcer, follower = (g for g in gateways if g is not holder)
    crash_records = [suspicion.CrashRecord(b"c", "e1", attempts=3)]
    with mock.patch.object(announcer._peer_broadcast._members, "peers", list):
        announcer._quarantine._announce(facts.Suspects(tuple(crash_records)))
        await system.until(lambda: follower._quarantine.find_block(CONTENT))
