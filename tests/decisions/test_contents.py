from wayslip.decisions import contents

PROMPT = ("f1", "s2", "f1")
PARTS = ("org", "host", b"POST", b"/a?x=1", "m/a", b"body")


def test_same_request_has_the_same_digest():
    assert contents.make_digest(*PARTS) == contents.make_digest(*PARTS)


def test_each_part_changes_the_digest():
    digests = {contents.make_digest(*PARTS)}
    for n, part in enumerate(PARTS):
        other = part + (b"2" if isinstance(part, bytes) else "2")
        digests.add(contents.make_digest(*PARTS[:n], other, *PARTS[n + 1 :]))
    assert len(digests) == len(PARTS) + 1


def test_boundaries_between_parts_change_the_digest():
    first = contents.make_digest("a", "bc", b"", b"", "", b"")
    second = contents.make_digest("ab", "c", b"", b"", "", b"")
    assert first != second


def test_parts_of_a_prompt_count_once_and_by_service():
    digests = contents.make_part_digests("models", PROMPT)
    assert len(set(digests)) == len(digests) == 2
    assert not {*digests} & {*contents.make_part_digests("others", PROMPT)}
    assert digests == contents.make_part_digests("models", PROMPT[:2])
