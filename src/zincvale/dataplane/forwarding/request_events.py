"""Inputs and effects of the forwarding request machine.

Inputs report what happened. `forwarded_request` carries out the effects in the order in which the
machine returns them.
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
    """The request did not run and never will, so the caller may safely send it again."""
    UNKNOWN = "unknown"
    """The request may have run; the caller cannot tell whether it did."""
    INTERRUPTED = "interrupted"
    """The response broke off. The caller's connection was closed, so that the response does not
    look complete."""
    ABANDONED = "abandoned"
    """The caller disconnected before the response was complete."""


# inputs


@attrs.frozen
class ServerFound:
    """Result of `SelectServer`: a server was found and is reserved for this request."""

    server: str
    """The server's incarnation."""


@attrs.frozen
class NoServerFound:
    """Result of `SelectServer`: no server was found, or none in time."""

    reason: NoServerReason
    retry_after_s: float


@attrs.frozen
class NotSent:
    """No connection to the server was established, so nothing of the request was sent."""

    reason: str


@attrs.frozen
class HeadReceived:
    """The status and headers of the response to this request."""

    status: int
    facts: ResponseFacts
    is_event_stream: bool


@attrs.frozen
class ContentReceived:
    """A part of the response body. Of an event stream, it holds complete events, and at the end of
    the response the bytes after the last one."""

    content: bytes
    last_event_id: str = ""


@attrs.frozen
class ResponseCompleted:
    """The response is complete."""


@attrs.frozen
class ResponseBroken:
    """The exchange broke after a part of the request may have been sent.

    Attributes
    ----------
    is_event_open : whether a part of an event was relayed without its end, so that no other event
        may follow.
    """

    reason: str
    is_event_open: bool = False


@attrs.frozen
class DeadlineExpired:
    """The route's timeout has expired, or the caller's deadline has passed."""


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
    """Choose a server, or wait for one. `is_retry` spends one retry of the pool's retry budget."""

    excluded: frozenset[str]
    is_retry: bool


@attrs.frozen
class CancelSelection:
    """Stop waiting for a server."""


@attrs.frozen
class SendRequest:
    """Send the request to `server`; a stream is resumed after the event `last_event_id`."""

    server: str
    last_event_id: str


@attrs.frozen
class CancelExchange:
    """Cancel the exchange in flight by closing its connection."""


@attrs.frozen
class ReleaseServer:
    """Release the reserved server and record how it behaved.

    Attributes
    ----------
    unreachable : no connection was established, or the exchange broke.
    refused : the server stated that it did not run the request and never will.
    not_resident : the server stated that the model or adapter is not resident.
    """

    unreachable: bool = False
    refused: bool = False
    not_resident: bool = False


@attrs.frozen
class RelayHead:
    """Relay the last received response head to the caller."""


@attrs.frozen
class RelayContent:
    """Relay a part of the response body to the caller."""

    content: bytes


@attrs.frozen
class EndResponse:
    """End the caller's response, which is complete."""


@attrs.frozen
class AbortResponse:
    """Close the caller's connection, so that the response does not look complete."""


@attrs.frozen
class LocalReply:
    """Send the caller a response of this node; `reason` is stated in its body."""

    status: int
    reason: str
    retry_after_s: float | None = None


@attrs.frozen
class FinishRequest:
    """End the request and record its outcome."""

    outcome: RequestOutcome
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
