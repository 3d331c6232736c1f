"""A sender's link to one collector: queues, the batch in flight, and credit.

One batch at a time is in flight, and its ack says how many bytes the next one may carry.
"""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.tracing.chunks import TraceChunk, encode_chunks

MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_CHUNKS = 512
INITIAL_CREDIT_BYTES = 64 * 1024
ERROR_RESERVE_BYTES = 16 * 1024
"""Limit of a batch sent without credit, which carries only chunks with an ERROR and is sent at most
once per probe interval."""
NO_BATCH = 0
"""Batch number that means no batch is in flight, or that a message needs no ack."""


@attrs.define(slots=True)
class Link:
    """The link to one collector: queued chunks, the batch in flight, and the credit.

    `errors` are queued chunks with an ERROR, `others` those without.
    """

    errors: deque[TraceChunk] = attrs.field(factory=deque)
    others: deque[TraceChunk] = attrs.field(factory=deque)
    credit_bytes: int = INITIAL_CREDIT_BYTES
    batch: int = NO_BATCH
    """Number of the batch in flight, or `NO_BATCH`."""
    in_flight: list[TraceChunk] = attrs.field(factory=list)
    encoded: tuple[bytes, bytes] = (b"", b"")
    """What `encode_chunks` returned for the batch in flight."""
    encoded_count: int = 0
    """Number of chunks in `encoded`."""
    sent_at: float = float("-inf")

    @property
    def is_urgent(self) -> bool:
        """Whether a chunk with an ERROR, or half a batch of other chunks, is queued."""
        return bool(self.errors) or len(self.others) >= MAX_BATCH_CHUNKS // 2

    @property
    def has_full_batch(self) -> bool:
        """Whether enough chunks are queued to fill a batch."""
        return len(self.errors) + len(self.others) >= MAX_BATCH_CHUNKS

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not (self.errors or self.others or self.batch)

    def queue_for(self, chunk: TraceChunk) -> deque[TraceChunk]:
        """Return the queue that the chunk belongs in."""
        return self.errors if chunk.error else self.others

    def discard_acknowledged(self, origin: MemberId, sequences: set[int]) -> None:
        """Remove chunks of `origin` from the batch in flight whose traces are already decided."""
        self.in_flight = [
            chunk
            for chunk in self.in_flight
            if chunk.origin != origin or chunk.sequence not in sequences
        ]

    def put_in_flight(self, batch: int, chunks: list[TraceChunk], now: float) -> None:
        """Record the batch that is being sent."""
        self.batch = batch
        self.in_flight = chunks
        self.encoded = encode_chunks(chunks)
        self.encoded_count = len(chunks)
        self.sent_at = now

    def clear_in_flight(self) -> None:
        """Record that nothing is in flight any more."""
        self.in_flight = []
        self.batch = NO_BATCH
        self.encoded = (b"", b"")
        self.encoded_count = 0

    def return_in_flight(self) -> None:
        """Put the chunks in flight back at the front of their queues."""
        for chunk in reversed(self.in_flight):
            self.queue_for(chunk).appendleft(chunk)
        self.clear_in_flight()

    def take_batch(self) -> list[TraceChunk]:
        """Remove and return the chunks of the next batch, until they reach the credit.

        Without credit these are chunks with an ERROR, up to `ERROR_RESERVE_BYTES`.
        """
        queues: tuple[deque[TraceChunk], ...] = (self.errors, self.others)
        limit = min(self.credit_bytes, MAX_BATCH_BYTES)
        if not self.credit_bytes:
            queues = (self.errors,)
            limit = ERROR_RESERVE_BYTES
        chunks: list[TraceChunk] = []
        taken_bytes = 0
        for queue in queues:
            while queue and taken_bytes < limit and len(chunks) < MAX_BATCH_CHUNKS:
                chunk = queue.popleft()
                taken_bytes += chunk.size_bytes
                chunks.append(chunk)
        return chunks
