"""Handlers of readiness, health and metrics on a node's `api_address`."""

from __future__ import annotations

import tornado.web

from zincvale.dataplane.inference.ingress import RequestIngress

SERVICE_UNAVAILABLE = 503
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ReadyHandler(tornado.web.RequestHandler):
    """`GET /ready`: whether the platform may send callers to this node."""

    def initialize(self, ingress: RequestIngress) -> None:
        """Set the node's ingress, which knows its readiness and metrics."""
        self._ingress = ingress

    def get(self) -> None:
        """Respond with 200, or with 503 and the reason."""
        problem = self._ingress.unready_reason()
        if problem:
            self.set_status(SERVICE_UNAVAILABLE)
        self.finish({"ready": not problem, "reason": problem})


class HealthHandler(tornado.web.RequestHandler):
    """`GET /healthz`: whether the process is alive."""

    def get(self) -> None:
        """Respond with 200."""
        self.finish({"alive": True})


class MetricsHandler(tornado.web.RequestHandler):
    """`GET /metrics`: the node's metrics in the Prometheus text format."""

    def initialize(self, ingress: RequestIngress) -> None:
        """Set the node's ingress, which knows its readiness and metrics."""
        self._ingress = ingress

    def get(self) -> None:
        """Respond with the metrics."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self._ingress.exposition())
