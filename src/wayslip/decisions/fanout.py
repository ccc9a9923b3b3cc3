"""How a statement for all instances travels: one hop, or two through heads.

A small fleet is told directly. In a larger one some instances of each data
hall, the heads, are told and pass the statement on to others of their hall.
So neither the sender's link nor the links between halls carry it once for
each instance. Heads are drawn anew for every statement: one that died loses
its part of a few statements, and nobody has to notice.
"""

from collections.abc import Iterable
import dataclasses
import random

# A fleet up to this size is told directly: a statement of 3 KB is then 50 KB
# at the sender, which a link of 10 Mbit/s takes in 40 ms.
MAX_DIRECT_RECIPIENTS = 16
# Instances that a head passes a statement on to; the same reason.
MAX_RELAY_RECIPIENTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance: where it hears its peers, "IP:PORT", and its data hall."""

    address: str
    data_hall: str


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """Whom to send to, and whom that instance passes it on to."""

    relay: str
    recipients: tuple[str, ...] = ()


def plan(peers: Iterable[Peer], rng: random.Random) -> list[Branch]:
    """Returns the branches of one statement.

    Args:
        peers: All that have to hear it.
        rng: Draws the heads.
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
