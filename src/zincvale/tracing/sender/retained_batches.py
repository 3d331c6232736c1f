"""Batches retained at their origin until their collector reports the verdicts.

Retained are the encoded batch and the unacknowledged sequences: thousands of chunks wait for
their verdict at any time, and as objects they would cost the garbage collector more than their
making.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.tracing.chunks import TraceChunk, decode_chunks, encode_chunks

SHRINK_SHARE = 0.9
COMPACT_SHARE = 0.25
"""A batch with so few of its chunks unacknowledged is encoded anew without the others."""
SEQUENCE_OVERHEAD_BYTES = 150


@attrs.define(slots=True, eq=False)
class RetainedBatch:
    """Chunks whose batch `collector` acked at `acked_at`; the verdicts are still open.

    Attributes
    ----------
    sequences : the unacknowledged ones.
    count : how many chunks are encoded.
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
        """Memory the batch is counted with."""
        return len(self.evidence) + len(self.bodies) + self.count * SEQUENCE_OVERHEAD_BYTES

    def chunks(self) -> list[TraceChunk]:
        """Return the unacknowledged chunks."""
        chunks = decode_chunks(self.evidence, self.bodies)
        return [chunk for chunk in chunks if chunk.sequence in self.sequences]

    def compact(self, errors_only: bool = False) -> list[int]:
        """Encode the unacknowledged chunks anew, or just their errors; return what was left out."""
        retained = [chunk for chunk in self.chunks() if chunk.error or not errors_only]
        sequences = {chunk.sequence for chunk in retained}
        left_out = self.sequences - sequences
        self.evidence, self.bodies = encode_chunks(retained)
        self.sequences = sequences
        self.count = len(retained)
        return list(left_out)


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
        touched = set()
        for sequence in sequences:
            number = self._batch_by_sequence.pop(sequence, None)
            if number is None:
                unknown.add(sequence)
                continue
            self._batches[number].sequences.discard(sequence)
            touched.add(number)
        for number in touched:
            self._tidy(number)
        return unknown

    def take_sent_to(self, collectors: frozenset[MemberId]) -> list[TraceChunk]:
        """Take out the chunks that these collectors had, to be sent again."""
        lost = [n for n, batch in self._batches.items() if batch.collector in collectors]
        return [chunk for number in lost for chunk in self._take(number)]

    def take_acked_before(self, acked_before: float) -> list[TraceChunk]:
        """Take out the chunks whose batch was acked before that time, to be sent again."""
        old = []
        for number, batch in self._batches.items():
            if batch.acked_at >= acked_before:
                break
            old.append(number)
        return [chunk for number in old for chunk in self._take(number)]

    def shrink(self, limit_bytes: int) -> None:
        """Release chunks when over a limit: oldest first, those with an ERROR last.

        Goes some way below the limit, so that the walk over the table is rare.
        """
        if self.size_bytes <= limit_bytes:
            return
        goal_bytes = limit_bytes * SHRINK_SHARE
        for errors_too in (False, True):
            for number, batch in list(self._batches.items()):
                if self.size_bytes <= goal_bytes:
                    return
                if batch.has_errors and not errors_too:
                    self._compact(number, errors_only=True)
                else:
                    self._take(number)

    def _tidy(self, number: int) -> None:
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

    def _take(self, number: int) -> list[TraceChunk]:
        batch = self._batches.pop(number)
        self.size_bytes -= batch.size_bytes
        for sequence in batch.sequences:
            del self._batch_by_sequence[sequence]
        return batch.chunks()
