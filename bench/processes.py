"""Starts stand-ins and daemons as processes for benchmarks and soak tests."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import urllib3

from standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "object-token-of-benches"
CALLER_KEY = "caller-key-of-benches-1"
OPERATOR_KEY = "operator-key-of-benches"
_START_SECONDS = 60.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_HTTP = urllib3.PoolManager(retries=False, timeout=20.0)


def fetch(
    method: str, url: str, body: Any = None, key: str = OPERATOR_KEY
) -> Any:
    """Returns the JSON answer of a call; raises for an error status."""
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {key}"}
    answer = _HTTP.request(method, url, body=data, headers=headers)
    if answer.status >= 400:
        raise RuntimeError(f"{method} {url}: {answer.status} {answer.data!r}")
    return json.loads(answer.data)


def wait_until(condition: Any, what: str) -> None:
    """Waits until a condition holds; its I/O errors count as not yet."""
    limit = time.monotonic() + _START_SECONDS
    while True:
        try:
            if condition():
                return
        except (urllib3.exceptions.HTTPError, OSError, RuntimeError):
            pass
        if time.monotonic() > limit:
            raise RuntimeError(f"timed out waiting for: {what}")
        time.sleep(0.05)


class Process:
    """A child process, with its processor time and memory from /proc."""

    def __init__(self, name: str, args: list[str], log: Any) -> None:
        self.name = name
        env = {**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}"}
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *args],
            env=env,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    @property
    def cpu_seconds(self) -> float:
        """User and system processor time since the process started."""
        text = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND

    @property
    def memory_mib(self) -> float:
        """Current resident memory."""
        text = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        line = next(x for x in text.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has exited."""
        if self.is_running:
            self.popen.send_signal(number)


