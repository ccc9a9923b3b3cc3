"""The platform's names stay in the adapter; only start-up code imports it."""

import pathlib
import re

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "wayslip"
STARTUP_MODULES = {SOURCE / "cli" / "gateway.py"}
PLATFORM_NAMES = re.compile(
    r"wayslip-(request-id|deadline-ms|server-seal|not-executed|target-inst)"
    r"|/wayslip/(objects|report|order|readiness)|target_latency_ms|at_hand",
    re.IGNORECASE,
)


def other_sources():
    for path in SOURCE.rglob("*.py"):
        if "platform" not in path.relative_to(SOURCE).parts:
            yield path


def test_only_start_up_imports_the_adapter():
    importers = {
        path
        for path in other_sources()
        if re.search(
            r"from wayslip\.platform|import wayslip\.platform"
            r"|from wayslip import platform",
            path.read_text(),
        )
    }
    assert importers == STARTUP_MODULES


def test_wire_names_stay_in_the_adapter():
    found = {
        path.name: match.group()
        for path in other_sources()
        if (match := PLATFORM_NAMES.search(path.read_text()))
    }
    assert found == {}


def test_pattern_matches_a_name():
    assert PLATFORM_NAMES.search('b"wayslip-server-seal"')
