"""How fast engines read prompts, learned for each model from first tokens.

Larger models read slower and nobody tells how much. Only requests that found
no other prompt unread at their engine are samples, so the time until the
first token is the time to read the prompt.

Load pattern: an engine is seldom free, and what others have sent there is
known late. Half of the samples waited behind a prompt that nobody had told of
yet, or read between the steps of many running requests. So a slow sample says
little, and a fast one much: the rate is kept where about one in six is faster.

An instance of a large fleet seldom sees a sample of its own: of 195 instances
each sends one request of a busy model in a minute. So samples are told to the
lease's holder, and what it learns from all of them is told to everybody.
"""

import collections

# Tokens a second assumed for a model without samples: the operators' sheet of
# both sites says 19.1 a millisecond for the fastest.
_DEFAULT_RATE = 14_000.0
# Weights of a new sample that is faster than what is known, and of a slower
# one. Of samples on busy engines the known rates of two kinds of model, 54,600
# and 19,100 tokens a second, were faster than 83 and 82 in 100; with these
# weights the estimate settles there.
_FASTER_WEIGHT = 0.2
_SLOWER_WEIGHT = 0.02
# Prompts shorter than this say little: their time is mostly the way.
_MIN_TOKENS = 300
# The way and the first step take about this long, seconds.
_OVERHEAD_SECONDS = 0.012
_MIN_SECONDS = 0.005
# Samples kept until they are told: more than come between two reports.
_MAX_SAMPLES = 20


class ReadingRates:
    """Tokens a second by model."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._unreported: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Takes in a sample.

        Args:
            model: Which model read the prompt.
            tokens: Tokens that were not in its cache.
            seconds: From the send to the first token.
        """
        if tokens < _MIN_TOKENS:
            return
        sample = tokens / max(seconds - _OVERHEAD_SECONDS, _MIN_SECONDS)
        self._unreported.append((model, round(sample)))
        self.note(model, sample)

    def note(self, model: str, sample: float) -> None:
        """Takes in a sample of anybody's, tokens a second."""
        known = self._rates.get(model, sample)
        weight = _FASTER_WEIGHT if sample > known else _SLOWER_WEIGHT
        self._rates[model] = known + (sample - known) * weight

    def take_unreported(self) -> list[tuple[str, float]]:
        """Returns own samples that were not told yet, by model."""
        samples = list(self._unreported)
        self._unreported.clear()
        return samples

    def set_rate(self, model: str, rate: float) -> None:
        """Takes over what was learned from all samples, tokens a second."""
        self._rates[model] = rate

    def all(self) -> dict[str, float]:
        """Returns what is known, tokens a second by model."""
        return dict(self._rates)

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the seconds that a model takes to read some tokens."""
        return tokens / self._rates.get(model, _DEFAULT_RATE)
