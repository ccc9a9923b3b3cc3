"""Metrics of a process: counters and latency histograms.

Histograms are HDR histograms in microseconds, exported in the Prometheus text
format as summaries. All methods may be called from any thread.
"""

from collections.abc import Iterator
import threading

from hdrh import histogram
import prometheus_client
from prometheus_client import core

from wayslip import texts

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)
_US_PER_SECOND = 1_000_000


class Latency:
    """A histogram of durations, recorded and exported in seconds."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self.help_text = help_text
        self._lock = threading.Lock()
        self._histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Records one duration, clamped to the histogram's range."""
        us = min(max(int(seconds * _US_PER_SECOND), _LOWEST_US), _HIGHEST_US)
        with self._lock:
            self._histogram.record_value(us)
            self._sum += seconds

    def quantile(self, fraction: float) -> float:
        """Returns a quantile in seconds; `fraction` is between 0 and 1."""
        with self._lock:
            us = self._histogram.get_value_at_percentile(fraction * 100)
        return us / _US_PER_SECOND

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        with self._lock:
            return int(self._histogram.get_total_count())

    def collect(self) -> core.Metric:
        """Returns the histogram as a Prometheus summary with quantiles."""
        metric = core.Metric(self.name, self.help_text, "summary")
        for fraction in _QUANTILES:
            labels = {"quantile": str(fraction)}
            metric.add_sample(self.name, labels, self.quantile(fraction))
        metric.add_sample(f"{self.name}_count", {}, self.count)
        metric.add_sample(f"{self.name}_sum", {}, self._sum)
        return metric


class Metrics:
    """The metrics of one process, by name."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)  # type: ignore[arg-type]
        self._lock = threading.Lock()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._latencies: dict[str, Latency] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter; the first call determines its label names."""
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = prometheus_client.Counter(
                    f"wayslip_{name}",
                    name.replace("_", " "),
                    list(labels),
                    registry=self._registry,
                )
                self._counters[name] = counter
        if labels:
            counter = counter.labels(
                **{name: texts.escape(text) for name, text in labels.items()}
            )
        counter.inc(amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge, created on first use."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = prometheus_client.Gauge(
                    f"wayslip_{name}",
                    name.replace("_", " "),
                    registry=self._registry,
                )
                self._gauges[name] = gauge
        gauge.set(value)

    def value(self, name: str, **labels: str) -> float:
        """Returns a counter's value, 0 if nothing was counted."""
        full = f"wayslip_{name}_total"
        return self._registry.get_sample_value(full, labels) or 0.0

    def latency(self, name: str) -> Latency:
        """Returns the histogram of a name, created on first use."""
        with self._lock:
            if name not in self._latencies:
                self._latencies[name] = Latency(
                    f"wayslip_{name}_seconds", name.replace("_", " ")
                )
            return self._latencies[name]

    def collect(self) -> Iterator[core.Metric]:
        """Yields the histograms; called by the Prometheus registry."""
        with self._lock:
            latencies = list(self._latencies.values())
        for latency in latencies:
            yield latency.collect()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
