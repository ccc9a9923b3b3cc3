"""The platform's words stay in the adapter, and only start-up code uses it."""

import pathlib
import re

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "wayslip"
STARTERS = {SOURCE / "cli" / "gateway.py"}
WORDS = re.compile(
    r"wayslip-(request-id|deadline-ms|server-seal|not-executed|target-inst)"
    r"|/wayslip/(objects|report|order|readiness)|target_latency_ms|at_hand",
    re.IGNORECASE,
)


def outside():
    for path in SOURCE.rglob("*.py"):
        if "platform" not in path.relative_to(SOURCE).parts:
            yield path


def test_only_start_up_imports_the_adapter():
    importers = {
        path
        for path in outside()
        if re.search(
            r"from wayslip\.platform|import wayslip\.platform"
            r"|from wayslip import platform",
            path.read_text(),
        )
    }
    assert importers == STARTERS


def test_names_of_the_wire_stay_in_the_adapter():
    found = {
        path.name: match.group()
        for path in outside()
        if (match := WORDS.search(path.read_text()))
    }
    assert found == {}


def test_the_check_sees_a_name():
    assert WORDS.search('b"wayslip-server-seal"')
