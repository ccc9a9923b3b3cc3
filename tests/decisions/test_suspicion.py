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


def test_first_crash_blocks_no_content():
    found = judge(record(POISON, "e1"), record(OTHER, "e1"))
    assert found.list_blocked() == []


def test_content_that_alone_was_retried_is_blocked():
    found = judge(
        record(POISON, "e1"), record(OTHER, "e1"), record(POISON, "e2", depth=1)
    )
    assert found.list_blocked() == [POISON]


def test_contents_that_were_retried_together_need_a_third_crash():
    crash_records = [
        record(content, endpoint, depth)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    assert judge(*crash_records).list_blocked() == []
    found = judge(*crash_records, record(POISON, "e3", depth=2))
    assert found.list_blocked() == [POISON]


def test_content_at_depth_three_is_blocked_though_answered_before():
    crash_records = [
        record(content, endpoint, depth, attempts=0)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    assert judge(*crash_records).list_blocked() == []
    found = judge(*crash_records, record(POISON, "e3", depth=2, attempts=0))
    assert found.list_blocked() == [POISON]


def test_answer_to_one_suspect_makes_the_other_the_sole_suspect():
    crash_records = [
        record(content, endpoint, depth)
        for content in (POISON, OTHER)
        for depth, endpoint in enumerate(("e1", "e2"))
    ]
    found = judge(
        *crash_records, cleared=[record(OTHER, "e1"), record(OTHER, "e2")]
    )
    assert found.list_blocked() == [POISON]


def test_two_concurrent_attempts_are_one_step_of_depth():
    found = judge(record(OTHER, "e1"), record(OTHER, "e2"))
    assert found.find_depth(OTHER) == 1
    assert found.list_blocked() == []


def test_three_aborted_attempts_block_a_content():
    # Many attempts may be sent between two crashes. Three that the first crash
    # aborted, at two instances, are enough to block the content.
    found = judge(record(POISON, "e1", attempts=2), record(POISON, "e1"))
    assert found.list_blocked() == []
    found = judge(
        record(POISON, "e1", attempts=2), record(POISON, "e1", reporter="g2")
    )
    assert found.list_blocked() == [POISON]


def test_exempt_content_is_blocked_by_depth_only():
    found = judge(record(OTHER, "e1", attempts=5))
    assert found.list_blocked() == [OTHER]
    assert found.exempt([OTHER], 0.0) == [OTHER]
    assert found.list_blocked() == []
    found.add([record(OTHER, "e2", depth=1)], 0.0)
    assert found.list_blocked() == [OTHER]


def test_records_without_attempts_block_a_content_by_depth_only():
    records = [record(OTHER, f"e{n}", attempts=0) for n in range(8)]
    assert judge(*records).list_blocked() == []
    found = judge(*records, record(OTHER, "e9", depth=1, attempts=0))
    assert found.list_blocked() == [OTHER]


def test_record_that_builds_on_a_cleared_one_counts_once():
    found = judge(
        record(OTHER, "e1"),
        record(OTHER, "e2", depth=1),
        cleared=[record(OTHER, "e1")],
    )
    assert found.find_depth(OTHER) == 1


def test_incarnations_of_an_endpoint_are_distinct():
    found = judge(record(POISON, "e1", born=1), record(POISON, "e1", 1, born=2))
    assert found.list_blocked() == [POISON]


def test_probe_of_a_blocked_content_is_later_at_a_higher_depth():
    once = judge(record(OTHER, "e1", attempts=3))
    assert not once.may_probe(OTHER, 29.0)
    assert once.may_probe(OTHER, 30.0)
    twice = judge(record(OTHER, "e1"), record(OTHER, "e2", depth=1))
    assert not twice.may_probe(OTHER, 119.0)
    assert twice.may_probe(OTHER, 120.0)
    assert not twice.may_probe(b"unknown", 1000.0)


def test_records_expire_after_the_retention_time():
    found = judge(record(POISON, "e1"), record(POISON, "e2", 1))
    assert found.find_left(POISON, 1.0) == suspicion.RETENTION_SECONDS - 1.0
    found.forget(suspicion.RETENTION_SECONDS - 1.0)
    assert found.list_blocked() == [POISON]
    found.forget(suspicion.RETENTION_SECONDS + 1.0)
    assert not found
    # Another instance that received the records later may still send them.
    late_records = [record(POISON, "e1"), record(POISON, "e2", 1)]
    assert not found.add(late_records, suspicion.RETENTION_SECONDS + 2.0)
    assert not found


def test_thousands_of_contents_do_not_evict_a_blocked_one():
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
def test_content_with_one_aborted_attempt_is_not_blocked(steps):
    found = suspicion.Suspicion()
    for verb, one in steps:
        getattr(found, verb)([one], 0.0)
    for content in found.list_blocked():
        crash_records = found.list_crash_records(content)
        assert len(crash_records) >= 2 or crash_records[0].attempts >= 2
