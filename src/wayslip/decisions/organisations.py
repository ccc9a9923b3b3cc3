"""Organisations, their keys and their quotas.

Only the digest of a key is stored. The duration of a lookup can then reveal
only how many leading bytes of two digests agree, which reveals nothing about
the key. Dumps, logs and copies of the configuration do not contain the key.
"""

import dataclasses
import enum
import hashlib

# Priority of an organisation without one: the default that engines use for
# requests without a priority.
DEFAULT_PRIORITY = 5


class Unit(enum.StrEnum):
    """The unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The quota of an organisation, over all instances together.

    Attributes:
        rate: Units per second; 0 for no limit.
        burst: Units that may accumulate while the rate is not used.
        unit: The unit of the quota.
        plain: Tokens counted for a request that does not state its tokens.
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
            tokens: Tokens of its prompt plus the most it may generate; 0 if
                it does not state them.
        """
        if self.unit is Unit.REQUESTS:
            return 1.0
        return float(tokens) if tokens else self.plain


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer, identified by the key of a request.

    Attributes:
        keys: Digests of its keys; see `hash_key`.
        priority: Priority of its requests, which takes precedence over that of
            the route; None to use the route's.
        quota: Its quota over all instances.
    """

    name: str
    keys: tuple[bytes, ...] = ()
    priority: int | None = None
    quota: Quota = Quota()


def hash_key(key: bytes) -> bytes:
    """Returns the digest under which a key is stored.

    Keys are long and random, so a fast hash can not be reversed by guessing. A
    slow password hash would add its cost to every request.
    """
    return hashlib.sha256(key).digest()
