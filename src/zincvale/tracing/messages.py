"""Messages that the tracing services of daemons exchange."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("tracing.span-batch")
@attrs.frozen
class SpanBatch:
    """Chunks for the collector (see `chunks.encode_chunks`); the response is a `BatchAck`.

    An empty batch asks for credit. Chunks sent with `backup` are only stored: their sender collects
    them itself, and the backup replaces them if that member is lost.
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
    `acknowledged` (as in `ChunksAcknowledged`) names them. Acknowledgements are sent along with
    acks as long as batches arrive, and as `ChunksAcknowledged` otherwise.
    """

    batch: int
    credit_bytes: int
    acknowledged: list[int]


@peer_message("tracing.chunks-settled")
@attrs.frozen
class ChunksAcknowledged:
    """The traces of these chunks are decided; retained ERROR traces are stored on two members."""

    sequences: list[int]


@peer_message("tracing.kept-copy")
@attrs.frozen
class TraceReplica:
    """Chunks of one retained trace, sent to the member that takes over if its primary is lost."""

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
    """The receiver stored the trace replica `replica_id`."""

    replica_id: int


@peer_message("tracing.verdicts-moved")
@attrs.frozen
class VerdictsMoved:
    """The sender is the primary of these retained traces; their late spans are sent to it."""

    trace_ids: list[str]


@peer_message("tracing.promote")
@attrs.frozen
class PromoteTraces:
    """These unsampled traces have an ERROR: send their buffered spans to their collectors."""

    trace_ids: list[str]
