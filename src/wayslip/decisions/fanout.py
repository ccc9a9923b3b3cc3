"""Broadcast of a message to all instances, directly or through relays.

In a small fleet the sender sends to every instance. In a larger one it sends
only to some instances of each data hall, the relays, which forward the message
to others of their data hall. So neither the sender's link nor the links between
data halls carry it once for each instance. Relays are drawn at random for every
message: a dead one loses its share of a few messages, and no failure detection
is needed.
"""

from collections.abc import Iterable
import dataclasses
import random

# A fleet up to this size gets messages without relays: 16 messages of 3 KB are
# 50 KB at the sender, which takes 40 ms of a link of 10 Mbit/s.
MAX_DIRECT_RECIPIENTS = 16
# Instances that a relay forwards a message to; limited for the same reason.
MAX_RELAY_RECIPIENTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance: its address for peers, "IP:PORT", and its data hall."""

    address: str
    data_hall: str


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """The instance to send to, and those that it forwards to."""

    relay: str
    recipients: tuple[str, ...] = ()


def plan(peers: Iterable[Peer], rng: random.Random) -> list[Branch]:
    """Returns the branches of one message.

    Args:
        peers: All instances that must receive it.
        rng: Random generator for the choice of relays.
    """
    known = list(peers)
    if len(known) <= MAX_DIRECT_RECIPIENTS:
        return [Branch(p.address) for p in known]
    halls: dict[str, list[str]] = {}
    for peer in known:
        halls.setdefault(peer.data_hall, []).append(peer.address)
    branches: list[Branch] = []
    for members in halls.values():
        rng.shuffle(members)
        step = MAX_RELAY_RECIPIENTS + 1
        for first in range(0, len(members), step):
            relay, *recipients = members[first : first + step]
            branches.append(Branch(relay, tuple(recipients)))
    return branches
