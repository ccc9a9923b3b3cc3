"""Limits of waits at an instance that is stopping."""

import asyncio
import math
import types

import pytest

from wayslip import clock
from wayslip import errors
from wayslip.gateway.serving import drain

USUAL_SECONDS = 2.0


def make_job(relayed=False, deadline=math.inf):
    service = types.SimpleNamespace(name="models")
    return types.SimpleNamespace(
        service=service, relayed=relayed, deadline=deadline
    )


def make_drain():
    return drain.Drain(lambda service: USUAL_SECONDS)


def test_waits_have_no_limit_until_the_instance_stops():
    stopping = make_drain()
    assert stopping.find_wait_left(make_job()) == math.inf
    assert stopping.find_due(make_job(deadline=7.0)) == 7.0


def test_time_for_the_usual_answer_is_kept():
    stopping = make_drain()
    stopping.begin(clock.now() + 10.0)
    left = stopping.find_wait_left(make_job())
    assert left <= 10.0 - USUAL_SECONDS
    # What is left of a stream that has begun may be short.
    assert left < stopping.find_wait_left(make_job(relayed=True)) < 10.0


def test_request_that_comes_too_late_does_not_begin_to_wait():
    stopping = make_drain()
    stopping.begin(clock.now() + 0.3)

    async def wait():
        async with stopping.limit_wait(make_job()):
            pytest.fail("it has begun")

    with pytest.raises(errors.StoppingError):
        asyncio.run(wait())


def test_request_that_need_not_wait_is_sent():
    # Guards against refusals of requests that can be served beside the stop.
    stopping = make_drain()
    stopping.begin(clock.now() + USUAL_SECONDS / 2)
    assert stopping.find_wait_left(make_job()) < 0

    async def ask_others():
        async with stopping.limit_wait(make_job()):
            await asyncio.sleep(0.01)

    asyncio.run(ask_others())


def test_wait_under_way_ends_with_the_limit():
    stopping = make_drain()

    async def wait():
        loop = asyncio.get_running_loop()
        end = clock.now() + USUAL_SECONDS
        loop.call_soon(stopping.begin, end)
        async with stopping.limit_wait(make_job()):
            await asyncio.Event().wait()

    with pytest.raises(errors.StoppingError):
        asyncio.run(wait())


def test_time_limits_in_a_block_and_around_it_stay_their_own():
    stopping = make_drain()

    async def time_out(outer, inner):
        async with asyncio.timeout(outer):
            async with stopping.limit_wait(make_job()):
                async with asyncio.timeout(inner):
                    await asyncio.Event().wait()

    for limits in ((0.01, None), (None, 0.01)):
        with pytest.raises(TimeoutError):
            asyncio.run(time_out(*limits))
