"""Which process usually does a piece of work.

Rendezvous hashing over the live members: no lease, no write, and the loss of
a member moves only its own share. It decides who acts first, never who may:
two members that see different lists may both act, and the conditional updates
of the objects keep that safe.
"""

from collections.abc import Iterable

import xxhash


def rank_owners(subject: str, members: Iterable[str]) -> list[str]:
    """Returns the members, the usual owner of a subject first."""
    return sorted(
        members,
        key=lambda member: _weigh(subject, member),
        reverse=True,
    )


def find_owner(subject: str, members: Iterable[str]) -> str | None:
    """Returns the usual owner of a subject, None without members."""
    return max(
        members,
        key=lambda member: _weigh(subject, member),
        default=None,
    )


def _weigh(subject: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}\0{member}".encode())
