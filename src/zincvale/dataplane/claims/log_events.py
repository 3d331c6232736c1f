"""Log events of claims (700x)."""

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
CLAIMS_VIEW_UPDATED = declare(
    7003,
    "claims.view-updated",
    "A new version of the registered nodes decides who votes on claims.",
)
CLAIMS_FULL = declare(
    7004, "claims.full", "The table of claims has no room; at-most-once requests are not taken."
)
