"""Paths to endpoints, judged by this instance's and others' attempts."""

import math

from wayslip.decisions import reachability


def make_cut_off():
    """Returns paths of which two are lost since second 10."""
    paths = reachability.Reachability()
    paths.note_opened("e0", 5.0)
    for name in ("e1", "e2"):
        paths.note_failed(name, False, 10.0)
        paths.note_reached_by_peer(name, 10.0)
    return paths


def test_path_is_lost_if_another_instance_connects():
    paths = reachability.Reachability()
    assert not paths.note_failed("e1", False, 1.0)
    assert not paths.is_lost("e1")
    assert paths.note_reached_by_peer("e1", 1.5)
    assert paths.is_lost("e1")
    assert paths.list_lost() == ["e1"]


def test_order_of_both_observations_does_not_matter():
    paths = reachability.Reachability()
    assert not paths.note_reached_by_peer("e1", 1.0)
    assert paths.note_failed("e1", True, 1.4)


def test_endpoint_that_nobody_reaches_has_no_lost_path():
    paths = reachability.Reachability()
    for now in (1.0, 2.0, 3.0):
        paths.note_failed("e1", False, now)
    assert not paths.is_lost("e1")
    assert not paths.is_cut_off


def test_old_success_of_another_instance_shows_nothing():
    paths = reachability.Reachability()
    paths.note_reached_by_peer("e1", 1.0)
    assert not paths.note_failed("e1", False, 3.0)


def test_failure_before_a_success_of_this_instance_shows_nothing():
    paths = reachability.Reachability()
    paths.note_failed("e1", False, 1.0)
    paths.note_opened("e1", 1.2)
    assert not paths.note_reached_by_peer("e1", 1.3)


def test_opened_connection_ends_the_loss():
    paths = make_cut_off()
    assert paths.note_opened("e1", 12.5) == 2.5
    assert not paths.is_lost("e1")
    assert paths.note_opened("e1", 13.0) is None


def test_instance_is_cut_off_until_it_opens_any_connection():
    paths = make_cut_off()
    assert paths.is_cut_off
    paths.note_opened("e0", 11.0)
    assert not paths.is_cut_off
    assert paths.is_lost("e1")


def test_one_lost_path_is_no_cut():
    paths = reachability.Reachability()
    paths.note_failed("e1", False, 1.0)
    paths.note_reached_by_peer("e1", 1.0)
    assert not paths.is_cut_off


def test_two_failures_since_the_last_success_cast_doubt():
    paths = reachability.Reachability()
    paths.note_failed("e1", False, 1.0)
    assert not paths.is_in_doubt(1.0)
    paths.note_failed("e2", False, 1.1)
    assert paths.is_in_doubt(1.2)
    assert not paths.is_in_doubt(9.0)
    paths.note_opened("e3", 1.3)
    assert not paths.is_in_doubt(1.3)


def test_trials_of_a_lost_path_are_spread():
    paths = make_cut_off()
    assert not paths.take_trial("e1", 0.0, 10.1)
    assert paths.take_trial("e1", 0.0, 10.5)
    assert not paths.take_trial("e1", 0.0, 10.6)
    assert paths.take_trial("e1", 0.99, 11.0)
    assert not paths.take_trial("e1", 0.0, 11.6)


def test_silent_path_casts_doubt_on_its_open_connections():
    paths = reachability.Reachability()
    paths.note_failed("e1", True, 3.0)
    paths.note_failed("e1", True, 4.0)
    assert paths.find_trusted_since("e1", True, 4.1) == 3.0
    assert paths.find_trusted_since("e2", True, 4.1) == -math.inf


def test_open_connections_to_all_are_doubted_once_two_paths_are_silent():
    paths = reachability.Reachability()
    paths.note_failed("e1", True, 3.0)
    paths.note_failed("e2", True, 3.2)
    assert paths.find_trusted_since("e3", True, 3.3) == 3.2


def test_refusals_cast_doubt_for_requests_that_may_not_be_repeated():
    paths = make_cut_off()
    assert paths.find_trusted_since("e3", True, 10.0) == -math.inf
    assert paths.find_trusted_since("e3", False, 10.0) == 10.0


def test_opened_connection_ends_the_doubt():
    paths = make_cut_off()
    paths.note_opened("e1", 11.0)
    paths.note_failed("e1", False, 12.0)
    assert paths.find_trusted_since("e1", False, 12.0) == 12.0


def test_forgotten_endpoint_does_not_count():
    paths = make_cut_off()
    paths.forget("e1")
    assert not paths.is_cut_off


def test_connection_opened_before_a_failure_proves_nothing():
    # The links may have been cut in between.
    paths = reachability.Reachability()
    paths.note_opened("e1", 1.0)
    paths.note_failed("e2", False, 1.05)
    assert not paths.has_proof("e2", 1.06)
    paths.note_opened("e1", 1.07)
    assert paths.has_proof("e2", 1.08)
    assert not paths.has_proof("e2", 1.3)


def test_endpoint_fails_until_it_is_reached_again():
    paths = reachability.Reachability()
    assert not paths.is_failing("e1")
    paths.note_failed("e1", True, 1.0)
    assert paths.is_failing("e1")
    paths.note_opened("e1", 2.0)
    assert not paths.is_failing("e1")
