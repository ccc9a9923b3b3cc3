"""wayslipctl against a running system."""

import json

from tests import system as system_module
from tests import test_cli


def ctl(system, *args, n=0, code=0):
    url = f"http://{system.controls[n]._settings.control.operators}"
    key = system_module.OPERATOR
    done = test_cli.run("ctl", f"--url={url}", *args, WAYSLIP_KEY=key)
    assert done.returncode == code, done.stderr
    return done.stdout if code == 0 else done.stderr


def test_commands_of_an_operators_session(system, tmp_path):
    path = tmp_path / "grow.toml"
    path.write_text(system_module.grow_intent("ctl"))
    plan = json.loads(ctl(system, "--json", "apply", str(path)))["id"]
    shown = ctl(system, "plan", plan)
    assert "load ctl@v1" in shown
    assert "confirm it with" in shown
    done = json.loads(ctl(system, "--json", "confirm", plan, "--wait=30", n=1))
    assert done["progress"] == {"done": 1, "total": 1}
    assert plan in ctl(system, "plans")
    refused = ctl(system, "cancel", plan, code=3)
    assert "only a proposed plan" in refused
    assert "entry/i0" in ctl(system, "status")
    assert "ctl@v1" in ctl(system, "models")
    assert "e0" in ctl(system, "endpoints")
    dumped = json.loads(ctl(system, "--json", "dump", "i1"))
    assert set(dumped) == {"entry", "control"}
    path.write_text("[[none]]")
    assert "no table" in ctl(system, "apply", str(path), code=2)


def test_drain_stops_an_instance():
    with system_module.System(instances=2, engines=1) as fleet:
        system_module.wait_until(
            lambda: (
                fleet.controls[0].node.find("entry/i1")
                and fleet.controls[0].node.find("control/i1")
            ),
            "members known",
        )
        ctl(fleet, "drain", "i1")
        assert fleet.entries[1].stopping.is_set()
        assert fleet.controls[1].stopping.is_set()
        assert not fleet.entries[1].is_ready()
        # In a separate process, the main thread would call `stop`.
        fleet.entries[1].stop()
        fleet.controls[1].stop()
