from wayslip.decisions import contents

USUAL = ("org", "host", b"POST", b"/a?x=1", "m/a", b"body")


def test_same_request_has_the_same_digest():
    assert contents.make_digest(*USUAL) == contents.make_digest(*USUAL)


def test_each_part_counts():
    digests = {contents.make_digest(*USUAL)}
    for n, part in enumerate(USUAL):
        other = part + (b"2" if isinstance(part, bytes) else "2")
        digests.add(contents.make_digest(*USUAL[:n], other, *USUAL[n + 1 :]))
    assert len(digests) == len(USUAL) + 1


def test_parts_do_not_run_into_each_other():
    first = contents.make_digest("a", "bc", b"", b"", "", b"")
    second = contents.make_digest("ab", "c", b"", b"", "", b"")
    assert first != second
