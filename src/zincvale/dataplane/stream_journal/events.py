"""Inputs and effects of the stream journal's state machine, besides those of `model.machine`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.dependencies import JournalAppend, JournalState
from zincvale.model.identifiers import MemberId, ZoneName


@attrs.frozen
class AppendRequested:
    """Input: replicate chunks; `AppendCompleted(token, ...)` follows within a timeout.

    Attributes
    ----------
    first_index : event number of the first chunk, counted from 1.
    epoch : epoch in which the relay may write the stream, or `NEWEST_STREAM_EPOCH`.
    """

    token: str
    request_id: str
    digest: str
    first_index: int
    chunks: list[str]
    epoch: int


@attrs.frozen
class EndRequested:
    """Input: the stream is complete with `count` chunks; `AppendCompleted(token, ...)` follows."""

    token: str
    request_id: str
    count: int
    epoch: int


@attrs.frozen
class ResumeRequested:
    """Input: take over a stream whose caller has `after` chunks; `Resumed(token, ...)` follows."""

    token: str
    request_id: str
    after: int


@attrs.frozen
class StreamForgotten:
    """Input: the caller of a stream disconnected before its end."""

    request_id: str


@attrs.frozen
class NodesChanged:
    """Input: the nodes with live leases, with the zone and incarnation of each."""

    zones: dict[MemberId, ZoneName]
    incarnations: dict[MemberId, str]


@attrs.frozen
class BatchDue:
    """Input: the time of the latest `FlushAt` effect has come."""


@attrs.frozen
class AppendCompleted:
    """Effect: complete the append or end `token` with this result."""

    token: str
    result: JournalAppend


@attrs.frozen
class Resumed:
    """Effect: complete the resume `token`; `state` is None if no copy has enough chunks."""

    token: str
    state: JournalState | None


@attrs.frozen
class FlushAt:
    """Effect: pass `BatchDue` to the machine at this time."""

    at: float
