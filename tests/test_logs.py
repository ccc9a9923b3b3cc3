import io
import logging
import threading
import time

import pytest

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


class BlockedStream:
    """A stream whose writes block until `unblock` is set."""

    def __init__(self):
        self.unblock = threading.Event()
        self.text = ""

    def write(self, text):
        self.unblock.wait(10)
        self.text += text

    def flush(self):
        pass


def fill(logger, level, count):
    for number in range(count):
        logs.event(logger, f"event-{number % 50}", level, number=number)


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1", "ascii"])
def test_text_that_can_not_be_encoded_does_not_end_the_log(encoding):
    # Guards against a writer that takes such text for a reader that is gone.
    data = io.BytesIO()
    writer = logs.LineWriter(io.TextIOWrapper(data, encoding=encoding))
    logger = logging.Logger("test")
    logger.addHandler(logs.LineHandler(writer))
    logs.event(logger, "odd", service="kiosk-\ud83d", sign="\u2192")
    deadline = time.monotonic() + 10
    while b"odd" not in data.getvalue() and time.monotonic() < deadline:
        time.sleep(0.01)
    logs.event(logger, "next")
    writer.close()
    assert b"service=kiosk-\\ud83d" in data.getvalue()
    assert b"event=next" in data.getvalue()


def test_blocked_reader_never_blocks_logging_and_drops_are_counted():
    stream = BlockedStream()
    writer = logs.LineWriter(stream, limit=100)
    logger = logging.Logger("test")
    logger.addHandler(logs.LineHandler(writer))
    fill(logger, logging.INFO, 1000)
    fill(logger, logging.WARNING, 30)
    stream.unblock.set()
    writer.close()
    # All warnings are written, and dropped INFO lines are counted.
    assert stream.text.count("level=warning") == 30
    assert stream.text.count("level=info") < 1000
    assert "event=lines_left_out of=event-1 count=" in stream.text


def test_rate_of_one_event_is_bounded():
    stream = BlockedStream()
    stream.unblock.set()
    writer = logs.LineWriter(stream)
    logger = logging.Logger("test")
    handler = logs.LineHandler(writer)
    logger.addHandler(handler)
    for number in range(3 * logs.MAX_LINES_PER_SECOND):
        logs.event(logger, "often", number=number)
    handler._report_over_limit()
    writer.close()
    assert stream.text.count("event=often") <= 2 * logs.MAX_LINES_PER_SECOND
    assert "event=lines_left_out of=often" in stream.text
