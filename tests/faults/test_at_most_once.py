"""Requests that may not be repeated, under faults, through real daemons."""

import threading

import pytest

from tests import system as system_module


@pytest.fixture(autouse=True)
def reset_faults(system):
    yield
    system.objects.faults = type(system.objects.faults)()
    for service in system.services.values():
        service.delay = 0.0
        service.cut_before = service.cut_after = 0


def test_retry_through_another_entry_gets_stored_answer(system):
    first = system.run_keyed("key-1", "one", 0)
    again = system.run_keyed("key-1", "one", 1)
    assert (first.status, first.outcome) == (200, "ran")
    assert again.body == first.body
    assert system.runs("one") == 1


def test_concurrent_retries_join(system):
    for service in system.services.values():
        service.delay = 0.3
    replies = []

    def call(n):
        replies.append(system.run_keyed("key-2", "two", n % 2))

    threads = [threading.Thread(target=call, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert {r.body for r in replies} == {replies[0].body}
    assert {r.outcome for r in replies} == {"ran"}
    assert system.runs("two") == 1


def test_disconnect_after_run_is_unknown_and_not_rerun(system):
    for service in system.services.values():
        service.cut_after = 1
    first = system.run_keyed("key-3", "three", 0)
    again = system.run_keyed("key-3", "three", 1)
    assert first.outcome == "unknown"
    assert again.outcome == "unknown"
    assert system.runs("three") == 1


def test_lost_store_responses_do_not_run_key_twice(system):
    system.objects.faults.lose = 0.5
    outcomes = set()
    for n in range(20):
        for entry in (0, 1):
            reply = system.run_keyed(f"lost-{n}", f"lost-{n}", entry)
            outcomes.add(reply.outcome)
        assert system.runs(f"lost-{n}") <= 1
    assert outcomes <= {"ran", "unknown"}


def test_store_outage_returns_unknown_except_for_issued_keys(system):
    address = system.callers_port(0)
    keys = system_module.call(address, "POST", "/v1/keys?count=2").json["keys"]
    system.objects.faults.down = True
    chosen = system.run_keyed("key-5", "five", 0)
    assert chosen.outcome == "unknown"
    assert "Retry-After" in chosen.headers
    assert system.runs("five") == 0
    through_other = system.run_keyed(keys[0], "issued", 1)
    again = system.run_keyed(keys[0], "issued", 0)
    assert through_other.outcome == "ran"
    assert again.body == through_other.body
    assert system.runs("issued") == 1
    assert system.complete().outcome == "ran"


def test_key_that_never_ran_runs_after_store_recovers(system):
    system.objects.faults.down = True
    assert system.run_keyed("key-6", "six", 0).outcome == "unknown"
    system.objects.faults.down = False
    system_module.wait_until(
        lambda: system.run_keyed("key-6", "six", 1).outcome == "ran",
        "the key runs",
    )
    assert system.runs("six") == 1


def test_key_reused_for_another_request_is_refused(system):
    assert system.run_keyed("key-7", "seven", 0).outcome == "ran"
    reused = system.run_keyed("key-7", "other", 1)
    assert reused.status == 409
    assert reused.outcome == "not-run"
    assert system.runs("other") == 0


def test_issued_key_of_another_caller_is_refused(system):
    address = system.callers_port(0)
    key = system_module.call(
        address, "POST", "/v1/keys", key=system_module.BOB
    ).json["keys"][0]
    reply = system.run_keyed(key, "stolen", 0)
    assert reply.status == 400
    assert system.runs("stolen") == 0


def test_call_without_required_key_is_refused(system):
    reply = system_module.call(
        system.callers_port(), "POST", "/v1/services/s/run", {"id": "bare"}
    )
    assert reply.status == 400
    assert reply.outcome == "not-run"
    assert system.runs("bare") == 0


def test_request_to_draining_services_is_not_run(system):
    addresses = {}
    for name, service in system.services.items():
        addresses[name] = service.address
        service.state = "draining"
    reply = system.run_keyed("key-8", "eight", 0)
    assert reply.outcome == "not-run"
    for service in system.services.values():
        service.state = "serving"
    system_module.wait_until(
        lambda: system.run_keyed("key-8", "eight", 1).outcome == "ran",
        "the key runs after the services serve again",
    )
    assert system.runs("eight") == 1


def test_keyed_completion_runs_once(system):
    body = {"model": "m", "prompt": "p", "max_tokens": 2}
    served = sum(e.served for e in system.engines.values())
    replies = [
        system_module.call(
            system.callers_port(n),
            "POST",
            "/v1/completions",
            body,
            Idempotency_Key="c-1",
        )
        for n in (0, 1, 0)
    ]
    assert {r.body for r in replies} == {replies[0].body}
    assert sum(e.served for e in system.engines.values()) == served + 1
