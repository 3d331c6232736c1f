"""Inputs of the collector."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk


@attrs.frozen
class BatchReceived:
    """Input: chunks came; `is_backup` ones are only held for their origin's crash."""

    chunks: list[TraceChunk]
    is_backup: bool = False


@attrs.frozen
class VerdictsReceived:
    """Input: `holder` keeps these traces, which belong here now."""

    holder: MemberId
    trace_ids: list[TraceId]


@attrs.frozen
class MembersChanged:
    """Input: the collector table was changed; `gone` left, or restarted without their memory."""

    gone: frozenset[MemberId]


@attrs.frozen
class DecisionDue:
    """Input: the decision timer fired."""


Input = BatchReceived | VerdictsReceived | MembersChanged | DecisionDue
