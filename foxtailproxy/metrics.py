"""Latency histograms for each class and tenant, and counters, exported through OpenTelemetry."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from opentelemetry.metrics import CallbackOptions, Observation

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2

MAX_TENANTS = 50
"""Maximum number of tenants with a separate histogram; the others share one."""

OTHER_TENANTS = "(other)"

QUANTILES = (50.0, 90.0, 99.0, 99.9)


class HistogramSummary(msgspec.Struct):
    """Summary of a latency histogram; times are in milliseconds."""

    name: str
    count: int
    mean_ms: float
    max_ms: float
    quantiles_ms: dict[str, float]
    buckets: list[tuple[float, int]]


class Metrics:
    """Latency histograms and counters of this node's calls."""

    def __init__(self) -> None:
        self.histogram_by_class: dict[str, HdrHistogram] = {}
        self.histogram_by_tenant: dict[str, HdrHistogram] = {}
        self.calls_by_outcome: Counter[tuple[str, str]] = Counter()
        self.retries = 0
        self.claims = 0
        self.authentications: Counter[str] = Counter()
        self.no_allowed_target = 0
        self.previews = 0

    def record(self, class_key: str, tenant: str, outcome: str, elapsed_ms: float) -> None:
        """Record the outcome and latency of a call."""
        elapsed_us = max(MIN_LATENCY_US, int(elapsed_ms * 1000))
        self._get_histogram(self.histogram_by_class, class_key).record_value(elapsed_us)
        self.calls_by_outcome[class_key, outcome] += 1
        if not tenant:
            return
        if tenant not in self.histogram_by_tenant and len(self.histogram_by_tenant) >= MAX_TENANTS:
            tenant = OTHER_TENANTS
        self._get_histogram(self.histogram_by_tenant, tenant).record_value(elapsed_us)

    def summaries(self) -> list[HistogramSummary]:
        """Return the summaries of all histograms."""
        labelled_histograms = [
            (f"class {name}", histogram) for name, histogram in self.histogram_by_class.items()
        ]
        labelled_histograms += [
            (f"tenant {name}", histogram) for name, histogram in self.histogram_by_tenant.items()
        ]
        return [summarize(name, histogram) for name, histogram in sorted(labelled_histograms)]

    @staticmethod
    def _get_histogram(histograms: dict[str, HdrHistogram], name: str) -> HdrHistogram:
        histogram = histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            histograms[name] = histogram
        return histogram


def summarize(name: str, histogram: HdrHistogram) -> HistogramSummary:
    """Return the summary of a histogram that holds microseconds."""
    quantiles = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }
    buckets = [
        (item.value_iterated_to / 1000, item.count_added_in_this_iter_step)
        for item in histogram.get_log_iterator(100, 2)
        if item.count_added_in_this_iter_step
    ]
    return HistogramSummary(
        name,
        histogram.get_total_count(),
        histogram.get_mean_value() / 1000,
        histogram.get_max_value() / 1000,
        quantiles,
        buckets,
    )


class MetricsExport:
    """Export of the metrics through OpenTelemetry in the Prometheus text format."""

    def __init__(self, metrics: Metrics, gauges: Callable[[], dict[str, float]]) -> None:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from prometheus_client import REGISTRY, generate_latest

        self._metrics = metrics
        self._gauges = gauges
        self._render = lambda: generate_latest(REGISTRY)
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        meter = provider.get_meter("foxtailproxy")
        meter.create_observable_gauge("foxtailproxy_latency", [self._observe_latencies], unit="ms")
        meter.create_observable_counter("foxtailproxy_calls", [self._observe_calls])
        meter.create_observable_counter(
            "foxtailproxy_authentications", [self._observe_authentications]
        )
        meter.create_observable_gauge("foxtailproxy_state", [self._observe_state])

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._render()

    def _observe_latencies(self, options: CallbackOptions) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for summary in self._metrics.summaries():
            for quantile, value in summary.quantiles_ms.items():
                yield Observation(value, {"of": summary.name, "quantile": quantile})

    def _observe_calls(self, options: CallbackOptions) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for (class_key, outcome), count in self._metrics.calls_by_outcome.items():
            yield Observation(count, {"class": class_key, "outcome": outcome})

    def _observe_authentications(self, options: CallbackOptions) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for result, count in self._metrics.authentications.items():
            yield Observation(count, {"result": result})

    def _observe_state(self, options: CallbackOptions) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for name, value in self._gauges().items():
            yield Observation(value, {"name": name})
