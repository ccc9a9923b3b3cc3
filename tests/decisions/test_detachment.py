"""Tests for detached operation while the store is unreachable."""

from wayslip.decisions import detachment

PROPOSED = detachment.Detachment(9.0)
GRANTED = detachment.Detachment(9.0, True)


def disconnected(echoed_at=9.9):
    return detachment.PeerStatus(echoed_at, True)


def connected(echoed_at=9.9):
    return detachment.PeerStatus(echoed_at, False)


def test_it_is_proposed_when_all_instances_are_disconnected():
    proposed = detachment.NONE.judge(
        [disconnected(), disconnected()], False, 10.0
    )
    assert proposed == detachment.Detachment(10.0)
    answer = detachment.NONE.judge([disconnected(), connected()], False, 10.0)
    assert answer == detachment.NONE


def test_it_is_granted_when_all_have_received_the_proposal():
    pending = PROPOSED.judge(
        [disconnected(9.2), disconnected(8.99)], False, 9.5
    )
    assert not pending.is_granted
    complete = pending.judge([disconnected(9.2), disconnected(9.3)], False, 9.5)
    assert complete == GRANTED


def test_every_status_must_be_recent():
    proposed = detachment.Detachment(5.0, True)
    old = 10.0 - detachment.STATUS_LIFETIME_SECONDS - 0.01
    answer = proposed.judge([disconnected(), disconnected(old)], False, 10.0)
    assert answer == detachment.Detachment(5.0, False)


def test_old_status_pauses_orders_and_keeps_the_proposal():
    paused = GRANTED.judge([disconnected(), disconnected(8.9)], False, 10.0)
    assert paused == PROPOSED
    assert (
        paused.judge([disconnected(), disconnected(9.95)], False, 10.1)
        == GRANTED
    )


def test_paused_holder_yields_at_once_to_a_connected_instance():
    paused = GRANTED.judge([disconnected(), disconnected(8.9)], False, 10.0)
    answer = paused.judge([disconnected(), connected()], False, 10.1)
    assert answer == detachment.NONE


def test_missing_instance_withdraws_the_grant():
    assert GRANTED.judge([disconnected()], True, 10.0) == detachment.NONE


def test_holder_without_peers_is_granted():
    assert detachment.NONE.judge([], False, 10.0).is_granted


def test_deserted_holder_is_not_granted():
    # Guards against two holders that order an engine by turns.
    assert GRANTED.judge([], False, 10.0, True) == detachment.NONE


def test_connected_instance_withdraws_a_proposal():
    answer = PROPOSED.judge([connected()], False, 10.0)
    assert answer == detachment.NONE


def test_granted_holder_yields_after_a_delay():
    first = GRANTED.judge([disconnected(), connected()], False, 10.0)
    assert first.is_granted
    second = first.judge([disconnected(), connected(10.4)], False, 10.5)
    assert second.is_granted
    third = second.judge([connected(10.8), connected(10.8)], False, 10.9)
    assert third == detachment.NONE


def test_yield_delay_restarts_after_the_store_is_lost_again():
    first = GRANTED.judge([disconnected(), connected()], False, 10.0)
    assert first.judge([disconnected(), disconnected()], False, 10.2) == GRANTED


def test_grant_ends_before_other_instances_stop_holding_off():
    # Other instances received the holder's last message at 0 or later; their
    # answers to it are valid for STATUS_LIFETIME_SECONDS after it was sent.
    granted = detachment.Detachment(0.0, True)
    assert granted.judge(
        [disconnected(0.0)], False, detachment.STATUS_LIFETIME_SECONDS
    ).is_granted
    late = detachment.STATUS_LIFETIME_SECONDS + 0.01
    assert not granted.judge([disconnected(0.0)], False, late).is_granted
    assert late < detachment.HOLD_OFF_SECONDS
