"""Instances that stop, die, pause or start while others are away."""

import functools
import threading

import pytest

from standins import ports
from tests import system as system_module

TEXT = system_module.expected_text("m@v1", "12 Salt Lake", 200)
MORE = """
[[services]]
name = "t{n}"
endpoints = ["s0"]
"""


@pytest.fixture
def fleet():
    with system_module.System(instances=3) as running:
        running.apply()
        yield running


def _note_generation(log, catalog):
    log.append(catalog.generation)


def _confirm(fleet, intent, n=0):
    plan = fleet.operate("POST", "/v1/plans", intent.encode(), n).json["id"]
    return fleet.operate("POST", f"/v1/plans/{plan}/confirm", n=n).json


def test_planned_stop_cuts_no_stream_and_no_call(fleet):
    for service in fleet.services.values():
        service.delay = 0.5
    streams = [fleet.stream(0, max_tokens=200) for _ in range(6)]
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(fleet.run_keyed("k", "held", 0))
    )
    caller.start()
    system_module.wait_until(lambda: fleet.runs("held"), "the call runs")
    stopper = threading.Thread(target=fleet.entries[0].stop)
    stopper.start()
    for stream in streams:
        stream.read_all()
        assert stream.is_done
        assert stream.text == TEXT
    caller.join()
    stopper.join()
    assert replies[0].outcome == "ran"
    assert not fleet.entries[0].in_flight.total
    others = fleet.entries[1].node
    system_module.wait_until(
        lambda: "entry/i0" not in [m.name for m in others.live()],
        "the others know that it left",
    )


def test_entry_that_refuses_says_not_run_only_without_a_key(fleet):
    fleet.entries[0].routes.is_draining = True
    assert fleet.complete(0).outcome == "not-run"
    assert fleet.run_keyed("d", "drained", 0).outcome == "unknown"
    assert fleet.runs("drained") == 0


def test_configuration_reaches_all_and_a_new_instance_in_an_outage(fleet):
    generation = _confirm(fleet, MORE.format(n=1))["generation"]
    daemons = [*fleet.entries, *fleet.controls]
    system_module.wait_until(
        lambda: all(d.node.holder.generation == generation for d in daemons),
        "in force everywhere",
    )
    fleet.objects.faults.down = True
    fleet._ports += [ports.find_free() for _ in range(2)]
    fleet.start_instance(3)
    new = fleet.entries[3]
    system_module.wait_until(
        lambda: new.node.holder.generation == generation, "learnt from peers"
    )
    system_module.wait_until(
        lambda: fleet.complete(3).status == 200, "the new entry serves"
    )


def test_generations_never_fall_under_stale_reads(fleet):
    seen = {id(d): [] for d in (*fleet.entries, *fleet.controls)}
    for daemon in (*fleet.entries, *fleet.controls):
        log = seen[id(daemon)]
        daemon.node.holder.subscribe(functools.partial(_note_generation, log))
    fleet.objects.faults.stale = 0.5
    fleet.objects.faults.skip = 0.3
    last = 0
    for n in range(5):
        last = _confirm(fleet, MORE.format(n=n), n % 3)["generation"]
    daemons = [*fleet.entries, *fleet.controls]
    system_module.wait_until(
        lambda: all(d.node.holder.generation >= last for d in daemons),
        "in force everywhere",
    )
    for log in seen.values():
        assert log == sorted(set(log))


def test_dead_owner_of_a_slot_is_taken_over(fleet):
    for n in range(8):
        assert fleet.run_keyed(f"t{n}", f"t{n}", 0).outcome == "ran"
    victim = fleet.entries.pop()
    fleet.controls.pop().stop()
    # Not a planned stop: it only falls silent.
    victim.node._stopping.set()
    victim.node.calls.stop()
    victim._callers_port.stop()
    for n in range(8):
        again = fleet.run_keyed(f"t{n}", f"t{n}", 1)
        assert again.outcome == "ran"
        assert fleet.runs(f"t{n}") == 1
        fresh = fleet.run_keyed(f"f{n}", f"f{n}", 0)
        assert fresh.outcome == "ran"
        assert fleet.runs(f"f{n}") == 1
    victim.stopping.set()
    victim.relay.stop()
    victim.view.stop()
    victim._admin.stop()


def test_control_lost_does_not_hurt_callers(fleet):
    for control in fleet.controls:
        control.stop()
    for n in range(9):
        assert fleet.complete(n % 3).status == 200
    assert fleet.run_keyed("c", "controls-gone", 1).outcome == "ran"
