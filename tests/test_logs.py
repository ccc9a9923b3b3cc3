import io
import logging

from wayslip import logs


def line_of(**fields):
    stream = io.StringIO()
    logger = logging.Logger("test")
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.KeyValueFormatter())
    logger.addHandler(handler)
    logs.event(logger, "happened", **fields)
    return stream.getvalue()


def test_event_is_one_line_of_pairs():
    line = line_of(reason='two "words"\nand a line', count=3)
    assert line.count("\n") == 1
    assert " event=happened " in line
    assert r'reason="two \"words\"\nand a line"' in line
    assert line.endswith("count=3\n")


def test_secrets_are_masked():
    line = line_of(key="hush-1", resume_token="hush-2", authorization="hush-3")
    assert "hush" not in line
    assert "key=***" in line
