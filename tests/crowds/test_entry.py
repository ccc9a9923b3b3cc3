"""Crowds of clients at an entry daemon's process.

It may use the memory that the project allows an instance.
"""

import contextlib
import json
import time

import pytest

from standins import engine as engine_standin
from standins import objects as objects_standin
from standins import ports
from standins import service as service_standin
from tests import system as system_module
from tests.crowds import clients
from tests.crowds import processes
from tests.crowds import threads
from wayslip import addresses

_MEMORY_MB = 256
_DESCRIPTORS = 512
_CROWD = 150
_LARGE_BODY_BYTES = 4 * 1024 * 1024
# Of bodies in small chunks, which cost far more than their size.
_SMALL_BODY_BYTES = 64 * 1024
_ATTEMPTS = 5

_SETTINGS = """
[instance]
name = "i0"
data_hall = "salt-lake"
region = "kolkata-east"
[entry]
callers = "{callers}"
operators = "{entry_operators}"
peers = "{entry_peers}"
[control]
operators = "{operators}"
peers = "{control_peers}"
[objects]
url = "http://{objects}"
token = "{token}"
[security]
peer_key = "peer-key-of-the-tests"
resume_key = "resume-key-of-the-tests"
[[callers]]
name = "alice"
key = "{key}"
[[operators]]
name = "olga"
key = "{operator}"
[peers]
seeds = ["{entry_peers}", "{control_peers}"]
[limits]
body_bytes = {body_bytes}
"""
_INTENT = """
[[pools]]
name = "p"
engines = ["e0"]
[[models]]
name = "m"
pool = "p"
version = "v1"
[[versions]]
model = "m"
name = "v1"
size = 40
"""


class _System:
    """Both daemons of an instance, and the process of its entry."""

    def __init__(self, places, entry):
        self.places = places
        self.entry = entry

    def complete(self, size=0):
        """Requests a completion; returns its answer, tried a few times.

        Args:
            size: Bytes of the body, which blanks fill up.
        """
        value = {"model": "m", "prompt": "12 Salt Lake", "max_tokens": 2}
        body = json.dumps(value).encode().ljust(size)
        answer = None
        for _ in range(_ATTEMPTS):
            with contextlib.suppress(OSError):
                answer = system_module.call(
                    self.places["callers"], "POST", "/v1/completions", body
                )
                if answer.status == 200:
                    return answer
            time.sleep(1.0)
        return answer

    def check(self):
        """Checks that the process lives, its memory and an ordinary request."""
        assert self.entry.is_alive, self.entry.log[-2000:]
        assert self.entry.descriptors <= _DESCRIPTORS
        assert self.entry.peak_mb <= _MEMORY_MB
        answer = self.complete()
        assert answer is not None
        assert answer.status == 200, answer.body


def _list_engine(objects, engine):
    spec = {
        "name": "e0",
        "role": "engine",
        "address": engine.address,
        "data_hall": "salt-lake",
        "capacity": 100,
    }
    body = {"metadata": {"name": "e0"}, "spec": spec}
    objects.write("POST", "endpoints", "", body)


def _apply(places):
    """Applies the intent once the daemons have found each other."""
    control = places["operators"]

    def operate(method, path, body=None):
        return system_module.call(
            control, method, path, body, key=system_module.OPERATOR
        )

    def is_proposed():
        with contextlib.suppress(OSError):
            reply = operate("POST", "/v1/plans", _INTENT.encode())
            if reply.status == 200:
                plans.append(reply.json["id"])
        return bool(plans)

    def is_done():
        progress = operate("GET", f"/v1/plans/{plans[0]}").json["progress"]
        return progress["done"] == progress["total"]

    plans = []
    system_module.wait_until(is_proposed, "a plan")
    operate("POST", f"/v1/plans/{plans[0]}/confirm")
    system_module.wait_until(is_done, "the plan's end")


@contextlib.contextmanager
def _run_system(folder, body_bytes):
    objects = objects_standin.ObjectApi(token=system_module.TOKEN).start()
    options = engine_standin.Options(capacity=100, load_seconds=0.0, step=0.005)
    engine = engine_standin.Engine(options).start()
    service = service_standin.Service().start()
    _list_engine(objects, engine)
    names = ("callers", "entry_operators", "entry_peers")
    names += ("operators", "control_peers")
    places = {n: f"127.0.0.1:{ports.find_free()}" for n in names}
    path = folder / "i0.toml"
    path.write_text(
        _SETTINGS.format(
            objects=objects.address,
            token=system_module.TOKEN,
            key=system_module.ALICE,
            operator=system_module.OPERATOR,
            body_bytes=body_bytes,
            **places,
        )
    )

    def start(program):
        log = folder / f"{program}.log"
        arguments = ["-m", f"wayslip.cli.{program}", "--settings", str(path)]
        return processes.Process(log, *arguments)

    with start("control") as control, start("entry") as entry:
        system = _System(places, entry)
        try:
            _apply(places)
            system_module.wait_until(
                lambda: system.complete().status == 200, "a completion"
            )
            yield system
        except AssertionError:
            print(control.log[-1000:])
            raise
    for standin in (engine, service, objects):
        standin.stop()


def _make_head():
    lines = [
        "POST /v1/completions HTTP/1.1",
        "Host: entry.example",
        f"Authorization: Bearer {system_module.ALICE}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def _play(folder, parts, body_bytes):
    with _run_system(folder, body_bytes) as system:
        system.check()
        address = addresses.split_address(system.places["callers"])
        target = clients.Target(address, _make_head(), body_bytes, 32_768)
        # The second crowd finds what the first one left behind.
        for _ in range(2):
            crowd = threads.run_crowd(clients.Crowd(target, parts, _CROWD))
            with crowd:
                crowd.wait_until_sent()
                system.check()
            system.check()


@pytest.mark.parametrize(
    "name",
    [
        "whole_bodies",
        "bodies_short_of_their_end",
        "bodies_in_pieces_short_of_their_end",
        "bodies_announced_far_over_the_limit",
        "whole_bodies_over_the_limit",
        "chunks_without_end",
        "large_chunks_short_of_their_end",
        "heads_of_short_lines_with_a_body_short_of_its_end",
        "heads_of_short_lines_short_of_their_end",
    ],
)
def test_crowd_with_large_requests(name, tmp_path):
    _play(tmp_path, clients.PATTERNS[name], _LARGE_BODY_BYTES)


@pytest.mark.parametrize(
    "name",
    [
        "chunks_of_two_bytes_short_of_their_end",
        "chunks_of_one_byte_short_of_their_end",
    ],
)
def test_crowd_with_small_chunks(name, tmp_path):
    _play(tmp_path, clients.PATTERNS[name], _SMALL_BODY_BYTES)


def test_request_of_legal_size_is_served(tmp_path):
    with _run_system(tmp_path, _LARGE_BODY_BYTES) as system:
        assert system.complete(_LARGE_BODY_BYTES).status == 200
