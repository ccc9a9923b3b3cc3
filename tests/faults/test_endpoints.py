"""Endpoints that leave, die or lie, through real daemons."""

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
    # Symptom: a 503 "m is not ready on any endpoint now" in the first test
    # here, once in each of two whole CI runs beside load.
    # Sequence: two engines hold m; an entry's last report of one is older
    # than the load there, so it knows of the other only; that one is listed as
    # leaving; until its next poll the entry refuses every request for m as
    # not loaded.
    # Cause: who knows no holder refuses at once, though the model's only known
    # holder has just been taken out and a report that shows another is due.
    # Polls of 0.8 s make the entry that late on every machine.
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
    # Symptom: a 503 in the test above, once in a whole CI run; 400 runs of it
    # beside load did not show it again, and that run kept no answer's body.
    # Sequence: one of two engines that hold a model leaves; a poll of the other
    # one is not answered in time; a request for the model is refused as not
    # loaded, "it is being loaded", though its engine serves.
    # Cause: one poll without an answer made an engine unusable, even where no
    # other one holds the model. That it was this in that run is not shown: it
    # is the one way found to a 503 there.
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
        "e1 is back on proof",
    )


def test_models_of_stopped_engine_are_loaded_elsewhere(fleet):
    holders = fleet.operate("GET", "/v1/models").json["models"]
    sole = next(m for m in holders if m["name"] == "n")["ready_on"]
    assert len(sole) == 1
    fleet.engines[sole[0]].stop()
    system_module.wait_until(
        lambda: fleet.complete(model="n").status == 200, "n answers again"
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
        "all models answer again",
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
    # Symptom: a 503 while a model's version was changed, once in a whole CI
    # run beside load, in the test of that name above.
    # Sequence: polls of engines come late; a plan loads v2 and evicts v1
    # between two of them; the entry sends a request for v1, which is refused
    # with 404, not started; the retry leaves that engine out, though it holds
    # v2 by now, and no other engine is known to hold either.
    # Cause: an engine that lacks one version was taken to be unable to answer
    # at all, and nobody waited for the report that shows the other one.
    # Polls of 0.8 s make the entry that late on every machine.
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
