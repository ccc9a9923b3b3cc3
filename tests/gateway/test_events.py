"""Boundaries of server-sent events, whatever ends their lines."""

import itertools

import pytest

from wayslip.gateway.serving import events

ENDS = ("\n", "\r\n", "\r")
# A return followed by a line feed is one line end.
MIXES = [m for m in itertools.permutations(ENDS) if m[1:] != ("\r", "\n")]


def make(*ends):
    """Returns three events whose lines end in the given ways, in turn."""
    ends = itertools.cycle(ends)
    return [
        f"id: {n}{next(ends)}data: piece-{n}{next(ends)}{next(ends)}".encode()
        for n in range(3)
    ]


@pytest.mark.parametrize("ends", [*itertools.product(ENDS), *MIXES])
@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_split_at_any_line_end(ends, size):
    stream = b"".join(make(*ends))
    splitter = events.EventSplitter()
    fed = b"".join(
        splitter.feed(stream[at : at + size])
        for at in range(0, len(stream), size)
    )
    # The second half of the last line end may stay behind.
    assert fed + splitter.remainder == stream
    assert splitter.remainder in (b"", b"\n")
    assert not splitter.is_inside_event
    splitter.note_forwarded(fed)
    assert splitter.last_id == "2"


@pytest.mark.parametrize("ends", itertools.product(ENDS))
def test_every_cut_inside_an_event_is_noticed(ends):
    first, second, _ = make(*ends)
    for cut in range(1, len(second)):
        splitter = events.EventSplitter()
        splitter.note_forwarded(splitter.feed(first + second[:cut]))
        # A cut inside the line end of an empty line is behind the event.
        is_whole = splitter.last_id == "1"
        assert splitter.is_inside_event != is_whole
        assert not is_whole or second[:cut] == second[:-1]


@pytest.mark.parametrize("rest", [b"", b"\n", b": note", b":\r\n\r\n: a\n"])
def test_comments_and_empty_lines_are_no_event(rest):
    splitter = events.EventSplitter()
    splitter.feed(make("\n")[0] + rest)
    assert not splitter.is_inside_event


def test_event_that_was_not_forwarded_is_not_the_last_one():
    # Guards against a retry that asks for what follows an event that the
    # client never got.
    splitter = events.EventSplitter("7")
    assert splitter.feed(make("\n")[0])
    assert splitter.last_id == "7"