class Fleet:
    """Stand-ins and instances as processes; kills them on context exit."""

    def __init__(self, sections: dict[str, Any] | None = None) -> None:
        self._sections = sections or {}
        self._dir = tempfile.TemporaryDirectory(prefix="wayslip-")
        self.log = open(f"{self._dir.name}/log", "ab")  # noqa: SIM115
        self.processes: dict[str, Process] = {}
        self.object_port = ports.find_free()
        self.objects_url = f"http://127.0.0.1:{self.object_port}"
        self.addresses: dict[str, str] = {}
        self.seeds: list[str] = []
        self.start(
            "objects",
            "standins.objects",
            "--port",
            str(self.object_port),
            "--token",
            TOKEN,
        )

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: Any) -> None:
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        self.log.close()
        self._dir.cleanup()

    @property
    def log_path(self) -> pathlib.Path:
        """The file with the logs of all processes."""
        return pathlib.Path(self._dir.name) / "log"

    def start(self, name: str, *args: str) -> Process:
        """Starts a process; it replaces an exited one of the same name."""
        self.processes[name] = Process(name, list(args), self.log)
        return self.processes[name]

    # Stand-ins

    def start_engine(self, name: str, capacity: int, *args: str) -> None:
        """Starts an engine and adds it to the platform's list of endpoints."""
        port = ports.find_free()
        self.addresses[name] = f"127.0.0.1:{port}"
        self.start(
            name,
            "standins.engine",
            "--port",
            str(port),
            "--capacity",
            str(capacity),
            *args,
        )
        self.list_endpoint(
            name, "engine", capacity, checks_fence="--no-fence" not in args
        )

    def start_service(self, name: str, *args: str) -> None:
        """Starts a service and adds it to the platform's list of endpoints."""
        port = ports.find_free()
        self.addresses[name] = f"127.0.0.1:{port}"
        self.start(name, "standins.service", "--port", str(port), *args)
        self.list_endpoint(name, "service", 0)

    def list_endpoint(
        self,
        name: str,
        role: str,
        capacity: int,
        phase: str = "live",
        checks_fence: bool = True,
    ) -> None:
        """Adds or replaces an endpoint in the platform's list."""
        spec = {
            "name": name,
            "role": role,
            "address": self.addresses[name],
            "data_hall": "salt-lake",
            "capacity": capacity,
            "phase": phase,
            "checks_fence": checks_fence,
        }
        url = f"{self.objects_url}/apis/wayslip.io/v1/endpoints"
        body = {"metadata": {"name": name}, "spec": spec}

        def put() -> bool:
            with contextlib.suppress(RuntimeError):
                fetch("DELETE", f"{url}/{name}", key=TOKEN)
            fetch("POST", url, body, TOKEN)
            return True

        wait_until(put, f"{name} listed")

    # Instances

    def add_instance(self, name: str, programs: tuple[str, ...]) -> None:
        """Writes an instance's settings and starts some of its daemons."""
        for program in ("entry", "control"):
            for use in ("peers", "operators"):
                port = ports.find_free()
                self.addresses[f"{program}/{name}/{use}"] = f"127.0.0.1:{port}"
        self.addresses[f"entry/{name}"] = f"127.0.0.1:{ports.find_free()}"
        first = programs[0]
        self.seeds.append(self.addresses[f"{first}/{name}/peers"])
        path = pathlib.Path(self._dir.name) / f"{name}.toml"
        path.write_text(self._render(name))
        for program in programs:
            self.start_daemon(name, program)

    def start_daemon(self, name: str, program: str) -> Process:
        """Starts a daemon of an instance."""
        path = f"{self._dir.name}/{name}.toml"
        return self.start(
            f"{program}/{name}",
            f"wayslip.cli.{program}",
            "--settings",
            path,
        )

    def _render(self, name: str) -> str:
        sections: dict[str, Any] = {
            "instance": {
                "name": name,
                "data_hall": "salt-lake",
                "region": "kolkata-east",
            },
            "entry": {
                "callers": self.addresses[f"entry/{name}"],
                "operators": self.addresses[f"entry/{name}/operators"],
                "peers": self.addresses[f"entry/{name}/peers"],
            },
            "control": {
                "operators": self.addresses[f"control/{name}/operators"],
                "peers": self.addresses[f"control/{name}/peers"],
            },
            "objects": {"url": self.objects_url, "token": TOKEN},
            "security": {
                "peer_key": "peer-key-of-the-benches",
                "resume_key": "resume-key-of-the-benches",
            },
            "peers": {"seeds": self.seeds[:3]},
            "drain": {"balancer_seconds": 0.2, "finish_seconds": 60.0},
        }
        for section, changes in self._sections.items():
            sections[section] = {**sections.get(section, {}), **changes}
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in values.items()]
        lines += [
            "[[callers]]",
            'name = "bench"',
            f'key = "{CALLER_KEY}"',
            "max_in_flight = 5000",
            "[[operators]]",
            'name = "bench"',
            f'key = "{OPERATOR_KEY}"',
        ]
        return "\n".join(lines) + "\n"

    def apply(self, instance: str, intent: str) -> str:
        """Applies an intent file's text and waits until its plan is done."""
        address = self.addresses[f"control/{instance}/operators"]
        url = f"http://{address}/v1/plans"
        plan = ""

        def propose() -> bool:
            nonlocal plan
            plan = fetch("POST", url, intent.encode())["id"]
            return True

        wait_until(propose, "a plan")
        fetch("POST", f"{url}/{plan}/confirm")

        def is_done() -> bool:
            progress = fetch("GET", f"{url}/{plan}")["progress"]
            return bool(progress["done"] == progress["total"])

        wait_until(is_done, "the plan's steps")
        return plan

    def wait_ready(self, instance: str, models: int) -> None:
        """Waits until an entry knows of enough resident models.

        Args:
            instance: The entry's instance.
            models: Least number of resident models, summed over the engines.
        """
        address = self.addresses[f"entry/{instance}/operators"]

        def is_ready() -> bool:
            state = fetch("GET", f"http://{address}/state")
            known = state["endpoints"]["is"].values()
            held = sum(
                len((e["report"] or {}).get("resident", [])) for e in known
            )
            return bool(state["generation"]) and held >= models

        wait_until(is_ready, f"{instance} ready")
