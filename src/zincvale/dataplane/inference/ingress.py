"""Entry of callers' requests: parsing, admission, and the start of their state machines."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import attrs

from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.context import NodeContext
from zincvale.dataplane.inference.events import Refusal, SendResponse, Started
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_trace import RequestTrace
from zincvale.dataplane.inference.requests import (
    CallerRequest,
    generate_request_id,
    read_deadline_s,
    read_inference_request,
    read_request_id,
    read_resume_after,
    request_digest,
)
from zincvale.dataplane.inference.runner import RequestRunner
from zincvale.dataplane.inference.stream_relay import CallerSink
from zincvale.dataplane.inference.verdicts import Rejected
from zincvale.model.errors import InvalidInputError, MalformedBodyError
from zincvale.model.identifiers import RequestId, RouteName
from zincvale.model.outcomes import Outcome, RefusalReason
from zincvale.model.resources import PoolKind, RouteSpec

NOT_READY_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class RequestIngress:
    """Starts requests and reports whether the node is ready for them."""

    context: NodeContext
    random: Random
    is_draining: bool = False

    def begin(
        self,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        sink: CallerSink,
    ) -> RequestRunner | None:
        """Start a request; None when it was refused at once, as malformed or without a route."""
        route_entry = self.context.routing_state.route_by_path.get(path)
        if route_entry is None:
            self._refuse_unknown_path(path, headers, sink)
            return None
        try:
            request = self._read_request(route_entry[0], route_entry[1], headers, body)
        except (InvalidInputError, MalformedBodyError) as error:
            self._refuse_malformed(headers, error, route_entry[0], sink)
            return None
        return self._start_runner(request, route_entry[1], sink)

    def unready_reason(self) -> str:
        """Return why callers should use another node, empty when this node is ready."""
        routing_state = self.context.routing_state
        if self.is_draining:
            return "draining"
        if not self.context.ready():
            return "no fresh configuration"
        if routing_state.zone_evacuated(routing_state.zone):
            return f"zone {routing_state.zone} is evacuated"
        return ""

    def exposition(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        metrics = self.context.metrics
        metrics.active.set(len(self.context.verdict_receivers))
        pools = self.context.routing_state.pools
        waiting = sum(self.context.scheduler.waiting_count(name) for name in pools)
        metrics.waiting.set(waiting)
        return metrics.exposition()

    def _read_request(
        self, name: RouteName, route: RouteSpec, headers: Mapping[str, str], body: bytes
    ) -> CallerRequest:
        caller_request_id = read_request_id(headers)
        pool = self.context.routing_state.pool_of(route)
        kind = PoolKind.LANGUAGE_MODEL if pool is None else pool.spec.kind
        now = self.context.clock()
        return CallerRequest(
            request_id=caller_request_id or generate_request_id(self.random),
            caller_named_it=caller_request_id is not None,
            route=name,
            digest=request_digest(name, body),
            inference_request=read_inference_request(body, route, kind),
            received_at=now,
            deadline_at=now + read_deadline_s(headers, route),
            resume_after=read_resume_after(headers),
        )

    def _start_runner(
        self,
        request: CallerRequest,
        route: RouteSpec,
        sink: CallerSink,
    ) -> RequestRunner:
        context = self.context
        token = context.next_token()
        root = context.spans.start("request", attributes=_span_attributes(request))
        runner = RequestRunner(
            context,
            RequestMachine(request, route),
            context.routing_state.pool_of(route),
            sink,
            RequestTrace(context.spans, root),
            token,
        )
        context.verdict_receivers[token] = runner
        refusal = self._admit(request, route, token, runner)
        runner.start_deadline(request.deadline_at - context.clock())
        runner.feed(Started(refusal))
        return runner

    def _admit(
        self, request: CallerRequest, route: RouteSpec, token: int, runner: RequestRunner
    ) -> Refusal | None:
        if not self.context.ready():
            problem = "this node has no fresh configuration"
            return Refusal(RefusalReason.NOT_READY, problem, retry_after_s=NOT_READY_RETRY_AFTER_S)
        rejection = self.context.scheduler.admit(request, route, token, self.context.clock())
        if isinstance(rejection, Rejected):
            return Refusal(
                rejection.reason, rejection.problem, retry_after_s=rejection.retry_after_s
            )
        runner.is_admitted = True
        return None

    def _refuse_unknown_path(
        self,
        path: str,
        headers: Mapping[str, str],
        sink: CallerSink,
    ) -> None:
        if self.context.routing_state.intent.version == 0:
            refusal = Refusal(RefusalReason.NOT_READY, "this node has no configuration yet")
        else:
            refusal = Refusal(
                RefusalReason.NO_ROUTE, f"no route has the path {path}", "declare a Route for it"
            )
        self._send(responses.refused(_request_id_or_generated(headers, self.random), refusal), sink)

    def _refuse_malformed(
        self,
        headers: Mapping[str, str],
        error: InvalidInputError | MalformedBodyError,
        route: RouteName,
        sink: CallerSink,
    ) -> None:
        reason = RefusalReason.INVALID.value
        self.context.metrics.record_finished(route, Outcome.REFUSED, reason, 0.0)
        response = responses.malformed(_request_id_or_generated(headers, self.random), error)
        self._send(response, sink)

    def _send(self, response: SendResponse, sink: CallerSink) -> None:
        sink.send_response(response.status, dict(response.headers), response.body)


def _request_id_or_generated(headers: Mapping[str, str], random: Random) -> RequestId:
    try:
        return read_request_id(headers) or generate_request_id(random)
    except InvalidInputError:
        return generate_request_id(random)


def _span_attributes(request: CallerRequest) -> dict[str, str | int | float | bool]:
    attributes: dict[str, str | int | float | bool] = {
        "request_id": request.request_id,
        "route": request.route,
    }
    inference_request = request.inference_request
    if inference_request.model:
        attributes["model"] = inference_request.model
    if inference_request.adapter:
        attributes["adapter"] = inference_request.adapter
    if request.resume_after is not None:
        attributes["resumed_at"] = request.resume_after
    return attributes
