import hypothesis
from hypothesis import strategies as st

from wayslip.decisions import suspicion

POISON, OTHER, THIRD = b"deadly", b"other", b"third"


def record(content, endpoint, depth=0, born=0, reporter="g1", attempts=1):
    return suspicion.CrashRecord(
        content, endpoint, born, depth, reporter, attempts
    )


def judge(*crash_records, cleared=()):
    found = suspicion.Suspicion()
    found.add(crash_records, 0.0)
    found.clear(cleared, 0.0)
    return found


def test_first_end_condemns_nobody():
    found = judge(record(POISON, "e1"), record(OTHER, "e1"))
    assert found.list_blocked() == []


def test_content_that_was_tried_again_alone_is_condemned():
    found = judge(
        record(POISON, "e1"), record(OTHER, "e1"), record(POISON, "e2", depth=1)
    )
    assert found.list_blocked() == [POISON]


def test_contents_that_came_again_together_wait_for_a_third_end():
    crash_records = [
        record(content, endpoint, depth)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    assert judge(*crash_records).list_blocked() == []
    found = judge(*crash_records, record(POISON, "e3", depth=2))
    assert found.list_blocked() == [POISON]


def test_content_three_deep_is_condemned_though_it_was_answered_before():
    crash_records = [
        record(content, endpoint, depth, attempts=0)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    assert judge(*crash_records).list_blocked() == []
    found = judge(*crash_records, record(POISON, "e3", depth=2, attempts=0))
    assert found.list_blocked() == [POISON]


def test_answer_to_one_of_them_leaves_the_other_alone():
    crash_records = [
        record(content, endpoint, depth)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    found = judge(
        *crash_records, cleared=[record(OTHER, "e1"), record(OTHER, "e2")]
    )
    assert found.list_blocked() == [POISON]


def test_two_attempts_under_way_together_are_one_step():
    found = judge(record(OTHER, "e1"), record(OTHER, "e2"))
    assert found.find_depth(OTHER) == 1
    assert found.list_blocked() == []


def test_three_attempts_that_broke_off_condemn_however_they_were_sent():
    # Eight attempts were sent between the first end and the second; three had
    # broken off with the first already, at two instances.
    found = judge(record(POISON, "e1", attempts=2), record(POISON, "e1"))
    assert found.list_blocked() == []
    found = judge(
        record(POISON, "e1", attempts=2), record(POISON, "e1", reporter="g2")
    )
    assert found.list_blocked() == [POISON]


def test_content_that_was_answered_before_is_condemned_by_the_chain_only():
    found = judge(record(OTHER, "e1", attempts=5))
    assert found.list_blocked() == [OTHER]
    assert found.exempt([OTHER], 0.0) == [OTHER]
    assert found.list_blocked() == []
    found.add([record(OTHER, "e2", depth=1)], 0.0)
    assert found.list_blocked() == [OTHER]


def test_attempts_at_a_common_content_condemn_it_by_the_chain_only():
    records = [record(OTHER, f"e{n}", attempts=0) for n in range(8)]
    assert judge(*records).list_blocked() == []
    found = judge(*records, record(OTHER, "e9", depth=1, attempts=0))
    assert found.list_blocked() == [OTHER]


def test_mark_that_went_on_from_a_cleared_one_counts_once():
    found = judge(
        record(OTHER, "e1"),
        record(OTHER, "e2", depth=1),
        cleared=[record(OTHER, "e1")],
    )
    assert found.find_depth(OTHER) == 1


def test_later_start_of_an_endpoint_is_another_one():
    found = judge(record(POISON, "e1", born=1), record(POISON, "e1", 1, born=2))
    assert found.list_blocked() == [POISON]


def test_condemned_content_is_tried_again_the_later_the_deeper_it_is():
    once = judge(record(OTHER, "e1", attempts=3))
    assert not once.may_probe(OTHER, 29.0)
    assert once.may_probe(OTHER, 30.0)
    twice = judge(record(OTHER, "e1"), record(OTHER, "e2", depth=1))
    assert not twice.may_probe(OTHER, 119.0)
    assert twice.may_probe(OTHER, 120.0)
    assert not twice.may_probe(b"unknown", 1000.0)


def test_marks_are_forgotten_after_their_time():
    found = judge(record(POISON, "e1"), record(POISON, "e2", 1))
    assert found.find_left(POISON, 1.0) == suspicion.RETENTION_SECONDS - 1.0
    found.forget(suspicion.RETENTION_SECONDS - 1.0)
    assert found.list_blocked() == [POISON]
    found.forget(suspicion.RETENTION_SECONDS + 1.0)
    assert not found
    # Who heard of them later tells them still.
    late_records = [record(POISON, "e1"), record(POISON, "e2", 1)]
    assert not found.add(late_records, suspicion.RETENTION_SECONDS + 2.0)
    assert not found


def test_thousands_of_contents_do_not_push_out_a_condemned_one():
    found = judge(record(POISON, "e1"), record(POISON, "e2", 1))
    for n in range(suspicion._MAX_CONTENTS * 2):
        found.add([record(b"%d" % n, f"f{n // 50}")], 1.0)
    assert found.list_blocked() == [POISON]
    assert len(found.list_contents(1)) <= suspicion._MAX_CONTENTS
    assert len(found._at_start) <= suspicion._MAX_CONTENTS


RECORDS = st.builds(
    suspicion.CrashRecord,
    st.sampled_from([POISON, OTHER, THIRD]),
    st.sampled_from(["e1", "e2", "e3", "e4"]),
    st.integers(0, 1),
    st.integers(0, 3),
    st.sampled_from(["g1", "g2"]),
    st.integers(0, 2),
)
STEPS = st.lists(st.tuples(st.sampled_from(["add", "clear"]), RECORDS))


def replay(steps):
    found = suspicion.Suspicion()
    for verb, one in steps:
        getattr(found, verb)([one], 0.0)
    return (
        sorted(map(str, found.list_blocked())),
        [
            sorted(map(str, found.list_crash_records(c)))
            for c in (POISON, OTHER, THIRD)
        ],
    )


@hypothesis.given(STEPS, st.randoms())
def test_instances_agree_whatever_the_order_and_repeats(steps, rng):
    others = steps + [s for s in steps if rng.random() < 0.5]
    rng.shuffle(others)
    assert replay(steps) == replay(others)


@hypothesis.given(STEPS)
def test_nothing_is_condemned_that_broke_off_once(steps):
    found = suspicion.Suspicion()
    for verb, one in steps:
        getattr(found, verb)([one], 0.0)
    for content in found.list_blocked():
        crash_records = found.list_crash_records(content)
        assert len(crash_records) >= 2 or crash_records[0].attempts >= 2
