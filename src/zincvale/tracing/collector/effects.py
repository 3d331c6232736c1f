"""Effects of the collector beside `Send` and `Log`."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk
from zincvale.tracing.collector.policies import Verdict


@attrs.frozen
class RetainTrace:
    """The chain retains this trace: store its chunks under `verdict`, or add them to its row.

    Whoever stores them also acknowledges them, once they are safe.
    `is_error` says that the trace stands for itself alone (see `policies.weight`).
    """

    chunks: list[TraceChunk]
    verdict: Verdict
    is_error: bool


@attrs.frozen
class ForwardChunk:
    """The chunk belongs to another collector: send it there, with flow control and retries."""

    chunk: TraceChunk


@attrs.frozen
class AcknowledgeChunks:
    """Report to the origin of these chunks that their trace is decided."""

    origin: MemberId
    sequences: list[int]


CollectorEffect = RetainTrace | ForwardChunk | AcknowledgeChunks | Send | Log
