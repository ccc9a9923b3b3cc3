"""Decides whether a body ended where its connection was closed.

The end of a process closes its connections in order, and so does a process that
has sent a whole body which has neither a length nor chunks. They differ in what
else happens: a process that ended listens no more, and its other connections
are closed at the same time.
"""

import dataclasses

# A process that ends closes its connections one after the other, its listening
# socket among them. Within this time a connection that was still accepted is
# reset; on a busy machine it takes a few milliseconds.
SETTLING_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What was seen of an endpoint after it closed a connection.

    Attributes:
        listens: Whether it accepts new connections; None if that is not known.
        others: Its other connections that were open at the close.
        lost: Those of them that the endpoint has closed since.
    """

    listens: bool | None
    others: int
    lost: int


def is_whole(evidence: Evidence) -> bool:
    """Whether the body is taken for whole.

    An endpoint that listens may have started again since, which its other
    connections show. A single one of them may have ended for its own reasons.
    """
    if evidence.listens is False:
        return False
    return not evidence.others or evidence.lost < evidence.others
