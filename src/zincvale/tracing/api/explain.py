"""Explains in sentences, from its trace, how a request was routed and why."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from zincvale.tracing.api.render import escape_unprintable, format_milliseconds, format_wall_time

MS_PER_S = 1000.0
DISPATCH_SPAN = "dispatch"
HOLD_SPAN = "hold"
ORDER_SPAN = "order"
WALL_CLOCK_DIGITS = 5
"""Decimal digits that times are rounded to before sorting: a float of seconds since the epoch is
exact to a few tenths of a microsecond only."""
SORT_FIRST = 0
"""Sort key of the end of a span among entries with the same time: it comes before what it
caused."""
SORT_LAST = 1

_CLAIM_MEANING = {
    "ClaimGranted": "granted, this attempt and no other may run it",
    "ClaimRefused": "refused, so nothing ran because of this attempt",
    "RecordedOutcome": "an earlier attempt had finished, and its outcome was returned",
    "OutcomePending": "an earlier attempt still held it at the deadline",
}

_POLICY_MEANING = {
    "errors-always": "because a span of it failed; every such trace is kept",
    "entry-lost": "because its ingress node departed while the request ran",
    "slow-always": "because it was slow",
    "random-baseline": "as part of the random sample of ordinary traces",
}


def explain(trace: dict[str, Any]) -> str:
    """Return an account of a request or order, from a trace as the trace API returns it."""
    spans = sorted(trace["spans"], key=lambda span: float(span["start"]))
    lines = [_opening_sentence(trace, spans)]
    for moment, sentence in _timeline(spans):
        lines.append(f"  {moment:>10}  {sentence}")
    lines.append(_outcome_sentence(trace, spans))
    lines.append(_retention_sentence(trace))
    return "\n".join(escape_unprintable(line) for line in lines)


def _root(spans: list[dict[str, Any]]) -> dict[str, Any] | None:
    return next((span for span in spans if not span["parent_id"]), None)


def _opening_sentence(trace: dict[str, Any], spans: list[dict[str, Any]]) -> str:
    root = _root(spans)
    request = trace["request_id"] or "without an identifier"
    if root is None:
        return (
            f"Request {request}: its ingress node's part of the trace is missing;"
            " this is what the other members recorded."
        )
    route = f" on route {trace['route']}" if trace["route"] else ""
    attributes = root["attributes"]
    if root["name"] == ORDER_SPAN:
        return _order_sentence(request, root)
    targets = [
        f"{name} {attributes[name]}" for name in ("model", "adapter") if attributes.get(name)
    ]
    targets_clause = f", asking for {' and '.join(targets)}" if targets else ""
    return (
        f"Request {request} came to {root['member']}{route} at {format_wall_time(root['start'])}"
        f"{targets_clause}."
    )


def _order_sentence(order_id: str, root: dict[str, Any]) -> str:
    attributes = root["attributes"]
    what = f"{attributes.get('action', 'change')} {attributes.get('name', '')}".strip()
    reason = ", ".join(str(attributes[n]) for n in ("reason", "detail") if attributes.get(n))
    reason_clause = f", because of {reason}" if reason else ""
    return (
        f"Order {order_id} to {attributes.get('server', 'a server')}, {what}, was given by"
        f" {root['member']} at {format_wall_time(root['start'])}{reason_clause}."
    )


def _timeline(spans: list[dict[str, Any]]) -> list[tuple[str, str]]:
    """Return (time since the first span's start, sentence) for all spans and events, by time."""
    if not spans:
        return []
    begin = spans[0]["start"]
    entries: list[tuple[float, int, str]] = []
    for span in spans:
        since_begin = span["start"] - begin
        entries += [
            (since_begin + offset, order, text) for offset, order, text in _span_entries(span)
        ]
    entries.sort(key=lambda entry: (round(entry[0], WALL_CLOCK_DIGITS), entry[1]))
    return [(f"+{at * MS_PER_S:,.1f} ms", sentence) for at, _, sentence in entries]


def _span_entries(span: dict[str, Any]) -> list[tuple[float, int, str]]:
    """Return (time since the span's start, sort key at equal times, sentence) for one span."""
    entries = [(event["offset_s"], SORT_LAST, _event_sentence(event)) for event in span["events"]]
    duration_s = span["duration_ms"] / MS_PER_S
    end = SORT_FIRST if duration_s > 0.0 else SORT_LAST
    attributes = span["attributes"]
    if span["name"] == DISPATCH_SPAN:
        server = attributes.get("server", "a server")
        attempt = attributes.get("attempt", 1)
        entries.append((0.0, SORT_LAST, f"Attempt {attempt} was sent to {server}."))
        entries.append((duration_s, end, f"Attempt {attempt} at {server} {_end_phrase(span)}."))
    elif span["name"] == HOLD_SPAN:
        entries.append(
            (duration_s, end, f"It was held for {format_milliseconds(span['duration_ms'])}.")
        )
    elif span["parent_id"]:
        entries.append(
            (duration_s, end, f"{span['name']} on {span['member']} {_end_phrase(span)}.")
        )
    return entries


def _end_phrase(span: dict[str, Any]) -> str:
    duration = format_milliseconds(span["duration_ms"])
    if span["error"]:
        return f"failed after {duration}: {span['error']}"
    return f"succeeded after {duration}"


def _event_sentence(event: dict[str, Any]) -> str:
    to_sentence = _SENTENCE_BY_EVENT.get(event["name"])
    if to_sentence is not None:
        return to_sentence(event["attributes"])
    details = ", ".join(f"{name} {value}" for name, value in sorted(event["attributes"].items()))
    return f"{event['name']}: {details}." if details else f"{event['name']}."


def _policy_sentence(attributes: dict[str, Any]) -> str:
    name = attributes.get("policy", "a policy")
    reason = attributes.get("reason", "")
    if attributes.get("kind") == "score":
        return f"Policy {name} ranked them{': ' + str(reason) if reason else ''}."
    left_out = f"; left out: {reason}" if reason else ""
    return f"Policy {name} left {_server_count_text(attributes.get('kept', '?'))}{left_out}."


def _server_count_text(count: object) -> str:
    return "1 server" if count == 1 else f"{count} servers"


def _claim_sentence(attributes: dict[str, Any]) -> str:
    decision = str(attributes.get("decision", "not recorded"))
    return f"The at-most-once claim: {_CLAIM_MEANING.get(decision, decision)}."


def _retry_sentence(attributes: dict[str, Any]) -> str:
    return f"The attempt was abandoned: {attributes.get('cause', 'no cause recorded')}."


def _resume_sentence(attributes: dict[str, Any]) -> str:
    after = attributes.get("after", "?")
    return f"The stream continued after event {after} on {attributes.get('server', 'a server')}."


def _hold_sentence(attributes: dict[str, Any]) -> str:
    reason = attributes.get("reason", "")
    return f"It was put on hold{': ' + str(reason) if reason else ''}."


def _release_sentence(attributes: dict[str, Any]) -> str:
    waited_ms = attributes.get("waited_ms")
    waited = f" after {format_milliseconds(float(waited_ms))}" if waited_ms is not None else ""
    return f"It was released from the hold{waited}."


def _journal_sentence(attributes: dict[str, Any]) -> str:
    chunk_count = int(attributes.get("pieces", -1))
    if chunk_count < 0:
        return "No journal of an earlier part of the stream was found."
    return f"The journal had {chunk_count} chunks of the stream."


def _first_event_sentence(attributes: dict[str, Any]) -> str:
    return f"The caller got its first event, number {attributes.get('number', '?')}."


def _last_event_sentence(attributes: dict[str, Any]) -> str:
    return f"The stream was completed with event {attributes.get('number', '?')}."


_SENTENCE_BY_EVENT: dict[str, Callable[[dict[str, Any]], str]] = {
    "policy": _policy_sentence,
    "claim": _claim_sentence,
    "retry": _retry_sentence,
    "resume": _resume_sentence,
    "journal": _journal_sentence,
    "first-event": _first_event_sentence,
    "last-event": _last_event_sentence,
    "hold": _hold_sentence,
    "release": _release_sentence,
}


def _outcome_sentence(trace: dict[str, Any], spans: list[dict[str, Any]]) -> str:
    root = _root(spans)
    if root is None:
        return "Its outcome is not recorded."
    attributes = root["attributes"]
    if root["name"] == ORDER_SPAN:
        failed = f": {root['error']}" if root["error"] else " successfully"
        return f"The order ended{failed} after {format_milliseconds(root['duration_ms'])}."
    outcome = trace["outcome"] or "not recorded"
    server = f" by {attributes['server']}" if attributes.get("server") else ""
    reason = f" ({attributes['reason']})" if attributes.get("reason") else ""
    held_ms = attributes.get("held_ms")
    hold_clause = f", of which {format_milliseconds(float(held_ms))} on hold" if held_ms else ""
    retries = attributes.get("retries")
    retries_clause = f", retries: {retries}" if retries else ""
    duration = format_milliseconds(root["duration_ms"])
    return f"Outcome: {outcome}{server}{reason} after {duration}{hold_clause}{retries_clause}."


def _retention_sentence(trace: dict[str, Any]) -> str:
    if trace["state"] == "pending":
        return "The trace is not decided yet; more spans may come."
    meaning = _POLICY_MEANING.get(trace["policy"], f"by policy {trace['policy']}")
    return f"The trace was kept {meaning}; it stands for {trace['weight']:.2f} traces."
