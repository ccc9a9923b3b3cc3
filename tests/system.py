"""A complete system in one process: stand-ins and daemons on loopback."""

import http.client
import json
import time

from standins import engine as engine_standin
from standins import objects as objects_standin
from standins import ports
from standins import service as service_standin
from wayslip import addresses
from wayslip import settings as settings_module
from wayslip.control import daemon as control_daemon
from wayslip.entry import daemon as entry_daemon
from wayslip.objects import kinds

TOKEN = "object-token-of-tests"
ALICE = "caller-key-of-alice-01"
BOB = "caller-key-of-bob-0001"
OPERATOR = "operator-key-of-tests"
MIB = 1 << 20
WAIT_SECONDS = 40.0

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
size = 40
[[adapters]]
name = "m-a"
model = "m"
version = "v1"
size = 5
[[models]]
name = "n"
pool = "p"
version = "v1"
[[versions]]
model = "n"
name = "v1"
size = 30
[[services]]
name = "s"
endpoints = ["s0", "s1"]
requires_key = true
"""


def grow_intent(name, size=5, replicas=1):
    """Returns an intent for one more model with one version."""
    return f"""
[[models]]
name = "{name}"
pool = "p"
version = "v1"
replicas = {replicas}
[[versions]]
model = "{name}"
name = "v1"
size = {size}
"""


def wait_until(condition, what="the condition"):
    """Waits until a condition holds; fails after WAIT_SECONDS."""
    limit = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(0.01)


class Reply:
    """A complete answer to a test's call."""

    def __init__(self, response, body):
        self.status = response.status
        self.headers = response.headers
        self.body = body

    @property
    def outcome(self):
        return self.headers["Wayslip-Outcome"]

    @property
    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, key=ALICE, **headers):
    """Makes one HTTP call and returns its complete answer."""
    host, port = addresses.split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=WAIT_SECONDS)
    names = {k.replace("_", "-"): v for k, v in headers.items()}
    names["Authorization"] = f"Bearer {key}"
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    conn.request(method, path, data, names)
    response = conn.getresponse()
    try:
        return Reply(response, response.read())
    finally:
        conn.close()


class Stream:
    """A caller's stream of events, read one at a time."""

    def __init__(self, address, path, body, key=ALICE, **headers):
        host, port = addresses.split_address(address)
        self.conn = http.client.HTTPConnection(host, port, timeout=WAIT_SECONDS)
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        names["Authorization"] = f"Bearer {key}"
        self.conn.request("POST", path, json.dumps(body), names)
        self.response = self.conn.getresponse()
        self.last_id = ""
        self.text = ""
        self.is_done = False
        self.error = ""

    def read_event(self):
        """Reads one event; returns whether there was one."""
        lines = []
        try:
            while (line := self.response.readline()) not in (b"", b"\n"):
                lines.append(line.decode().rstrip("\n"))
        except (http.client.HTTPException, OSError):
            return False
        if not lines:
            return False
        self._parse_event(lines)
        return True

    def _parse_event(self, lines):
        fields = dict(line.split(": ", 1) for line in lines)
        # A repeated field would mean that two events were merged into one.
        assert len(fields) == len(lines), lines
        self.last_id = fields.get("id", self.last_id)
        if fields["data"] == "[DONE]":
            self.is_done = True
        elif "event" in fields:
            self.error = fields["data"]
        else:
            self.text += json.loads(fields["data"])["choices"][0]["text"]

    def read_all(self):
        """Reads all events, closes the connection and returns itself."""
        while self.read_event():
            pass
        self.conn.close()
        return self


