"""What the deployment installs for the gateway.

Guards against a library that is imported and not installed, with which no
gateway starts.
"""

import json
import os
import pathlib
import re
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[2]
LIST_DISTRIBUTIONS = """
import importlib.metadata, json, sys
import wayslip.cli.gateway
tops = {name.partition(".")[0] for name in sys.modules}
known = importlib.metadata.packages_distributions()
print(json.dumps(sorted({d for top in tops for d in known.get(top, ())})))
"""


def find_command():
    """Returns the words with which the platform starts a gateway."""
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deployed["roles"]["gateway"]["run"].split()


def test_deployed_gateway_ignores_hangups_before_it_finds_packages():
    # Guards against a process that SIGHUP ends in the first 60 ms.
    _, *arguments = find_command()
    path = os.pathsep.join([str(ROOT / "src"), *sys.path])
    done = subprocess.run(
        [sys.executable, "-X", "importtime", *arguments, "--help"],
        capture_output=True,
        check=True,
        text=True,
        env={**os.environ, "PYTHONPATH": path},
    )
    loaded = re.findall(r"^import time:.*\| +(\S+)$", done.stderr, re.MULTILINE)
    before = loaded[: loaded.index("wayslip.cli.hangup")]
    assert "site" not in before


def normalize(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def test_every_library_of_the_gateway_is_deployed():
    listed = (ROOT / "deploy" / "requirements.txt").read_text("utf-8")
    deployed = {normalize(n.partition("==")[0]) for n in listed.split()}
    printed = subprocess.run(
        [sys.executable, "-c", LIST_DISTRIBUTIONS],
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT,
    ).stdout
    imported = {normalize(n) for n in json.loads(printed)}
    # setuptools installs hooks that every process imports.
    assert imported - {"wayslip", "setuptools"} <= deployed
