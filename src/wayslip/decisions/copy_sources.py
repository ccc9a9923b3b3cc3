"""Selects the source from which an instance copies a new configuration.

Load pattern: an operator writes a configuration of up to 1 MB, and 60 to 400
instances need it at once, over links of 5 Mbit/s and more. A read from the
store takes 1.7 s of such a link, during which answers to callers are late and
a second change waits for the first. A compressed copy from another instance is
a fifteenth of the size, and the number of calls to the store does not grow
with the fleet.

The lease holder has the configuration first. If all instances asked it, it
would send all copies over one link. So only some ask it, and the others ask
each other shortly after.
"""

from collections.abc import Sequence
import random

# Mean number of instances that ask the lease holder at once: 24 copies of
# 0.07 MB take 0.14 s of a link of 100 Mbit/s.
MEAN_HOLDER_REQUESTS = 24.0
# Longest time for which a copy may wait for earlier ones. An instance that is
# refused gets its copy sooner from another one.
MAX_QUEUE_SECONDS = 0.3
# Share of a link that copies for other instances may use; the rest is for
# answers to callers.
_LINK_SHARE = 0.5


def choose_source(
    holder: str | None, peers: Sequence[str], rng: random.Random
) -> str | None:
    """Returns the address of the instance to ask, None if none is known.

    Args:
        holder: Address of the lease holder, None if unknown. It has every
            configuration that it announces.
        peers: Addresses of all other known instances.
        rng: Random generator for the choice.
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
        free_at: When the earlier copies have been sent, seconds.
        now: Seconds of the same clock.
        size: Size of the copy, bytes.
        bytes_per_s: Bandwidth of the link.
    """
    began = max(free_at, now)
    if began - now > MAX_QUEUE_SECONDS:
        return None
    return began + size / (bytes_per_s * _LINK_SHARE)
