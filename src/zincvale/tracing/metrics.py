"""Prometheus metrics of tracing, read from its state machines when they are scraped."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector as MetricsCollector
from prometheus_client.registry import CollectorRegistry

from zincvale.tracing.service import TracingService


class TracingMetrics(MetricsCollector):
    """Reads the statistics of one service at each scrape, which costs requests nothing."""

    def __init__(self, service: TracingService) -> None:
        self._service = service

    def collect(self) -> Iterator[Metric]:
        """Yield every metric of tracing."""
        yield from self._recorder_metrics()
        yield from self._sender_metrics()
        yield from self._collector_metrics()
        yield from self._retention_metrics()

    def _recorder_metrics(self) -> Iterator[Metric]:
        recorder = self._service.recorder
        stats = {"traces": recorder.limiter.counted, **attrs.asdict(recorder.stats)}
        yield from _counters("recorder", stats)
        yield _gauge("sampling_rate", "Probability of the head decision.", recorder.limiter.rate)
        yield _gauge(
            "sampling_pressure",
            "Share of the sampling target that push-back leaves.",
            recorder.limiter.pressure,
        )

    def _sender_metrics(self) -> Iterator[Metric]:
        sender = self._service.sender
        stats = sender.stats
        totals = {"batches": stats.batches, "chunks": stats.chunks, "resent": stats.resent}
        yield from _counters("sender", totals)
        dropped = CounterMetricFamily(
            "zincvale_tracing_sender_dropped",
            "Chunks dropped from the full sender buffer.",
            labels=["kind"],
        )
        for kind in ("error", "other"):
            dropped.add_metric([kind], stats.dropped[kind])
        yield dropped
        yield _gauge("sender_queued_bytes", "Bytes that wait for a collector.", sender.queued_bytes)
        yield _gauge(
            "sender_retained_bytes",
            "Bytes kept until their collector's verdict.",
            sender.retained_bytes,
        )

    def _collector_metrics(self) -> Iterator[Metric]:
        collector = self._service.collector
        yield from _counters("collector", attrs.asdict(collector.stats))
        yield _gauge("collector_traces", "Undecided traces.", len(collector))
        yield _gauge("collector_bytes", "Bytes of undecided traces.", collector.size_bytes)

    def _retention_metrics(self) -> Iterator[Metric]:
        replicator = self._service.replicator
        retained = CounterMetricFamily(
            "zincvale_tracing_kept", "Traces kept, by policy.", labels=["policy"]
        )
        for policy, count in replicator.stats.retained_by_policy.items():
            retained.add_metric([policy], count)
        yield retained
        evicted = CounterMetricFamily(
            "zincvale_tracing_evicted", "Kept traces evicted by the byte budget.", labels=["class"]
        )
        for name, count in replicator.store.evicted.items():
            evicted.add_metric([name], count)
        yield evicted
        yield _gauge("kept_traces", "Kept traces and copies.", len(replicator.store))
        yield _gauge("kept_bytes", "Bytes of kept traces and copies.", replicator.store.size_bytes)


def register_metrics(service: TracingService, registry: CollectorRegistry) -> None:
    """Add the metrics of tracing to a daemon's registry."""
    registry.register(TracingMetrics(service))


def _counters(part: str, stats: dict[str, int]) -> Iterator[Metric]:
    for name, count in stats.items():
        documentation = f"Total of {name.replace('_', ' ')} in the {part}."
        yield CounterMetricFamily(f"zincvale_tracing_{part}_{name}", documentation, value=count)


def _gauge(name: str, documentation: str, value: float) -> Metric:
    return GaugeMetricFamily(f"zincvale_tracing_{name}", documentation, value=value)
