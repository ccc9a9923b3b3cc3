"""Tests that a message reaches each instance once and relays send few."""

import random

from hypothesis import given
from hypothesis import strategies as st

from wayslip.decisions import fanout


def fleet(sizes):
    return [
        fanout.Peer(f"10.{hall}.0.{n}:7380", f"hall-{hall}")
        for hall, size in enumerate(sizes)
        for n in range(size)
    ]


@given(
    st.lists(st.integers(0, 120), min_size=1, max_size=10), st.integers(0, 99)
)
def test_every_instance_is_reached_exactly_once(sizes, seed):
    peers = fleet(sizes)
    branches = fanout.plan(peers, random.Random(seed))
    reached = [a for b in branches for a in (b.relay, *b.recipients)]
    assert sorted(reached) == sorted(p.address for p in peers)


@given(
    st.lists(st.integers(0, 120), min_size=1, max_size=10), st.integers(0, 99)
)
def test_relays_forward_to_few_instances_of_their_data_hall(sizes, seed):
    peers = fleet(sizes)
    halls = {p.address: p.data_hall for p in peers}
    for branch in fanout.plan(peers, random.Random(seed)):
        assert len(branch.recipients) <= fanout.MAX_RELAY_RECIPIENTS
        assert all(halls[a] == halls[branch.relay] for a in branch.recipients)


def test_small_fleet_is_reached_without_relays():
    branches = fanout.plan(fleet([5, 4]), random.Random(1))
    assert len(branches) == 9
    assert not any(b.recipients for b in branches)


def test_relays_change_from_one_message_to_the_next():
    peers = fleet([30, 30, 30])
    rng = random.Random(5)
    relays = [
        frozenset(b.relay for b in fanout.plan(peers, rng)) for _ in range(5)
    ]
    assert len(set(relays)) == 5
    assert all(len(r) == 9 for r in relays)
