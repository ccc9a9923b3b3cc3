"""Runs a complete local deployment: stand-ins and two instances.

Started by `make run`. It writes the instances' settings, starts all processes,
applies examples/models.toml through wayslipctl as an operator would, prints a
curl command and waits. Ctrl-C or SIGTERM stops all processes gracefully.
"""

from collections.abc import Callable
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = ROOT / "run"
OBJECT_PORT = 6080
OBJECT_TOKEN = "local-object-token"
CALLER_KEY = "local-caller-key-0001"
OPERATOR_KEY = "local-operator-key-0001"
ENGINE_PORTS = (6101, 6102, 6103)
SERVICE_PORT = 6201
CAPACITY = 80_000_000
DATA_HALLS = ("salt-lake", "howrah-hall", "newtown")
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Instances refuse commands until they know each other, so the first command is
# retried.
_APPLY_ATTEMPTS = 20
_PAUSE_SECONDS = 0.5
# Longer than an instance's `drain.finish_seconds`, so that the instance can
# finish its streams before it is killed.
_STOP_TIMEOUT_SECONDS = 40
_PREFIX = f"http://127.0.0.1:{OBJECT_PORT}/apis/wayslip.io/v1"

SETTINGS = """\
[instance]
name = "local-{n}"
data_hall = "{hall}"
region = "kolkata-east"
[entry]
callers = "127.0.0.1:{callers}"
operators = "127.0.0.1:{entry_operators}"
peers = "127.0.0.1:{entry_peers}"
[control]
operators = "127.0.0.1:{operators}"
peers = "127.0.0.1:{control_peers}"
[objects]
url = "http://127.0.0.1:{objects}"
token = "{token}"
[security]
peer_key = "local-peer-key-0000000001"
resume_key = "local-resume-key-00000001"
[[callers]]
name = "counter"
key = "{caller_key}"
[[operators]]
name = "local"
key = "{operator_key}"
[peers]
seeds = ["127.0.0.1:7080", "127.0.0.1:7180"]
[placement]
load_rate = 20.0
[drain]
balancer_seconds = 0.2
finish_seconds = 30.0
"""


def main() -> int:
    """Runs until a signal; returns the exit code."""
    stand_ins: list[subprocess.Popen] = []
    instances: list[subprocess.Popen] = []
    listen_for_signals()
    try:
        _start_stand_ins(stand_ins)
        _put_endpoints()
        _start_instances(instances)
        _apply_example()
        _print_help()
        while all(p.poll() is None for p in [*stand_ins, *instances]):
            time.sleep(0.5)
        print(
            "a process exited unexpectedly; see the log above", file=sys.stderr
        )
        return 1
    except KeyboardInterrupt:
        return 0
    finally:
        stop(stand_ins, instances)


def listen_for_signals() -> None:
    """Stops the script at the first SIGTERM or SIGINT; ignores later ones.

    A signal to the process group arrives twice, because make forwards it too.
    If the second one interrupted the clean-up, processes would be left running.
    """
    for number in _STOP_SIGNALS:
        signal.signal(number, _raise_interrupt)


def _raise_interrupt(number: int, frame: object) -> None:
    for stop_signal in _STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_IGN)
    raise KeyboardInterrupt


def _start(processes: list[subprocess.Popen], *args: str) -> None:
    # In a session of its own, so that Ctrl-C reaches this script only and the
    # processes are stopped in order.
    env = {**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}"}
    processes.append(
        subprocess.Popen(
            [sys.executable, "-m", *args], env=env, start_new_session=True
        )
    )


def _start_stand_ins(processes: list[subprocess.Popen]) -> None:
    objects = ["--port", str(OBJECT_PORT), "--token", OBJECT_TOKEN]
    _start(processes, "standins.objects", *objects)
    for port in ENGINE_PORTS:
        options = ["--port", str(port), "--capacity", str(CAPACITY)]
        _start(processes, "standins.engine", *options)
    _start(processes, "standins.service", "--port", str(SERVICE_PORT))


def _put_endpoints() -> None:
    """Writes the list of endpoints, which the platform does in production."""
    for n, port in enumerate(ENGINE_PORTS, 1):
        _put_endpoint(
            f"engine-{n}", "engine", port, DATA_HALLS[n - 1], CAPACITY
        )
    _put_endpoint("register-1", "service", SERVICE_PORT, DATA_HALLS[0], 0)


def _put_endpoint(
    name: str, role: str, port: int, hall: str, capacity: int
) -> None:
    spec = {
        "name": name,
        "role": role,
        "address": f"127.0.0.1:{port}",
        "data_hall": hall,
        "capacity": capacity,
    }
    body = {"kind": "Endpoint", "metadata": {"name": name}, "spec": spec}
    headers = {"Authorization": f"Bearer {OBJECT_TOKEN}"}
    request = urllib.request.Request(
        f"{_PREFIX}/endpoints", json.dumps(body).encode(), headers
    )
    _retry_until_success(lambda: urllib.request.urlopen(request, timeout=2))


