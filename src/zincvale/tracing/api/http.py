"""HTTP handlers of the trace API of one member."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from tornado.web import RequestHandler

from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import TraceId
from zincvale.tracing.api.query import find_traces, get_trace, read_query, traces_of_request
from zincvale.tracing.service import TracingService

Route = tuple[str, type[RequestHandler], dict[str, Any]]


class _TraceHandler(RequestHandler):
    """Base of the handlers: writes responses and errors as JSON."""

    def initialize(self, service: TracingService) -> None:
        """Set the tracing service that responses are read from."""
        self.service = service

    def respond(self, make_body: Callable[[], dict[str, Any]]) -> None:
        """Write what `make_body` returns, or the error it raises."""
        try:
            body = make_body()
        except ZincvaleError as error:
            self.set_status(error.http_status)
            body = error.to_json()
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class FindHandler(_TraceHandler):
    """`GET /v1/traces?route=&server=&outcome=&policy=&since=&limit=`."""

    def get(self) -> None:
        """Respond with the matching retained traces of this member."""
        arguments = {name: self.get_query_argument(name) for name in self.request.query_arguments}
        self.respond(lambda: find_traces(self.service, read_query(arguments)))


class TraceHandler(_TraceHandler):
    """`GET /v1/traces/ID`."""

    def get(self, trace_id: str) -> None:
        """Respond with one retained or undecided trace."""
        self.respond(lambda: get_trace(self.service, TraceId(trace_id)))


class TracesOfRequestHandler(_TraceHandler):
    """`GET /v1/requests/ID/trace`."""

    def get(self, request_id: str) -> None:
        """Respond with the traces of one request."""
        self.respond(lambda: traces_of_request(self.service, request_id))


def trace_api_routes(service: TracingService) -> list[Route]:
    """Return the tornado routes of the trace API."""
    arguments = {"service": service}
    return [
        (r"/v1/traces", FindHandler, arguments),
        (r"/v1/traces/([0-9a-f]+)", TraceHandler, arguments),
        (r"/v1/requests/([^/]+)/trace", TracesOfRequestHandler, arguments),
    ]
