"""Opens a connection in several ways, one soon after the other."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging

from wayslip import errors
from wayslip.http1 import client

_LOG = logging.getLogger(__name__)
# The next way is tried once one has not succeeded for this long, many round
# trips.
_HEDGE_SECONDS = 0.06
# Instances that could not connect to an endpoint after which it counts as
# unreachable.
_ENOUGH_VERDICTS = 3

# Opens a connection; raises a WayslipError if that fails, a NotSentError if the
# failure is due to the endpoint.
Opener = Callable[[], Awaitable[client.Connection]]


async def race(
    endpoint: str,
    openers: Iterable[Opener],
    keep: Callable[[client.Connection], None],
) -> client.Connection:
    """Returns the first connection that is opened.

    The next opener starts when the one before fails, or has not succeeded for
    a while. Those that run when the race is over go on.

    Args:
        endpoint: The endpoint's name.
        openers: The ways to connect to it, in order; the next one is taken
            when it is started.
        keep: Called with each connection that is opened too late.

    Raises:
        NobodyListensError: Nobody listens there, as far as any opener can tell.
        NotSentError: No opener succeeded.
    """
    failures: list[errors.WayslipError] = []
    running: set[asyncio.Task[client.Connection]] = set()
    waiting = iter(openers)
    try:
        while True:
            opener = next(waiting, None)
            if opener is not None:
                running.add(asyncio.ensure_future(opener()))
            if not running:
                break
            done, running = await asyncio.wait(
                running,
                timeout=None if opener is None else _HEDGE_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            opened = [t for t in done if t.exception() is None]
            if opened:
                running |= set(opened[1:])
                return opened[0].result()
            failures += [_find_failure(t) for t in done]
            if len(_list_verdicts(failures)) >= _ENOUGH_VERDICTS:
                break
    finally:
        for task in running:
            task.add_done_callback(lambda t: _finish(t, keep))
    raise _summarize(endpoint, failures)


def _finish(
    task: asyncio.Task[client.Connection],
    keep: Callable[[client.Connection], None],
) -> None:
    """Keeps the connection of an opener that succeeded too late."""
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        keep(task.result())
    elif not isinstance(error, errors.WayslipError):
        _LOG.error("connection_race_failed", exc_info=error)


def _find_failure(
    task: asyncio.Task[client.Connection],
) -> errors.WayslipError:
    """Returns why an opener failed; raises an error that is none of its own."""
    error = task.exception()
    assert error is not None
    if not isinstance(error, errors.WayslipError):
        raise error
    return error


def _list_verdicts(
    failures: Sequence[errors.WayslipError],
) -> list[errors.NotSentError]:
    """Returns the failures that are due to the endpoint."""
    return [e for e in failures if isinstance(e, errors.NotSentError)]


def _summarize(
    endpoint: str, failures: Sequence[errors.WayslipError]
) -> errors.NotSentError:
    """Returns the error of an endpoint that nobody reached."""
    verdicts = _list_verdicts(failures)
    is_ended = bool(verdicts) and all(
        isinstance(e, errors.NobodyListensError) for e in verdicts
    )
    kind = errors.NobodyListensError if is_ended else errors.NotSentError
    reasons = "; ".join(e.reason for e in failures)
    return kind(
        f"{endpoint} was not reached: {reasons}",
        "check that the endpoint runs and can be reached",
    )
