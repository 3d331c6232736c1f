"""The handlers of readiness, health and metrics."""

from __future__ import annotations

import json

import tornado.testing
import tornado.web

from zincvale.dataplane.http.handlers import (
    METRICS_TYPE,
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
)


class Ingress:
    """A node's ingress, reduced to what the handlers read."""

    def __init__(self):
        self.reason = ""

    def unready_reason(self):
        return self.reason

    def exposition(self):
        return b"metric 1\n"


class HandlersTest(tornado.testing.AsyncHTTPTestCase):
    def get_app(self):
        self.ingress = Ingress()
        shared = {"ingress": self.ingress}
        return tornado.web.Application(
            [
                ("/ready", ReadyHandler, shared),
                ("/healthz", HealthHandler, {}),
                ("/metrics", MetricsHandler, shared),
            ]
        )

    def test_a_ready_node_responds_with_200(self):
        response = self.fetch("/ready")
        self.assertEqual(200, response.code)
        self.assertEqual({"ready": True, "reason": ""}, json.loads(response.body))

    def test_an_unready_node_responds_with_503_and_its_reason(self):
        self.ingress.reason = "draining"
        response = self.fetch("/ready")
        self.assertEqual(503, response.code)
        self.assertEqual({"ready": False, "reason": "draining"}, json.loads(response.body))

    def test_health_responds_that_the_process_is_alive(self):
        response = self.fetch("/healthz")
        self.assertEqual((200, {"alive": True}), (response.code, json.loads(response.body)))

    def test_metrics_are_served_in_the_prometheus_text_format(self):
        response = self.fetch("/metrics")
        self.assertEqual((200, b"metric 1\n"), (response.code, response.body))
        self.assertEqual(METRICS_TYPE, response.headers["Content-Type"])
