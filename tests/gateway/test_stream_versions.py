"""Streams over engines of several software versions in one service.

Guards against streams that hold events of two versions, and against streams
that are not taken up although engines of their version serve.
"""

import asyncio
from unittest import mock

from standins import platform_client
from standins import platform_site
from tests.gateway import harness
from tests.gateway import test_requests
from tests.gateway import test_unreachable_endpoints as unreachable
from wayslip import clock
from wayslip import logs
from wayslip.decisions import stream_origins
from wayslip.gateway.serving import forwarding
from wayslip.gateway.serving import stream_versions
from wayslip.gateway.sharing import stream_registry

WHOLE = b"".join(test_requests.EVENTS)
ROUNDS = 6


async def break_off(engine, request, line):
    if "last-event-id" in request.headers:
        line.reset()
        return
    await test_requests.break_off_inside_event(engine, request, line)


async def add_engines(system, script, *versions, hall="hall-1"):
    """Adds an engine of each version; returns them."""
    engines = []
    for number, version in enumerate(versions, len(system.engines)):
        name = f"e{number}"
        engines.append(
            await system.add(
                name, "models", ["m1"], script, version=version, zone=hall
            )
        )
    return engines


async def add_gateways(system, count):
    gateways = [system.gateway]
    for number in range(2, count + 1):
        gateways.append(await system.join(f"g{number}"))
    for gateway in gateways:
        await system.until(
            lambda g=gateway: len(g.view.tracked) == len(system.engines)
        )
    return gateways


async def ask(system, request_id, at=None, **headers):
    return await system.ask(
        "/gen/a",
        request_id,
        "POST",
        at,
        body=b"x",
        **unreachable.fields("m1"),
        **headers,
    )


def resume(system, request_id, began, after, at):
    return ask(system, request_id, at, Resumes=began, Last_Event_Id=str(after))


def list_resumed(engines):
    """Returns the ids of streams that engines went on with."""
    return [
        r.id
        for e in engines
        for r in e.received
        if "last-event-id" in r.headers
    ]


async def begin_streams(system, gateway, count):
    """Has streams begin and break off after two events; returns their ids."""
    ids = [f"b{n}" for n in range(count)]
    for request_id in ids:
        answer = await ask(system, request_id, gateway)
        assert (answer.status, answer.is_whole) == (200, False)
        assert answer.body == b"".join(test_requests.EVENTS[:2])
    return ids


async def break_near(system, *versions):
    """Has a stream begin at v1; returns the answer and the other engines."""
    await add_engines(system, break_off, "v1")
    others = await add_engines(
        system, test_requests.stream_whole, *versions, hall="hall-2"
    )
    return await ask(system, "b0"), others


@harness.run
async def test_answer_holds_no_events_of_two_versions(system):
    answer, others = await break_near(system, "v2", "v2")
    assert (answer.status, answer.is_whole) == (200, False)
    assert answer.body == b"".join(test_requests.EVENTS[:2])
    assert not list_resumed(others)


@harness.run
async def test_answer_goes_on_at_another_engine_of_its_version(system):
    answer, others = await break_near(system, "v2", "v1", "v2")
    assert (answer.body, answer.is_whole) == (WHOLE, True)
    assert list_resumed(others) == list_resumed([others[1]]) == ["b0"]


async def check_resumed(system, gateways, began_at, kill=False):
    """Checks that streams of v1 go on at v1 from each of the gateways."""
    old = await add_engines(system, break_off, "v1", "v1")
    for gateway in gateways:
        await system.until(lambda g=gateway: len(g.view.tracked) == 2)
    ids = await begin_streams(system, began_at, ROUNDS)
    new = await add_engines(system, test_requests.stream_whole, "v2", "v2")
    for engine in old:
        engine.script = test_requests.stream_whole
    for gateway in gateways:
        await system.until(lambda g=gateway: len(g.view.tracked) == 4)
    if kill:
        await system.kill(began_at)
        gateways = [g for g in gateways if g is not began_at]
    for number, began in enumerate(ids):
        at = gateways[number % len(gateways)]
        answer = await resume(system, f"r{number}", began, 2, at)
        assert (answer.status, answer.is_whole) == (200, True)
        assert answer.body == b"".join(test_requests.EVENTS[2:])
    assert not list_resumed(new)
    # Within the answers that began them, both old engines were tried.
    taken_up = [i for i in list_resumed(old) if i not in ids]
    assert sorted(taken_up) == [f"r{n}" for n in range(len(ids))]


