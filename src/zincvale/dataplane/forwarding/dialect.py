"""The interface between forwarding and the header names that callers and servers use.

Forwarding decides on typed facts only. A dialect reads them from heads and writes them into heads;
it decides nothing. `native_dialect` is the product's own; `platform.callers` has another.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt that may be shared with other requests, and its tokens."""

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a request needs of a language-model engine.

    Attributes
    ----------
    model, adapter : what must be resident; the adapter is empty for the base model.
    input_tokens, output_tokens : length of the prompt, and the most that may be generated.
    parts : the prompt's parts in order; the last one is the request's own.
    """

    model: str
    adapter: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


@attrs.frozen
class CallerFacts:
    """What the head of a caller's request states.

    Attributes
    ----------
    request_id : empty when the caller stated none.
    deadline_s : how long the caller will wait; None when it is not stated.
    last_event_id : the event after which a stream is to be resumed; empty: from its beginning.
    """

    request_id: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str = ""


@attrs.frozen
class AttemptFacts:
    """What forwarding adds to the caller's headers for one attempt."""

    incarnation: str
    deadline_s: float
    urgency: int
    last_event_id: str


@attrs.frozen
class ResponseFacts:
    """What the head of a server's response states.

    Attributes
    ----------
    request_id : the request that the response belongs to; empty when it is not stated.
    never_ran : proof that the request did not run and never will.
    misdirected : the server is another one than expected, or lacks what was asked for.
    """

    request_id: str
    never_ran: bool = False
    misdirected: bool = False


class ForwardingDialect(Protocol):
    """Names and formats of callers and servers."""

    def caller_facts(self, headers: Mapping[str, str]) -> CallerFacts:
        """Read a caller's head (names in lower case); what is unreadable counts as absent."""
        ...

    def attempt_headers(self, facts: AttemptFacts) -> dict[str, str]:
        """Return the headers that replace the caller's of the same names."""
        ...

    def response_facts(self, status: int, headers: Mapping[str, str]) -> ResponseFacts:
        """Read a server's head; header names are in lower case."""
        ...
