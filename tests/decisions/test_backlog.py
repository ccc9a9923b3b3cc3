"""Tests for the backlog of unread prompts by priority."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wayslip.decisions import backlog

LEVELS = st.lists(st.floats(0, 20), max_size=4).map(tuple)


def test_urgent_request_does_not_wait_for_less_urgent_ones():
    # Counting a batch of 4 s at a lower priority in full caused 126 urgent
    # requests to be refused that would have waited for 0.4 s.
    waiting = backlog.add(
        backlog.of_request(2, 4.0), backlog.of_request(0, 0.2)
    )
    assert backlog.seconds_ahead(waiting, 0) == pytest.approx(0.4)
    assert backlog.seconds_ahead(waiting, 1) == pytest.approx(0.4)
    assert backlog.seconds_ahead(waiting, 2) == pytest.approx(4.2)


@given(LEVELS, LEVELS)
def test_subtract_undoes_add(first, second):
    whole = backlog.add(first, second)
    left = backlog.subtract(whole, second)
    assert sum(left) == pytest.approx(sum(first), abs=0.01)
    assert backlog.subtract(whole, whole) == backlog.EMPTY


@given(LEVELS)
def test_less_urgent_requests_never_wait_less(levels):
    waits = [
        backlog.seconds_ahead(levels, p) for p in range(backlog.PRIORITIES)
    ]
    assert waits == sorted(waits)


def test_priorities_are_clamped():
    assert len(backlog.of_request(99, 1.0)) == backlog.PRIORITIES
    assert backlog.of_request(-1, 1.0) == (1.0,)
