"""Parts of prompts that were answered lately."""

from wayslip.decisions import sound_parts


def test_part_is_sound_for_a_while_after_each_answer():
    found = sound_parts.SoundParts()
    assert not found.is_sound(b"p", 0.0)
    found.note_answer([b"p"], 0.0)
    assert found.is_sound(b"p", 9.9)
    assert not found.is_sound(b"p", 10.0)
    found.note_answer([b"p"], 12.0)
    assert found.is_sound(b"p", 21.0)


def test_oldest_parts_are_evicted():
    found = sound_parts.SoundParts()
    for n in range(sound_parts._MAX_PARTS + 1):
        found.note_answer([b"%d" % n], 1.0)
    assert not found.is_sound(b"0", 1.0)
    assert found.is_sound(b"1", 1.0)
