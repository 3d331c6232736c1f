"""Batches retained at their origin until their collector reports the verdicts.

Only the encoded batch and the unacknowledged sequences are retained. Thousands of chunks wait for
their verdict at any time, and as objects they would cost more time in the garbage collector than
it takes to create them.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.tracing.chunks import TraceChunk, decode_chunks, encode_chunks

SHRINK_SHARE = 0.9
"""Fraction of the limit that `shrink` reduces the table to."""
COMPACT_SHARE = 0.25
"""Fraction of unacknowledged chunks down to which a batch is encoded again without the others."""
SEQUENCE_OVERHEAD_BYTES = 150
"""Memory of a chunk's table entries beyond its encoding."""


@attrs.define(slots=True, eq=False)
class RetainedBatch:
    """Chunks of a batch that `collector` acked at `acked_at` and whose traces are undecided.

    Attributes
    ----------
    sequences : the sequences of the unacknowledged chunks.
    count : how many chunks are encoded, including those acknowledged since.
    """

    evidence: bytes
    bodies: bytes
    sequences: set[int]
    count: int
    collector: MemberId
    acked_at: float
    has_errors: bool

    @property
    def size_bytes(self) -> int:
        """Memory that the batch counts for in the byte budget."""
        return len(self.evidence) + len(self.bodies) + self.count * SEQUENCE_OVERHEAD_BYTES

    def chunks(self) -> list[TraceChunk]:
        """Return the unacknowledged chunks."""
        chunks = decode_chunks(self.evidence, self.bodies)
        return [chunk for chunk in chunks if chunk.sequence in self.sequences]

    def compact(self, errors_only: bool = False) -> list[int]:
        """Encode again only the unacknowledged chunks, or their errors; return what was dropped."""
        retained = [chunk for chunk in self.chunks() if chunk.error or not errors_only]
        sequences = {chunk.sequence for chunk in retained}
        dropped = self.sequences - sequences
        self.evidence, self.bodies = encode_chunks(retained)
        self.sequences = sequences
        self.count = len(retained)
        return list(dropped)


@attrs.define(slots=True)
class RetainedChunks:
    """Table of acked batches with unacknowledged chunks, in the order of their acks."""

    size_bytes: int = 0
    _batches: dict[int, RetainedBatch] = attrs.field(factory=dict)
    _batch_by_sequence: dict[int, int] = attrs.field(factory=dict)
    _next_batch: int = 0

    def __len__(self) -> int:
        return len(self._batch_by_sequence)

    def add(
        self,
        chunks: list[TraceChunk],
        encoded: tuple[bytes, bytes],
        collector: MemberId,
        now: float,
    ) -> None:
        """Retain chunks that `collector` acked; `encoded` is what `encode_chunks` returned."""
        if not chunks:
            return
        sequences = {chunk.sequence for chunk in chunks}
        self.acknowledge(sequences)
        number = self._next_batch
        self._next_batch += 1
        evidence, bodies = encoded
        has_errors = any(chunk.error for chunk in chunks)
        batch = RetainedBatch(evidence, bodies, sequences, len(chunks), collector, now, has_errors)
        self._batches[number] = batch
        self._batch_by_sequence.update(dict.fromkeys(sequences, number))
        self.size_bytes += batch.size_bytes

    def acknowledge(self, sequences: Iterable[int]) -> set[int]:
        """Release chunks whose traces are decided; return the sequences that are unknown here."""
        unknown = set()
        changed = set()
        for sequence in sequences:
            number = self._batch_by_sequence.pop(sequence, None)
            if number is None:
                unknown.add(sequence)
                continue
            self._batches[number].sequences.discard(sequence)
            changed.add(number)
        for number in changed:
            self._remove_or_compact(number)
        return unknown

    def take_sent_to(self, collectors: frozenset[MemberId]) -> list[TraceChunk]:
        """Remove and return the chunks that were sent to these collectors."""
        lost = [n for n, batch in self._batches.items() if batch.collector in collectors]
        return [chunk for number in lost for chunk in self._remove(number)]

    def take_acked_before(self, acked_before: float) -> list[TraceChunk]:
        """Remove and return the chunks of batches that were acked before that time."""
        expired = []
        for number, batch in self._batches.items():
            if batch.acked_at >= acked_before:
                break
            expired.append(number)
        return [chunk for number in expired for chunk in self._remove(number)]

    def shrink(self, limit_bytes: int) -> None:
        """Drop chunks when over a limit: the oldest first, those with an ERROR last.

        Drops down to `SHRINK_SHARE` of the limit, so that the table is rarely searched.
        """
        if self.size_bytes <= limit_bytes:
            return
        target_bytes = limit_bytes * SHRINK_SHARE
        for include_errors in (False, True):
            for number, batch in list(self._batches.items()):
                if self.size_bytes <= target_bytes:
                    return
                if batch.has_errors and not include_errors:
                    self._compact(number, errors_only=True)
                else:
                    self._remove(number)

    def _remove_or_compact(self, number: int) -> None:
        batch = self._batches[number]
        if not batch.sequences:
            del self._batches[number]
            self.size_bytes -= batch.size_bytes
        elif len(batch.sequences) <= batch.count * COMPACT_SHARE:
            self._compact(number, errors_only=False)

    def _compact(self, number: int, errors_only: bool) -> None:
        batch = self._batches[number]
        self.size_bytes -= batch.size_bytes
        for sequence in batch.compact(errors_only):
            del self._batch_by_sequence[sequence]
        self.size_bytes += batch.size_bytes
        if not batch.sequences:
            del self._batches[number]
            self.size_bytes -= batch.size_bytes

    def _remove(self, number: int) -> list[TraceChunk]:
        batch = self._batches.pop(number)
        self.size_bytes -= batch.size_bytes
        for sequence in batch.sequences:
            del self._batch_by_sequence[sequence]
        return batch.chunks()
