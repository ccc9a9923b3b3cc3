"""Soak test of real processes over loopback under random faults.

    python scripts/soak.py --seconds 120 [--seed 7]

The fault schedule is derived from the seed, which is printed, so that a run
can be repeated. Callers send streaming completions, non-streaming completions
and calls with idempotency keys, and retry through randomly chosen entries. The
exit code is 1 on any violation: a key that ran twice or was reported as
`not-run` although it ran, a complete answer with wrong text, overcommitted
memory, an invariant error or any other error in a log, or a model that does
not answer after the faults.
"""

import argparse
import collections
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import sys
import threading
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from bench import processes  # noqa: E402
from standins import engine as engine_standin  # noqa: E402

INSTANCES = 3
ENGINES = 3
SERVICES = 2
CAPACITY = 100
MEAN_FAULT_INTERVAL_SECONDS = 1.5
CALLERS = 4
KEY_ATTEMPTS = 6
SETTLE_SECONDS = 40.0
_MAX_SHOWN_VIOLATIONS = 20
INTENT = """
[[pools]]
name = "p"
engines = ["e0", "e1", "e2"]
[[models]]
name = "m"
pool = "p"
version = "v1"
replicas = 2
[[versions]]
model = "m"
name = "v1"
size = 30
[[models]]
name = "n"
pool = "p"
version = "v1"
[[versions]]
model = "n"
name = "v1"
size = 40
[[services]]
name = "s"
endpoints = ["s0", "s1"]
requires_key = true
"""
ADD_MODEL = """
[[models]]
name = "x{n}"
pool = "p"
version = "v1"
[[versions]]
model = "x{n}"
name = "v1"
size = {size}
"""
DELETE_MODEL = """
[[delete]]
kind = "model"
name = "x{n}"
[[delete]]
kind = "version"
name = "x{n}@v1"
"""


@dataclasses.dataclass(frozen=True)
class Fault:
    """A scheduled fault.

    Attributes:
        at: Seconds after the start.
        kind: One of FAULTS.
        target: Number from which the affected process is chosen.
        length: Seconds until the fault is reverted, if it can be.
    """

    at: float
    kind: str
    target: int
    length: float


FAULTS = (
    "kill entry",
    "kill control",
    "pause entry",
    "pause control",
    "stop entry",
    "store down",
    "store slow",
    "store loses answers",
    "store stale",
    "store skips events",
    "restart engine",
    "engine loses answers",
    "cut streams",
    "engine leaves",
    "service cut before",
    "service cut after",
    "service slow",
    "operators race",
)


def make_schedule(seconds: float, rng: random.Random) -> list[Fault]:
    """Returns the faults of a run; they may overlap."""
    schedule = []
    at = 1.0
    while at < seconds:
        kind = rng.choice(FAULTS)
        length = rng.uniform(0.3, 4.0)
        schedule.append(Fault(at, kind, rng.randrange(3), length))
        at += rng.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS)
    return schedule


