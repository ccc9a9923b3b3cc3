"""How often items are asked for, with older requests fading out."""

from collections.abc import Hashable
import math
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

# Below this a rate is forgotten, requests a second.
_MIN_RATE = 0.01


class Rates(Generic[K]):
    """Rates by key, requests a second.

    Args:
        decay_seconds: Seconds after which a request counts for a third.
    """

    def __init__(self, decay_seconds: float) -> None:
        self._decay_seconds = decay_seconds
        self._rates: dict[K, tuple[float, float]] = {}

    def add(self, key: K, count: float, now: float) -> None:
        """Counts requests."""
        self._rates[key] = (
            self.get(key, now) + count / self._decay_seconds,
            now,
        )

    def set(self, key: K, rate: float, now: float) -> None:
        """Takes a rate over from elsewhere."""
        self._rates[key] = (rate, now)

    def get(self, key: K, now: float) -> float:
        """Returns a key's rate."""
        rate, at = self._rates.get(key, (0.0, now))
        return rate * math.exp(-(now - at) / self._decay_seconds)

    def all(self, now: float) -> dict[K, float]:
        """Returns all rates, forgetting the faded ones."""
        rates = {key: self.get(key, now) for key in self._rates}
        for key, rate in rates.items():
            if rate < _MIN_RATE:
                del self._rates[key]
        return {k: r for k, r in rates.items() if r >= _MIN_RATE}
