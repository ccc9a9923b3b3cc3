"""How fast engines read prompts, learned for each model from first tokens.

Larger models read slower and nobody tells how much. Only requests that found
no other prompt unread at their engine are samples, so the time until the
first token is the time to read the prompt.
"""

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


class ReadingRates:
    """Tokens a second by model."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

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
        known = self._rates.get(model, sample)
        self._rates[model] = known + (sample - known) * _WEIGHT

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the seconds that a model takes to read some tokens."""
        return tokens / self._rates.get(model, _FIRST_RATE)
