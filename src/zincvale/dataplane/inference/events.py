"""Inputs and effects of the request machine.

Effects are carried out in order by the runner; each effect that waits for something outside is
followed by one of the inputs.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from zincvale.dataplane.inference.dependencies import ClaimDecision, JournalState
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.identifiers import ServerId
from zincvale.model.outcomes import Outcome, RefusalReason


@attrs.frozen
class Refusal:
    """Why and for how long a request is refused."""

    reason: RefusalReason
    problem: str
    remedy: str = "send it again after the Retry-After time"
    retry_after_s: float = 1.0


# inputs


@attrs.frozen
class Started:
    """The request was read; `refusal` is set when admission already refused it."""

    refusal: Refusal | None = None


@attrs.frozen
class ClaimDecided:
    """Response to `Claim`."""

    decision: ClaimDecision


@attrs.frozen
class ClaimRenewed:
    """Response to `RenewClaim`; without `renewed` the claim may be another attempt's by now."""

    renewed: bool


@attrs.frozen
class StreamFound:
    """Response to `LookUpStream`; `state` is None when no reachable peer holds the stream."""

    state: JournalState | None


@attrs.frozen
class ServerChosen:
    """Response to `ChooseServer`: the server's slot is reserved for this request."""

    server: ServerId


@attrs.frozen
class NoServer:
    """Response to `ChooseServer`: admission gave the request up."""

    refusal: Refusal


@attrs.frozen
class DispatchForbidden:
    """Response to `Dispatch`: the claim is too old to send now; nothing was sent."""


@attrs.frozen
class ResponseReceived:
    """A complete response, checked to be this request's."""

    body: bytes
    units: int = 1


@attrs.frozen
class ChunksReceived:
    """Chunks of a stream; the first has event number `first_index`."""

    first_index: int
    chunks: list[str]


@attrs.frozen
class StreamEnded:
    """The server's explicit end of the stream."""

    count: int


@attrs.frozen
class ServerRefused:
    """The server said that the request did not run."""

    end: ExchangeEnd
    error: str
    missing: tuple[str, ...] = ()
    final: bool = False
    """No server would take the request (it is invalid or too large)."""


@attrs.frozen
class ServerFailed:
    """The exchange broke; `sent` is False when the request provably never left."""

    reason: str
    sent: bool


@attrs.frozen
class DeadlinePassed:
    """The caller's time is up; `sent` tells whether the request may have left."""

    sent: bool = False


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection; `sent` as above."""

    sent: bool = False


@attrs.frozen
class StreamFenced:
    """Another node resumed the stream."""


Input = (
    Started
    | ClaimDecided
    | ClaimRenewed
    | StreamFound
    | ServerChosen
    | NoServer
    | DispatchForbidden
    | ResponseReceived
    | ChunksReceived
    | StreamEnded
    | ServerRefused
    | ServerFailed
    | DeadlinePassed
    | CallerDisconnected
    | StreamFenced
)


# effects


@attrs.frozen
class Claim:
    """Claim the request identifier across the nodes.

    With `within_s` the decision is needed by then, without it by the request's deadline.
    """

    within_s: float | None = None


@attrs.frozen
class MarkMayHaveRun:
    """Notify the claim voters that the request may have run, so that no resend is refused.

    Used on routes that are not at-most-once, whose requests are not claimed before they run.
    """


@attrs.frozen
class RenewClaim:
    """Confirm the granted claim, which has grown too old to send under."""


@attrs.frozen
class LookUpStream:
    """Request from the journal the chunks of the stream that is resumed."""

    after: int


@attrs.frozen
class ChooseServer:
    """Find a server, waiting in the pool's queue if need be."""

    excluded: frozenset[str]
    retry: bool = False
    """Counts against the retry budget; a refusal follows when it is used up."""


@attrs.frozen
class CancelChoice:
    """Stop waiting for a server."""


@attrs.frozen
class Dispatch:
    """Send the request to the chosen server, to go on after `prefix`."""

    server: ServerId
    prefix: tuple[str, ...]
    attempt: int


@attrs.frozen
class CancelExchange:
    """Close the connection of the exchange under way."""


@attrs.frozen
class FreeServer:
    """Give the server's slot back, with what the exchange showed about it."""

    end: ExchangeEnd
    units: int = 0
    missing: tuple[str, ...] = ()


@attrs.frozen
class RecordOutcome:
    """Store the outcome for resends."""

    outcome: Outcome
    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ReleaseClaim:
    """Give the claim back: the request never ran."""


@attrs.frozen
class RecordStream:
    """Store a complete stream as the outcome for resends."""

    count: int


@attrs.frozen
class SendResponse:
    """Send a complete response to the caller."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class OpenStream:
    """Begin an event stream towards the caller."""


@attrs.frozen
class RelayChunks:
    """Pass chunks on, after the journal took them when `journal` is set."""

    first_index: int
    chunks: list[str]
    journal: bool = True


@attrs.frozen
class EndStream:
    """Close the stream as complete."""

    count: int


@attrs.frozen
class BreakStream:
    """End the stream with an error event and cut the connection."""

    resumable: bool
    reason: str


@attrs.frozen
class Finish:
    """The request is over with this outcome; nothing follows."""

    outcome: Outcome
    reason: str = ""


Effect = (
    Claim
    | RenewClaim
    | MarkMayHaveRun
    | LookUpStream
    | ChooseServer
    | CancelChoice
    | Dispatch
    | CancelExchange
    | FreeServer
    | RecordOutcome
    | RecordStream
    | ReleaseClaim
    | SendResponse
    | OpenStream
    | RelayChunks
    | EndStream
    | BreakStream
    | Finish
)
