"""Tests of the trace API, its HTTP handlers and metrics, and the merging of its responses."""

import random

import orjson
from prometheus_client import CollectorRegistry, generate_latest
from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine
from tornado.web import Application

from tests.tracing.builders import HERE, OTHER, make_chunk, trace_id
from zincvale.bench.tracing_fleet import RequestMix, TracingFleet, trace_request
from zincvale.cli.trace_commands import (
    merge_attempts,
    merge_search_results,
    most_complete_copy,
    parse_age_s,
)
from zincvale.model.errors import InvalidInputError, NotFoundError
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.api.query import find_traces, get_trace, read_query, traces_of_request
from zincvale.tracing.collector.effects import RetainTrace
from zincvale.tracing.collector.inputs import BatchReceived
from zincvale.tracing.collector.policies import ERROR_POLICY, SLOW_POLICY, Verdict
from zincvale.tracing.metrics import register_metrics
from zincvale.tracing.retention.retained_store import TraceQuery

NODES = 3


def make_fleet():
    fleet = TracingFleet(21)
    fleet.start(NODES)
    for service in fleet.services.values():
        service.recorder.limiter.set_rate(1.0)
    return fleet


class FakeConnection:
    """Connection that records what a handler writes, without a socket."""

    def __init__(self):
        self.status = 0
        self.body = b""

    def write_headers(self, start_line, headers, chunk=None):
        self.status = start_line.code
        self.body += chunk or b""

    def write(self, chunk):
        self.body += chunk

    def finish(self):
        pass

    def set_close_callback(self, callback):
        pass


def fetch(service, path):
    """Return (status, body) of a GET request, dispatched by tornado without an event loop."""
    connection = FakeConnection()
    request = HTTPServerRequest(
        connection=connection,
        start_line=RequestStartLine("GET", path, "HTTP/1.1"),
        headers=HTTPHeaders({"Host": "127.0.0.1"}),
    )
    application = Application(trace_api_routes(service), log_function=lambda handler: None)
    found = application.find_handler(request)
    handler = found.handler_class(application, request, **found.handler_kwargs)
    handler._transforms = []
    handler.get(*[argument.decode() for argument in found.path_args])
    return connection.status, orjson.loads(connection.body)


class Responses(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = make_fleet()
        draw = random.Random(2)
        ingress = self.fleet.services[HERE]
        self.trace_id, _ = trace_request(self.fleet, ingress, RequestMix(1.0), draw)
        self.fleet.run_until(self.fleet.now + 5.0)
        self.owner = self.fleet.services[ingress.collectors.owner(self.trace_id)]

    def run_until_decided(self):
        self.fleet.run_until(self.fleet.now + 60.0)

    def test_a_trace_is_returned_before_and_after_its_verdict(self):
        pending = get_trace(self.owner, self.trace_id)
        self.assertThat((pending["state"], len(pending["spans"])), Equals(("pending", 2)))
        [same] = traces_of_request(self.owner, pending["request_id"])["traces"]
        self.assertThat(same, Equals(pending))
        self.run_until_decided()
        kept = get_trace(self.owner, self.trace_id)
        self.assertThat((kept["state"], kept["policy"]), Equals(("kept", ERROR_POLICY)))
        self.assertThat(kept["spans"], Equals(pending["spans"]))

    def test_unknown_and_dropped_traces_are_not_found(self):
        self.assertRaises(NotFoundError, get_trace, self.owner, trace_id(77))
        self.assertRaises(NotFoundError, traces_of_request, self.owner, "no-such")
        self.owner.collector._verdicts.remember(trace_id(77), "")
        error = self.assertRaises(NotFoundError, get_trace, self.owner, trace_id(77))
        self.assertThat(error.problem, Contains("not kept"))

    def test_a_search_lists_replicas_but_counts_each_trace_once(self):
        self.run_until_decided()
        found = [find_traces(s, TraceQuery(route="quotes")) for s in self.fleet.services.values()]
        self.assertThat(sum(len(body["traces"]) for body in found), Equals(2))
        merged = merge_search_results(found, 10)
        self.assertThat([row["trace_id"] for row in merged["traces"]], Equals([self.trace_id]))
        self.assertThat(merged["estimate"]["total"], Equals(1.0))
        self.assertThat(round(merged["estimate"]["mean_ms"]), Equals(50))

    def test_http_requests_get_responses_and_error_statuses(self):
        self.run_until_decided()
        status, found = fetch(self.owner, "/v1/traces?route=quotes&since=5&limit=3")
        self.assertThat((status, len(found["traces"])), Equals((200, 1)))
        status, trace = fetch(self.owner, f"/v1/traces/{self.trace_id}")
        self.assertThat((status, trace["trace_id"]), Equals((200, self.trace_id)))
        status, attempts = fetch(self.owner, f"/v1/requests/{trace['request_id']}/trace")
        self.assertThat((status, attempts["traces"]), Equals((200, [trace])))
        self.assertThat(fetch(self.owner, "/v1/traces/0123")[0], Equals(404))
        status, error = fetch(self.owner, "/v1/traces?rout=quotes")
        self.assertThat((status, error["kind"]), Equals((422, "invalid")))

    def test_metrics_count_decided_and_retained_traces(self):
        registry = CollectorRegistry()
        register_metrics(self.owner, registry)
        self.run_until_decided()
        text = generate_latest(registry).decode()
        self.assertThat(text, Contains('zincvale_tracing_kept_total{policy="errors-always"} 1.0'))
        self.assertThat(text, Contains("zincvale_tracing_collector_decided_total 1.0"))


class Queries(TestCase):
    def test_url_arguments_are_parsed_and_validated(self):
        query = read_query({"route": "quotes", "since": "12.5", "limit": "7"})
        self.assertThat(query, Equals(TraceQuery(route="quotes", since=12.5, limit=7)))
        for arguments in ({"since": "yesterday"}, {"limit": "0"}, {"colour": "red"}):
            self.assertRaises(InvalidInputError, read_query, arguments)

    def test_ages_are_parsed_in_every_unit(self):
        ages = [parse_age_s(text) for text in ("90s", "15m", "2h", "1d", "30")]
        self.assertThat(ages, Equals([90.0, 900.0, 7200.0, 86_400.0, 30.0]))
        self.assertRaises(InvalidInputError, parse_age_s, "soon")


class Merging(TestCase):
    def test_merging_keeps_each_trace_once_with_the_attempts_in_order(self):
        fleet = make_fleet()
        here, other = fleet.services[HERE], fleet.services[OTHER]
        first = make_chunk(1, 1, request_id="r-7")
        second = make_chunk(2, 2, request_id="r-7")
        for service, chunks in ((here, [first]), (other, [first, second])):
            for chunk in chunks:
                verdict = Verdict(SLOW_POLICY, 1.0)
                service.replicator.handle(RetainTrace([chunk], verdict, False), 0.0)
        here.collector.handle(BatchReceived([attempt := make_chunk(3, 3, hops=1)]), 0.0)
        bodies = [
            traces_of_request(other, "r-0001"),
            traces_of_request(here, "r-0001"),
            traces_of_request(other, "r-0002"),
            traces_of_request(here, attempt.request_id),
        ]
        merged = merge_attempts(bodies)
        numbers = [trace["trace_id"] for trace in merged]
        self.assertThat(numbers, Equals([trace_id(1), trace_id(2), trace_id(3)]))
        self.assertThat([trace["state"] for trace in merged], Equals(["kept", "kept", "pending"]))
        self.assertIsNone(most_complete_copy([]))
        self.assertThat(merged, HasLength(3))
