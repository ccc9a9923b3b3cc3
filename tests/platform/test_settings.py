import pytest

from wayslip import errors
from wayslip.decisions import quota
from wayslip.platform import settings

TEXT = """
node_name = "front-1"
ip = "10.1.0.38"
zone = "hall-1"
internal_ports = [7380, 7395]
some_new_field = 1
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[bounds]
lease_ms = 3000
budget_ratio = 0.2
[platform]
address = "10.200.1.7:8142"
"""


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    options = settings.load(path)
    assert options.peers == "10.1.0.38:7380"
    assert options.metrics_port == 7381
    assert options.bounds.lease == 3.0
    assert options.bounds.grace == 8.0
    # An unresponsive watch is detected, and replaced by a read, within the
    # allowed 2 s.
    assert 0 < options.bounds.watch < options.bounds.max_staleness < 2.0
    assert options.cores == 1.0


def test_bounds_on_keys_and_quotas_are_read(tmp_path):
    path = tmp_path / "settings.toml"
    bounds = """[bounds]
revoke_strict = true
revoke_ms = 5000
quota_window_s = 8
quota_over = 0.1
quota_slack = 17000
"""
    path.write_text(TEXT.replace("[bounds]\n", bounds))
    found = settings.load(path).bounds
    assert found.revocation == 5.0
    assert found.allowance == quota.Allowance(8.0, 0.1, 17_000.0)
    path.write_text(TEXT)
    assert settings.load(path).bounds.revocation is None


@pytest.mark.parametrize(
    "text, word",
    [
        ("[", "name a readable"),
        (TEXT.replace("zone", "zoo"), "'zone'"),
        (TEXT.replace("[7380, 7395]", "[]"), "correct that field"),
    ],
)
def test_bad_settings_give_one_line_and_a_remedy(tmp_path, text, word):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError, match=word.strip("'")) as caught:
        settings.load(path)
    assert "\n" not in str(caught.value)


def test_missing_file(tmp_path):
    with pytest.raises(errors.SettingsError):
        settings.load(tmp_path / "none.toml")
