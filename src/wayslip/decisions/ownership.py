"""Chooses the process that is expected to do a piece of work.

Uses rendezvous hashing over the live members: it needs no lease and no write,
and the loss of a member moves only that member's share. Ownership is a
preference, not a lock: two members with different lists may both act, and the
conditional updates of the objects keep that safe.
"""

from collections.abc import Iterable

import xxhash


def rank_owners(subject: str, members: Iterable[str]) -> list[str]:
    """Returns the members, the preferred owner of a subject first."""
    return sorted(
        members,
        key=lambda member: _weigh(subject, member),
        reverse=True,
    )


def find_owner(subject: str, members: Iterable[str]) -> str | None:
    """Returns the preferred owner of a subject, None without members."""
    return max(
        members,
        key=lambda member: _weigh(subject, member),
        default=None,
    )


def _weigh(subject: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}\0{member}".encode())
