"""Messages between the nodes' stream journals."""

from __future__ import annotations

import enum

import attrs

from zincvale.model.messages import peer_message


class WriteStatus(enum.StrEnum):
    """Result of one write at a replica, the value of `WriteResult.status`."""

    STORED = "kept"
    """The chunks are stored, by this write or a newer one."""
    FENCED = "fenced"
    """The write is refused because another ingress node resumed the stream."""
    GAP = "gap"
    """Earlier chunks are missing; the writer must send the stream from its first chunk."""
    FULL = "full"
    """The replica has no room, and stored nothing of this write."""


@attrs.frozen(order=True)
class StreamFence:
    """Right of one process to write a stream; a greater fence supersedes a smaller one.

    Attributes
    ----------
    epoch : 1 for the node that began the stream, and one more for each failover.
    owner : process of the ingress node (`member/incarnation`); orders fences of the same epoch,
        which concurrent failovers can request.
    """

    epoch: int
    owner: str


@attrs.frozen
class StreamWrite:
    """Chunks of one stream to be stored at a replica.

    Attributes
    ----------
    number : sequence number among the writes of one writer; an older write that arrives late is
        ignored.
    first_index : event number of the first chunk, counted from 1; 1 replaces all stored chunks.
    end_count : number of chunks of the whole stream if it has ended, else 0.
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
    """Requests that the replica stores the writes of one or more streams."""

    writes: list[StreamWrite]


@attrs.frozen
class WriteResult:
    """Result of one write; `status` is the value of a `WriteStatus`."""

    request_id: str
    number: int
    status: str


@peer_message("streams.append_reply")
@attrs.frozen
class AppendReply:
    """Reply to `AppendCall`: the results in the order of the writes."""

    results: list[WriteResult]


@attrs.frozen
class StreamContent:
    """Copy of a stream as stored at one node.

    Attributes
    ----------
    writer : fence with which these chunks were written.
    end_count : number of chunks of the whole stream if it has ended, else 0.
    """

    digest: str
    writer: StreamFence
    chunks: list[str]
    end_count: int


@peer_message("streams.read")
@attrs.frozen
class ReadCall:
    """Requests how much of a stream the node stores."""

    request_id: str


@peer_message("streams.read_reply")
@attrs.frozen
class ReadReply:
    """Reply to `ReadCall`.

    Attributes
    ----------
    fence : the newest fence that the node knows; None if it does not know the stream.
    length : number of chunks that the node stores.
    """

    fence: StreamFence | None
    length: int


@peer_message("streams.fence")
@attrs.frozen
class FenceCall:
    """Takes over a stream: requests that the node refuses writes with a smaller fence."""

    request_id: str
    fence: StreamFence


@peer_message("streams.fence_reply")
@attrs.frozen
class FenceReply:
    """Reply to `FenceCall`.

    Attributes
    ----------
    fence : the newest fence that the node knows; a greater one than requested supersedes the call.
    content : the stored copy, to which no writer with a smaller fence can append; None if nothing
        is stored.
    """

    fence: StreamFence
    content: StreamContent | None
