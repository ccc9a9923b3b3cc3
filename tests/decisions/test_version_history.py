"""Which version began a stream that no instance remembers.

Guards against a version that is forgotten after some time, or because the
instance did not see it come and go.
"""

import dataclasses

from wayslip.decisions import version_history

ERA = 1


def make_record(*versions, complete=True, era=ERA):
    return version_history.Record(era, complete, {"models": versions})


def follow(history, began, ended):
    """Has the list be current from one time to another."""
    for tick in range(int((ended - began) / 0.25) + 1):
        history.note_list(True, began + tick * 0.25)


def make_history(*listed, record=None, now=100.0):
    """Returns a history that has followed the list and read the record."""
    history = version_history.VersionHistory()
    history.note_listed("models", listed)
    follow(history, now - 10.0, now)
    if record is not None:
        history.note_record(record, ERA, now - 5.0)
    return history


def test_only_version_is_known_by_list_and_record():
    history = make_history("v1", record=make_record("v1"))
    assert history.find_only("models") == "v1"


def test_version_that_left_is_not_forgotten_in_any_time():
    history = make_history("v1", record=make_record("v1"))
    history.note_listed("models", {"v1", "v2"})
    history.note_listed("models", {"v2"})
    follow(history, 100.25, 10_000.0)
    assert history.find_only("models") is None


def test_version_of_the_record_counts_though_it_was_never_listed():
    history = make_history("v2", record=make_record("v1", "v2"))
    assert history.find_only("models") is None


def test_nothing_is_known_without_a_record_or_a_complete_one():
    assert make_history("v1").find_only("models") is None
    record = make_record("v1", complete=False)
    assert make_history("v1", record=record).find_only("models") is None


def test_record_is_read_again_after_the_list_was_not_current():
    history = make_history("v1", record=make_record("v1"))
    assert not history.is_record_due
    history.note_list(False, 100.25)
    assert history.find_only("models") is None
    history.note_list(True, 100.5)
    assert history.is_record_due
    assert history.find_only("models") is None
    history.note_record(make_record("v1"), ERA, 100.6)
    assert history.find_only("models") == "v1"


def test_record_is_read_again_after_the_process_stood_still():
    history = make_history("v1", record=make_record("v1"))
    history.note_list(True, 104.0)
    assert history.is_record_due
    assert history.find_only("models") is None


def test_answer_that_may_be_out_of_date_confirms_nothing():
    history = make_history("v1")
    history.note_record(make_record("v1"), ERA)
    assert not history.has_unrecorded
    assert history.find_only("models") is None


def test_older_answer_does_not_take_a_version_away():
    history = make_history("v2", record=make_record("v1", "v2"))
    history.note_record(make_record("v2"), ERA)
    assert history.find_only("models") is None
    # It is written again if the store lacks it.
    assert history.has_unrecorded


def test_record_is_begun_complete_by_the_first_holder_only():
    history = make_history("v1")
    assert history.has_unrecorded
    first = history.make_record(None, ERA, is_first=True)
    assert first == make_record("v1")
    later = history.make_record(None, ERA, is_first=False)
    assert not later.is_complete


def test_record_gets_what_was_seen():
    history = make_history("v2", record=make_record("v1"))
    assert history.has_unrecorded
    written = history.make_record(make_record("v1"), ERA, is_first=False)
    assert written == make_record("v1", "v2")
    history.note_record(written, ERA, 100.0)
    assert not history.has_unrecorded


def test_record_tells_one_version_from_several_and_no_more():
    history = make_history("v3", record=make_record("v1", "v2"))
    assert not history.has_unrecorded


def test_record_of_a_restored_copy_is_written_again_by_who_knew_it():
    history = make_history("v2", record=make_record("v1", "v2"))
    history.forget_record()
    assert history.has_unrecorded
    copy = make_record("v1")
    written = history.make_record(copy, ERA + 1, is_first=False)
    assert written == make_record("v1", "v2", era=ERA + 1)


def test_record_of_a_restored_copy_is_not_complete_to_a_new_process():
    history = version_history.VersionHistory()
    history.note_listed("models", {"v1"})
    follow(history, 0.0, 10.0)
    copy = make_record("v1")
    history.note_record(copy, ERA + 1, 5.0)
    assert history.find_only("models") is None
    written = history.make_record(copy, ERA + 1, is_first=False)
    assert written == dataclasses.replace(copy)
