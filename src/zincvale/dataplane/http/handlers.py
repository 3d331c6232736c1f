"""What the platform and operators ask of a node's `api_address` besides callers' requests."""

from __future__ import annotations

import tornado.web

from zincvale.dataplane.inference.ingress import RequestEntry

SERVICE_UNAVAILABLE = 503
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ReadyHandler(tornado.web.RequestHandler):
    """`GET /ready`: whether the platform may hand callers to this node."""

    def initialize(self, entry: RequestEntry) -> None:
        """Take what the node's requests share."""
        self._entry = entry

    def get(self) -> None:
        """Answer 200 or 503 with the reason."""
        problem = self._entry.unready_reason()
        if problem:
            self.set_status(SERVICE_UNAVAILABLE)
        self.finish({"ready": not problem, "reason": problem})


class HealthHandler(tornado.web.RequestHandler):
    """`GET /healthz`: the process is alive."""

    def get(self) -> None:
        """Answer 200."""
        self.finish({"alive": True})


class MetricsHandler(tornado.web.RequestHandler):
    """`GET /metrics`: Prometheus exposition."""

    def initialize(self, entry: RequestEntry) -> None:
        """Take what the node's requests share."""
        self._entry = entry

    def get(self) -> None:
        """Answer the exposition text."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self._entry.exposition())
