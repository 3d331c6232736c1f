"""What the request path needs from its dependencies: claims, stream journal and spans.

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
    """No majority of the claim voters responded in time; nothing ran, nothing is claimed."""
    OTHER_REQUEST = "other-request"
    """The identifier was used before for a request with another digest."""


@attrs.frozen
class ClaimGranted:
    """This attempt, and no other, may run the request."""


@attrs.frozen
class ClaimRefused:
    """The request must not run here, and did not run because of this attempt."""

    reason: ClaimRefusal
    retry_after_s: float = 1.0
    never_ran: bool = False
    """A majority of the claim voters proved the identifier fresh: no earlier attempt exists."""


@attrs.frozen
class RecordedOutcome:
    """An earlier attempt finished; this is what its caller was sent."""

    outcome: Outcome
    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class OutcomePending:
    """An earlier attempt holds the claim and had no outcome before the deadline."""


ClaimDecision = ClaimGranted | ClaimRefused | RecordedOutcome | OutcomePending


class Claims(Protocol):
    """At most one run per request identifier, across all nodes."""

    async def claim(
        self, request_id: RequestId, digest: str, route: RouteName, deadline_at: float
    ) -> ClaimDecision:
        """Decide by `deadline_at`; waits for the outcome when another attempt holds the claim.

        `digest` identifies the request's route and body.
        """
        ...

    def may_dispatch(self, request_id: RequestId) -> bool:
        """Whether the grant is fresh enough for a send at this very moment.

        Checked right before every send, with no await in between. False after a freeze or a long
        wait: renew or release.
        """
        ...

    async def renew(self, request_id: RequestId, deadline_at: float) -> bool:
        """Request the majority's votes again for this node's own granted claim.

        True: check `may_dispatch` again and send. False: give the request up.
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
        """Store the outcome for later resends; False when no majority confirmed it.

        Never raises. The caller's response waits for this only for a bounded time.
        """
        ...

    async def release(self, request_id: RequestId) -> bool:
        """Give the claim back: the request provably never ran, so that a resend may run.

        Never raises; False when the release was not confirmed (the claim then ages out).
        """
        ...


class JournalAppend(enum.Enum):
    """What became of an append."""

    REPLICATED = "kept"
    """A peer stores the chunks."""
    UNREPLICATED = "not-kept"
    """No peer confirmed in a bounded time; the stream goes on without."""
    FENCED = "taken-over"
    """Another ingress node resumed the stream: deliver nothing of this append or later."""


NEWEST_STREAM_EPOCH = 0
"""Whichever epoch this node holds for the stream."""
FIRST_STREAM_EPOCH = 1


@attrs.frozen
class JournalState:
    """What the journal stores of one stream."""

    digest: str
    chunks: tuple[str, ...]
    """The stream's chunks from event number 1."""
    complete: bool = False
    """The stream ended complete after these chunks."""
    epoch: int = NEWEST_STREAM_EPOCH
    """What the node that resumed the stream appends with; earlier nodes are fenced by it."""


class StreamJournal(Protocol):
    """Chunks of streams, replicated to a peer in another zone before the caller gets them."""

    async def append(
        self,
        request_id: RequestId,
        digest: str,
        first_index: int,
        chunks: list[str],
        epoch: int = FIRST_STREAM_EPOCH,
    ) -> JournalAppend:
        """Replicate `chunks`, whose first has event number `first_index` (from 1).

        Never raises. Appends of one stream are made one after the other.
        """
        ...

    async def close(
        self, request_id: RequestId, count: int, epoch: int = FIRST_STREAM_EPOCH
    ) -> None:
        """Record that the stream ended complete after `count` chunks. Never raises."""
        ...

    def forget(self, request_id: RequestId) -> None:
        """Drop this node's memory of a stream whose caller has left; the peer's copy expires."""
        ...

    async def resume(self, request_id: RequestId, after: int) -> JournalState | None:
        """Return what any reachable peer stores of the stream, at least `after` chunks of it.

        This is a failover: every node that relayed the stream before is fenced.
        """
        ...


class TraceContext(Protocol):
    """What a child span inherits."""

    @property
    def trace_id(self) -> str:
        """32 lower-case hexadecimal digits."""
        ...

    @property
    def span_id(self) -> str:
        """16 lower-case hexadecimal digits."""
        ...

    @property
    def sampled(self) -> bool:
        """Whether the trace is sampled by its identifier."""
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
    """Source of spans; identifiers are minted here."""

    def start(
        self,
        name: str,
        trace: TraceContext | None = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> Span:
        """Start a span; without `trace` it is the root of a new trace.

        `parent` is the parent's span identifier; absent, it is `trace.span_id`.
        """
        ...
