"""Responses of the trace API, from the retained and undecided traces of this member."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from zincvale.model.errors import InvalidInputError, NotFoundError
from zincvale.model.identifiers import TraceId
from zincvale.tracing.api.estimates import estimate
from zincvale.tracing.collector.pending_trace import PendingTrace
from zincvale.tracing.collector.verdict_cache import DROPPED
from zincvale.tracing.recorder.spans import decode_spans, subject_of
from zincvale.tracing.retention.retained_store import TraceQuery
from zincvale.tracing.service import TracingService

MAX_LIMIT = 1000
"""Maximum number of traces that a search returns."""
TEXT_ARGUMENT_COUNT = 5
"""How many of the known arguments are text; they come first."""
RETAINED_STATE = "kept"
PENDING_STATE = "pending"
"""State of a trace that has no verdict yet."""


def read_query(arguments: Mapping[str, str]) -> TraceQuery:
    """Return the query that URL arguments describe; raises `InvalidInputError`."""
    known = ("name", "route", "server", "outcome", "policy", "since", "limit")
    for name in arguments:
        if name not in known:
            raise InvalidInputError(f"unknown argument {name!r}", f"known are {', '.join(known)}")
    since = _read_number(arguments, "since", 0.0)
    limit = int(_read_number(arguments, "limit", TraceQuery().limit))
    if not 0 < limit <= MAX_LIMIT:
        raise InvalidInputError(f"limit is {limit}", f"use 1 to {MAX_LIMIT}")
    text_arguments = {field: arguments.get(field, "") for field in known[:TEXT_ARGUMENT_COUNT]}
    return TraceQuery(**text_arguments, since=since, limit=limit)


def find_traces(service: TracingService, query: TraceQuery) -> dict[str, Any]:
    """Return the retained traces that match, newest first, and the estimate over all of them.

    The estimate leaves replicas out, so that the members' estimates can be added up.
    """
    own = (trace for trace in service.store.rows() if trace.primary == service.member_id)
    matching = (trace.summary() for trace in own if query.matches(trace))
    return {
        "member": service.member_id,
        "traces": [trace.summary() for trace in service.store.find(query)],
        "estimate": estimate(matching).to_json(),
        "complete_since": dict(service.store.complete_since),
        "evicted": dict(service.store.evicted),
    }


def get_trace(service: TracingService, trace_id: TraceId) -> dict[str, Any]:
    """Return one complete trace, retained or still undecided; raises `NotFoundError`."""
    retained = service.store.get(trace_id)
    if retained is not None:
        return {"state": RETAINED_STATE, **retained.to_json()}
    pending_trace = service.collector.pending(trace_id)
    if pending_trace is not None:
        return _pending_json(trace_id, pending_trace)
    if service.collector.primary_of(trace_id) == DROPPED:
        raise NotFoundError(
            f"trace {trace_id} was not kept: no policy retained it",
            "only errors, slow requests and a share of the others are kept",
        )
    raise NotFoundError(f"no trace {trace_id} on {service.member_id}", "ask the other nodes")


def traces_of_request(service: TracingService, request_id: str) -> dict[str, Any]:
    """Return the traces of a request's attempts, newest first; raises `NotFoundError`."""
    traces = [
        {"state": RETAINED_STATE, **trace.to_json()}
        for trace in service.store.by_request(request_id)
    ]
    pending = service.collector.pending_of_request(request_id)
    traces += [_pending_json(pending_trace.trace_id, pending_trace) for pending_trace in pending]
    if not traces:
        raise NotFoundError(
            f"no trace of request {request_id!r} on {service.member_id}", "ask the other nodes"
        )
    return {"member": service.member_id, "traces": traces}


def _pending_json(trace_id: TraceId, pending_trace: PendingTrace) -> dict[str, Any]:
    spans = [span for chunk in pending_trace.chunks for span in decode_spans(chunk.body)]
    spans.sort(key=lambda span: span.start_wall_s)
    root = next((span for span in spans if span.is_root), None)
    attributes = root.attributes if root else {}
    return {
        "state": PENDING_STATE,
        "trace_id": trace_id,
        "name": root.name if root else "",
        "request_id": subject_of(attributes),
        "route": attributes.get("route", ""),
        "outcome": attributes.get("outcome", ""),
        "error": next((span.failure for span in spans if span.failure), ""),
        "policy": "",
        "weight": 0.0,
        "spans": [span.to_json() for span in spans],
    }


def _read_number(arguments: Mapping[str, str], name: str, default: float) -> float:
    text = arguments.get(name, "")
    if not text:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise InvalidInputError(f"{name} is {text!r}", "write a number") from error