@harness.run
async def test_client_takes_a_stream_up_at_the_version_that_began_it(system):
    gateways = await add_gateways(system, 3)
    await check_resumed(system, gateways, gateways[1])


@harness.run
async def test_stream_goes_on_after_its_instance_was_killed(system):
    gateways = await add_gateways(system, 4)
    await check_resumed(system, gateways, gateways[2], kill=True)


@harness.run
async def test_stream_of_unknown_version_is_refused_and_not_run(system):
    engines = await add_engines(system, test_requests.stream_whole, "v1", "v2")
    answer = await resume(system, "r1", "nobody-knows", 2, None)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not list_resumed(engines)
    # Nothing is known to end that.
    assert await find_outcome(system, "r2", Last_Event_Id="2") == (
        "origin_unknown"
    )
    # New streams are served.
    assert (await ask(system, "s1")).body == WHOLE


async def find_outcome(system, request_id, **headers):
    """Returns the outcome of a request, as it is logged."""
    with mock.patch.object(logs, "event", wraps=logs.event) as event:
        await ask(system, request_id, **headers)
    ended = [c for c in event.call_args_list if c.args[1] == "ended"]
    return ended[-1].kwargs["outcome"]


@harness.run
async def test_refusal_without_endpoints_names_no_version(system):
    assert await find_outcome(system, "s1") == "not_loaded"
    await add_engines(system, test_requests.stream_whole, "v1")
    system.gateway._stream_registry.note_sent("b0", "models", "v0")
    headers = platform_client.make_take_up_headers("b0", 2)
    assert await find_outcome(system, "r1", **headers) == "no_version"


@harness.run
async def test_new_stream_that_fails_before_its_first_event_may_move(system):
    await add_engines(system, test_requests.reset, "v1")
    await add_engines(system, test_requests.stream_whole, "v2")
    for number in range(ROUNDS):
        answer = await ask(system, f"s{number}")
        assert (answer.body, answer.is_whole) == (WHOLE, True)
        await asyncio.sleep(0)


@harness.run
async def test_stream_goes_on_at_the_service_that_began_it(system):
    manifest = platform_site.manifest(version=2)
    models = next(s for s in manifest["services"] if s["name"] == "models")
    manifest["services"].append({**models, "name": "other"})
    route = next(r for r in manifest["routes"] if r["name"] == "gen")
    route["traffic_split"] = [
        {"service": "models", "weight": 1},
        {"service": "other", "weight": 1},
    ]
    system.store.put("config", "main", manifest)
    await system.until(lambda: system.gateway.holder.version == 2)
    script = test_requests.stream_whole
    first = await system.add("e1", "models", ["m1"], script)
    other = await system.add("e2", "other", ["m1"], script)
    for number in range(ROUNDS):
        system.gateway._stream_registry.note_sent("b0", "models", "v1")
        answer = await resume(system, f"r{number}", "b0", 2, None)
        assert (answer.status, answer.is_whole) == (200, True)
    assert len(list_resumed([first])) == ROUNDS
    assert not list_resumed([other])


@harness.run
async def test_adapter_is_loaded_where_its_stream_may_go_on(system):
    old, new = await add_engines(system, test_requests.stream_whole, "v1", "v2")
    new.models["m1"].append("a1")
    held = [{"name": "m1", "version": 1, "adapters": ["a1"]}]
    spec = system.store.objects["servers"][new.name]["spec"]
    system.store.put("servers", new.name, {**spec, "models": held})
    view = system.gateway.view
    await system.until(
        lambda: view.holds(view.tracked[new.name].endpoint, "m1", "a1")
    )
    system.gateway._stream_registry.note_sent("b0", "models", "v1")
    fields = {**unreachable.fields("m1"), "Wayslip_Model": "m1/a1"}
    answer = await system.ask(
        "/gen/a",
        "r1",
        "POST",
        body=b"x",
        **platform_client.make_take_up_headers("b0", 2),
        **fields,
    )
    assert (answer.status, answer.is_whole) == (200, True)
    assert list_resumed([old]) == ["r1"]
    assert not list_resumed([new])


