"""How often an instance tries again what every instance of a fleet tries.

Load pattern: the store answers nobody for some seconds, and each instance
wants to know when it is back. Calls without success are priced like others,
and 195 instances that try every half second make 1,100 calls a second. One
that gets through is enough, because the lease's holder tells all. So the
attempts are shared out: their rate over the fleet does not grow with it.

An instance that hears nobody may be the only one left, whatever was last told
of the fleet. It waits no longer than its own bound allows.
"""

# Attempts a second for one purpose, over all instances: the first success is
# then 100 ms late at most, against 250 ms between the holder's statements.
ATTEMPTS_MOST = 10.0


def find_pause(
    usual: float, instances: int, is_heard: bool, most: float
) -> float:
    """Returns the seconds to wait before an attempt is repeated.

    Args:
        usual: What one instance alone would wait, seconds.
        instances: How many the fleet has, as last told.
        is_heard: Whether the lease's holder is heard now.
        most: The longest wait of one that hears nobody, seconds.
    """
    shared = instances / ATTEMPTS_MOST
    if not is_heard:
        shared = min(shared, most)
    return max(usual, shared)
