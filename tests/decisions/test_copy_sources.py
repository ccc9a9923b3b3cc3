"""Tests for the choice of a copy source and for refusing copies."""

import random

from wayslip.decisions import copy_sources

_PEERS = [f"10.0.0.{n}:1" for n in range(400)]


def _count_holder_requests(count):
    """Returns how many instances of a fleet ask the lease holder first."""
    rng = random.Random(3)
    holder = _PEERS[0]
    found = [
        copy_sources.choose_source(holder, _PEERS[:count], rng)
        for _ in range(count)
    ]
    return found.count(holder)


def test_requests_to_the_holder_do_not_grow_with_the_fleet():
    assert _count_holder_requests(12) == 12
    assert 10 < _count_holder_requests(60) < 40
    assert 10 < _count_holder_requests(400) < 40


def test_without_a_holder_or_peers():
    rng = random.Random(1)
    assert copy_sources.choose_source(None, [], rng) is None
    assert copy_sources.choose_source("a:1", [], rng) == "a:1"
    assert copy_sources.choose_source("a:1", ["a:1"], rng) == "a:1"
    assert copy_sources.choose_source(None, ["b:1"], rng) == "b:1"


def test_copies_use_half_of_the_link():
    free_at = copy_sources.plan_sending(0.0, 10.0, 50_000, 1_000_000.0)
    assert free_at == 10.1


def test_copy_that_would_wait_for_others_is_refused():
    times = []
    free_at = 0.0
    while free_at is not None:
        times.append(free_at)
        free_at = copy_sources.plan_sending(free_at, 10.0, 130_000, 625_000.0)
    # A copy of 0.13 MB takes 0.42 s of half a link of 5 Mbit/s.
    assert len(times) == 2
    assert copy_sources.plan_sending(times[-1], 10.2, 1, 1.0) is not None
