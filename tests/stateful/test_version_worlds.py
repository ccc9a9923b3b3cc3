"""Versions that come and go while instances are killed, cut off and restarted.

Guards against streams that go on at a version that did not begin them because
it is the only one that an instance knows of.
"""

import pytest

from tests.stateful import version_world

ONLY = ({"v1"},)
RELEASES = ({"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"})
# A release that is taken back.
VISIT = ({"v1"}, {"v1", "v2"}, {"v1"})


@pytest.mark.parametrize("listings", [RELEASES, VISIT], ids=["next", "visit"])
@pytest.mark.parametrize("size", [1, 3, 9])
@pytest.mark.parametrize("seed", range(8))
def test_no_version_is_named_while_streams_began_at_another(
    seed, size, listings
):
    tally = version_world.play(seed, size, listings)
    assert not tally.wrong
    # Where the last version is another one, it is never the only one.
    assert tally.unknown or listings is VISIT


@pytest.mark.parametrize("size", [1, 3, 9])
def test_only_version_is_known_nearly_always_without_faults(size):
    tally = version_world.play(1, size, ONLY, faults=False)
    assert not tally.wrong
    # Until the record is written, a process knows nothing.
    assert tally.known > 0.95 * (tally.known + tally.unknown)


@pytest.mark.parametrize("size", [1, 3, 9])
@pytest.mark.parametrize("seed", range(4))
def test_only_version_is_known_again_after_kills_of_all(seed, size):
    tally = version_world.play(seed, size, ONLY)
    assert not tally.wrong
    # Until the record is written, a process knows nothing.
    assert tally.known > 0.9 * (tally.known + tally.unknown)
