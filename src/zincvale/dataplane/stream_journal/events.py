"""Inputs and effects of the stream journal's state machine, besides those of `model.machine`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.dependencies import JournalAppend, JournalState
from zincvale.model.identifiers import MemberId, ZoneName


@attrs.frozen
class AppendRequested:
    """Input: chunks to replicate; `AppendCompleted(token, ...)` follows in a bounded time.

    Attributes
    ----------
    first_index : event number of the first chunk, from 1.
    epoch : of the ingress node's right to the stream, or `NEWEST_STREAM_EPOCH`.
    """

    token: str
    request_id: str
    digest: str
    first_index: int
    chunks: list[str]
    epoch: int


@attrs.frozen
class EndRequested:
    """Input: the stream ended after `count` chunks; `AppendCompleted(token, ...)` follows."""

    token: str
    request_id: str
    count: int
    epoch: int


@attrs.frozen
class ResumeRequested:
    """Input: take a stream over whose caller has `after` chunks; `Resumed(token, ...)` follows."""

    token: str
    request_id: str
    after: int


@attrs.frozen
class StreamForgotten:
    """Input: the caller of a stream has left."""

    request_id: str


@attrs.frozen
class NodesChanged:
    """Input: zone and incarnation of each node with a live lease."""

    zones: dict[MemberId, ZoneName]
    incarnations: dict[MemberId, str]


@attrs.frozen
class BatchDue:
    """Input: the time of the last `FlushAt` came."""


@attrs.frozen
class AppendCompleted:
    """Effect: the response to an append or end."""

    token: str
    result: JournalAppend


@attrs.frozen
class Resumed:
    """Effect: the newest copy of a stream that was resumed, None when none has enough."""

    token: str
    state: JournalState | None


@attrs.frozen
class FlushAt:
    """Effect: feed `BatchDue` at this time."""

    at: float
