"""Messages between the tracing parts of daemons."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("tracing.span-batch")
@attrs.frozen
class SpanBatch:
    """Chunks for the collector (see `chunks.encode_chunks`); answered by `BatchAck`.

    An empty batch asks for credit. `backup` chunks are only stored, in case their collector, which
    is also their origin, is lost.
    """

    batch: int
    evidence: bytes
    bodies: bytes
    backup: bool = False


@peer_message("tracing.batch-ack")
@attrs.frozen
class BatchAck:
    """The batch arrived; the sender may send `credit_bytes` more before the next ack.

    The ack of a batch says only that it arrived: its chunks stay retained at the sender until
    `acknowledged` (as in `ChunksAcknowledged`) names them. These ride on acks while batches come.
    """

    batch: int
    credit_bytes: int
    acknowledged: list[int]


@peer_message("tracing.chunks-settled")
@attrs.frozen
class ChunksAcknowledged:
    """The traces of these chunks are decided, and stored on two members where retained as ERROR."""

    sequences: list[int]


@peer_message("tracing.kept-copy")
@attrs.frozen
class TraceReplica:
    """Chunks of one retained trace, for the member that takes over when its primary is lost."""

    replica_id: int
    trace_id: str
    policy: str
    weight: float
    retained_wall_s: float
    evidence: bytes
    bodies: bytes


@peer_message("tracing.kept-copy-ack")
@attrs.frozen
class TraceReplicaAck:
    """The replica is stored."""

    replica_id: int


@peer_message("tracing.verdicts-moved")
@attrs.frozen
class VerdictsMoved:
    """The sender is the primary of these retained traces; late spans of them belong there."""

    trace_ids: list[str]


@peer_message("tracing.promote")
@attrs.frozen
class PromoteTraces:
    """These unsampled traces have an ERROR: send what is buffered of them to their collectors."""

    trace_ids: list[str]
