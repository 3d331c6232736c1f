"""Protocols of the request path's dependencies: claims, stream journal and spans.

The request path is written against these protocols only; `claims` and `stream_journal` implement
the first two, the tracing plane the last. All times are seconds on the daemon's suspend-aware
monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Protocol

import attrs

from zincvale.model.identifiers import RequestId, RouteName
from zincvale.model.outcomes import Outcome


class ClaimRefusal(enum.Enum):
    """Why a claim was not granted although no other attempt holds it."""

    UNAVAILABLE = "unavailable"
    """No majority of the claim voters responded in time; nothing ran and nothing is claimed."""
    OTHER_REQUEST = "other-request"
    """The identifier was already used for a request with another digest."""


@attrs.frozen
class ClaimGranted:
    """This attempt, and no other, may run the request."""


@attrs.frozen
class ClaimRefused:
    """This attempt must not run the request, and has not run it."""

    reason: ClaimRefusal
    retry_after_s: float = 1.0
    never_ran: bool = False
    """A majority of the claim voters proved the identifier fresh: no earlier attempt exists."""


@attrs.frozen
class RecordedOutcome:
    """An earlier attempt finished; these are its outcome and the response to its caller."""

    outcome: Outcome
    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class OutcomePending:
    """An earlier attempt holds the claim and had no outcome before the deadline."""


ClaimDecision = ClaimGranted | ClaimRefused | RecordedOutcome | OutcomePending


class Claims(Protocol):
    """Guarantees at most one run per request identifier across all nodes."""

    async def claim(
        self, request_id: RequestId, digest: str, route: RouteName, deadline_at: float
    ) -> ClaimDecision:
        """Claim the identifier by `deadline_at`; waits for the outcome of an attempt that holds it.

        `digest` identifies the request's route and body.
        """
        ...

    def may_dispatch(self, request_id: RequestId) -> bool:
        """Whether the granted claim is recent enough to permit a send now.

        Must be checked right before every send, with no await in between. False after a freeze or
        a long wait; the claim must then be renewed or released.
        """
        ...

    async def renew(self, request_id: RequestId, deadline_at: float) -> bool:
        """Ask a majority of the voters to confirm this node's granted claim again.

        After True, check `may_dispatch` again and send. After False, do not send the request.
        """
        ...

    async def record(
        self,
        request_id: RequestId,
        outcome: Outcome,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> bool:
        """Record the outcome for later resends; False when no majority confirmed it.

        Never raises. Returns within a bounded time, since the caller's response waits for it.
        """
        ...

    async def release(self, request_id: RequestId) -> bool:
        """Release the claim of a request that provably never ran, so that a resend may run.

        Never raises. False when the release was not confirmed; the claim then expires.
        """
        ...


class JournalAppend(enum.Enum):
    """Result of an append to the journal."""

    REPLICATED = "kept"
    """A peer has stored the appended chunks."""
    UNREPLICATED = "not-kept"
    """No peer confirmed in a bounded time; the stream continues without a copy of the chunks."""
    FENCED = "taken-over"
    """Another ingress node resumed the stream, so this node must deliver neither these chunks nor
    later ones."""


NEWEST_STREAM_EPOCH = 0
"""Stands for the newest epoch that this node holds for the stream."""
FIRST_STREAM_EPOCH = 1
"""Epoch of a stream that was never resumed."""


@attrs.frozen
class JournalState:
    """What the journal stores of one stream."""

    digest: str
    chunks: tuple[str, ...]
    """The stream's chunks from event number 1."""
    complete: bool = False
    """The stream ended complete after these chunks."""
    epoch: int = NEWEST_STREAM_EPOCH
    """Epoch with which the resuming node appends; appends of earlier epochs are fenced."""


class StreamJournal(Protocol):
    """Replicates chunks of streams to a peer in another zone before the caller gets them."""

    async def append(
        self,
        request_id: RequestId,
        digest: str,
        first_index: int,
        chunks: list[str],
        epoch: int = FIRST_STREAM_EPOCH,
    ) -> JournalAppend:
        """Replicate `chunks`, the first of which has event number `first_index` (from 1).

        Never raises. Callers make the appends of one stream one after the other.
        """
        ...

    async def close(
        self, request_id: RequestId, count: int, epoch: int = FIRST_STREAM_EPOCH
    ) -> None:
        """Record that the stream ended complete after `count` chunks. Never raises."""
        ...

    def forget(self, request_id: RequestId) -> None:
        """Drop this node's state of a stream whose caller disconnected; the peer's copy expires."""
        ...

    async def resume(self, request_id: RequestId, after: int) -> JournalState | None:
        """Return a reachable peer's copy of the stream with at least `after` chunks, or None.

        This is a failover: every node that relayed the stream before is fenced.
        """
        ...


class TraceContext(Protocol):
    """The part of a span that its children inherit."""

    @property
    def trace_id(self) -> str:
        """Identifier of the trace: 32 lower-case hexadecimal digits."""
        ...

    @property
    def span_id(self) -> str:
        """Identifier of the span: 16 lower-case hexadecimal digits."""
        ...

    @property
    def sampled(self) -> bool:
        """Whether the trace's identifier makes it part of the sample."""
        ...


AttributeValue = str | int | float | bool


class Span(Protocol):
    """One timed operation of a trace."""

    @property
    def context(self) -> TraceContext:
        """The context that children of this span are started with."""
        ...

    def set(self, name: str, value: AttributeValue) -> None:
        """Set one attribute."""
        ...

    def event(self, name: str, **attributes: AttributeValue) -> None:
        """Record something that happened during the span."""
        ...

    def error(self, message: str) -> None:
        """Mark the span as an ERROR."""
        ...

    def end(self) -> None:
        """Finish the span now."""
        ...


class Spans(Protocol):
    """Starts spans and generates their identifiers."""

    def start(
        self,
        name: str,
        trace: TraceContext | None = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> Span:
        """Start a span; without `trace` it is the root of a new trace.

        `parent` is the parent's span identifier; by default it is `trace.span_id`.
        """
        ...