class Oracle:
    """Records the outcomes that callers saw and checks them at the end."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.outcomes: dict[str, list[str]] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []

    def count(self, name: str) -> None:
        """Counts an event."""
        with self.lock:
            self.counts[name] += 1

    def add_violation(self, text: str) -> None:
        """Records a violation."""
        with self.lock:
            self.violations.append(text)

    def record_outcome(self, run_id: str, outcome: str) -> None:
        """Records the outcome that a caller received for a run id."""
        with self.lock:
            self.outcomes.setdefault(run_id, []).append(outcome)
            self.counts[f"key {outcome}"] += 1

    def check_runs(self, runs: dict[str, int]) -> None:
        """Compares the reported outcomes with the executions at the services.

        Args:
            runs: Executions by run id.
        """
        for run_id, reported in self.outcomes.items():
            ran = runs.get(run_id, 0)
            if ran > 1:
                self.add_violation(
                    f"{run_id} ran {ran} times, reported {reported}"
                )
            if "ran" in reported and ran != 1:
                self.add_violation(f"{run_id} reported as ran, ran {ran} times")
            if set(reported) == {"not-run"} and ran:
                self.add_violation(
                    f"{run_id} reported as not-run, ran {ran} times"
                )
            last = reported[-1]
            self.counts[f"keys ended {last}"] += 1


class Callers:
    """Load generator: threads that send, retry and check requests."""

    def __init__(
        self, fleet: processes.Fleet, oracle: Oracle, seed: int
    ) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._seed = seed
        self.stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(work, n), daemon=True)
            for n in range(CALLERS)
            for work in (self._keyed, self._stream, self._whole)
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads; waits until each has its last answer."""
        self.stopping.set()
        for thread in self._threads:
            thread.join(timeout=60)

    def _run(self, work: Any, number: int) -> None:
        rng = random.Random(f"{self._seed}-{work.__name__}-{number}")
        serial = 0
        while not self.stopping.is_set():
            serial += 1
            work(rng, f"{work.__name__}-{number}-{serial}")
            time.sleep(rng.uniform(0.0, 0.1))

    def call(
        self, rng: random.Random, path: str, body: Any, **headers: str
    ) -> http.client.HTTPResponse | None:
        """Calls a random entry; returns None if it does not answer."""
        entry = f"entry/i{rng.randrange(INSTANCES)}"
        host, _, port = self._fleet.addresses[entry].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=8)
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        names["Authorization"] = f"Bearer {processes.CALLER_KEY}"
        try:
            conn.request("POST", path, json.dumps(body), names)
            return conn.getresponse()
        except (OSError, http.client.HTTPException):
            return None

    # Calls with idempotency keys

    def _keyed(self, rng: random.Random, name: str) -> None:
        key = name
        if rng.random() < 0.4:
            key = self._fetch_issued_key(rng) or name
        for _ in range(KEY_ATTEMPTS):
            response = self.call(
                rng, "/v1/services/s/run", {"id": name}, Idempotency_Key=key
            )
            outcome = "unknown"
            if response is not None:
                outcome = response.headers.get("Wayslip-Outcome", "unknown")
                try:
                    response.read()
                except (OSError, http.client.HTTPException):
                    outcome = "unknown"
            self._oracle.record_outcome(name, outcome)
            if outcome == "ran":
                return
            time.sleep(rng.uniform(0.05, 0.4))

    def _fetch_issued_key(self, rng: random.Random) -> str | None:
        response = self.call(rng, "/v1/keys", None)
        if response is None or response.status != 200:
            return None
        try:
            self._oracle.count("keys issued")
            return str(json.loads(response.read())["keys"][0])
        except (OSError, ValueError, http.client.HTTPException):
            return None

    # Completions

    def _whole(self, rng: random.Random, name: str) -> None:
        model = rng.choice("mn")
        body = {"model": model, "prompt": name, "max_tokens": 5}
        response = self.call(rng, "/v1/completions", body)
        if response is None:
            return self._oracle.count("whole no answer")
        try:
            data = response.read()
        except (OSError, http.client.HTTPException):
            return self._oracle.count("whole cut")
        outcome = response.headers.get("Wayslip-Outcome")
        self._oracle.count(f"whole {outcome}")
        if response.status == 200:
            text = json.loads(data)["choices"][0]["text"]
            if text != _expected_text(model, name, 5):
                self._oracle.add_violation(
                    f"{name}: completion with wrong text"
                )
        return None

    def _stream(self, rng: random.Random, name: str) -> None:
        model = rng.choice("mn")
        count = rng.randrange(5, 120)
        body = {
            "model": model,
            "prompt": name,
            "max_tokens": count,
            "stream": True,
        }
        reader = _Reader()
        for _ in range(8):
            headers = {"Last_Event_ID": reader.last} if reader.last else {}
            response = self.call(rng, "/v1/completions", body, **headers)
            if response is None or response.status != 200:
                if reader.last or response is None:
                    time.sleep(0.2)
                    continue
                return self._oracle.count("stream refused")
            if reader.last:
                self._oracle.count("stream resumed by caller")
            leave_at = rng.randrange(1, 200) if rng.random() < 0.3 else 0
            reader.read(response, leave_at)
            if reader.is_done or reader.error:
                break
        expected = _expected_text(model, name, count)
        if reader.is_done and reader.text != expected:
            self._oracle.add_violation(
                f"{name}: complete stream with wrong text"
            )
        if not expected.startswith(reader.text):
            self._oracle.add_violation(f"{name}: events duplicated or lost")
        end = "whole" if reader.is_done else "error" if reader.error else "cut"
        return self._oracle.count(f"stream {end}")


class _Reader:
    """Reads the events of one stream, which may span several connections."""

    def __init__(self) -> None:
        self.last = ""
        self.text = ""
        self.is_done = False
        self.error = ""

    def read(self, response: http.client.HTTPResponse, leave_at: int) -> None:
        """Reads to the end, or closes the connection after some events.

        Args:
            response: The answer to a request for the stream.
            leave_at: Number of events after which to close; 0 for never.
        """
        events = 0
        fields: dict[str, str] = {}
        try:
            while line := response.readline():
                if line != b"\n":
                    name, _, value = line.decode().rstrip("\n").partition(": ")
                    # Repeated names are joined, so that two events merged
                    # into one do not pass as a valid event.
                    fields[name] = fields.get(name, "") + value
                    continue
                self._process_event(fields)
                fields = {}
                events += 1
                if events == leave_at:
                    break
        except (OSError, http.client.HTTPException, ValueError):
            pass
        response.close()

    def _process_event(self, fields: dict[str, str]) -> None:
        self.last = fields.get("id", self.last)
        if "event" in fields:
            self.error = fields["data"]
        elif fields.get("data") == "[DONE]":
            self.is_done = True
        else:
            choice = json.loads(fields["data"])["choices"][0]
            self.text += choice["text"]


