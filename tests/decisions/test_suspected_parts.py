"""Parts of prompts under suspicion."""

import random

import hypothesis
from hypothesis import strategies as st

from wayslip.decisions import contents
from wayslip.decisions import fleet
from wayslip.decisions import suspicion
from wayslip.gateway.sharing import records

BAD, FIRST, RARE = b"bad part", b"first part", b"rare part"


def record(part, endpoint, content, reporter="g1"):
    start = fleet.Incarnation(endpoint, 0)
    return suspicion.make_part_record(part, content, start, reporter)


def crash(found, endpoint, *requests, reporter="g1", now=0.0):
    """Records the requests, content and parts, that a crash aborted."""
    for content, *parts in requests:
        whole = suspicion.CrashRecord(content, endpoint, reporter=reporter)
        found.add([whole], now)
        found.add([record(p, endpoint, content, reporter) for p in parts], now)


def ask(*parts, content=b"new"):
    return contents.Identity(content, parts)


def crash_thrice(found, *parts):
    for n in range(3):
        crash(found, f"e{n}", (b"%d-request" % n, *parts))


def test_part_is_blocked_after_three_crashes_under_different_contents():
    found = suspicion.Suspicion()
    for n in range(2):
        crash(found, f"e{n}", (b"%d-request" % n, BAD))
    assert found.find_block(ask(BAD)) is None
    crash(found, "e2", (b"2-request", BAD))
    assert found.find_block(ask(BAD)) == BAD
    assert found.find_block(ask(FIRST)) is None


def test_part_of_a_content_that_crashes_endpoints_is_not_blocked():
    found = suspicion.Suspicion()
    for n in range(4):
        crash(found, f"e{n}", (b"poison", RARE), (b"%d-other" % n, RARE))
    assert found.list_blocked() == [b"poison"]
    assert found.find_block(ask(RARE)) is None


def test_endpoints_that_end_together_count_as_they_are():
    # Five attempts at one crash are one crash.
    found = suspicion.Suspicion()
    crash(found, "e1", *((b"%d-request" % n, BAD) for n in range(5)))
    assert found.find_block(ask(BAD)) is None


def test_part_that_always_came_with_a_bad_one_is_served_alone():
    found = suspicion.Suspicion()
    crash_thrice(found, FIRST, BAD)
    assert found.find_block(ask(FIRST, BAD)) == FIRST
    assert found.find_block(ask(FIRST)) is None
    assert found.find_block(ask(BAD)) is None


def test_answer_to_the_companion_blocks_the_other_part_alone():
    found = suspicion.Suspicion()
    crash_thrice(found, FIRST, BAD)
    found.clear(found.list_crash_records(FIRST), 1.0)
    assert found.find_block(ask(BAD)) == BAD
    assert found.find_block(ask(FIRST)) is None


def test_crash_without_the_companion_blocks_the_other_part_alone():
    found = suspicion.Suspicion()
    crash_thrice(found, FIRST, BAD)
    crash(found, "e4", (b"4-request", BAD))
    assert found.find_block(ask(BAD)) == BAD
    assert found.find_block(ask(FIRST)) is None


def test_companion_counts_no_more_after_five_crashes():
    found = suspicion.Suspicion()
    for n in range(5):
        crash(found, f"e{n}", (b"%d-request" % n, RARE, BAD))
    assert found.find_block(ask(BAD)) == BAD


def test_parts_do_not_keep_a_content_from_being_the_sole_suspect():
    found = suspicion.Suspicion()
    for depth, endpoint in enumerate(("e1", "e2")):
        found.add(
            [suspicion.CrashRecord(b"poison", endpoint, depth=depth)], 0.0
        )
        found.add([record(RARE, endpoint, b"poison")], 0.0)
    assert found.list_blocked() == [b"poison"]


def test_probe_of_a_part_comes_later_after_each_further_crash():
    found = suspicion.Suspicion()
    crash_thrice(found, BAD)
    pause = suspicion._PART_PROBE_SECONDS
    assert not found.may_probe(BAD, pause - 0.1)
    assert found.may_probe(BAD, pause)
    assert found.find_left(BAD, pause / 2) == pause / 2
    crash(found, "e4", (b"4-request", BAD), now=pause)
    assert not found.may_probe(BAD, 3 * pause - 0.1)
    assert found.may_probe(BAD, 3 * pause)


def test_thousands_of_parts_do_not_evict_a_blocked_one():
    found = suspicion.Suspicion()
    crash_thrice(found, BAD)
    for n in range(suspicion._MAX_CONTENTS * 2):
        crash(found, f"f{n // 50}", (b"c%d" % n, b"p%d" % n), now=1.0)
    assert found.find_block(ask(BAD)) == BAD
    assert len(found.list_contents(1)) <= suspicion._MAX_CONTENTS


def test_bad_part_is_found_among_many_in_flight():
    # Each crash aborts eighteen requests that share some of thirty parts; sound
    # parts are cleared when a request with them is answered.
    for seed in range(20):
        rng = random.Random(seed)
        found = suspicion.Suspicion()
        sound = [b"sound-%d" % n for n in range(30)]
        ends = 0
        while found.find_block(ask(FIRST, rng.choice(sound), BAD)) is None:
            ends += 1
            assert ends <= 5, seed
            requests = [
                (b"%d-%d" % (ends, n), FIRST, rng.choice(sound))
                for n in range(17)
            ]
            requests.append((b"%d" % ends, FIRST, rng.choice(sound), BAD))
            crash(found, f"e{ends}", *requests)
            for part in (FIRST, *rng.sample(sound, 20)):
                found.clear(found.list_crash_records(part), float(ends))
        assert found.find_block(ask(FIRST)) is None


PART_RECORDS = st.builds(
    record,
    st.sampled_from([BAD, RARE]),
    st.sampled_from(["e1", "e2", "e3", "e4"]),
    st.binary(min_size=1, max_size=1),
    st.sampled_from(["g1", "g2"]),
)
STEPS = st.lists(st.tuples(st.sampled_from(["add", "clear"]), PART_RECORDS))


def replay(steps):
    found = suspicion.Suspicion()
    for verb, one in steps:
        getattr(found, verb)([one], 0.0)
    return (
        found.find_block(ask(BAD)),
        found.find_block(ask(BAD, RARE)),
        [found.list_crash_records(part) for part in (BAD, RARE)],
    )


@hypothesis.given(STEPS, st.randoms())
def test_instances_agree_on_parts_whatever_the_order(steps, rng):
    others = steps + [s for s in steps if rng.random() < 0.5]
    rng.shuffle(others)
    assert replay(steps) == replay(others)


def test_stored_part_is_read_again():
    kind = records.SUSPECT
    crash_records = tuple(
        record(BAD, f"e{n}", b"%d-request" % n) for n in range(3)
    )
    suspect = records.Suspect(BAD, crash_records)
    encoded = kind.encode(suspect)
    assert kind.decode(BAD.hex(), encoded) == suspect
