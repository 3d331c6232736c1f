"""Log events of the control plane except placement, with the numbers 40xx.

The numbers never change; docs/EVENTS.md lists the names and descriptions.
"""

from __future__ import annotations

from zincvale.model.log_events import declare

DIRECTORY_STARTED = declare(
    4001, "directory.started", "This process publishes the server directory under a new epoch."
)
DIRECTORY_STOPPED = declare(
    4002, "directory.stopped", "This process no longer publishes the server directory."
)
SERVER_ADDED = declare(4003, "server.added", "The platform's list names a new server.")
SERVER_REMOVED = declare(
    4004, "server.removed", "A server that left the platform's list was removed."
)
SERVER_DELISTED = declare(
    4005, "server.delisted", "A server left the platform's list; it is retained for a limited time."
)
SERVER_HEALTH_CHANGED = declare(
    4006, "server.health", "Probes changed the health of a server; `why` is the cause."
)
SERVER_RETURNED = declare(
    4007, "server.returned", "A server responds as a new incarnation: it is cold and empty."
)
SERVER_IDENTITY_MISMATCH = declare(
    4008,
    "server.identity-mismatch",
    "Another server responds at a server's address; the probe counts as failed.",
)
PLATFORM_LIST_FAILED = declare(
    4009, "platform.list-failed", "The platform's list cannot be read; the last list stays in use."
)
EVACUATION_REQUESTED = declare(
    4011,
    "evacuation.requested",
    "An operator's request to evacuate a zone, or to return it to service, was read.",
)
EVACUATION_RESPONDED = declare(
    4012,
    "evacuation.responded",
    "A request about an evacuation got its result, `waited_s` after it was read.",
)
PUBLICATION_FAILED = declare(
    4010,
    "directory.publication-failed",
    "Rows were refused or got no response; all of them are published again.",
)
