"""The interface between forwarding and the header names that callers and servers use.

Forwarding decides on typed values only. A dialect reads them from the headers of requests and
responses and writes them into headers; it decides nothing. `native_dialect` is the product's own;
`platform.callers` has another.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share, and its number of tokens."""

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a request needs of a language-model engine.

    Attributes
    ----------
    model, adapter : what must be resident; the adapter is empty for the base model alone.
    input_tokens, output_tokens : tokens of the prompt, and the most that may be generated.
    parts : the prompt's parts in order; the last one is the request's own.
    """

    model: str
    adapter: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


@attrs.frozen
class CallerFacts:
    """What the headers of a caller's request state.

    Attributes
    ----------
    request_id : empty when the caller stated none.
    deadline_s : how long the caller will wait; None when the caller does not state it.
    prompt : None when the request names no model.
    last_event_id : the event after which a stream is to be resumed; empty for a stream from its
        beginning.
    """

    request_id: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str = ""


@attrs.frozen
class AttemptFacts:
    """What forwarding adds to the headers for one attempt; `deadline_s` is the time left."""

    incarnation: str
    deadline_s: float
    urgency: int
    last_event_id: str


@attrs.frozen
class ResponseFacts:
    """What the status and headers of a server's response state.

    Attributes
    ----------
    request_id : the request that the response belongs to; empty when the server does not state it.
    never_ran : whether the server states that the request did not run and never will.
    misdirected : whether the server is another one than expected, or lacks the requested model or
        adapter.
    """

    request_id: str
    never_ran: bool = False
    misdirected: bool = False


class ForwardingDialect(Protocol):
    """Reads and writes the header names and formats of callers and servers."""

    def caller_facts(self, headers: Mapping[str, str]) -> CallerFacts:
        """Read a caller's headers (names in lower case); unreadable values count as absent."""
        ...

    def attempt_headers(self, facts: AttemptFacts) -> dict[str, str]:
        """Return the headers that replace the caller's of the same names."""
        ...

    def response_facts(self, status: int, headers: Mapping[str, str]) -> ResponseFacts:
        """Read a server's status and headers (names in lower case)."""
        ...
