"""Poison requests at an instance that knows no other instance yet."""

import asyncio
import contextlib
from unittest import mock

from standins import platform_engine
from tests.gateway import harness
from tests.gateway import test_deadly_requests as deadly
from wayslip import errors
from wayslip import logs
from wayslip.decisions import contents
from wayslip.decisions import isolation
from wayslip.gateway.sharing import facts
from wayslip.gateway.sharing import members
from wayslip.gateway.sharing import peer_broadcast

COMMON = contents.Identity(b"common")


@contextlib.contextmanager
def isolated():
    with mock.patch.object(
        peer_broadcast.PeerBroadcast,
        "is_isolated",
        new_callable=mock.PropertyMock,
        return_value=True,
    ):
        yield


def is_any_held(gateway):
    return bool(gateway._quarantine._held)


@harness.run
async def test_isolated_instance_sends_a_poison_request_once(system):
    engines = await deadly.add_engines(system, 3)
    with isolated():
        first = await deadly.ask(system, system.gateway, "r1", deadly.POISON)
        assert first.status == 502
        await system.until(lambda: is_any_held(system.gateway))
        again = await deadly.ask(system, system.gateway, "r2", deadly.POISON)
        harmless = await deadly.ask(system, system.gateway, "r3", b"harmless")
    # It was not run, which a retry time tells its caller.
    assert again.status == 503
    assert float(again.headers["retry-after"]) > isolation.EXCHANGE_SECONDS
    assert harmless.status == 200
    assert sum(e.is_ended for e in engines) == 1


@harness.run
async def test_isolated_instance_answers_instead_of_a_second_attempt(system):
    engines = await deadly.add_engines(system, 3)
    path = "/get/a"
    with isolated():
        answer = await deadly.ask(
            system, system.gateway, "r1", deadly.POISON, path
        )
    # The request may have run.
    assert answer.status == 502
    assert sum(e.is_ended for e in engines) == 1


@harness.run
async def test_isolated_instance_retries_where_an_endpoint_only_reset(system):
    resets = []

    async def reset_once(engine, request, line):
        if not resets:
            resets.append(request.body)
            line.writer.transport.abort()
            return
        await platform_engine.answer_whole(engine, request, line)

    for n in range(2):
        await system.add(f"e{n}", "plain", script=reset_once)
    with isolated():
        answer = await deadly.ask(
            system, system.gateway, "r1", b"harmless", "/get/a"
        )
    assert resets == [b"harmless"]
    assert answer.status == 200


@harness.run
async def test_request_waits_for_a_pending_look_at_a_crash(system):
    engines = await deadly.add_engines(system, 3)
    quarantine = system.gateway._quarantine
    content = []
    note = quarantine.note_broken_attempt
    may_look = asyncio.Event()

    async def look(address):
        await may_look.wait()
        raise errors.NobodyListensError("refused", "start the endpoint")

    with isolated():
        quarantine.note_broken_attempt = lambda e, c, d, _, written: (
            content.append(c),
            note(e, c, d, look, written),
        )
        first = asyncio.create_task(
            deadly.ask(system, system.gateway, "r1", deadly.POISON, "/get/a")
        )
        await system.until(lambda: content)
        second = asyncio.create_task(
            deadly.ask(system, system.gateway, "r2", deadly.POISON, "/get/a")
        )
        await asyncio.sleep(0.1)
        assert not first.done()
        assert not second.done()
        may_look.set()
        assert (await first).status == 502
        assert (await second).status == 503
    assert sum(e.is_ended for e in engines) == 1


@harness.run
async def test_held_contents_are_announced_on_contact(system):
    await deadly.add_engines(system, 3)
    sent = []
    with isolated():
        await deadly.ask(system, system.gateway, "r1", deadly.POISON)
        await system.until(lambda: is_any_held(system.gateway))
        broadcast = system.gateway._quarantine._peer_broadcast.broadcast
        system.gateway._quarantine._peer_broadcast.broadcast = lambda m: (
            sent.append(m),
            broadcast(m),
        )
        sent.clear()
    await system.until(lambda: not is_any_held(system.gateway))
    await system.until(lambda: any(isinstance(m, facts.Suspects) for m in sent))


@harness.run
async def test_retry_time_after_contact_is_what_is_left(system):
    engines = await deadly.add_engines(system, 3)
    with isolated():
        await deadly.ask(system, system.gateway, "r1", deadly.POISON)
        await system.until(lambda: is_any_held(system.gateway))
    await system.until(lambda: not is_any_held(system.gateway))
    again = await deadly.ask(system, system.gateway, "r2", deadly.POISON)
    assert again.status == 503
    wait = float(again.headers["retry-after"])
    assert 1.0 < wait <= isolation.EXCHANGE_SECONDS
    await asyncio.sleep(wait + 0.05)
    # The content is held no longer: it reaches another endpoint.
    last = await deadly.ask(system, system.gateway, "r3", deadly.POISON)
    assert last.status == 502
    assert sum(e.is_ended for e in engines) == 2


@harness.run
async def test_one_task_announces_after_a_content_was_cleared(system):
    await system.add("e1", "plain", script=deadly.hang)
    quarantine = system.gateway._quarantine
    endpoint = system.gateway.view.tracked["e1"].endpoint

    async def look(address):
        raise errors.NobodyListensError("refused", "start the endpoint")

    with mock.patch.object(logs, "event", wraps=logs.event) as event:
        with isolated():
            for content in (b"first", b"second"):
                quarantine.note_broken_attempt(
                    endpoint, contents.Identity(content), 0, look
                )
                await system.until(lambda: is_any_held(system.gateway))
                if content == b"first":
                    quarantine.lift(content, "test")
                    assert not is_any_held(system.gateway)
        await system.until(lambda: not is_any_held(system.gateway))
        # Another task would poll for contact within this time.
        await asyncio.sleep(0.2)
    names = [call.args[1] for call in event.call_args_list]
    assert names.count("contents_held") == 2
    assert names.count("held_contents_announced") == 1


@harness.run
async def test_answered_content_is_not_held(system):
    await system.add("e1", "plain", script=deadly.hang)
    quarantine = system.gateway._quarantine
    quarantine.note_answer(COMMON)
    endpoint = system.gateway.view.tracked["e1"].endpoint
    with isolated():
        quarantine.note_broken_attempt(endpoint, COMMON, 0, None)
        assert quarantine.find_block(COMMON) is None
        quarantine._record_crash(endpoint.incarnation)
        assert quarantine.find_block(COMMON) is None


@harness.run
async def test_new_holder_sends_again_once_nobody_can_report(system):
    # It is the only instance: the content is held no longer than needed.
    crashed = []

    async def crash_once(engine, request, connection):
        if not crashed:
            crashed.append(engine)
            engine.crash()
            return
        await platform_engine.answer_whole(engine, request, connection)

    for n in range(2):
        await system.add(f"e{n}", "plain", script=crash_once)
    with mock.patch.object(
        members.Members,
        "awaits_first_reports",
        new_callable=mock.PropertyMock,
        return_value=True,
    ):
        asked = asyncio.create_task(
            deadly.ask(system, system.gateway, "r1", b"content", "/get/a")
        )
        await system.until(lambda: is_any_held(system.gateway))
        await asyncio.sleep(0.2)
        assert not asked.done()
    assert (await asked).status == 200
    assert not is_any_held(system.gateway)
