"""Messages between the nodes' stream journals."""

from __future__ import annotations

import enum

import attrs

from zincvale.model.messages import peer_message


class WriteStatus(enum.StrEnum):
    """What a journal did with one write, as `WriteResult.status`."""

    KEPT = "kept"
    """The pieces are held."""
    FENCED = "fenced"
    """Another entry node took the stream over."""
    GAP = "gap"
    """Pieces before these are not held: send the stream from its first piece."""
    FULL = "full"
    """There is no room; nothing of this write is held."""


@attrs.frozen(order=True)
class StreamFence:
    """Who may write a stream; the greater one wins.

    Attributes
    ----------
    epoch : 1 for the node that began the stream, one more for each take-over.
    owner : the entry node's process (`member/incarnation`); decides between two at once.
    """

    epoch: int
    owner: str


@attrs.frozen
class StreamWrite:
    """Pieces of one stream.

    Attributes
    ----------
    number : counts the writes of one writer; an older one that arrives late is ignored.
    first_index : event number of the first piece, from 1; 1 replaces what was held before.
    end_count : number of pieces of the whole stream when it ended, else 0.
    """

    request_id: str
    digest: str
    fence: StreamFence
    number: int
    first_index: int
    pieces: list[str]
    end_count: int


@peer_message("streams.append")
@attrs.frozen
class AppendCall:
    """The writes of many streams, together."""

    writes: list[StreamWrite]


@attrs.frozen
class WriteResult:
    """Answer to one write."""

    request_id: str
    number: int
    status: str


@peer_message("streams.append_reply")
@attrs.frozen
class AppendReply:
    """Answers in the order of the writes."""

    results: list[WriteResult]


@attrs.frozen
class StreamContent:
    """What one place holds of a stream.

    Attributes
    ----------
    writer : who wrote these pieces.
    end_count : number of pieces of the whole stream when it ended, else 0.
    """

    digest: str
    writer: StreamFence
    pieces: list[str]
    end_count: int


@peer_message("streams.read")
@attrs.frozen
class ReadCall:
    """Tell how much is held of a stream."""

    request_id: str


@peer_message("streams.read_reply")
@attrs.frozen
class ReadReply:
    """Answer to `ReadCall`.

    Attributes
    ----------
    fence : the newest take-over known here; None when nothing is known of the stream.
    length : number of pieces held.
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
    """Answer to `FenceCall`.

    Attributes
    ----------
    fence : the newest take-over known here; another one than asked for has won.
    content : what is held, which no one appends to any more; None when nothing is.
    """

    fence: StreamFence
    content: StreamContent | None
