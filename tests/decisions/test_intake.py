import json
import tracemalloc

import pytest

from wayslip.decisions import intake

_ROOM = 8_000_000
_LARGE = 1_000_000
_SMALL = 20_000


def fill(room, size, count, now=0.0):
    for n in range(count):
        assert room.hold(n, size, now).is_admitted
        room.note_received(n, 0, now)


def test_large_requests_leave_the_rest_of_the_room_to_small_ones():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 4)
    assert not room.hold("large", _LARGE, 0.0).is_admitted
    assert room.hold("small", _SMALL, 0.0).is_admitted
    assert room.held == 4 * _LARGE + _SMALL


def test_furthest_behind_gives_way():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 4)
    room.note_received(0, _LARGE, 1.5)
    room.note_received(1, _SMALL, 0.5)
    room.note_complete(2)
    verdict = room.hold("new", _LARGE, 1.6)
    assert verdict == intake.Verdict(True, (3,))
    assert room.held == 4 * _LARGE


def test_complete_requests_and_those_on_pace_never_give_way():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 4)
    for n in range(3):
        room.note_complete(n)
    room.note_received(3, 100 * _LARGE, 100.0)
    assert not room.hold("new", _LARGE, 100.5).is_admitted
    assert room.find_furthest_behind(100.5) is None


def test_single_bytes_do_not_keep_a_connection_on_pace():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 1)
    now = 0.0
    while now < 2.0:
        now += 0.1
        room.note_received(0, 1, now)
    assert room.find_furthest_behind(now) == 0


def test_connection_falls_behind_once_others_have():
    # Guards against a list of those behind that is never made anew.
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 1)
    assert room.find_furthest_behind(0.5) is None
    assert room.hold("late", _SMALL, 0.6).is_admitted
    room.note_received("late", 0, 0.6)
    assert room.find_furthest_behind(1.5) == 0
    room.release(0)
    assert room.find_furthest_behind(1.5) is None
    assert room.find_furthest_behind(1.7) == "late"


def test_single_request_is_admitted_whatever_its_size():
    room = intake.Intake(_ROOM)
    fill(room, _SMALL, 3)
    assert room.hold("huge", 5 * _ROOM, 0.0).is_admitted
    assert not room.hold("other", _LARGE, 0.0).is_admitted


def test_several_requests_of_a_connection_need_room_even_alone():
    room = intake.Intake(_ROOM)
    assert not room.hold("many", _ROOM, 0.0, is_single=False).is_admitted


def test_growing_request_moves_to_the_large_ones():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 4)
    assert room.hold("grows", _SMALL, 0.0).is_admitted
    assert not room.hold("grows", _LARGE, 0.0).is_admitted
    room.release(0)
    assert room.hold("grows", _LARGE, 0.0).is_admitted
    assert room.held == 4 * _LARGE


def test_what_shrinks_is_always_admitted():
    room = intake.Intake(_ROOM)
    fill(room, _LARGE, 4)
    assert room.hold(0, _SMALL, 0.0).is_admitted
    room.release(0)
    room.release(0)
    assert room.held == 3 * _LARGE


@pytest.mark.parametrize(
    ("memory_mb", "expected"),
    [(0, 64_000_000), (300, 120_000_000), (160, 64_000_000), (40, 4_000_000)],
)
def test_room_depends_on_the_machines_memory(memory_mb, expected):
    assert intake.find_room(memory_mb) == expected


@pytest.mark.parametrize(
    "document",
    [
        b"[" + b"{}," * 9999 + b"{}]",
        b"[" + b"0," * 9999 + b"0]",
        b'"' + b"x" * 10_000 + b'"',
        ('"' + "x" * 10_000 + "\U0001f600" + '"').encode(),
        b"[" * 500 + b"]" * 500,
        b"[" + b'"abcdefghijkl",' * 9999 + b"0]",
    ],
)
def test_cost_of_a_document_covers_its_objects(document):
    tracemalloc.start()
    value = json.loads(document)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert value
    assert size <= intake.estimate_document_cost(document)
