"""Log events of the request path (6xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

SERVER_EJECTED = declare(
    6001,
    "dataplane.server-ejected",
    "A server failed repeatedly at this node, which ejects it for a while.",
)
SERVER_READMITTED = declare(
    6002, "dataplane.server-readmitted", "An ejected server responded again."
)
POLICY_UNKNOWN = declare(
    6003, "dataplane.policy-unknown", "A pool names a policy that cannot be loaded; it is left out."
)
RESPONSE_MISMATCHED = declare(
    6004,
    "dataplane.response-mismatched",
    "A server responded to another request; connection closed.",
)
STREAM_RESUMED = declare(
    6005,
    "dataplane.stream-resumed",
    "A stream was resumed at another server from its exact prefix.",
)
STREAM_BROKEN = declare(
    6006, "dataplane.stream-broken", "A stream could not be resumed; its caller got an error event."
)
REQUEST_DEFECT = declare(
    6007,
    "dataplane.request-defect",
    "A defect ended the handling of a request early; its outcome is unknown.",
)
DRAINING = declare(
    6008, "dataplane.draining", "The node is draining and reports that it is not ready."
)
SERVED_WITHOUT_LEASE = declare(
    6009,
    "dataplane.served-without-lease",
    "The node had no valid lease for a while and began requests by its last document, which may "
    "be older than one that was acknowledged.",
)
