"""How often an instance tries again what every instance of a fleet tries.

Load pattern: the store answers nobody for some seconds, and each instance
wants to know when it is back. Calls without success are priced like others,
and 195 instances that try every half second make 1,100 calls a second. One
that gets through is enough, because the lease's holder tells all. So while it
is heard the attempts are shared out: their rate over the fleet does not grow
with it.

An instance that hears nobody tries as often as if it were alone. After a start
of the whole fleet, or where the holder died, everything waits for the one that
may take the lease; with shared attempts that took 1.9 s instead of 0.6.
"""

# Attempts a second for one purpose, over all instances: the first success is
# then 100 ms late at most, against 250 ms between the holder's statements.
MAX_ATTEMPTS_PER_SECOND = 10.0


def find_pause(usual: float, instances: int, has_holder: bool) -> float:
    """Returns the seconds to wait before an attempt is repeated.

    Args:
        usual: What one instance alone would wait, seconds.
        instances: How many the fleet has, as last told.
        has_holder: Whether the lease's holder is heard now, be it that it can
            not renew.
    """
    if not has_holder:
        return usual
    return max(usual, instances / MAX_ATTEMPTS_PER_SECOND)
