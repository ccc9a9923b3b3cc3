"""Positions in a history that a restore from a copy may set back."""

import hypothesis
from hypothesis import strategies

from wayslip.decisions import lease
from wayslip.decisions import position

ERAS = strategies.integers(0, 8000)
REVISIONS = strategies.integers(0, 2**40 - 1)


@hypothesis.given(ERAS, REVISIONS, ERAS, REVISIONS)
def test_positions_are_ordered_by_era_and_then_by_revision(e1, r1, e2, r2):
    first, second = position.make(e1, r1), position.make(e2, r2)
    assert (first < second) is ((e1, r1) < (e2, r2))
    assert position.find_era(first) == e1
    assert position.find_revision(first) == r1


def test_position_without_an_era_is_the_revision():
    assert position.make(0, 77) == 77


def test_token_of_a_high_era_is_exact_as_floating_point():
    token = position.make(8000, 2**40 - 1)
    assert int(float(token)) == token


@hypothesis.given(strategies.integers(0, 10**7), ERAS)
def test_terms_of_a_new_era_are_above_all_earlier_terms(term, era):
    # An instance that takes the lease from a restored store may not know the
    # last terms of the previous era.
    last = lease.next_term(term, era)
    assert last > term
    if last < (era + 1) * 1_000_000:
        assert lease.next_term(0, era + 1) > last


def claim(token, holder="g1"):
    return lease.Claim("e1", holder, token)


def test_claim_of_a_restored_store_does_not_replace_a_later_one():
    known = lease.ObservedClaim(claim(9), position.make(1, 50), 3.0)
    seen = lease.observe_claim(known, claim(4, "g2"), position.make(2, 20), 8.0)
    assert seen == lease.ObservedClaim(claim(9), position.make(2, 20), 3.0)


def test_claim_written_after_a_restore_replaces_the_known_one():
    known = lease.ObservedClaim(claim(9), position.make(1, 50), 3.0)
    late = claim(position.make(2, 15), "g2")
    seen = lease.observe_claim(known, late, position.make(2, 20), 8.0)
    assert seen == lease.ObservedClaim(late, position.make(2, 20), 8.0)
