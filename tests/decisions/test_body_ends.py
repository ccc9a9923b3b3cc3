"""What shows that an endpoint ended, and its last answer with it."""

import pytest

from wayslip.decisions import body_ends


@pytest.mark.parametrize(
    ("listens", "others", "lost", "is_whole"),
    [
        # It listens, and nothing contradicts it.
        (True, 0, 0, True),
        (True, 3, 0, True),
        # One of its connections was idle for too long, or reset by a fault.
        (True, 3, 1, True),
        # It started again at once.
        (True, 3, 3, False),
        # Its process has ended.
        (False, 0, 0, False),
        (False, 3, 0, False),
        # Its address does not answer, so that only the others tell.
        (None, 0, 0, True),
        (None, 2, 1, True),
        (None, 2, 2, False),
    ],
)
def test_evidence_decides_whether_a_body_is_whole(
    listens, others, lost, is_whole
):
    evidence = body_ends.Evidence(listens, others, lost)
    assert body_ends.is_whole(evidence) is is_whole
