"""Rate limits over all instances, under crashes, partitions and outages.

Each instance observes only its own requests. A rule of the platform limits the
requests that an engine with a limit receives from all instances in 4 s.
"""

import pytest

from tests.stateful import limit_world

# When the last request of a world is sent, in simulated seconds.
LAST_REQUEST_AT = 1064.0


def check(result):
    for engine in result.engines:
        for count, limit in engine.list_counts():
            assert count <= 1.5 * limit_world.WINDOW_SECONDS * limit + 5


@pytest.mark.parametrize("seed", range(4))
def test_limit_holds_over_all_instances(seed):
    check(limit_world.simulate(seed))


@pytest.mark.parametrize("seed", range(8))
def test_limit_holds_under_faults(seed):
    check(limit_world.simulate(seed, fault_rate=0.4))


@pytest.mark.parametrize("seed", range(2))
def test_limit_holds_in_a_large_fleet(seed):
    check(limit_world.simulate(seed, fault_rate=0.3, instances=30))


@pytest.mark.parametrize("seed", range(4))
def test_what_engines_allow_is_used(seed):
    result = limit_world.simulate(seed)
    for engine in result.engines:
        for before, span in zip(
            [None, *engine.spans], engine.spans, strict=False
        ):
            seconds = min(span.until, LAST_REQUEST_AT) - span.since
            if before is not None and before.until == span.since:
                # The change becomes known with the next permit under the
                # previous limit.
                seconds -= 2.0 / before.limit
            arrived = [
                at for at, _ in engine.arrivals if span.since <= at < span.until
            ]
            assert len(arrived) >= 0.8 * span.limit * (seconds - 1.0) - 1


def check_end_of_limits(result):
    """Checks that limits end; returns the number of spans without one."""
    checked = 0
    for engine in result.engines:
        for before, after in zip(engine.spans, engine.spans[1:], strict=False):
            # No request arrives later, whatever the engine allows.
            until = min(after.since, LAST_REQUEST_AT)
            free = until - before.until
            if free < 4.0:
                continue
            arrived = [
                at
                for at, _ in engine.arrivals
                if before.until + 3.0 <= at < until
            ]
            checked += 1
            # Each of the three engines receives a third of the requests.
            assert len(arrived) >= 0.5 * 25.0 / 3 * (free - 3.0) - 3
    return checked


def test_limit_ends_with_the_answers_that_name_it():
    # Whether a seed has a span of 4 s without a limit depends on its draws.
    checked = 0
    for seed in range(8):
        result = limit_world.simulate(seed)
        assert result.denied
        checked += check_end_of_limits(result)
    assert checked
