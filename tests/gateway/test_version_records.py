"""The record of software versions in the store.

Guards against a version that no instance remembers after all were killed.
"""

from standins import platform_engine
from tests.gateway import harness
from tests.gateway import test_stream_versions as streams
from wayslip.gateway.sharing import records
from wayslip.gateway.sharing import version_records


def find_record(system):
    """Returns the record as stored, an empty one if there is none."""
    kind = system.store.objects.get(records.VERSIONS.name, {})
    stored = kind.get(version_records.NAME)
    return stored["spec"] if stored else {"services": {}}


async def until_recorded(system, service, *versions):
    await system.until(
        lambda: find_record(system)["services"].get(service) == list(versions)
    )


@harness.run
async def test_each_version_is_recorded_when_it_is_listed(system):
    await streams.add_gateways(system, 3)
    script = platform_engine.answer_whole
    await streams.add_engines(system, script, "v1", "v1")
    await until_recorded(system, "models", "v1")
    assert find_record(system)["complete"]
    await streams.add_engines(system, script, "v2")
    await until_recorded(system, "models", "v1", "v2")


@harness.run
async def test_version_that_the_holder_has_not_seen_is_recorded(system):
    gateways = await streams.add_gateways(system, 2)
    other = next(g for g in gateways if not g.leadership.is_held)
    other.view.versions.note_listed("models", {"v9"})
    await until_recorded(system, "models", "v9")


@harness.run
async def test_version_is_recorded_once_the_store_is_back(system):
    system.store.faults.is_down = True
    system.gateway.view.versions.note_listed("models", {"v9"})
    await system.until(lambda: system.gateway.leadership.is_cut_off)
    system.store.faults.is_down = False
    await until_recorded(system, "models", "v9")


@harness.run
async def test_record_begun_after_others_served_says_so(system):
    # Releases before the record have not written what they saw.
    gateways = await streams.add_gateways(system, 3)
    script = platform_engine.answer_whole
    await streams.add_engines(system, script, "v1")
    await until_recorded(system, "models", "v1")
    await streams.restart_all(
        system,
        gateways,
        lambda: system.store.remove(
            records.VERSIONS.name, version_records.NAME
        ),
    )
    await until_recorded(system, "models", "v1")
    assert not find_record(system)["complete"]
    answer = await streams.resume(system, "r1", "b0", 2, None)
    assert answer.status == 503


@harness.run
async def test_record_that_can_not_be_decoded_names_no_version(system):
    await streams.add_engines(system, platform_engine.answer_whole, "v1")
    await until_recorded(system, "models", "v1")
    system.store.put(records.VERSIONS.name, version_records.NAME, {"era": 1})
    versions = system.gateway.view.versions
    versions.forget_record()
    found = await system.gateway._version_records.find_only("models")
    assert found is None
