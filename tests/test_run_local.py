"""Tests the script behind `make run`: its stop order and its messages.

Guards against stopping the engines together with the instances: on Ctrl-C, the
instances could not finish their streams, and callers got truncated answers.
Also guards against hiding why a first command was refused: with --json,
wayslipctl prints the reason to stdout.
"""

import json
import signal
import subprocess
import sys

import pytest

from scripts import run_local

_ENGINE = """
import pathlib, signal, sys
def end(*_):
    pathlib.Path(sys.argv[1]).write_text("ended")
    sys.exit(0)
signal.signal(signal.SIGTERM, end)
print("up", flush=True)
signal.pause()
"""
_INSTANCE = """
import pathlib, signal, sys, time
def end(*_):
    time.sleep(0.5)
    found = pathlib.Path(sys.argv[1]).exists()
    pathlib.Path(sys.argv[2]).write_text("late" if found else "in time")
    sys.exit(0)
signal.signal(signal.SIGTERM, end)
print("up", flush=True)
signal.pause()
"""


def _start(text, *paths):
    process = subprocess.Popen(
        [sys.executable, "-c", text, *map(str, paths)],
        stdout=subprocess.PIPE,
    )
    assert process.stdout.readline() == b"up\n"
    return process


def test_engines_are_stopped_after_instances(tmp_path):
    engine = _start(_ENGINE, tmp_path / "engine")
    instance = _start(_INSTANCE, tmp_path / "engine", tmp_path / "seen")
    run_local.stop([engine], [instance])
    assert (tmp_path / "seen").read_text() == "in time"
    assert engine.poll() == instance.poll() == 0


def _run(answers):
    """Returns a fake wayslipctl that gives the answers in order."""
    remaining = iter(answers)

    def run(*args):
        code, out = next(remaining)
        return subprocess.CompletedProcess(args, code, out, "")

    return run


def test_refused_command_reports_reason():
    refused = json.dumps({"error": "no quorum", "remedy": "wait"})
    with pytest.raises(SystemExit, match="no quorum"):
        run_local.apply_models(
            _run([(1, refused)] * 3), attempts=3, pause_seconds=0.0
        )


def test_command_refused_at_startup_is_retried():
    refused = (1, "the list of members is not known yet")
    run = _run([refused, (0, json.dumps({"id": "p1"}))])
    assert run_local.apply_models(run, attempts=3, pause_seconds=0.0) == "p1"


def test_second_signal_does_not_interrupt_cleanup():
    # A SIGTERM to the process group arrives twice, because make forwards it
    # too. If signals are not ignored from the first one on, the second raises
    # KeyboardInterrupt during the clean-up, and all processes are left running.
    numbers = (signal.SIGTERM, signal.SIGINT)
    before = [signal.getsignal(n) for n in numbers]
    try:
        run_local.listen_for_signals()
        with pytest.raises(KeyboardInterrupt):
            signal.raise_signal(signal.SIGTERM)
        for number in numbers:
            signal.raise_signal(number)
    finally:
        for number, handler in zip(numbers, before, strict=True):
            signal.signal(number, handler)
