"""Which instances are asked for tunnels."""

import random

import pytest

from wayslip.decisions import fanout
from wayslip.decisions import helpers

HALLS = ("hall-1", "hall-2", "hall-3")
PEERS_IN_HALL = 29


def make_peers(count=PEERS_IN_HALL):
    return [fanout.Peer(f"{h}:{n}", h) for h in HALLS for n in range(count)]


def make(seed=1):
    return helpers.Helpers("hall-1", random.Random(seed))


def ask(table, peers, count, now=0.0, endpoint="e1"):
    """Returns the first peers that a search asks."""
    asked = []
    for _ in range(count):
        asked.append(table.choose(peers, endpoint, asked, now))
    return asked


def test_search_alternates_between_own_data_hall_and_others():
    halls = [p.data_hall for p in ask(make(), make_peers(), 4)]
    assert halls[0] == halls[2] == "hall-1"
    assert "hall-1" not in (halls[1], halls[3])


def test_every_peer_is_asked_once():
    peers = make_peers(2)
    asked = ask(make(), peers, 6)
    assert sorted(p.address for p in asked) == sorted(p.address for p in peers)
    assert make().choose(peers, "e1", asked, 0.0) is None


def test_peers_that_helped_are_asked_first():
    table = make()
    for address in ("hall-2:3", "hall-3:5", "hall-1:7"):
        table.note_opened(address, "e1", 0.0)
    found = {p.address for p in ask(table, make_peers(), 3, 1.0, "e2")}
    assert found == {"hall-2:3", "hall-3:5", "hall-1:7"}


def test_single_helper_is_asked_second():
    # The first question looks for a further one.
    table = make()
    table.note_opened("hall-2:3", "e1", 0.0)
    first, second = ask(table, make_peers(), 2, 1.0)
    assert first.address != "hall-2:3"
    assert second.address == "hall-2:3"


@pytest.mark.parametrize(
    ("reason", "is_free"), [("cut_off", False), ("path_lost", True), ("", True)]
)
def test_refusal_counts_for_one_endpoint_or_for_all(reason, is_free):
    peers = make_peers(1)[:2]
    chosen = set()
    for seed in range(20):
        table = make(seed)
        table.note_refused(peers[0].address, "e1", reason, 0.0)
        assert ask(table, peers, 1, 0.5)[0] == peers[1]
        chosen.add(ask(table, peers, 2, 0.5, "e2")[0])
    # The own data hall, that of the first peer, comes first.
    assert chosen == {peers[0] if is_free else peers[1]}


def test_pause_of_a_peer_doubles_and_ends():
    table = make()
    peers = make_peers(1)[:2]
    table.note_unanswered(peers[0].address, 0.0)
    table.note_unanswered(peers[0].address, 1.1)
    table.note_unanswered(peers[1].address, 2.0)
    assert ask(table, peers, 2, 2.1) == [peers[1], peers[0]]
    free = {ask(make(seed), peers, 1, 9.0)[0] for seed in range(20)}
    assert peers[0] in free


def test_memory_of_refusals_is_bounded():
    table = make()
    for n in range(10_000):
        table.note_refused(f"p{n}", f"e{n}", "path_lost", n / 100)
    assert len(table._pauses) <= 2001


@pytest.mark.parametrize("whole", [2, 9, 30])
def test_few_whole_peers_are_found_and_share_the_traffic(whole):
    # 90 instances, the whole ones in the other data halls; each of the others
    # searches four times a second.
    rng = random.Random(whole)
    peers = make_peers(30)
    others = [p for p in peers if p.data_hall != "hall-1"]
    sound = set(rng.sample(others, whole))
    cut = [p for p in peers if p not in sound]
    tables = {p: helpers.Helpers(p.data_hall, rng) for p in cut}
    load = dict.fromkeys(sound, 0)
    failed = 0
    for step in range(40):
        now = step / 4
        for own, table in tables.items():
            found = search(table, [p for p in peers if p != own], sound, now)
            if step < 16:
                continue
            failed += found is None
            if found is not None:
                load[found] += 1
    assert not failed
    assert max(load.values()) <= 2.5 * sum(load.values()) / whole


def search(table, peers, sound, now):
    """Returns the peer that opens a tunnel in one search."""
    asked = []
    for _ in range(12):
        peer = table.choose(peers, "e1", asked, now)
        if peer in sound:
            table.note_opened(peer.address, "e1", now)
            return peer
        table.note_refused(peer.address, "e1", "cut_off", now)
        asked.append(peer)
    return None