def _expected_text(model: str, prompt: str, count: int) -> str:
    words = engine_standin.make_words(f"{model}@v1", prompt, count)
    return "".join(words)


class FaultInjector:
    """Injects faults and reverts them."""

    def __init__(self, fleet: processes.Fleet, oracle: Oracle) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._store: dict[str, Any] = {}
        self._added_models: set[int] = set()
        self._serial = 0

    def run(self, schedule: list[Fault], seconds: float) -> None:
        """Runs a schedule; reverts all faults that are left at its end."""
        began = time.monotonic()
        reverts: list[tuple[float, Any]] = []
        pending = list(schedule)
        while time.monotonic() - began < seconds:
            now = time.monotonic() - began
            for due, action in [u for u in reverts if u[0] <= now]:
                reverts.remove((due, action))
                action()
            while pending and pending[0].at <= now:
                fault = pending.pop(0)
                self._oracle.count(f"fault: {fault.kind}")
                revert = self._inject(fault)
                if revert is not None:
                    reverts.append((now + fault.length, revert))
            time.sleep(0.05)
        for _, action in reverts:
            action()
        self._set_store(None)

    def _inject(self, fault: Fault) -> Any:
        what, _, _ = fault.kind.partition(" ")
        name = f"i{fault.target % INSTANCES}"
        match fault.kind.split(" ")[:2]:
            case ["kill", program]:
                return self._signal_daemon(f"{program}/{name}", signal.SIGKILL)
            case ["stop", program]:
                return self._signal_daemon(f"{program}/{name}", signal.SIGTERM)
            case ["pause", program]:
                process = self._fleet.processes[f"{program}/{name}"]
                process.signal(signal.SIGSTOP)
                return lambda: process.signal(signal.SIGCONT)
        if what == "store":
            return self._inject_store_fault(fault)
        if what == "operators":
            return self._race_operators(fault)
        if what == "service":
            return self._inject_service_fault(fault)
        return self._inject_engine_fault(fault)

    def _signal_daemon(self, name: str, number: int) -> Any:
        process = self._fleet.processes[name]
        process.signal(signal.SIGCONT)
        process.signal(number)
        program, _, instance = name.partition("/")

        def revert() -> None:
            process.popen.wait(timeout=90)
            self._fleet.start_daemon(instance, program)

        return revert

    def _set_store(self, change: dict[str, Any] | None) -> None:
        self._store = {} if change is None else {**self._store, **change}
        processes.fetch(
            "POST",
            f"{self._fleet.objects_url}/standin/faults",
            self._store,
            processes.TOKEN,
        )

    def _inject_store_fault(self, fault: Fault) -> Any:
        setting = {
            "store down": ("down", True),
            "store slow": ("delay", 0.4),
            "store loses answers": ("lose", 0.4),
            "store stale": ("stale", 0.5),
            "store skips events": ("skip", 0.5),
        }[fault.kind]
        self._set_store(dict([setting]))

        def revert() -> None:
            self._store.pop(setting[0], None)
            self._set_store({})

        return revert

    def _set_standin(self, name: str, **values: Any) -> None:
        address = self._fleet.addresses[name]
        processes.fetch("POST", f"http://{address}/standin", values)

    def _inject_service_fault(self, fault: Fault) -> Any:
        name = f"s{fault.target % SERVICES}"
        match fault.kind:
            case "service cut before":
                self._set_standin(name, cut_before=2)
            case "service cut after":
                self._set_standin(name, cut_after=2)
            case "service slow":
                self._set_standin(name, delay=0.5)
                return lambda: self._set_standin(name, delay=0.0)
        return None

    def _inject_engine_fault(self, fault: Fault) -> Any:
        name = f"e{fault.target % ENGINES}"
        match fault.kind:
            case "engine loses answers":
                self._set_standin(name, lose_answers=2)
            case "cut streams":
                self._set_standin(name, cut_streams_after=3)
            case "engine leaves":
                self._set_standin(name, state="draining")
                return lambda: self._set_standin(name, state="serving")
            case "restart engine":
                self.check_engine(name)
                return self._restart_engine(name)
        return None

    def check_engine(self, name: str) -> None:
        """Records a violation if an engine was ever overcommitted."""
        address = self._fleet.addresses[name]
        report = processes.fetch("GET", f"http://{address}/report")
        if report["overcommitted"]:
            self._oracle.add_violation(f"{name} overcommitted: {report}")

    def _restart_engine(self, name: str) -> Any:
        process = self._fleet.processes[name]
        process.signal(signal.SIGKILL)
        process.popen.wait()
        args = process.popen.args
        assert isinstance(args, list)
        return lambda: self._fleet.start(name, *args[2:])

    def _race_operators(self, fault: Fault) -> None:
        """Lets two operators confirm plans concurrently.

        The plans are for the same change, so at most one may be confirmed.
        """
        self._serial += 1
        number = self._serial % 4
        intent = DELETE_MODEL if number in self._added_models else ADD_MODEL
        text = intent.format(n=number, size=10 + number)
        plans = []
        for n in (fault.target, fault.target + 1):
            address = self._operators_address(n)
            try:
                url = f"http://{address}/v1/plans"
                plans.append(
                    (url, processes.fetch("POST", url, text.encode())["id"])
                )
            except Exception:
                return
        results: list[bool] = []

        def confirm(url: str, plan: str) -> None:
            try:
                processes.fetch("POST", f"{url}/{plan}/confirm")
                results.append(True)
            except Exception:
                results.append(False)

        threads = [threading.Thread(target=confirm, args=p) for p in plans]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if all(results):
            self._oracle.add_violation(
                "two plans for one change both confirmed"
            )
        if any(results):
            self._added_models ^= {number}
            self._oracle.count("plans confirmed")

    def _operators_address(self, number: int) -> str:
        name = f"control/i{number % INSTANCES}/operators"
        return self._fleet.addresses[name]


