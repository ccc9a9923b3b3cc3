"""A refusal of which a second copy arrives late.

Guards against a 503, which says that nothing ran, while an engine runs the
request: the copy was taken for the answer to the next attempt.
"""

from unittest import mock

from standins import platform_engine
from standins import platform_site
from tests.gateway import harness
from tests.gateway import test_waiting
from wayslip.gateway.serving import full_queues

REFUSAL = {"status": 503, "Wayslip_Not_Executed": "1"}


def repeat_refusals(count):
    """Returns a script that refuses requests first, and repeats that late.

    A copy comes where the next answer on its connection is expected.

    Args:
        count: How many requests are refused.
    """
    owed = {}

    async def answer(engine, request, line):
        await line.write(owed.pop(line, b""))
        if len(engine.received) > count:
            await line.answer(request, b"done")
            return
        refusal = platform_engine.format_answer(request.id, b"", **REFUSAL)
        owed[line] = refusal
        await line.write(refusal)

    return answer


async def allow_repeats(system, attempts):
    """Has refused requests of the pool return to the same endpoint."""
    manifest = platform_site.manifest(2)
    manifest["routes"][2].update(max_attempts=attempts, resumable=False)
    await test_waiting.configure(system, manifest)
    await system.until(lambda: system.gateway._placement.instances == 1)


async def ask(system, request_id="r1"):
    # The time for which the queue counts as full is over at once.
    with (
        mock.patch.object(full_queues.FullQueues, "note", return_value=True),
        mock.patch.object(full_queues.FullQueues, "find_seconds", lambda *_: 0),
    ):
        return await test_waiting.ask_model(system, request_id)


@harness.run
async def test_copy_of_a_refusal_does_not_answer_the_next_attempt(system):
    await allow_repeats(system, 2)
    engine = await system.add("e1", "models", ["m1"], repeat_refusals(1))
    answer = await ask(system)
    assert len(engine.received) == 2
    assert (answer.status, answer.body) == (200, b"done")


@harness.run
async def test_no_connection_of_a_request_carries_it_again(system):
    await allow_repeats(system, 4)
    engine = await system.add("e1", "models", ["m1"], repeat_refusals(3))
    answer = await ask(system)
    assert len(engine.received) == 4
    assert (answer.status, answer.body) == (200, b"done")
    # The connections stay in the pool for others.
    pool = system.gateway._requests._attempts.pool
    assert len(pool.list_idle("e1")) == 4
    answer = await ask(system, "r2")
    assert (answer.status, answer.body) == (200, b"done")
    assert len(pool.list_idle("e1")) == 4
