"""How fast engines read prompts, learned for each model from first tokens.

Larger models read slower and nobody tells how much. Only requests that found
no other prompt unread at their engine are samples, so the time until the
first token is the time to read the prompt.

An instance of a large fleet seldom sees a sample of its own: of 195 instances
each sends one request of a busy model in a minute. So samples are told to the
lease's holder, and what it learns from all of them is told to everybody.
"""

import collections

# Tokens a second assumed for a model without samples: the operators' sheet of
# both sites says 19.1 a millisecond for the fastest.
_FIRST_RATE = 14_000.0
# Weight of a new sample.
_WEIGHT = 0.2
# Prompts shorter than this say little: their time is mostly the way.
_LEAST_TOKENS = 300
# The way and the first step take about this long, seconds.
_OVERHEAD = 0.012
_LEAST_SECONDS = 0.005
# Samples kept until they are told: more than come between two reports.
_SAMPLES_MOST = 20


class ReadingRates:
    """Tokens a second by model."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._untold: collections.deque[tuple[str, float]] = collections.deque(
            maxlen=_SAMPLES_MOST
        )

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Takes in a sample.

        Args:
            model: Which model read the prompt.
            tokens: Tokens that were not in its cache.
            seconds: From the send to the first token.
        """
        if tokens < _LEAST_TOKENS:
            return
        sample = tokens / max(seconds - _OVERHEAD, _LEAST_SECONDS)
        self._untold.append((model, round(sample)))
        self.note(model, sample)

    def note(self, model: str, sample: float) -> None:
        """Takes in a sample of anybody's, tokens a second."""
        known = self._rates.get(model, sample)
        self._rates[model] = known + (sample - known) * _WEIGHT

    def take_untold(self) -> list[tuple[str, float]]:
        """Returns own samples that were not told yet, by model."""
        samples = list(self._untold)
        self._untold.clear()
        return samples

    def adopt(self, model: str, rate: float) -> None:
        """Takes over what was learned from all samples, tokens a second."""
        self._rates[model] = rate

    def all(self) -> dict[str, float]:
        """Returns what is known, tokens a second by model."""
        return dict(self._rates)

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the seconds that a model takes to read some tokens."""
        return tokens / self._rates.get(model, _FIRST_RATE)
