"""Who calls: organisations, their keys and their quotas.

A key is held as its digest only. What an attacker could learn from the time
that a lookup takes is then how far two digests agree, which says nothing of
the key; and neither a dump, a log nor a copy of the configuration shows it.
"""

import dataclasses
import enum
import hashlib

# Of an organisation that has none: what engines take where none is told, from
# the operators' pages.
DEFAULT_PRIORITY = 5


class Unit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What an organisation may send over all instances together.

    Attributes:
        rate: Units a second; 0 for no limit.
        burst: Units on top that may be saved up.
        unit: What is counted.
        plain: Units of a request that tells no number of tokens.
    """

    rate: float = 0.0
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    plain: float = 1.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate > 0

    def measure(self, tokens: int) -> float:
        """Returns the units of a request.

        Args:
            tokens: Of its prompt and the most it may generate; 0 if it tells
                none.
        """
        if self.unit is Unit.REQUESTS:
            return 1.0
        return float(tokens) if tokens else self.plain


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose requests carry one of its keys.

    Attributes:
        keys: Digests of its keys; see `hash_key`.
        priority: Of its requests, before that of the route; None for the
            route's own.
    """

    name: str
    keys: tuple[bytes, ...] = ()
    priority: int | None = None
    quota: Quota = Quota()


def hash_key(key: bytes) -> bytes:
    """Returns the digest under which a key is held.

    Keys are drawn at random and are long, so a plain hash can not be undone by
    guessing; a slow one would cost every request what it costs a guess.
    """
    return hashlib.sha256(key).digest()