async def allow_attempts(system, count):
    """Allows that many attempts at a stream."""
    manifest = platform_site.manifest(version=2)
    route = next(r for r in manifest["routes"] if r["name"] == "gen")
    route["max_attempts"] = count
    system.store.put("config", "main", manifest)
    await system.until(lambda: system.gateway.holder.version == 2)


def ignore_origins_until(gateway, is_over):
    """Has a gateway lose what it is told of streams until a time."""
    registry = gateway._stream_registry
    keep = registry.keep

    def keep_later(message, source):
        if is_over():
            keep(message, source)

    return mock.patch.object(registry, "keep", keep_later)


@harness.run
async def test_stream_repeated_before_its_first_event_keeps_that_event(system):
    # Guards against whole answers without their first event while an instance
    # does not acknowledge the stream's version.
    await allow_attempts(system, 3)
    gateway, silent = await add_gateways(system, 2)
    await add_engines(system, test_requests.reset, "v1")
    others = await add_engines(
        system, test_requests.stream_whole, "v2", "v2", hall="hall-2"
    )
    await system.until(lambda: len(gateway.view.tracked) == 3)
    with ignore_origins_until(silent, lambda: all(e.received for e in others)):
        answer = await ask(system, "b0", gateway)
    assert (answer.status, answer.is_whole) == (200, True)
    assert answer.body == WHOLE
    assert all(e.received for e in others)


@harness.run
async def test_repeated_take_up_goes_on_after_the_event_its_client_named(
    system,
):
    engines = await add_engines(system, test_requests.stream_whole, "v1", "v1")
    system.gateway._stream_registry.note_sent("b0", "models", "v1")
    with mock.patch.object(
        stream_registry.StreamRegistry, "confirm", side_effect=[False, True]
    ):
        answer = await resume(system, "r1", "b0", 2, None)
    assert (answer.status, answer.is_whole) == (200, True)
    assert answer.body == b"".join(test_requests.EVENTS[2:])
    assert list_resumed(engines) == ["r1", "r1"]


@harness.run
async def test_endpoint_is_not_blamed_for_instances_that_are_silent(system):
    # Guards against sound endpoints that are taken for failed ones.
    engines = await add_engines(system, test_requests.stream_whole, "v1", "v1")
    with mock.patch.object(
        stream_registry.StreamRegistry, "confirm", side_effect=[False, True]
    ):
        answer = await ask(system, "b0")
    assert (answer.body, answer.is_whole) == (WHOLE, True)
    assert all(e.received for e in engines)
    tracked = system.gateway.view.tracked.values()
    assert {(t.condition.misses, t.condition.rate) for t in tracked} == {(0, 0)}
    # No endpoint is looked at, as it is when a request may have ended it.
    assert not system.gateway._quarantine._broken_attempts


@harness.run
async def test_events_read_with_one_that_is_too_large_are_not_lost(system):
    # Guards against events that are read, then dropped with the connection.
    async def send_too_much(engine, request, line):
        await line.write(test_requests.stream_head(request))
        events = b"".join(test_requests.EVENTS[:2])
        await line.write(test_requests.chunk(events + b"data: " + b"x" * 500))
        await line.reader.read(1)

    await add_engines(system, send_too_much, "v1")
    await add_engines(system, test_requests.stream_whole, "v1", hall="hall-2")
    with mock.patch.object(forwarding, "_MAX_EVENT_BYTES", 400):
        answer = await ask(system, "b0")
    assert (answer.body, answer.is_whole) == (WHOLE, True)


# Longer than any limit after which a version could be taken for forgotten.
LONG_SECONDS = 600.0


