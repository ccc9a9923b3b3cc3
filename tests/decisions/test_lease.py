from wayslip.decisions import lease

PENDING = lease.Pending("e1", 0, lease.Action.LOAD, "m1")


def seen(holder, token, revision=5, since=0.0):
    return lease.ObservedClaim(
        lease.Claim("e1", holder, token), revision, since
    )


def test_first_claim_starts_at_the_revision_of_the_lease():
    # A claim that was removed and created again must not start at 1: an engine
    # that was missing from the list for a time has seen higher tokens.
    claim = lease.next_claim(None, "g2", PENDING, min_token=812)
    assert claim.token == 812


def test_token_increases_with_every_change_of_holder():
    claim = lease.next_claim(seen("g1", 900), "g2", PENDING, min_token=812)
    assert claim.token == 901
    claim = lease.next_claim(seen("g1", 500), "g2", PENDING, min_token=812)
    assert claim.token == 812


def test_token_is_unchanged_for_the_same_holder():
    claim = lease.next_claim(seen("g1", 901), "g1", PENDING, min_token=812)
    assert claim.token == 901


def test_token_increases_with_a_new_term_of_the_same_holder():
    # g1 holds the lease, then g2, then g1 again. g2 sends orders while the
    # store is unreachable, so it writes no claims, and the last claim in the
    # store is g1's own. If g1 continued with the token of its first term, the
    # engines, which have seen g2's higher token, would refuse its orders.
    claim = lease.next_claim(seen("g1", 500), "g1", PENDING, min_token=812)
    assert claim.token == 812


def test_engine_of_another_holder_is_claimed_after_the_minimum_gap():
    min_gap = 3.0
    delay = lease.SEND_LIMIT_SECONDS + min_gap + lease.TRANSIT_SECONDS
    other = seen("g1", 7, since=100.0)
    assert not lease.may_claim(other, "g2", min_gap, 100.0 + delay - 0.01)
    assert lease.may_claim(other, "g2", min_gap, 100.1 + delay)


def test_own_and_unclaimed_engines_are_claimed_at_once():
    assert lease.may_claim(seen("g1", 7, since=100.0), "g1", 3.0, 100.0)
    assert lease.may_claim(None, "g1", 3.0, 100.0)


def test_lease_is_taken_after_it_was_unchanged_until_expiry():
    value = lease.Lease("g1", "a", 1)
    observed = lease.observe_lease(None, value, 10, now=50.0)
    again = lease.observe_lease(observed, value, 10, now=51.0)
    assert again.since == 50.0
    assert not lease.may_take(again, "g2", 50.0 + lease.EXPIRY_SECONDS - 0.1)
    assert lease.may_take(again, "g2", 50.0 + lease.EXPIRY_SECONDS)
    renewed = lease.observe_lease(again, value.renew(), 11, now=51.0)
    assert not lease.may_take(renewed, "g2", 50.0 + lease.EXPIRY_SECONDS)


def test_released_or_own_lease_is_taken_at_once():
    assert lease.may_take(
        lease.ObservedLease(lease.Lease("g1", "a", 1).release(), 10, 50.0),
        "g2",
        50.0,
    )
    own = lease.ObservedLease(lease.Lease("g1", "a", 1), 10, 50.0)
    assert lease.may_take(own, "g1", 50.0)
