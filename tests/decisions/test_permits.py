"""Permits under the rate limit that an endpoint states."""

import pytest

from wayslip.decisions import permits


def take_all(bucket, times, max_wait=0.0):
    """Requests a permit at each time; returns when granted ones are used."""
    used = []
    for now in times:
        bucket, verdict = bucket.take(max_wait, now)
        if verdict.is_granted:
            used.append(now + verdict.wait)
    return used


def every(seconds, until):
    return [n * seconds for n in range(int(until / seconds))]


@pytest.mark.parametrize("rate", [0.3, 1.0, 1.1, 7.0])
@pytest.mark.parametrize("max_wait", [0.0, 0.4, 5.0])
def test_no_window_exceeds_the_limit_plus_the_burst(rate, max_wait):
    bucket = permits.PermitBucket.begin(rate, 0.0)
    used = take_all(bucket, every(0.01, 40.0), max_wait)
    for at in used:
        came = sum(at <= one < at + 4.0 for one in used)
        assert came <= rate * 4.0 + permits.BURST + 1e-6
    assert len(used) >= rate * 40.0 - 1


def test_first_permit_is_granted_once_it_has_accumulated():
    bucket = permits.PermitBucket.begin(2.0, 0.0)
    assert take_all(bucket, [0.0, 0.49, 0.51]) == [0.51]


def test_refusal_states_when_a_permit_is_available():
    bucket, verdict = permits.PermitBucket.begin(0.5, 0.0).take(0.0, 1.0)
    assert verdict == permits.Verdict(False, pytest.approx(1.0))
    _, verdict = bucket.take(0.0, 2.0)
    assert verdict.is_granted


def test_permits_are_granted_at_most_one_second_in_advance():
    bucket = permits.PermitBucket.begin(10.0, 0.0)
    used = take_all(bucket, [0.0] * 30, 60.0)
    assert len(used) == 10
    assert max(used) <= permits.MAX_ADVANCE_SECONDS


def test_next_permit_is_granted_however_late_it_is():
    used = take_all(permits.PermitBucket.begin(0.2, 0.0), [0.0] * 3, 60.0)
    assert used == [pytest.approx(5.0)]


def test_new_rate_applies_from_its_change():
    bucket = permits.PermitBucket.begin(1.0, 0.0).change_rate(0.1, 0.5)
    assert take_all(bucket, [5.4, 5.6]) == [5.6]


def test_endpoint_with_a_limit_of_zero_is_asked_every_ten_seconds():
    bucket = permits.PermitBucket.begin(0.0, 0.0)
    assert len(take_all(bucket, every(0.1, 60.0))) == pytest.approx(6, abs=1)


@pytest.mark.parametrize("instances", [1, 2, 3, 9, 60, 300])
def test_shares_without_a_holder_sum_to_the_limit(instances):
    draws = [(n + 0.5) / instances for n in range(instances)]
    shares = [permits.find_share(1.0, instances, draw) for draw in draws]
    given = [share for share in shares if share is not None]
    assert sum(given) == pytest.approx(1.0)
    assert len(given) <= permits.MAX_USERS_WITHOUT_HOLDER


def test_permit_that_was_not_used_is_granted_again():
    bucket = permits.PermitBucket.begin(1.0, 0.0)
    bucket, first = bucket.take(0.0, 1.0)
    _, refused = bucket.take(0.0, 1.0)
    _, again = bucket.give_back(1.0).take(0.0, 1.0)
    assert first.is_granted and not refused.is_granted and again.is_granted


def test_returned_permits_do_not_exceed_the_burst():
    bucket = permits.PermitBucket.begin(1.0, 0.0)
    for _ in range(5):
        bucket = bucket.give_back(0.0)
    assert bucket.level.units == permits.BURST
