"""Inputs of the collector."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk


@attrs.frozen
class BatchReceived:
    """Input: chunks arrived; `is_backup` ones are only stored for their origin's crash."""

    chunks: list[TraceChunk]
    is_backup: bool = False


@attrs.frozen
class VerdictsReceived:
    """Input: `primary` retains these traces, whose hash owner is this member now."""

    primary: MemberId
    trace_ids: list[TraceId]


@attrs.frozen
class MembersChanged:
    """Input: the collector table changed; `departed` left, or restarted without their memory."""

    departed: frozenset[MemberId]


@attrs.frozen
class DecisionDue:
    """Input: the decision timer fired."""


Input = BatchReceived | VerdictsReceived | MembersChanged | DecisionDue