class System:
    """Stand-ins and instances; a `with` block stops them at its end."""

    def __init__(self, instances=2, engines=3, capacity=100, **options):
        self.objects = objects_standin.ObjectApi(token=TOKEN).start()
        self.engines = {}
        self.services = {}
        self._options = options.pop("sections", {})
        self._engine_options = engine_standin.Options(
            **{
                "capacity": capacity,
                "load_seconds": 0.0,
                "step": 0.005,
                **options,
            }
        )
        for n in range(engines):
            self.add_engine(f"e{n}")
        for n in range(2):
            name = f"s{n}"
            self.services[name] = service_standin.Service().start()
            self._list(name, "service", self.services[name].address, 0)
        self._ports = [ports.find_free() for _ in range(2 * instances)]
        self.entries = []
        self.controls = []
        for n in range(instances):
            self.start_instance(n)

    def add_engine(self, name):
        """Starts an engine and lists it."""
        engine = engine_standin.Engine(self._engine_options).start()
        self.engines[name] = engine
        capacity = self._engine_options.capacity
        self._list(name, "engine", engine.address, capacity)

    def _list(self, name, role, address, capacity, phase="live"):
        spec = {
            "name": name,
            "role": role,
            "address": address,
            "data_hall": "salt-lake",
            "phase": phase,
            "capacity": capacity,
            "checks_fence": self._engine_options.checks_fence,
        }
        body = {"metadata": {"name": name}, "spec": spec}
        self.objects.write("DELETE", "endpoints", name, None)
        self.objects.write("POST", "endpoints", "", body)

    def list_leaving(self, name):
        """Marks an endpoint as leaving in the platform's list."""
        engine = self.engines.get(name) or self.services[name]
        role = "engine" if name in self.engines else "service"
        capacity = self._engine_options.capacity if role == "engine" else 0
        self._list(name, role, engine.address, capacity, "leaving")

    def settings(self, n):
        """Returns the settings of an instance."""
        values = {
            "instance": {
                "name": f"i{n}",
                "data_hall": "salt-lake",
                "region": "kolkata-east",
            },
            "entry": {
                "callers": f"127.0.0.1:{ports.find_free()}",
                "operators": f"127.0.0.1:{ports.find_free()}",
                "peers": f"127.0.0.1:{self._ports[2 * n]}",
            },
            "control": {
                "operators": f"127.0.0.1:{ports.find_free()}",
                "peers": f"127.0.0.1:{self._ports[2 * n + 1]}",
            },
            "objects": {
                "url": f"http://{self.objects.address}",
                "token": TOKEN,
                "timeout": 1.0,
                "watch_seconds": 1.0,
            },
            "security": {
                "peer_key": "peer-key-of-the-tests",
                "resume_key": "resume-key-of-the-tests",
            },
            "callers": (
                {"name": "alice", "key": ALICE},
                {"name": "bob", "key": BOB},
            ),
            "operators": (
                {"name": "olga", "key": OPERATOR},
                {"name": "omar", "key": OPERATOR + "-2"},
            ),
            "peers": {
                "seeds": [f"127.0.0.1:{p}" for p in self._ports],
                "period": 0.1,
                "suspicion": 0.4,
            },
            "routing": {"poll_seconds": 0.05},
            "placement": {
                "period": 0.05,
                "load_rate": 1000.0,
                "quarantine": 1.0,
            },
            "limits": {"worker_threads": 24, "resume_seconds": 0.3},
            "drain": {"balancer_seconds": 0.0, "finish_seconds": 20.0},
        }
        for section, changes in self._options.items():
            values[section] = {**values.get(section, {}), **changes}
        return settings_module.parse_settings(values, "test")

    def start_instance(self, n):
        """Starts both daemons of an instance."""
        settings = self.settings(n)
        control = control_daemon.ControlDaemon(settings)
        entry = entry_daemon.EntryDaemon(settings)
        control.start()
        entry.start()
        self.controls.append(control)
        self.entries.append(entry)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for daemon in (*self.entries, *self.controls):
            if not daemon.stopping.is_set():
                daemon.stop()
        for standin in (*self.engines.values(), *self.services.values()):
            standin.stop()
        self.objects.stop()

    # Calls and checks

    def callers_port(self, n=0):
        """Returns the address on which an entry serves callers."""
        return self.entries[n]._settings.entry.callers

    def operate(self, method, path, body=None, n=0, key=OPERATOR):
        """Makes an operator's call to a control."""
        address = self.controls[n]._settings.control.operators
        return call(address, method, path, body, key=key)

    def apply(self, intent=INTENT):
        """Proposes an intent, confirms the plan and waits until it is done."""
        proposed = self.operate("POST", "/v1/plans", intent.encode())
        assert proposed.status == 200, proposed.body
        plan = proposed.json["id"]
        confirmed = self.operate("POST", f"/v1/plans/{plan}/confirm")
        assert confirmed.status == 200, confirmed.body
        self.wait_done(plan)
        return plan

    def wait_done(self, plan):
        """Waits until a plan is done and all entries see it."""

        def is_done():
            progress = self.operate("GET", f"/v1/plans/{plan}").json["progress"]
            return progress["done"] == progress["total"]

        wait_until(is_done, f"plan {plan} done")
        wait_until(self._entries_see_models, "entries see the models")

    def _entries_see_models(self):
        for entry in self.entries:
            if entry.stopping.is_set():
                continue
            catalog = entry.node.holder.catalog
            for target in catalog.targets.values():
                if not all(
                    entry.view.is_engine_holding(target.engines, i)
                    for i in target.items
                ):
                    return False
            if not catalog.targets or len(entry.node.live()) < 2:
                return False
        return True

    def complete(self, n=0, **body):
        """Requests a completion in one answer."""
        value = {
            "model": "m",
            "prompt": "12 Salt Lake",
            "max_tokens": 4,
            **body,
        }
        return call(self.callers_port(n), "POST", "/v1/completions", value)

    def stream(self, n=0, key=ALICE, headers=None, **body):
        """Requests a completion as a stream."""
        value = {
            "model": "m",
            "prompt": "12 Salt Lake",
            "max_tokens": 20,
            "stream": True,
            **body,
        }
        address = self.callers_port(n)
        return Stream(address, "/v1/completions", value, key, **(headers or {}))

    def run_keyed(self, key, run_id, n=0, **headers):
        """Calls the service with an Idempotency-Key."""
        return call(
            self.callers_port(n),
            "POST",
            "/v1/services/s/run",
            {"id": run_id},
            Idempotency_Key=key,
            **headers,
        )

    def runs(self, run_id):
        """Returns how often the services executed a request."""
        return sum(s.runs[run_id] for s in self.services.values())

    def ledgers(self):
        """Returns the ledgers in the object API, by name."""
        _, listing = self.objects.read("ledgers", "")
        return {
            raw["metadata"]["name"]: kinds.LEDGER.parse(raw["spec"])
            for raw in listing["items"]
        }


def expected_text(model, prompt, count):
    """Returns what an engine answers to a prompt."""
    return "".join(engine_standin.make_words(model, prompt, count))
