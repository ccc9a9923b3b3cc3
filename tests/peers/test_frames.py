import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from wayslip import errors
from wayslip.peers import frames
from wayslip.peers import messages

KEY = b"peer-key-of-the-tests"
PULL = messages.Pull(7)


def test_datagram_round_trip():
    data = frames.seal_datagram(KEY, PULL, 100.0)
    assert frames.open_datagram(KEY, data, 101.0) == PULL


def test_old_datagram_is_refused():
    data = frames.seal_datagram(KEY, PULL, 100.0)
    with pytest.raises(errors.FrameError, match="old"):
        frames.open_datagram(KEY, data, 131.0)


@hypothesis.given(st.binary(max_size=300))
def test_random_bytes_are_refused(data):
    with pytest.raises(errors.FrameError):
        frames.open_datagram(KEY, data, 100.0)


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 255))
def test_changed_datagram_is_refused(position, flip):
    data = bytearray(frames.seal_datagram(KEY, PULL, 100.0))
    data[position % len(data)] ^= flip
    with pytest.raises(errors.FrameError):
        frames.open_datagram(KEY, bytes(data), 100.0)


PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=8,
)


@hypothesis.given(PLAIN)
def test_authentic_frame_without_a_message_is_refused(value):
    data = cbor2.dumps(value)
    frame = frames._sign(KEY, data) + data
    with pytest.raises(errors.FrameError):
        frames.open_datagram(KEY, frame, 100.0)


@hypothesis.given(PLAIN)
def test_authentic_pair_without_a_message_is_refused(value):
    data = cbor2.dumps([100.0, value])
    frame = frames._sign(KEY, data) + data
    with pytest.raises(errors.FrameError):
        frames.open_datagram(KEY, frame, 100.0)


@pytest.mark.parametrize("stamp", [10**400, [[]], "9" * 5_000])
def test_authentic_stamp_of_an_odd_form_is_refused(stamp):
    # Guards against an error that ends the thread which receives datagrams.
    data = cbor2.dumps([stamp, messages.to_plain(PULL)])
    with pytest.raises(errors.FrameError):
        frames.open_datagram(KEY, frames._sign(KEY, data) + data, 100.0)


def test_frame_of_a_connection_cannot_be_replayed():
    there, _ = frames.make_sessions(KEY, b"c" * 16, b"s" * 16)
    here, _ = frames.make_sessions(KEY, b"c" * 16, b"s" * 16)
    first = there.seal(PULL)
    assert here.open(first) == PULL
    with pytest.raises(errors.FrameError, match="order"):
        here.open(first)
    other, _ = frames.make_sessions(KEY, b"c" * 16, b"t" * 16)
    with pytest.raises(errors.FrameError, match="authentic"):
        other.open(there.seal(PULL))
