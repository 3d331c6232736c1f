"""HTTP responses to callers for each outcome, and the events of streams."""

from __future__ import annotations

import math

import orjson

from zincvale.dataplane.http.event_reader import EventReader
from zincvale.dataplane.inference.events import Refusal, SendResponse
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import RequestId
from zincvale.model.outcomes import (
    HTTP_STATUS_BY_REASON,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    UNKNOWN_HTTP_STATUS,
    Outcome,
    RefusalReason,
)

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
SERVICE_UNAVAILABLE = 503


def answered(request_id: RequestId, body: bytes) -> SendResponse:
    """Return the response that contains a server's response body."""
    return SendResponse(200, _headers(Outcome.ANSWERED, request_id), body)


def refused(request_id: RequestId, refusal: Refusal) -> SendResponse:
    """Return the response to a refused request, which did not run and will not run."""
    status = HTTP_STATUS_BY_REASON[refusal.reason]
    headers = _headers(Outcome.REFUSED, request_id)
    if status == SERVICE_UNAVAILABLE:
        headers[RETRY_AFTER_HEADER] = str(max(1, math.ceil(refusal.retry_after_s)))
    body = orjson.dumps(
        {
            "outcome": Outcome.REFUSED.value,
            "reason": refusal.reason.value,
            "request_id": request_id,
            "problem": refusal.problem,
            "remedy": refusal.remedy,
        }
    )
    return SendResponse(status, headers, body)


def malformed(request_id: RequestId, error: ZincvaleError) -> SendResponse:
    """Return the response to a request that cannot be parsed, and so did not run."""
    refusal = Refusal(RefusalReason.INVALID, error.problem, error.remedy)
    response = refused(request_id, refusal)
    return SendResponse(error.http_status, response.headers, response.body)


def unknown(request_id: RequestId, problem: str, retry_after_s: float = 0.0) -> SendResponse:
    """Return the response to a request that may have run."""
    headers = _headers(Outcome.UNKNOWN, request_id)
    if retry_after_s > 0:
        headers[RETRY_AFTER_HEADER] = str(max(1, math.ceil(retry_after_s)))
    body = orjson.dumps(
        {
            "outcome": Outcome.UNKNOWN.value,
            "request_id": request_id,
            "problem": problem,
            "remedy": "send it again with the same X-Request-Id to learn its outcome",
        }
    )
    return SendResponse(UNKNOWN_HTTP_STATUS, headers, body)


def event(number: int, text: str) -> bytes:
    """Return one chunk encoded as a server-sent event."""
    return b"id: %d\ndata: %b\n\n" % (number, orjson.dumps({"text": text}))


def end_event(count: int) -> bytes:
    """Return the event that ends a complete stream of `count` chunks."""
    return b'event: end\ndata: {"count": %d}\n\n' % count


def error_event(resumable: bool, reason: str) -> bytes:
    """Return the last event of a broken stream, after which the connection is cut."""
    data = {"outcome": Outcome.INTERRUPTED.value, "resumable": resumable, "reason": reason}
    return b"event: error\ndata: %b\n\n" % orjson.dumps(data)


def encode_stream(chunks: list[str]) -> bytes:
    """Return a complete stream as one body, for recorded outcomes."""
    events = [event(number, text) for number, text in enumerate(chunks, start=1)]
    return b"".join([*events, end_event(len(chunks))])


def decode_stream(body: bytes) -> list[str]:
    """Return the chunks of a body that `encode_stream` returned."""
    events = EventReader().feed(body)
    return [orjson.loads(read.data)["text"] for read in events if read.number is not None]


def stream_headers(request_id: RequestId) -> dict[str, str]:
    """Return the headers of an event stream."""
    headers = _headers(Outcome.ANSWERED, request_id)
    headers["Content-Type"] = STREAM_TYPE
    headers["Cache-Control"] = "no-store"
    return headers


def _headers(outcome: Outcome, request_id: RequestId) -> dict[str, str]:
    return {
        "Content-Type": JSON_TYPE,
        OUTCOME_HEADER: outcome.value,
        REQUEST_ID_HEADER: request_id,
    }
