"""Messages between the nodes' stream journals."""

from __future__ import annotations

import enum

import attrs

from zincvale.model.messages import peer_message


class WriteStatus(enum.StrEnum):
    """What a journal did with one write, as `WriteResult.status`."""

    STORED = "kept"
    """The chunks are stored."""
    FENCED = "fenced"
    """Another ingress node resumed the stream."""
    GAP = "gap"
    """Chunks before these are not stored: send the stream from its first chunk."""
    FULL = "full"
    """There is no room; nothing of this write is stored."""


@attrs.frozen(order=True)
class StreamFence:
    """Who may write a stream; the greater one wins.

    Attributes
    ----------
    epoch : 1 for the node that began the stream, one more for each failover.
    owner : the ingress node's process (`member/incarnation`); decides between two at once.
    """

    epoch: int
    owner: str


@attrs.frozen
class StreamWrite:
    """Chunks of one stream.

    Attributes
    ----------
    number : counts the writes of one writer; an older one that arrives late is ignored.
    first_index : event number of the first chunk, from 1; 1 replaces what was stored before.
    end_count : number of chunks of the whole stream when it ended, else 0.
    """

    request_id: str
    digest: str
    fence: StreamFence
    number: int
    first_index: int
    chunks: list[str]
    end_count: int


@peer_message("streams.append")
@attrs.frozen
class AppendCall:
    """The writes of many streams, together."""

    writes: list[StreamWrite]


@attrs.frozen
class WriteResult:
    """Response to one write."""

    request_id: str
    number: int
    status: str


@peer_message("streams.append_reply")
@attrs.frozen
class AppendReply:
    """Responses in the order of the writes."""

    results: list[WriteResult]


@attrs.frozen
class StreamContent:
    """What one place holds of a stream.

    Attributes
    ----------
    writer : who wrote these chunks.
    end_count : number of chunks of the whole stream when it ended, else 0.
    """

    digest: str
    writer: StreamFence
    chunks: list[str]
    end_count: int


@peer_message("streams.read")
@attrs.frozen
class ReadCall:
    """Return how much is stored of a stream."""

    request_id: str


@peer_message("streams.read_reply")
@attrs.frozen
class ReadReply:
    """Response to `ReadCall`.

    Attributes
    ----------
    fence : the newest failover known here; None when nothing is known of the stream.
    length : number of chunks stored.
    """

    fence: StreamFence | None
    length: int


@peer_message("streams.fence")
@attrs.frozen
class FenceCall:
    """Take a stream over: accept no write below `fence` any more."""

    request_id: str
    fence: StreamFence


@peer_message("streams.fence_reply")
@attrs.frozen
class FenceReply:
    """Response to `FenceCall`.

    Attributes
    ----------
    fence : the newest failover known here; another one than requested has won.
    content : what is stored, which no one appends to any more; None when nothing is.
    """

    fence: StreamFence
    content: StreamContent | None
