"""Inputs and effects of the forwarding request machine.

Inputs say what happened; effects are carried out by `forwarded_request` in order.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.forwarding.dialect import ResponseFacts
from zincvale.dataplane.forwarding.policies import NoServerReason


class RequestOutcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """It did not run and never will: the caller may safely send it again."""
    UNKNOWN = "unknown"
    """It may have run; the caller cannot conclude anything."""
    INTERRUPTED = "interrupted"
    """The response broke off; the connection was closed so that it does not look complete."""
    ABANDONED = "abandoned"
    """The caller disconnected."""


# inputs


@attrs.frozen
class ServerFound:
    """Result of `SelectServer`: a server is reserved for this request."""

    server: str
    """The server's incarnation."""


@attrs.frozen
class NoServerFound:
    """Result of `SelectServer`: none was found, or none in time."""

    reason: NoServerReason
    retry_after_s: float


@attrs.frozen
class NotSent:
    """No connection came up, so nothing of the request was sent."""

    reason: str


@attrs.frozen
class HeadReceived:
    """The head of this request's response."""

    status: int
    facts: ResponseFacts
    is_event_stream: bool


@attrs.frozen
class ContentReceived:
    """A part of the response; of an event stream, complete events."""

    content: bytes
    last_event_id: str = ""


@attrs.frozen
class ResponseCompleted:
    """The response is complete."""


@attrs.frozen
class ResponseBroken:
    """The exchange broke after a part of the request may have been sent."""

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
    """Find a server, or wait for one; `is_retry` spends the retry budget."""

    excluded: frozenset[str]
    is_retry: bool


@attrs.frozen
class CancelSelection:
    """Stop waiting for a server."""


@attrs.frozen
class SendRequest:
    """Send the request; a stream is resumed after `last_event_id`."""

    server: str
    last_event_id: str


@attrs.frozen
class CancelExchange:
    """Close the connection of the exchange in flight."""


@attrs.frozen
class ReleaseServer:
    """Release the reserved server and record what it showed.

    Attributes
    ----------
    unreachable : it could not be reached, or broke off.
    refused : it stated that it takes no more.
    absent : it stated that the model or adapter is not resident.
    """

    unreachable: bool = False
    refused: bool = False
    absent: bool = False


@attrs.frozen
class RelayHead:
    """Relay the head that was received last."""


@attrs.frozen
class RelayContent:
    """Relay content."""

    content: bytes


@attrs.frozen
class EndResponse:
    """End the complete response."""


@attrs.frozen
class AbortResponse:
    """Close the caller's connection, so that the response does not look complete."""


@attrs.frozen
class LocalReply:
    """Respond to the caller from this node."""

    status: int
    reason: str
    retry_after_s: float | None = None


@attrs.frozen
class FinishRequest:
    """The request is over."""

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
