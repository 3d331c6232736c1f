"""Log events of the stream journal (701x)."""

from __future__ import annotations

from zincvale.model.log_events import declare

STREAM_JOURNAL_MOVED = declare(
    7011, "streams.journal-moved", "A journal replica failed; its streams are journalled elsewhere."
)
STREAM_FENCED = declare(
    7012, "streams.fenced", "A stream was resumed on another node; this node stops it."
)
STREAM_UNREPLICATED = declare(
    7013,
    "streams.unreplicated",
    "No peer stores a stream's chunks; its loss could not be resumed.",
)
