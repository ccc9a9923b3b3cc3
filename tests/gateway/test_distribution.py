"""Configurations that instances copy from one another."""

import asyncio
from unittest import mock
import zlib

import hypothesis
from hypothesis import strategies
import pytest

from standins import platform_site
from tests.gateway import harness
from tests.stateful import order_engine
from wayslip import errors
from wayslip.decisions import manifest as manifest_module
from wayslip.gateway.sharing import copy_client
from wayslip.gateway.sharing import distribution as distribution_module
from wayslip.gateway.sharing import snapshots
from wayslip.platform import decoding

_PLAIN = snapshots.encode(order_engine.make_manifest(3, routes=20))
_TEXT = strategies.text(max_size=12)
_NUMBER = strategies.floats(0, 1e9)
_SPLIT = strategies.builds(manifest_module.Split, _TEXT, _NUMBER)
_ROUTE = strategies.builds(
    manifest_module.Route,
    splits=strategies.lists(_SPLIT, max_size=3).map(tuple),
    timeout=_NUMBER,
    target=_NUMBER,
)
_MODEL = strategies.builds(
    manifest_module.Model,
    weights_mb=_NUMBER,
    adapter_mb=_NUMBER,
    adapters=strategies.lists(_TEXT, max_size=3).map(tuple),
    load_s=_NUMBER,
    disk_s=_NUMBER,
    warm_s=_NUMBER,
)
_POOL = strategies.builds(
    manifest_module.Pool,
    weights_mb=_NUMBER,
    loads_per_s=_NUMBER,
    models=strategies.lists(_MODEL, max_size=3).map(
        lambda models: {m.name: m for m in models}
    ),
)
_SERVICE = strategies.builds(
    manifest_module.Service, pool=strategies.none() | _POOL
)
_MANIFEST = strategies.builds(
    manifest_module.Manifest,
    routes=strategies.lists(_ROUTE, max_size=4).map(tuple),
    services=strategies.lists(_SERVICE, max_size=3).map(
        lambda services: {s.name: s for s in services}
    ),
    limits=strategies.builds(
        manifest_module.Limits, header_seconds=_NUMBER, idle_seconds=_NUMBER
    ),
)


@hypothesis.given(_MANIFEST)
def test_copy_decodes_to_the_same_configuration(manifest):
    assert snapshots.decode(snapshots.encode(manifest)) == manifest


@hypothesis.given(strategies.binary(max_size=200))
def test_bytes_of_another_format_are_rejected(data):
    with pytest.raises(errors.FrameError):
        snapshots.decode(data)


@pytest.mark.parametrize(
    "data",
    [
        b"\x86\x02" + b"\x81" * 300 + b"\x01" * 5,
        # A list that contains itself.
        b"\x86\x02\x01\xd8\x1c\x81\xd8\x1d\x00\x80\x80\x80",
        b"\x86\x02\x01\x80\x81\x80\x80\x80",
        b"\x86\x02\xf9\x7c\x00\x80\x80\x80\x80",
    ],
)
def test_copy_of_an_odd_form_is_rejected(data):
    # Guards against an error that ends the task which asks for copies.
    with pytest.raises(errors.FrameError):
        snapshots.decode(zlib.compress(data))


@hypothesis.given(strategies.integers(0, len(_PLAIN) - 1))
def test_corrupted_copy_is_rejected(at):
    with pytest.raises(errors.FrameError):
        snapshots.decode(_PLAIN[:at])
    corrupted = bytes([_PLAIN[at] ^ 0x55])
    try:
        found = snapshots.decode(_PLAIN[:at] + corrupted + _PLAIN[at + 1 :])
    except errors.FrameError:
        return
    # Some bits of the compressed form have no effect.
    assert found == snapshots.decode(_PLAIN)


def _find_pages(system):
    return harness.HOST, system.options.metrics_port


@harness.run
async def test_instance_serves_its_configuration(system):
    client = copy_client.HttpCopyClient()
    data = await client.fetch(_find_pages(system), 0)
    assert snapshots.decode(data) == system.gateway.holder.manifest
    assert await client.fetch(_find_pages(system), 1) == b""


@harness.run
async def test_instance_with_a_busy_link_serves_no_copy(system):
    system.gateway._configuration_sync.distribution._link_free_at = float("inf")
    client = copy_client.HttpCopyClient()
    assert await client.fetch(_find_pages(system), 0) == b""


@harness.run
async def test_instance_that_is_behind_does_not_deny_a_route(system):
    # The announced configuration may have the route; 404 is final to a client.
    system.gateway._configuration_sync.distribution.note_announcement(2)
    staleness = system.gateway._configuration_sync.watcher.staleness
    staleness._leads = lambda: False
    staleness.note_announcement(0.0, False)
    answer = await system.ask("/new/a")
    assert (answer.status, answer.headers["retry-after"]) == (503, "1.00")
    system.store.put("config", "main", platform_site.large_manifest(2, 10))
    await system.until(lambda: system.gateway.holder.version == 2)
    staleness.note_complete()
    staleness.note_announcement(0.0, True)
    assert (await system.ask("/new/a")).status == 404


def test_slow_link_refuses_a_copy_that_would_wait():
    async def body():
        manifest = decoding.decode_manifest(
            platform_site.large_manifest(4, 2000)
        )
        distribution = harness.make_distribution(manifest, bytes_per_s=50_000)
        # A fake clock, because the link becomes free with time.
        now = 100.0
        with mock.patch.object(distribution_module, "clock") as clock:
            clock.now.return_value = now
            first = distribution.serve_copy(3)
            assert distribution.serve_copy(3) == b""
            assert distribution.serve_copy(4) is None
            clock.now.return_value = now + len(first) / 50_000
            assert distribution.serve_copy(3) == first
        assert snapshots.decode(first) == manifest

    asyncio.run(body())