def _retry_until_success(action) -> None:  # type: ignore[no-untyped-def]
    limit = time.monotonic() + 30
    while True:
        try:
            action()
            return
        except OSError:
            if time.monotonic() > limit:
                raise
            time.sleep(0.1)


def _start_instances(processes: list[subprocess.Popen]) -> None:
    RUN.mkdir(exist_ok=True)
    for n in (0, 1):
        path = RUN / f"local-{n}.toml"
        path.write_text(
            SETTINGS.format(
                n=n,
                hall=DATA_HALLS[n],
                callers=8080 + n,
                operators=9080 + n,
                entry_operators=9180 + n,
                entry_peers=7080 + n,
                control_peers=7180 + n,
                objects=OBJECT_PORT,
                token=OBJECT_TOKEN,
                caller_key=CALLER_KEY,
                operator_key=OPERATOR_KEY,
            )
        )
        for program in ("control", "entry"):
            _start(processes, f"wayslip.cli.{program}", "--settings", str(path))
    health = "http://127.0.0.1:9080/healthz"
    _retry_until_success(lambda: urllib.request.urlopen(health, timeout=2))


def _apply_example() -> None:
    """Applies the example's models as an operator would."""
    plan = apply_models(_run_wayslipctl)
    confirmed = _run_wayslipctl("confirm", plan, "--wait", "30")
    if confirmed.returncode:
        raise SystemExit(_describe("confirm", confirmed))
    # The engines now hold the models; the entries learn of it when they poll.
    ready = "http://127.0.0.1:9180/readyz"
    _retry_until_success(lambda: urllib.request.urlopen(ready, timeout=2))
    time.sleep(1.5)


def _run_wayslipctl(*args: str) -> subprocess.CompletedProcess[str]:
    """Runs wayslipctl as the local operator."""
    env = {
        **os.environ,
        "WAYSLIP_KEY": OPERATOR_KEY,
        "PYTHONPATH": f"{ROOT}/src",
    }
    command = [sys.executable, "-m", "wayslip.cli.ctl", *args]
    return subprocess.run(command, env=env, capture_output=True, text=True)


def apply_models(
    run: Callable[..., subprocess.CompletedProcess[str]],
    attempts: int = _APPLY_ATTEMPTS,
    pause_seconds: float = _PAUSE_SECONDS,
) -> str:
    """Applies examples/models.toml; returns the plan's id.

    Instances that have just started may not know each other yet and refuse the
    command, so it is retried.

    Args:
        run: Runs wayslipctl with the given arguments.
        attempts: Maximum number of attempts.
        pause_seconds: Pause after a failed attempt, seconds.
    """
    models = str(ROOT / "examples" / "models.toml")
    for _ in range(attempts):
        applied = run("--json", "apply", models)
        if not applied.returncode:
            return str(json.loads(applied.stdout)["id"])
        time.sleep(pause_seconds)
    raise SystemExit(_describe("apply", applied))


def _describe(verb: str, result: subprocess.CompletedProcess[str]) -> str:
    """Returns why a command failed; with --json the reason is on stdout."""
    output = f"{result.stderr}\n{result.stdout}".strip()
    return f"wayslipctl {verb} exited with {result.returncode}: {output}"


def _print_help() -> None:
    print(
        f"""
wayslip is running.
Callers: 127.0.0.1:8080, 8081. Operators: 127.0.0.1:9080, 9081.

curl -N http://127.0.0.1:8080/v1/chat/completions \\
  -H 'Authorization: Bearer {CALLER_KEY}' \\
  -d '{{"model": "address-normaliser", "stream": true, "max_tokens": 8,
       "messages": [{{"role": "user", "content": "12 Salt Lake"}}]}}'

WAYSLIP_KEY={OPERATOR_KEY} .venv/bin/wayslipctl status

Ctrl-C stops everything.
""",
        flush=True,
    )


def stop(
    stand_ins: list[subprocess.Popen], instances: list[subprocess.Popen]
) -> None:
    """Stops the instances and then the stand-ins, which the instances need."""
    for group in (instances, stand_ins):
        for process in group:
            process.terminate()
        for process in group:
            _wait_for_exit(process)


def _wait_for_exit(process: subprocess.Popen) -> None:
    try:
        process.wait(timeout=_STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        print(f"killing process {process.pid}: it did not exit in time")
        process.kill()


if __name__ == "__main__":
    sys.exit(main())
