import pathlib
import tomllib

import pytest

from wayslip import errors
from wayslip import settings

EXAMPLES = sorted(pathlib.Path("examples").glob("instance*.toml"))


def parse(change=lambda values: None):
    values = tomllib.loads(EXAMPLES[0].read_text())
    change(values)
    return settings.parse_settings(values, "x.toml")


@pytest.mark.parametrize("path", EXAMPLES, ids=str)
def test_examples_are_valid(path):
    settings.load_settings(str(path))


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (lambda v: v.update(extra=1), "extra"),
        (lambda v: v["instance"].update(nme="x"), "instance.nme"),
        (lambda v: v["entry"].update(callers="nowhere"), "entry.callers"),
        (lambda v: v["instance"].pop("region"), "instance.region"),
        (lambda v: v["security"].update(peer_key="short"), "security.peer_key"),
        (lambda v: v["callers"][0].update(priority="none"), "priority"),
        (lambda v: v["security"].update(certificate="c"), "security"),
        (lambda v: v.update(peers={"period": -1}), "peers.period"),
    ],
)
def test_error_for_invalid_settings_names_file_key_and_remedy(change, key):
    with pytest.raises(errors.SettingsError) as caught:
        parse(change)
    text = str(caught.value)
    assert text.startswith("x.toml: ")
    assert key in text
    assert ";" in text
    assert "\n" not in text
