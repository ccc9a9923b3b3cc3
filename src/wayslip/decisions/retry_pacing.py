"""Paces attempts that every instance of a fleet repeats.

Load pattern: the store does not answer for some seconds, and each instance
retries until it is back. Failed calls cost as much as others, and 195
instances that retry every half second make 1,100 calls a second. One success
is enough, because the lease holder announces it to all. While the holder is in
contact, the attempts are therefore divided among the instances, so that their
rate does not grow with the fleet.

An instance without contact to the lease holder retries as often as a single
instance would. After a start of the whole fleet, or a crash of the holder, all
instances wait for the one that may take the lease; with divided attempts that
takes 1.9 s instead of 0.6 s.
"""

# Rate of the attempts for one purpose, over all instances. The first success is
# then at most 100 ms late; the holder sends an announcement every 250 ms.
MAX_ATTEMPTS_PER_SECOND = 10.0


def find_pause(usual: float, instances: int, has_holder: bool) -> float:
    """Returns the seconds to wait before an attempt is repeated.

    Args:
        usual: The pause of a single instance, seconds.
        instances: Number of instances of the fleet, as last announced.
        has_holder: Whether there is contact to the lease holder, even if the
            holder can not renew the lease.
    """
    if not has_holder:
        return usual
    return max(usual, instances / MAX_ATTEMPTS_PER_SECOND)
