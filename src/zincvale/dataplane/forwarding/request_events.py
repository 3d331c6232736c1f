"""Inputs and effects of the forwarding request machine."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.forwarding.dialect import ResponseFacts
from zincvale.dataplane.forwarding.policies import NoServerReason


class RequestOutcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """It did not run and never will."""
    UNKNOWN = "unknown"
    """It may have run; nothing is promised."""
    INTERRUPTED = "interrupted"
    """The answer broke off; the connection was cut so that it does not look whole."""
    ABANDONED = "abandoned"
    """The caller left."""


# inputs


@attrs.frozen
class ServerFound:
    """Answers `SelectServer`: a server's place is taken for this request."""

    server: str
    """The server's incarnation."""


@attrs.frozen
class NoServerFound:
    """Answers `SelectServer`: nothing is worth waiting for any longer."""

    reason: NoServerReason
    retry_after_s: float


@attrs.frozen
class NotSent:
    """No connection came up, so nothing of the request left."""

    reason: str


@attrs.frozen
class HeadReceived:
    """The head of this request's answer."""

    status: int
    facts: ResponseFacts
    is_event_stream: bool


@attrs.frozen
class ContentReceived:
    """A part of the answer; of an event stream, whole events."""

    content: bytes
    last_event_id: str = ""


@attrs.frozen
class ResponseCompleted:
    """The answer is whole."""


@attrs.frozen
class ResponseBroken:
    """The exchange broke after the request had begun to leave."""

    reason: str


@attrs.frozen
class DeadlineExpired:
    """The route's time-out or the caller's deadline has come."""


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection."""


Input = (
    ServerFound
    | NoServerFound
    | NotSent
    | HeadReceived
    | ContentReceived
    | ResponseCompleted
    | ResponseBroken
    | DeadlineExpired
    | CallerDisconnected
)

# effects


@attrs.frozen
class SelectServer:
    """Find a server, or wait for one; `is_repeat` spends the retry budget."""

    excluded: frozenset[str]
    is_retry: bool


@attrs.frozen
class CancelSelection:
    """Stop waiting for a server."""


@attrs.frozen
class SendRequest:
    """Send the request; a stream goes on after `last_event_id`."""

    server: str
    last_event_id: str


@attrs.frozen
class CancelExchange:
    """Close the connection of the exchange under way."""


@attrs.frozen
class ReleaseServer:
    """Give the server's place back.

    Attributes
    ----------
    unreachable : it could not be reached, or broke off.
    refused : it said that it takes no more.
    absent : it said that it lacks what was asked for.
    """

    unreachable: bool = False
    refused: bool = False
    absent: bool = False


@attrs.frozen
class RelayHead:
    """Pass the head on that was received last."""


@attrs.frozen
class RelayContent:
    """Pass content on."""

    content: bytes


@attrs.frozen
class EndResponse:
    """Close the answer whole."""


@attrs.frozen
class AbortResponse:
    """Break the caller's connection, so that the answer does not look whole."""


@attrs.frozen
class LocalReply:
    """Answer the caller from this node."""

    status: int
    reason: str
    retry_after_s: float | None = None


@attrs.frozen
class FinishRequest:
    """Nothing follows."""

    kind: RequestOutcome
    reason: str = ""


Effect = (
    SelectServer
    | CancelSelection
    | SendRequest
    | CancelExchange
    | ReleaseServer
    | RelayHead
    | RelayContent
    | EndResponse
    | AbortResponse
    | LocalReply
    | FinishRequest
)