def _check_models(fleet: processes.Fleet, oracle: Oracle, callers: Any) -> None:
    """Checks that each model answers ten calls in a row after the faults."""
    rng = random.Random(0)
    limit = time.monotonic() + SETTLE_SECONDS
    for model in "mn":
        streak = 0
        while streak < 10 and time.monotonic() < limit:
            body = {"model": model, "prompt": "end", "max_tokens": 2}
            response = callers.call(rng, "/v1/completions", body)
            good = response is not None and response.status == 200
            streak = streak + 1 if good else 0
            if not good:
                time.sleep(0.2)
        if streak < 10:
            oracle.add_violation(
                f"model {model} did not answer after the faults"
            )


def _check_logs(fleet: processes.Fleet, oracle: Oracle) -> None:
    for line in fleet.log_path.read_text(errors="replace").splitlines():
        if "InvariantError" in line or "level=error" in line:
            oracle.add_violation(f"log: {line[:600]}")


def _check_runs(fleet: processes.Fleet, oracle: Oracle) -> None:
    runs: collections.Counter[str] = collections.Counter()
    for n in range(SERVICES):
        address = fleet.addresses[f"s{n}"]
        url = f"http://{address}/standin/runs"
        runs.update(processes.fetch("GET", url))
    oracle.check_runs(runs)


def main() -> int:
    """Runs the soak test; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--keep-log", default="")
    args = parser.parse_args()
    seed = time.time_ns() % 1_000_000 if args.seed is None else args.seed
    print(f"seed={seed} seconds={args.seconds:g}", flush=True)
    oracle = Oracle()
    sections = {
        "placement": {"load_rate": 20.0, "quarantine": 5.0},
        "limits": {"resume_seconds": 3.0},
    }
    with processes.Fleet(sections) as fleet:
        for n in range(ENGINES):
            extra = ["--no-fence"] if n == ENGINES - 1 else []
            fleet.start_engine(f"e{n}", CAPACITY, *extra)
        for n in range(SERVICES):
            fleet.start_service(f"s{n}")
        for n in range(INSTANCES):
            fleet.add_instance(f"i{n}", ("control", "entry"))
        fleet.apply("i0", INTENT)
        for n in range(INSTANCES):
            fleet.wait_ready(f"i{n}", 3)
        callers = Callers(fleet, oracle, seed)
        injector = FaultInjector(fleet, oracle)
        callers.start()
        injector.run(
            make_schedule(args.seconds, random.Random(seed)), args.seconds
        )
        time.sleep(2.0)
        callers.stop()
        _check_models(fleet, oracle, callers)
        for n in range(ENGINES):
            injector.check_engine(f"e{n}")
        _check_runs(fleet, oracle)
        _check_logs(fleet, oracle)
        if args.keep_log:
            pathlib.Path(args.keep_log).write_bytes(fleet.log_path.read_bytes())
    for name, count in sorted(oracle.counts.items()):
        print(f"{name}: {count}")
    for text in oracle.violations[:_MAX_SHOWN_VIOLATIONS]:
        print(f"VIOLATION {text}")
    print(f"violations: {len(oracle.violations)}")
    return 1 if oracle.violations else 0


if __name__ == "__main__":
    sys.exit(main())
