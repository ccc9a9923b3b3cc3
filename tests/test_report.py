import pytest

from wayslip import errors
from wayslip import report
from wayslip.cli import ctl

LINES = [
    "i1 time=10.2 level=info event=ended request=r1 outcome=answered route=a"
    " organisation=shop first_after=0.100",
    "i1 time=10.4 level=info event=ended request=r2 outcome=answered route=a"
    " organisation=bank first_after=0.300",
    "i2 time=11.9 level=warning event=ended request=r3 outcome=not_loaded"
    ' route=a organisation=shop first_after=""',
    "i2 time=12.0 level=warning event=ended request=r4 outcome=over_quota"
    ' route=b organisation=shop first_after=""',
    "i2 time=12.0 level=info event=chosen request=r5 route=b",
    "a line of another program",
]


def test_groups_with_the_most_lost_requests_come_first():
    shop, bank = report.summarize(LINES, "organisation")
    assert (shop.key, shop.total, shop.lost) == ("shop", 3, 2)
    assert shop.outcomes == {"answered": 1, "not_loaded": 1, "over_quota": 1}
    assert (bank.key, bank.lost, bank.first) == ("bank", 0, 0.3)


def test_groups_by_second_are_in_order_of_time():
    keys = [group.key for group in report.summarize(LINES, "second")]
    assert keys == ["10", "12"]


def test_instance_is_the_word_before_the_pairs():
    assert [g.key for g in report.summarize(LINES, "instance")] == ["i2", "i1"]


def test_error_for_an_unknown_field_lists_the_known_fields():
    with pytest.raises(errors.BadRequestError, match="give one of route"):
        report.summarize(LINES, "colour")


def test_command_prints_a_table(tmp_path, capsys, monkeypatch):
    log = tmp_path / "log"
    log.write_text("\n".join(LINES))
    words = ["wayslipctl", "report", "--by=route", str(log)]
    monkeypatch.setattr("sys.argv", words)
    with pytest.raises(SystemExit) as end:
        ctl.main()
    assert end.value.code == 0
    out = capsys.readouterr().out
    assert "not_loaded 1" in out and out.startswith("route")
