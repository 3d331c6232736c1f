"""The product's own header names for forwarding; implements `dialect.ForwardingDialect`."""

from __future__ import annotations

from collections.abc import Mapping

from zincvale.dataplane.forwarding.dialect import (
    AttemptFacts,
    CallerFacts,
    Prompt,
    PromptPart,
    ResponseFacts,
)

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
MODEL = "x-zincvale-model"
TOKENS = "x-zincvale-tokens"
PARTS = "x-zincvale-prompt-parts"
LAST_EVENT_ID = "last-event-id"
INCARNATION = "x-zincvale-incarnation"
URGENCY = "x-zincvale-urgency"
NEVER_RAN = "x-zincvale-never-ran"
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0


class NativeDialect:
    """Reads and writes the product's own headers."""

    def caller_facts(self, headers: Mapping[str, str]) -> CallerFacts:
        """Read a caller's headers."""
        deadline_ms = _parse_number(headers.get(DEADLINE_MS, ""))
        return CallerFacts(
            request_id=headers.get(REQUEST_ID, ""),
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            prompt=_read_prompt(headers),
            last_event_id=headers.get(LAST_EVENT_ID, ""),
        )

    def attempt_headers(self, facts: AttemptFacts) -> dict[str, str]:
        """Return the headers that are added to the caller's for one attempt."""
        headers = {
            DEADLINE_MS: str(max(1, int(facts.deadline_s * MS_PER_S))),
            INCARNATION: facts.incarnation,
            URGENCY: str(facts.urgency),
        }
        if facts.last_event_id:
            headers[LAST_EVENT_ID] = facts.last_event_id
        return headers

    def response_facts(self, status: int, headers: Mapping[str, str]) -> ResponseFacts:
        """Read a server's status and headers."""
        misdirected = status == MISDIRECTED_STATUS
        return ResponseFacts(
            request_id=headers.get(REQUEST_ID, ""),
            never_ran=misdirected or NEVER_RAN in headers,
            misdirected=misdirected,
        )


def _read_prompt(headers: Mapping[str, str]) -> Prompt | None:
    name = headers.get(MODEL, "")
    if not name:
        return None
    model, _, adapter = name.partition("/")
    return parse_prompt(model, adapter, headers.get(TOKENS, ""), headers.get(PARTS, ""))


def parse_prompt(model: str, adapter: str, tokens: str, parts: str) -> Prompt:
    """Return a prompt, read from `tokens` (`IN,OUT`) and `parts` (`ID:TOKENS,...`).

    Unreadable values count as absent.
    """
    counts = [_parse_number(text) or 0.0 for text in tokens.split(",")]
    output_tokens = int(counts[1]) if len(counts) > 1 else 0
    return Prompt(model, adapter, int(counts[0]), output_tokens, _parse_parts(parts))


def _parse_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().rpartition(":")
        count = _parse_number(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, int(count)))
    return tuple(parts)


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value >= 0 else None
