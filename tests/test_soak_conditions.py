"""Tests of what the soak plays besides faults."""

import asyncio

import pytest

from soak import conditions
from soak import endpoints
from standins import platform_client
from standins import platform_engine
from standins import platform_site
from wayslip.decisions import profile
from wayslip.platform import decoding

SEEDS = range(40)


def make_manifest(drawn):
    value = platform_site.manifest()
    drawn.apply(value)
    return decoding.decode_manifest(value)


@pytest.mark.parametrize("seed", SEEDS)
def test_pool_holds_requests_as_drawn(seed):
    drawn = conditions.draw(seed)
    found = profile.find_profile(make_manifest(drawn), "models")
    assert found.holds_requests == drawn.holds_requests
    assert found.shares_room == (
        drawn.holds_requests and bool(drawn.organisations)
    )


def test_seeds_play_all_conditions():
    drawn = [conditions.draw(seed) for seed in SEEDS]
    assert {
        (d.holds_requests, bool(d.organisations), d.is_uneven) for d in drawn
    } == {(a, b, c) for a in (0, 1) for b in (0, 1) for c in (0, 1)}


def test_speed_differs_between_engines_and_changes():
    drawn = conditions.Conditions(1, True, (), True)
    factors = {drawn.find_factor(f"e{n}", 0.0) for n in range(4)}
    assert len(factors) == 4
    assert len({drawn.find_factor("e1", n / 10) for n in range(10)}) == 10
    assert conditions.Conditions(1, True, (), False).find_factor("e1", 0) == 1.0


async def ask(endpoint, target, body=b""):
    host, _, port = (await endpoint.start()).rpartition(":")
    client = platform_client.Client(
        *await asyncio.open_connection(host, int(port))
    )
    await client.send(target, "r1", "POST", body, Wayslip_Model="m1")
    answer = await client.read()
    client.close()
    endpoint.stop()
    return answer


def make_endpoint(service, is_uneven):
    endpoint = endpoints.Endpoint("e1")
    drawn = conditions.Conditions(1, True, (), is_uneven)
    oracle = endpoints.Oracle()
    endpoint.attach_oracle(oracle, service, lambda *_: None, drawn)
    endpoint.models = {"m1": []}
    return endpoint, oracle


def test_uneven_engine_states_its_load_with_four_figures():
    endpoint, _ = make_endpoint("models", is_uneven=True)
    answer = asyncio.run(ask(endpoint, "/gen/a"))
    figures = answer.headers["wayslip-server-load"].split(",")
    assert len(figures) == 4
    numbers = range(1, endpoints.EVENT_COUNT + 1)
    assert answer.body == b"".join(
        endpoints.format_event(n, "r1", endpoint.version) for n in numbers
    )


def test_even_engine_states_no_load():
    endpoint, _ = make_endpoint("models", is_uneven=False)
    answer = asyncio.run(ask(endpoint, "/gen/a"))
    assert "wayslip-server-load" not in answer.headers


def test_endpoint_that_reads_slowly_gets_the_whole_upload():
    endpoint, oracle = make_endpoint("plain", is_uneven=False)
    upload = endpoints.format_upload("r1", 10 * platform_engine._READ_BYTES + 7)
    answer = asyncio.run(ask(endpoint, "/large/a", upload))
    assert answer.body == endpoints.format_large("r1")
    assert not oracle.violations


def test_mixed_upload_is_reported():
    endpoint, oracle = make_endpoint("plain", is_uneven=False)
    asyncio.run(ask(endpoint, "/large/a", endpoints.format_upload("r2", 100)))
    assert oracle.violations
