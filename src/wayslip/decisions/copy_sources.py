"""Where an instance gets a configuration that it was told of but lacks.

Load pattern: the operator writes a configuration of up to 1 MB, and at the
same moment each of 60 to 400 instances wants it, over links of 5 Mbit/s and
more. Read from the store by each it takes 1.7 s of such a link, in which
callers' answers are late, and a second change waits for the first. Handed on
between instances it is a fifteenth of that, compressed, and the store's calls
do not grow with the fleet.

The lease's holder has it first. Were it asked by all, it would send the whole
fleet's copies over one link; so some ask it, and the others ask each other a
moment later.
"""

from collections.abc import Sequence
import random

# Instances that ask the lease's holder at once, on average: 24 copies of
# 0.07 MB take 0.14 s of a link of 100 Mbit/s.
MEAN_HOLDER_REQUESTS = 24.0
# Copies already on their way may delay the next one by this much, seconds. An
# instance that is refused finds another one sooner.
MAX_QUEUE_SECONDS = 0.3
# Share of a link that copies for other instances may take; the rest is for
# callers' answers.
_LINK_SHARE = 0.5


def choose_source(
    holder: str | None, peers: Sequence[str], rng: random.Random
) -> str | None:
    """Returns the address of the instance to ask, None if none is known.

    Args:
        holder: Of the lease, which has what it tells of; None if unknown.
        peers: All other instances that are known.
        rng: Draws one.
    """
    others = [p for p in peers if p != holder]
    if holder is None:
        return rng.choice(others) if others else None
    if not others or rng.random() < MEAN_HOLDER_REQUESTS / (len(others) + 1):
        return holder
    return rng.choice(others)


def plan_sending(
    free_at: float, now: float, size: int, bytes_per_s: float
) -> float | None:
    """Returns when the link is free after a copy, None to refuse it.

    Args:
        free_at: When the copies before it have left, seconds.
        now: The same clock.
        size: Of the copy, bytes.
        bytes_per_s: Of the link.
    """
    began = max(free_at, now)
    if began - now > MAX_QUEUE_SECONDS:
        return None
    return began + size / (bytes_per_s * _LINK_SHARE)
