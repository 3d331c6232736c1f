"""Request and response headers of the platform's callers and servers."""

from __future__ import annotations

from collections.abc import Mapping

from zincvale.dataplane.forwarding.dialect import AttemptFacts, CallerFacts, ResponseFacts
from zincvale.dataplane.forwarding.native_dialect import parse_prompt

MS_PER_S = 1000.0
HTTP_MISDIRECTED_REQUEST = 421


class PlatformForwarding:
    """Implements `ForwardingDialect` with the platform's headers."""

    def caller_facts(self, headers: Mapping[str, str]) -> CallerFacts:
        """Return what the headers of a caller's request say."""
        model, _, adapter = headers.get("model", "").partition("/")
        prompt = None
        if model:
            tokens, prompt_parts = headers.get("token-counts", ""), headers.get("prompt-prefix", "")
            prompt = parse_prompt(model, adapter, tokens, prompt_parts)
        return CallerFacts(
            request_id=headers.get("request-id", ""),
            deadline_s=_seconds_from_ms(headers.get("deadline-ms", "")),
            prompt=prompt,
            last_event_id=headers.get("last-event-id", ""),
        )

    def attempt_headers(self, facts: AttemptFacts) -> dict[str, str]:
        """Return the headers that are added to a request to a server."""
        headers = {
            "Deadline-Ms": str(max(1, int(facts.deadline_s * MS_PER_S))),
            "Expect-Instance": facts.incarnation,
            "Request-Urgency": str(facts.urgency),
        }
        if facts.last_event_id:
            headers["Last-Event-Id"] = facts.last_event_id
        return headers

    def response_facts(self, status: int, headers: Mapping[str, str]) -> ResponseFacts:
        """Return what the status and headers of a server's response say."""
        misdirected = status == HTTP_MISDIRECTED_REQUEST
        return ResponseFacts(
            request_id=headers.get("request-id", ""),
            never_ran=misdirected or "not-executed" in headers,
            misdirected=misdirected,
        )


def _seconds_from_ms(milliseconds: str) -> float | None:
    try:
        value = float(milliseconds)
    except ValueError:
        return None
    return value / MS_PER_S if value >= 0 else None
