"""Several ways to open a connection, one soon after the other."""

import asyncio

import pytest

from tests.gateway import steady_clock
from wayslip import errors
from wayslip.gateway.sharing import connection_race


def make(result, seconds=0.0):
    """Returns an opener that returns or raises something after a time."""

    async def open_connection():
        await asyncio.sleep(seconds)
        if isinstance(result, Exception):
            raise result
        return result

    return open_connection


REFUSED = errors.NobodyListensError("refused", "start it")
SILENT = errors.NotSentError("silent", "start it")
BUSY = errors.PeerError("busy", "ask another one")


def run(openers):
    """Returns the winner, and what opened too late."""
    kept = []

    async def body():
        winner = await connection_race.race("e1", openers, kept.append)
        # Openers that still run end after 0.5 s.
        await asyncio.sleep(0.6)
        return winner

    with steady_clock.run() as runner:
        return runner.run(body()), kept


def test_first_opener_that_succeeds_wins():
    assert run([make("a"), make("b")]) == ("a", [])


def test_next_opener_starts_at_once_after_a_failure():
    assert run([make(REFUSED), make(BUSY), make("c")]) == ("c", [])


def test_slow_opener_goes_on_and_its_connection_is_kept():
    assert run([make("slow", 0.4), make("fast")]) == ("fast", ["slow"])


def test_late_failure_of_an_opener_is_no_error():
    assert run([make(SILENT, 0.4), make("fast")]) == ("fast", [])


@pytest.mark.parametrize(
    ("failures", "kind"),
    [
        ([REFUSED, BUSY, REFUSED], errors.NobodyListensError),
        ([REFUSED, SILENT], errors.NotSentError),
        ([BUSY, BUSY], errors.NotSentError),
    ],
)
def test_nobody_listens_if_all_say_so_that_can_tell(failures, kind):
    with pytest.raises(errors.NotSentError) as raised:
        run([make(f) for f in failures])
    assert raised.type is kind


def test_three_verdicts_are_enough():
    started = []

    def count(opener):
        def start():
            started.append(opener)
            return opener()

        return start

    with pytest.raises(errors.NobodyListensError):
        run([count(make(REFUSED)) for _ in range(5)])
    assert len(started) == 3


def test_error_of_the_program_is_raised():
    with pytest.raises(KeyError):
        run([make(KeyError("address")), make("b")])
