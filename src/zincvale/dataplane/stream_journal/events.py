"""Inputs and effects of the stream journal's state machine, besides those of `model.machine`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.dependencies import JournalAppend, JournalState
from zincvale.model.identifiers import MemberId, ZoneName


@attrs.frozen
class AppendWanted:
    """Input: pieces to keep; `AppendSettled(token, ...)` follows in a bounded time.

    Attributes
    ----------
    first_index : event number of the first piece, from 1.
    epoch : of the entry node's right to the stream, or `NEWEST_STREAM_EPOCH`.
    """

    token: str
    request_id: str
    digest: str
    first_index: int
    pieces: list[str]
    epoch: int


@attrs.frozen
class EndWanted:
    """Input: the stream ended whole after `count` pieces; `AppendSettled(token, ...)` follows."""

    token: str
    request_id: str
    count: int
    epoch: int


@attrs.frozen
class ResumeWanted:
    """Input: take a stream over whose caller has `after` pieces; `Resumed(token, ...)` follows."""

    token: str
    request_id: str
    after: int


@attrs.frozen
class StreamForgotten:
    """Input: the caller of a stream is gone."""

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
class AppendSettled:
    """Effect: the answer to an append or end."""

    token: str
    result: JournalAppend


@attrs.frozen
class Resumed:
    """Effect: the newest copy of a stream that was taken over, None when none has enough."""

    token: str
    state: JournalState | None


@attrs.frozen
class FlushAt:
    """Effect: feed `BatchDue` at this time."""

    at: float
