"""Log events of the stream journal (701x)."""

from __future__ import annotations

from zincvale.model.log_events import declare

STREAM_JOURNAL_MOVED = declare(
    7011,
    "streams.journal-moved",
    "A peer failed or has no room for streams; other peers store their chunks from now on.",
)
STREAM_FENCED = declare(
    7012, "streams.fenced", "A stream was resumed on another node; this node stops writing it."
)
STREAM_UNREPLICATED = declare(
    7013,
    "streams.unreplicated",
    "No peer stores a stream's chunks; it cannot be resumed if this node is lost.",
)
