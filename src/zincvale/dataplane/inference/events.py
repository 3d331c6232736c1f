"""Inputs and effects of the request machine.

The runner carries out the effects in order. The result of an effect that waits for a dependency, a
server or the scheduler comes back as one of the inputs.
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
    """Why a request is refused, and when the caller may send it again."""

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
    """Result of `Claim`."""

    decision: ClaimDecision


@attrs.frozen
class ClaimRenewed:
    """Result of `RenewClaim`; if not `renewed`, another attempt may hold the claim by now."""

    renewed: bool


@attrs.frozen
class StreamFound:
    """Result of `LookUpStream`; `state` is None when no reachable peer holds the stream."""

    state: JournalState | None


@attrs.frozen
class ServerChosen:
    """Result of `ChooseServer`: the server's slot is reserved for this request."""

    server: ServerId


@attrs.frozen
class NoServer:
    """Result of `ChooseServer`: no server is available in time; `refusal` says why."""

    refusal: Refusal


@attrs.frozen
class DispatchForbidden:
    """Result of `Dispatch`: nothing was sent, because the claim has to be renewed first."""


@attrs.frozen
class ResponseReceived:
    """A complete response that carries this request's identifier."""

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
    """The server stated that the request did not run."""

    end: ExchangeEnd
    error: str
    missing: tuple[str, ...] = ()
    final: bool = False
    """Every server would refuse the request, because it is invalid or too large."""


@attrs.frozen
class ServerFailed:
    """The exchange failed; `sent` is False only when provably no byte of the request was sent."""

    reason: str
    sent: bool


@attrs.frozen
class DeadlinePassed:
    """The request's deadline passed; `sent` tells whether a server may have received a byte."""

    sent: bool = False


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection; `sent` tells whether a server may have received a byte."""

    sent: bool = False


@attrs.frozen
class StreamFenced:
    """Another node resumed the stream, so this node must not deliver any more of it."""


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

    `within_s` limits the wait for the decision; None limits it by the request's deadline.
    """

    within_s: float | None = None


@attrs.frozen
class MarkMayHaveRun:
    """Notify the claim voters that the request may have run, so that no resend is refused.

    Used on routes that are not at-most-once, whose requests are not claimed before they run.
    """


@attrs.frozen
class RenewClaim:
    """Renew the granted claim, which is too old to permit a send."""


@attrs.frozen
class LookUpStream:
    """Read from the journal the chunks of the stream that the caller resumes."""

    after: int


@attrs.frozen
class ChooseServer:
    """Find a server for the request, which waits in the pool's queue when none is free."""

    excluded: frozenset[str]
    retry: bool = False
    """Spend a retry of the retry budget; without one left, `NoServer` follows."""


@attrs.frozen
class CancelChoice:
    """Stop waiting for a server."""


@attrs.frozen
class Dispatch:
    """Send the request to the chosen server; a stream continues after the chunks of `prefix`."""

    server: ServerId
    prefix: tuple[str, ...]
    attempt: int


@attrs.frozen
class CancelExchange:
    """Close the connection of the current exchange."""


@attrs.frozen
class FreeServer:
    """Free the server's slot and report how the exchange ended."""

    end: ExchangeEnd
    units: int = 0
    missing: tuple[str, ...] = ()


@attrs.frozen
class RecordOutcome:
    """Record the outcome with the claim, so that resends receive it."""

    outcome: Outcome
    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ReleaseClaim:
    """Release the claim, because the request never ran."""


@attrs.frozen
class RecordStream:
    """Record a complete stream as the outcome, so that resends receive it."""

    count: int


@attrs.frozen
class SendResponse:
    """Send a complete response to the caller."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class OpenStream:
    """Start the event stream to the caller."""


@attrs.frozen
class RelayChunks:
    """Relay chunks to the caller; with `journal`, only after the journal has replicated them."""

    first_index: int
    chunks: list[str]
    journal: bool = True


@attrs.frozen
class EndStream:
    """Send the end event and close the stream as complete."""

    count: int


@attrs.frozen
class BreakStream:
    """Send an error event and cut the caller's connection."""

    resumable: bool
    reason: str


@attrs.frozen
class Finish:
    """End the request with this outcome; no effect follows."""

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
