"""Exit codes and messages of the command-line programs."""

import os
import pathlib
import socket
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent


def run(module, *args, **env):
    return subprocess.run(
        [sys.executable, "-m", f"wayslip.cli.{module}", *args],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": "src", **env},
        timeout=60,
    )


@pytest.mark.parametrize("module", ["entry", "control"])
def test_check_validates_and_exits(module):
    done = run(module, "--settings", "examples/instance.toml", "--check")
    assert done.returncode == 0
    assert "valid" in done.stdout


@pytest.mark.parametrize("module", ["entry", "control"])
def test_invalid_settings_print_one_line_and_exit_with_2(module, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('log_level = "loud"')
    done = run(module, "--settings", str(path))
    assert done.returncode == 2
    assert done.stderr.startswith(f"{path}: ")
    assert done.stderr.count("\n") == 1


def test_address_in_use_prints_one_line_and_exits_with_2(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        text = (ROOT / "examples/instance.toml").read_text()
        text = text.replace("127.0.0.1:9080", f"127.0.0.1:{port}")
        path = tmp_path / "taken.toml"
        path.write_text(text)
        done = run("control", "--settings", str(path))
    assert done.returncode == 2
    assert "address cannot be used" in done.stderr
    assert "Traceback" not in done.stderr


def test_help_names_the_exit_codes():
    done = run("ctl", "--help")
    assert done.returncode == 0
    assert "Exit codes" in done.stdout


def test_missing_key_file_or_control_sets_the_exit_code():
    assert run("ctl", "status", WAYSLIP_KEY="").returncode == 2
    assert run("ctl", "apply", "/none", WAYSLIP_KEY="k").returncode == 2
    lost = run("ctl", "--url=http://127.0.0.1:1", "status", WAYSLIP_KEY="k")
    assert lost.returncode == 4
    assert "asking again is safe" in lost.stderr


def test_gateway_ignores_hangups_before_it_imports_libraries():
    # SIGHUP terminated gateways that were still importing their libraries
    # and had not installed a handler.
    done = subprocess.run(
        [
            sys.executable,
            "-X",
            "importtime",
            "-m",
            "wayslip.cli.gateway",
            "--help",
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": "src"},
        timeout=60,
    )
    assert done.returncode == 0
    loaded = [
        line.rpartition("|")[2].strip()
        for line in done.stderr.splitlines()
        if line.startswith("import time:")
    ]
    assert loaded.index("wayslip.cli.hangup") < loaded.index("asyncio")
    assert loaded.index("wayslip.cli.hangup") < loaded.index("docopt")


def test_hangups_are_ignored_once_the_module_is_imported():
    code = (
        "import signal, wayslip.cli.hangup;"
        "signal.raise_signal(signal.SIGHUP); print('alive')"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": "src"},
        timeout=60,
    )
    assert done.stdout.strip() == "alive"
