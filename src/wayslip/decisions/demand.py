"""Request rates of items, with exponential decay."""

from collections.abc import Hashable
import math
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

# Rates below this are dropped, requests per second.
_MIN_RATE = 0.01


class Rates(Generic[K]):
    """Exponentially decaying rates by key, requests per second.

    Args:
        decay_seconds: Time constant; after it a request counts for 1/e.
    """

    def __init__(self, decay_seconds: float) -> None:
        self._decay_seconds = decay_seconds
        self._rates: dict[K, tuple[float, float]] = {}

    def add(self, key: K, count: float, now: float) -> None:
        """Adds `count` requests to a key's rate."""
        self._rates[key] = (
            self.get(key, now) + count / self._decay_seconds,
            now,
        )

    def set(self, key: K, rate: float, now: float) -> None:
        """Replaces a key's rate by one received from another instance."""
        self._rates[key] = (rate, now)

    def get(self, key: K, now: float) -> float:
        """Returns a key's rate, decayed to `now`."""
        rate, at = self._rates.get(key, (0.0, now))
        return rate * math.exp(-(now - at) / self._decay_seconds)

    def all(self, now: float) -> dict[K, float]:
        """Returns all rates; drops those below the minimum."""
        rates = {key: self.get(key, now) for key in self._rates}
        for key, rate in rates.items():
            if rate < _MIN_RATE:
                del self._rates[key]
        return {k: r for k, r in rates.items() if r >= _MIN_RATE}
