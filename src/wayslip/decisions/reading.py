"""Estimates the prefill rate of each model from times to first token.

Prefill is the reading of a prompt; larger models do it more slowly, and their
rates are not announced. Only requests that found no other unread prompt at
their engine are samples, so that the time to the first token is about the time
to read the prompt.

Load pattern: an engine is seldom idle, and requests of other instances are
known late. Half of the samples waited behind a prompt that was not reported
yet, or were read between the decoding steps of many running requests. A slow
sample therefore says little and a fast one much: the estimate is kept at a
value that about one sample in six exceeds.

An instance of a large fleet gets few samples of its own: of 195 instances,
each sends about one request a minute for a busy model. Samples are therefore
reported to the lease holder, which announces the rates estimated from all.
"""

import collections

# Rate assumed for a model without samples, tokens a second. The operators
# specify 19,100 for the fastest model.
_DEFAULT_RATE = 14_000.0
# Weights of a sample above the estimate, and of one below it. On busy engines
# the true rates of two models, 54,600 and 19,100 tokens a second, exceed 83 %
# and 82 % of the samples; with these weights the estimate converges there.
_FASTER_WEIGHT = 0.2
_SLOWER_WEIGHT = 0.02
# Minimum prompt length of a sample; shorter ones mostly measure the latency of
# the network.
_MIN_TOKENS = 300
# Approximate time of the network and the first decoding step.
_OVERHEAD_SECONDS = 0.012
_MIN_SECONDS = 0.005
# Samples kept until they are reported; more than arrive between two reports.
_MAX_SAMPLES = 20


class ReadingRates:
    """Estimated prefill rates by model, tokens a second."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._unreported: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )

    def learn(
        self, model: str, tokens: int, seconds: float, factor: float = 1.0
    ) -> None:
        """Records a sample of this instance.

        Args:
            model: The model that read the prompt.
            tokens: Tokens that were not in its cache.
            seconds: Time from the send to the first token.
            factor: Time factor of the engine meanwhile. The rate is that of a
                usual engine; otherwise the fastest ones would set the rate
                assumed of all.
        """
        if tokens < _MIN_TOKENS:
            return
        read_seconds = max(seconds - _OVERHEAD_SECONDS, _MIN_SECONDS)
        sample = tokens / read_seconds * factor
        self._unreported.append((model, round(sample)))
        self.note(model, sample)

    def note(self, model: str, sample: float) -> None:
        """Updates the estimate by a sample of any instance, tokens a second."""
        known = self._rates.get(model, sample)
        weight = _FASTER_WEIGHT if sample > known else _SLOWER_WEIGHT
        self._rates[model] = known + (sample - known) * weight

    def take_unreported(self) -> list[tuple[str, float]]:
        """Removes and returns this instance's unreported samples, by model."""
        samples = list(self._unreported)
        self._unreported.clear()
        return samples

    def set_rate(self, model: str, rate: float) -> None:
        """Sets the rate estimated from all samples, tokens a second."""
        self._rates[model] = rate

    def all(self) -> dict[str, float]:
        """Returns the estimated rates by model, tokens a second."""
        return dict(self._rates)

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the seconds that a model takes to read some tokens."""
        return tokens / self._rates.get(model, _DEFAULT_RATE)
