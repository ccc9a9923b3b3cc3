"""When the holder may order engines while the store is away."""

from wayslip.decisions import detachment

PROPOSED = detachment.Detachment(9.0)
GRANTED = detachment.Detachment(9.0, True)


def cut(echoed_at=9.9):
    return detachment.PeerStatus(echoed_at, True)


def reaching(echoed_at=9.9):
    return detachment.PeerStatus(echoed_at, False)


def test_it_is_proposed_when_all_are_cut_off():
    proposed = detachment.NONE.judge([cut(), cut()], False, 10.0)
    assert proposed == detachment.Detachment(10.0)
    answer = detachment.NONE.judge([cut(), reaching()], False, 10.0)
    assert answer == detachment.NONE


def test_it_is_granted_when_all_have_heard_the_proposal():
    half = PROPOSED.judge([cut(9.2), cut(8.99)], False, 9.5)
    assert not half.is_granted
    whole = half.judge([cut(9.2), cut(9.3)], False, 9.5)
    assert whole == GRANTED


def test_every_word_must_be_fresh():
    proposed = detachment.Detachment(5.0, True)
    old = 10.0 - detachment.STATUS_LIFETIME_SECONDS - 0.01
    answer = proposed.judge([cut(), cut(old)], False, 10.0)
    assert answer == detachment.Detachment(5.0, False)


def test_old_word_pauses_orders_and_does_not_withdraw_the_proposal():
    paused = GRANTED.judge([cut(), cut(8.9)], False, 10.0)
    assert paused == PROPOSED
    assert paused.judge([cut(), cut(9.95)], False, 10.1) == GRANTED


def test_paused_holder_yields_at_once_to_who_reaches_the_store():
    paused = GRANTED.judge([cut(), cut(8.9)], False, 10.0)
    answer = paused.judge([cut(), reaching()], False, 10.1)
    assert answer == detachment.NONE


def test_a_silent_instance_forbids_it():
    assert GRANTED.judge([cut()], True, 10.0) == detachment.NONE


def test_a_holder_without_peers_may_go_on():
    assert detachment.NONE.judge([], False, 10.0).is_granted


def test_somebody_who_reaches_the_store_withdraws_a_proposal():
    answer = PROPOSED.judge([reaching()], False, 10.0)
    assert answer == detachment.NONE


def test_holder_has_a_moment_to_reach_the_store_itself():
    first = GRANTED.judge([cut(), reaching()], False, 10.0)
    assert first.is_granted
    second = first.judge([cut(), reaching(10.4)], False, 10.5)
    assert second.is_granted
    third = second.judge([reaching(10.8), reaching(10.8)], False, 10.9)
    assert third == detachment.NONE


def test_store_that_goes_away_again_is_forgotten():
    first = GRANTED.judge([cut(), reaching()], False, 10.0)
    assert first.judge([cut(), cut()], False, 10.2) == GRANTED


def test_no_order_of_the_holder_comes_after_others_stop_keeping_away():
    # Heard at 0 at the earliest, the last word of ours counts until ECHO.
    granted = detachment.Detachment(0.0, True)
    assert granted.judge(
        [cut(0.0)], False, detachment.STATUS_LIFETIME_SECONDS
    ).is_granted
    late = detachment.STATUS_LIFETIME_SECONDS + 0.01
    assert not granted.judge([cut(0.0)], False, late).is_granted
    assert late < detachment.HOLD_OFF_SECONDS
