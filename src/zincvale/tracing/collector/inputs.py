"""Inputs of the collector."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk


@attrs.frozen
class BatchReceived:
    """Input: chunks arrived; with `is_backup` they are stored only in case their origin is lost."""

    chunks: list[TraceChunk]
    is_backup: bool = False


@attrs.frozen
class VerdictsReceived:
    """Input: `primary` retains these traces, which this member now owns by the hash."""

    primary: MemberId
    trace_ids: list[TraceId]


@attrs.frozen
class MembersChanged:
    """Input: the collector table changed; `departed` left, or restarted and lost their memory."""

    departed: frozenset[MemberId]


@attrs.frozen
class DecisionDue:
    """Input: the decision timer fired."""


Input = BatchReceived | VerdictsReceived | MembersChanged | DecisionDue