async def break_streams(system, gateways):
    """Has streams of v1 begin and break off; returns their engines and ids."""
    old = await add_engines(system, break_off, "v1", "v1")
    for gateway in gateways:
        await system.until(lambda g=gateway: len(g.view.tracked) == 2)
    return old, await begin_streams(system, gateways[1], ROUNDS)


async def replace_version(system, old):
    """Adds two engines of v2, and removes those of v1; returns the new ones."""
    new = await add_engines(system, test_requests.stream_whole, "v2", "v2")
    await asyncio.sleep(0.5)
    for engine in old:
        system.store.remove("servers", engine.name)
    await system.until(lambda: len(system.gateway.view.tracked) == len(new))
    return new


async def restart_all(system, gateways, meanwhile=lambda: None):
    """Kills all gateways at once; returns as many new ones."""
    for gateway in gateways:
        await system.kill(gateway)
    meanwhile()
    options = [
        harness.make_options(f"n{number}", system.options.store)
        for number in range(len(gateways))
    ]
    system.options = options[0]
    fresh = [system._launch(o) for o in options]
    system.gateway = fresh[0]
    for gateway in fresh:
        await system.until(lambda g=gateway: g._placement.instances == 3)
        await system.until(lambda g=gateway: is_list_current(g))
    return fresh


def is_list_current(gateway):
    return gateway.is_ready() and gateway._endpoints.watcher.is_current


def pass_time(gateways):
    """Has gateways take their list for current for a long time already."""
    for gateway in gateways:
        gateway.view.versions.note_list(True, clock.now() - LONG_SECONDS)


async def take_up_all(system, ids, gateways):
    """Takes streams up again; returns the answers."""
    return [
        await resume(system, f"r{n}", began, 2, gateways[n % len(gateways)])
        for n, began in enumerate(ids)
    ]


@harness.run
async def test_stream_is_not_joined_after_all_instances_were_killed(system):
    # Guards against streams that go on at the only version that is left.
    gateways = await add_gateways(system, 3)
    old, ids = await break_streams(system, gateways)
    new = await replace_version(system, old)
    gateways = await restart_all(system, gateways)
    pass_time(gateways)
    answers = await take_up_all(system, ids, gateways)
    assert not list_resumed(new)
    assert {a.status for a in answers} == {503}
    # Nobody will know it later.
    assert float(answers[0].headers["retry-after"]) > 1.0


@harness.run
async def test_stream_is_not_joined_long_after_its_version_left(system):
    # The same without a kill: the instances know which version began it.
    gateways = await add_gateways(system, 3)
    old, ids = await break_streams(system, gateways)
    new = await replace_version(system, old)
    later = mock.Mock(now=lambda: clock.now() + LONG_SECONDS)
    with mock.patch.object(stream_versions, "clock", later):
        answers = await take_up_all(system, ids, gateways)
    assert not list_resumed(new)
    assert {a.status for a in answers} == {503}


@harness.run
async def test_stream_of_the_only_version_goes_on_after_a_kill_of_all(system):
    # Guards against refusals of all streams that can be taken up.
    gateways = await add_gateways(system, 3)
    old, ids = await break_streams(system, gateways)
    await asyncio.sleep(0.5)
    for engine in old:
        engine.script = test_requests.stream_whole
    gateways = await restart_all(system, gateways)
    answers = await take_up_all(system, ids, gateways)
    assert {(a.status, a.is_whole) for a in answers} == {(200, True)}
    assert {a.body for a in answers} == {b"".join(test_requests.EVENTS[2:])}


@harness.run
async def test_version_that_nobody_saw_leave_is_not_forgotten(system):
    # Guards against an instance that started after a version had left.
    gateways = await add_gateways(system, 3)
    old, ids = await break_streams(system, gateways)
    new = await replace_version(system, old)
    late = await system.join("late")
    await system.until(lambda: is_list_current(late))
    for gateway in gateways:
        gateway._stream_registry._origins = stream_origins.Origins()
        gateway._stream_registry._tellings.clear()
    pass_time([late])
    answers = await take_up_all(system, ids, [late])
    assert not list_resumed(new)
    assert {a.status for a in answers} == {503}
