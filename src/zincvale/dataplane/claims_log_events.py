"""Log events of claims and the stream journal (7xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

CLAIMS_COMPLETE = declare(
    7001, "claims.complete", "This claim voter votes in the named view of registered nodes."
)
CLAIMS_QUARANTINED = declare(
    7002,
    "claims.quarantined",
    "This claim voter votes although too few others could be read: claims from before the loss "
    "may be forgotten, and a resend of such a request may run again.",
)
CLAIMS_VIEW_LEARNT = declare(
    7003, "claims.view-learnt", "A new version of the registered nodes decides who holds claims."
)
CLAIMS_FULL = declare(
    7004, "claims.full", "The table of claims has no room; at-most-once requests are not taken."
)
STREAM_JOURNAL_MOVED = declare(
    7011, "streams.journal-moved", "A journal peer failed; its streams are journalled elsewhere."
)
STREAM_TAKEN_OVER = declare(
    7012, "streams.taken-over", "A stream was resumed on another node; this node stops it."
)
STREAM_NOT_KEPT = declare(
    7013, "streams.not-kept", "No peer keeps a stream's pieces; its loss could not be resumed."
)
