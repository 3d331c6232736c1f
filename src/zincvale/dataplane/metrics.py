"""Prometheus metrics of the native request path. Their names and help texts are public."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from zincvale.model.identifiers import RouteName
from zincvale.model.outcomes import Outcome, RefusalReason

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
REFUSAL_LABELS = frozenset(reason.value for reason in RefusalReason)


class Metrics:
    """All metrics of one node, in a registry of their own.

    The children of labelled metrics are cached, since looking one up costs more than counting.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._outcomes = Counter(
            "zincvale_requests",
            "Finished requests",
            ["route", "outcome", "reason"],
            registry=self.registry,
        )
        self._latency = self._histogram("zincvale_request_seconds", "Arrival to outcome")
        self._first_piece = self._histogram(
            "zincvale_first_piece_seconds", "Arrival to a stream's first piece"
        )
        self._retries = Counter(
            "zincvale_retries", "Requests sent again", ["route"], registry=self.registry
        )
        self._ejections = Counter(
            "zincvale_server_ejections", "Ejections", ["server"], registry=self.registry
        )
        self.continuations = Counter(
            "zincvale_stream_continuations",
            "Streams that went on at another server",
            registry=self.registry,
        )
        self.mismatches = Counter(
            "zincvale_mismatched_answers",
            "Answers that belonged to another request",
            registry=self.registry,
        )
        self.active = Gauge(
            "zincvale_active_requests", "Requests under way", registry=self.registry
        )
        self.waiting = Gauge(
            "zincvale_waiting_requests", "Requests that wait", registry=self.registry
        )
        self._outcome_children: dict[tuple[str, Outcome, str], Counter] = {}
        self._latency_children: dict[str, Histogram] = {}

    def record_finished(
        self, route: RouteName, outcome: Outcome, reason: str, seconds: float
    ) -> None:
        """Count a finished request."""
        # Only refusals have a closed set of reasons; free text must not become a label.
        label = reason if outcome is Outcome.REFUSED and reason in REFUSAL_LABELS else ""
        key = (route, outcome, label)
        child = self._outcome_children.get(key)
        if child is None:
            child = self._outcomes.labels(route, outcome.value, label)
            self._outcome_children[key] = child
        child.inc()
        latency = self._latency_children.get(route)
        if latency is None:
            latency = self._latency_children[route] = self._latency.labels(route)
        latency.observe(seconds)

    def record_first_piece(self, route: RouteName, seconds: float) -> None:
        """Observe the time to a stream's first chunk."""
        self._first_piece.labels(route).observe(seconds)

    def record_retry(self, route: RouteName) -> None:
        """Count a retry."""
        self._retries.labels(route).inc()

    def record_ejection(self, server: str) -> None:
        """Count an ejection."""
        self._ejections.labels(server).inc()

    def exposition(self) -> bytes:
        """Return the text that Prometheus scrapes."""
        return generate_latest(self.registry)

    def _histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            name, description, ["route"], buckets=LATENCY_BUCKETS_S, registry=self.registry
        )
