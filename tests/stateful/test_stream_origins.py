"""Origins of streams under loss, kills, freezes and cuts of instances."""

import pytest

from tests.stateful import stream_world

# Of streams that are taken up at instances in contact, the share that the
# operators want to go on at least, as a share of new streams that begin.
MIN_SHARE = 0.5


@pytest.mark.parametrize("size", [1, 2, 9, 40])
def test_every_stream_is_known_without_faults(size):
    tally = stream_world.play(1, size, loss=0.0, faults=False)
    assert not tally.wrong
    assert not tally.unknown
    assert tally.known
    assert not tally.held_back


@pytest.mark.parametrize("size", [2, 3, 9, 40])
@pytest.mark.parametrize("seed", range(6))
def test_no_version_is_named_that_did_not_begin_a_stream(seed, size):
    tally = stream_world.play(seed, size)
    assert not tally.wrong
    assert tally.known >= MIN_SHARE * (tally.known + tally.unknown)


@pytest.mark.parametrize("seed", range(3))
def test_no_version_is_wrong_when_most_datagrams_are_lost(seed):
    tally = stream_world.play(seed, loss=0.6)
    assert not tally.wrong
