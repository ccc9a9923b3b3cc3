import hypothesis
from hypothesis import strategies as st

from wayslip.decisions import freshness

BOUND = 5.0


def make(**fields):
    return freshness.Freshness(BOUND, **fields)


def test_nothing_is_reliable_before_a_confirmation():
    assert not make().is_reliable(0.0)


def test_confirmation_lasts_for_less_than_the_bound():
    known = make(held=3).confirm(3, 100.0)
    assert known.is_reliable(103.8)
    assert not known.is_reliable(104.0)


def test_older_confirmation_does_not_replace_a_newer_one():
    known = make(held=3).confirm(3, 100.0).confirm(3, 90.0)
    assert known.is_reliable(103.8)


def test_confirmation_of_an_older_version_confirms_a_later_one():
    known = make(held=5).confirm(3, 100.0)
    assert known.is_reliable(103.8)


def test_confirmation_of_a_newer_version_counts_once_it_is_held():
    known = make(held=3).confirm(3, 100.0).confirm(4, 103.0)
    # The confirmation of version 3 stays valid.
    assert known.is_reliable(103.8)
    assert not known.is_reliable(104.5)
    assert known.hold(4).is_reliable(104.5)


def test_without_a_bound_the_configuration_is_always_reliable():
    assert freshness.Freshness(None).is_reliable(1e9)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(("change", "read", "vouch", "pause", "take")),
            st.floats(0.0, 3.0),
        ),
        max_size=60,
    )
)
def test_no_version_is_reliable_after_being_replaced_for_the_bound(steps):
    """Random changes, reads, confirmations by a peer and pauses.

    A read shows the newest version when it is sent; its answer may arrive much
    later.
    """
    now, newest, changed_at = 0.0, 1, {1: 0.0}
    known = make()
    for step, seconds in steps:
        if step == "change":
            newest += 1
            changed_at[newest] = now
        elif step in ("read", "vouch"):
            asked_at, version = now, newest
            now += seconds
            if step == "read":
                known = known.hold(version)
            known = known.confirm(version, asked_at)
        elif step == "take":
            known = known.hold(newest)
        else:
            now += seconds
        replaced = changed_at.get(known.held + 1)
        if replaced is not None and now > replaced + BOUND:
            assert not known.is_reliable(now)
