"""Endpoints that leave, stop or report stale state, through real daemons."""

import pytest

from tests import system as system_module


@pytest.fixture
def fleet():
    with system_module.System() as running:
        running.apply()
        yield running


def _served(fleet):
    return {name: e.served for name, e in fleet.engines.items()}


def _is_unused(fleet, name):
    return all(name not in entry.view.usable([name]) for entry in fleet.entries)


def test_endpoint_listed_as_leaving_gets_no_new_requests(fleet):
    fleet.list_leaving("e0")
    system_module.wait_until(lambda: _is_unused(fleet, "e0"), "e0 unused")
    before = _served(fleet)["e0"]
    for n in range(10):
        reply = fleet.complete(n % 2)
        assert reply.status == 200, reply.body
    assert _served(fleet)["e0"] == before


def test_model_on_another_engine_is_found_once_the_known_holder_leaves():
    # Guards against a 503 "m is not ready on any endpoint now" after an
    # endpoint leaves. Two engines hold m, but an entry's last report of one of
    # them is older than the load there, so the entry knows only the other
    # holder. When that one is listed as leaving, an entry that refuses requests
    # without a known holder at once would refuse all requests for m until its
    # next poll. A poll period of 0.8 s makes the reports late on any machine.
    slow = {"routing": {"poll_seconds": 0.8}}
    with system_module.System(sections=slow) as fleet:
        fleet.apply()
        entry = fleet.entries[0]
        item = entry.node.holder.catalog.targets["m"].items[0]
        known, other = [
            name
            for name, engine in fleet.engines.items()
            if item in engine.report()["resident"]
        ]
        entry.view.note_missing(other, item)
        fleet.list_leaving(known)
        system_module.wait_until(
            lambda: not entry.view.usable([known]), "the known holder is unused"
        )
        reply = fleet.complete(0)
        assert reply.status == 200, reply.body


def test_sole_holder_that_missed_a_report_still_gets_requests():
    # Guards against a 503 for a model whose only remaining holder serves. One
    # of two engines that hold the model leaves, and a poll of the other is not
    # answered. If one unanswered poll made an engine unusable even as the only
    # holder, requests for the model would be refused as not loaded.
    slow = {"routing": {"poll_seconds": 3.0}}
    with system_module.System(sections=slow) as fleet:
        fleet.apply()
        fleet.list_leaving("e0")
        system_module.wait_until(lambda: _is_unused(fleet, "e0"), "e0 unused")
        entry = fleet.entries[0]
        fleet.engines["e1"].cut_reports = True
        system_module.wait_until(
            lambda: entry.view.dump()["e1"]["health"].failures, "a poll failed"
        )
        reply = fleet.complete(0)
        assert reply.status == 200, reply.body


def test_refusal_is_announced_to_other_entry_during_store_outage(fleet):
    fleet.objects.faults.down = True
    fleet.engines["e1"].state = "draining"
    system_module.wait_until(lambda: _is_unused(fleet, "e1"), "e1 unused")
    for n in range(6):
        assert fleet.complete(n % 2).status == 200
    fleet.engines["e1"].state = "serving"
    system_module.wait_until(
        lambda: all(e.view.usable(["e1"]) for e in fleet.entries),
        "e1 is usable again after a report that it serves",
    )


def test_models_of_stopped_engine_are_loaded_elsewhere(fleet):
    holders = fleet.operate("GET", "/v1/models").json["models"]
    sole = next(m for m in holders if m["name"] == "n")["ready_on"]
    assert len(sole) == 1
    fleet.engines[sole[0]].stop()
    system_module.wait_until(
        lambda: fleet.complete(model="n").status == 200, "n is served again"
    )


def test_engine_restarted_empty_is_reloaded(fleet):
    for engine in fleet.engines.values():
        with engine._lock:
            engine._items.clear()
            engine.boot += 1000
            engine.fence = 0
    system_module.wait_until(
        lambda: all(
            fleet.complete(model=m).status == 200 for m in ("m", "n", "m-a")
        ),
        "all models are served again",
    )
    assert all(not e.overcommitted for e in fleet.engines.values())


def test_lost_order_responses_do_not_overcommit_memory(fleet):
    for engine in fleet.engines.values():
        engine.lose_answers = 2
    intent = system_module.grow_intent("k", 20, 3)
    fleet.apply(intent)
    assert fleet.complete(model="k").status == 200
    assert all(not e.overcommitted for e in fleet.engines.values())


VERSION_CHANGE = """
[[models]]
name = "n"
pool = "p"
version = "v2"
[[versions]]
model = "n"
name = "v2"
size = 30
[[delete]]
kind = "version"
name = "n@v1"
"""


def test_version_change_keeps_the_model_reachable(fleet):
    intent = VERSION_CHANGE
    proposed = fleet.operate("POST", "/v1/plans", intent.encode())
    assert proposed.status == 200, proposed.body
    plan = proposed.json["id"]
    assert fleet.operate("POST", f"/v1/plans/{plan}/confirm").status == 200
    statuses = set()

    def is_new():
        reply = fleet.complete(model="n")
        statuses.add(reply.status)
        return reply.status == 200 and reply.json["model"] == "n@v2"

    system_module.wait_until(is_new, "v2 answers")
    assert statuses == {200}
    fleet.wait_done(plan)


def test_entry_with_an_old_report_finds_the_new_version():
    # Guards against a 503 while a model's version is changed. A plan loads v2
    # and evicts v1 between two late polls. The entry sends a request for v1,
    # which the engine refuses with 404, not started. The request fails if the
    # retry excludes that engine, though it holds v2 by now, or does not wait
    # for the report that shows v2. A poll period of 0.8 s makes the reports
    # late on any machine.
    slow = {"routing": {"poll_seconds": 0.8}}
    with system_module.System(sections=slow) as fleet:
        fleet.apply()
        proposed = fleet.operate("POST", "/v1/plans", VERSION_CHANGE.encode())
        assert proposed.status == 200, proposed.body
        plan = proposed.json["id"]
        assert fleet.operate("POST", f"/v1/plans/{plan}/confirm").status == 200
        system_module.wait_until(
            lambda: (
                not any(
                    "n@v1" in e.report()["resident"]
                    for e in fleet.engines.values()
                )
            ),
            "v1 is evicted",
        )
        reply = fleet.complete(model="n")
        assert reply.status == 200, reply.body
        assert reply.json["model"] == "n@v2"
