"""Log events of claims (700x)."""

from __future__ import annotations

from zincvale.model.log_events import declare

CLAIMS_COMPLETE = declare(
    7001,
    "claims.complete",
    "This node's claim voter is complete and votes in the given view of the registered nodes.",
)
CLAIMS_QUARANTINED = declare(
    7002,
    "claims.quarantined",
    "This node's claim voter votes although it could not read from enough other voters: claims "
    "from before their loss may be forgotten, and a resend of such a request may run again.",
)
CLAIMS_VIEW_UPDATED = declare(
    7003,
    "claims.view-updated",
    "The voters of claims are now chosen from a newer version of the registered nodes.",
)
CLAIMS_FULL = declare(
    7004, "claims.full", "The table of claims is full; new at-most-once requests are refused."
)
