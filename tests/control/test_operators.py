"""Operators' calls: plans, concurrent confirmations, keys and secrets."""

import json
import threading

import pytest

from tests import system as system_module

SECOND = system_module.OPERATOR + "-2"


def no_plan_in_progress(system):
    """Whether no confirmed plan is still being executed."""
    plans = system.operate("GET", "/v1/plans").json["plans"]
    return all(
        p["state"] != "confirmed"
        or p["progress"]["done"] == p["progress"]["total"]
        for p in plans
    )


def propose(system, name, size=5, n=0):
    # A load in progress would change the state that the plan is based on.
    system_module.wait_until(
        lambda: no_plan_in_progress(system), "no plan in progress"
    )
    intent = system_module.grow_intent(name=name, size=size)
    reply = system.operate("POST", "/v1/plans", intent.encode(), n)
    assert reply.status == 200, reply.body
    return reply.json


def test_proposed_plan_shows_steps_and_cost_and_changes_nothing(system):
    generation = system.operate("GET", "/v1/status").json["generation"]
    plan = propose(system, "shown")
    assert plan["state"] == "proposed"
    assert [s["action"] for s in plan["steps"]] == ["load"]
    assert plan["cost"]["moves"] == 1
    assert plan["cost"]["moved"] == 5
    status = system.operate("GET", "/v1/status").json
    assert status["generation"] == generation


def test_file_that_is_already_in_force_changes_nothing(system):
    reply = system.operate("POST", "/v1/plans", system_module.INTENT.encode())
    assert reply.json["effects"] == []
    assert reply.json["steps"] == []


def test_only_one_of_two_concurrent_confirmations_succeeds(system):
    plan = propose(system, "raced")["id"]
    replies = {}

    def confirm(n, key):
        path = f"/v1/plans/{plan}/confirm"
        replies[n] = system.operate("POST", path, n=n, key=key)

    threads = [
        threading.Thread(target=confirm, args=(0, system_module.OPERATOR)),
        threading.Thread(target=confirm, args=(1, SECOND)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(r.status for r in replies.values()) == [200, 409]
    loser = next(r for r in replies.values() if r.status == 409)
    assert "confirmed by" in loser.json["reason"]


def test_plan_whose_basis_changed_is_refused_and_names_the_change(system):
    first = propose(system, "twice", 5)
    second = propose(system, "twice", 6)
    path = "/v1/plans/{}/confirm"
    assert system.operate("POST", path.format(first["id"])).status == 200
    refused = system.operate("POST", path.format(second["id"]))
    assert refused.status == 409
    assert "model twice" in refused.json["reason"]


def test_repeated_confirmation_does_not_apply_a_plan_again(system):
    plan = propose(system, "again")["id"]
    path = f"/v1/plans/{plan}/confirm"
    first = system.operate("POST", path)
    second = system.operate("POST", path)
    assert first.json["generation"] == second.json["generation"] > 0


def test_plan_is_applied_once_although_answers_are_lost(system):
    system.objects.faults.lose = 0.6
    try:
        generation = system.operate("GET", "/v1/status").json["generation"]
        plan = None
        while plan is None:
            intent = system_module.grow_intent(name="lossy", size=3).encode()
            reply = system.operate("POST", "/v1/plans", intent)
            plan = reply.json.get("id")
        path = f"/v1/plans/{plan}/confirm"
        while system.operate("POST", path).status != 200:
            pass
    finally:
        system.objects.faults.lose = 0.0
    status = system.operate("GET", "/v1/status").json
    assert status["generation"] == generation + 1


def test_cancelled_plan_cannot_be_confirmed(system):
    plan = propose(system, "dropped")["id"]
    assert system.operate("POST", f"/v1/plans/{plan}/cancel").status == 200
    refused = system.operate("POST", f"/v1/plans/{plan}/confirm")
    assert refused.status == 409
    assert "cancelled" in refused.json["reason"]


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("x = ", "TOML"),
        ("", "nothing"),
        ("[[nothing]]", "no table"),
        ('[[models]]\nname = "m"', "models[0]"),
        ('[[services]]\nname = "q"\nendpoints = []\nx = 1', "unknown key"),
        ('[[models]]\nname="z"\npool="none"\nversion="v1"', "no pool"),
        ('[[delete]]\nkind = "placement"\nname = "e0"', "cannot be deleted"),
        (system_module.grow_intent(name="huge", size=10**9), "room"),
        (system_module.grow_intent(name="neg", size=-1), "greater"),
        ('[[delete]]\nkind = "model"\nname = "none"', "no model none"),
    ],
)
def test_invalid_intents_are_refused_with_the_reason(system, text, word):
    reply = system.operate("POST", "/v1/plans", text.encode())
    assert reply.status == 400
    assert word in reply.json["reason"]


def test_operators_port_needs_a_key(system):
    for path in ("/v1/status", "/state", "/metrics", "/v1/plans"):
        assert system.operate("GET", path, key="wrong").status == 401
    assert system.operate("GET", "/healthz", key="").status == 200


def test_dump_has_both_daemons_and_no_secret(system):
    reply = system.operate("GET", "/v1/instances/i1/dump")
    assert set(reply.json) == {"entry", "control"}
    assert reply.json["entry"]["generation"] >= 1
    text = json.dumps(reply.json)
    for secret in (
        system_module.ALICE,
        system_module.OPERATOR,
        system_module.TOKEN,
        "peer-key-of-the-tests",
        "resume-key-of-the-tests",
    ):
        assert secret not in text


def test_dump_of_an_unknown_instance_is_refused(system):
    reply = system.operate("GET", "/v1/instances/none/dump")
    assert reply.status == 404


def test_metrics_show_histograms(system):
    system.complete()
    address = system.entries[0]._settings.entry.operators
    reply = system_module.call(
        address, "GET", "/metrics", key=system_module.OPERATOR
    )
    text = reply.body.decode()
    assert 'wayslip_answer_seconds{quantile="0.95"}' in text
    assert "wayslip_answers_total" in text
