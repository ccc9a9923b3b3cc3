from wayslip.decisions import lease

PENDING = lease.Pending("e1", 0, lease.Action.LOAD, "m1")


def seen(holder, token, revision=5, since=0.0):
    return lease.ObservedClaim(
        lease.Claim("e1", holder, token), revision, since
    )


def test_first_claim_begins_at_the_revision_of_the_lease():
    # A claim that was removed and made anew must not begin at 1 again:
    # an engine that lapsed from the list and came back had seen higher ones.
    claim = lease.next_claim(None, "g2", PENDING, min_token=812)
    assert claim.token == 812


def test_token_rises_with_every_change_of_holder():
    claim = lease.next_claim(seen("g1", 900), "g2", PENDING, min_token=812)
    assert claim.token == 901
    claim = lease.next_claim(seen("g1", 500), "g2", PENDING, min_token=812)
    assert claim.token == 812


def test_token_stays_with_its_holder():
    claim = lease.next_claim(seen("g1", 901), "g1", PENDING, min_token=812)
    assert claim.token == 901


def test_token_rises_with_a_new_term_of_the_same_holder():
    # g1 held the lease, then g2, which ordered engines while the store was
    # away and so wrote no claims, then g1 again: its own claim was the last
    # in the store, and its orders went on with the token of its first term.
    # Engines had seen g2's. In three of 121 drawn days: 19, 2 and 4 orders.
    claim = lease.next_claim(seen("g1", 500), "g1", PENDING, min_token=812)
    assert claim.token == 812


def test_engine_of_another_holder_rests_for_the_distance():
    min_gap = 3.0
    delay = lease.SEND_LIMIT_SECONDS + min_gap + lease.TRANSIT_SECONDS
    other = seen("g1", 7, since=100.0)
    assert not lease.may_claim(other, "g2", min_gap, 100.0 + delay - 0.01)
    assert lease.may_claim(other, "g2", min_gap, 100.1 + delay)


def test_own_and_new_engines_need_no_rest():
    assert lease.may_claim(seen("g1", 7, since=100.0), "g1", 3.0, 100.0)
    assert lease.may_claim(None, "g1", 3.0, 100.0)


def test_lease_is_taken_after_it_stood_unchanged():
    value = lease.Lease("g1", "a", 1)
    observed = lease.observe_lease(None, value, 10, now=50.0)
    again = lease.observe_lease(observed, value, 10, now=51.0)
    assert again.since == 50.0
    assert not lease.may_take(again, "g2", 50.0 + lease.EXPIRY_SECONDS - 0.1)
    assert lease.may_take(again, "g2", 50.0 + lease.EXPIRY_SECONDS)
    renewed = lease.observe_lease(again, value.renew(), 11, now=51.0)
    assert not lease.may_take(renewed, "g2", 50.0 + lease.EXPIRY_SECONDS)


def test_lease_is_taken_at_once_if_it_is_free():
    assert lease.may_take(
        lease.ObservedLease(lease.Lease("g1", "a", 1).release(), 10, 50.0),
        "g2",
        50.0,
    )
    own = lease.ObservedLease(lease.Lease("g1", "a", 1), 10, 50.0)
    assert lease.may_take(own, "g1", 50.0)
