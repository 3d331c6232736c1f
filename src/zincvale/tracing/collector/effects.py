"""Effects of the collector besides `Send` and `Log`."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk
from zincvale.tracing.collector.policies import Verdict


@attrs.frozen
class RetainTrace:
    """A policy retains this trace: store its chunks, or add them to the trace if it is stored.

    The component that stores the chunks also acknowledges them, once the trace is safe.
    `is_error` is whether a span has status ERROR, which makes the weight 1 (see `policies.weight`).
    """

    chunks: list[TraceChunk]
    verdict: Verdict
    is_error: bool


@attrs.frozen
class ForwardChunk:
    """The chunk belongs to another collector: send it there with flow control and retries."""

    chunk: TraceChunk


@attrs.frozen
class AcknowledgeChunks:
    """Report to the origin of these chunks that their trace is decided."""

    origin: MemberId
    sequences: list[int]


CollectorEffect = RetainTrace | ForwardChunk | AcknowledgeChunks | Send | Log
