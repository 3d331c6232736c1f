"""Log events of the control plane but placement (40xx).

Numbers never change; names and descriptions are shown by docs/EVENTS.md.
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
    4004, "server.removed", "A server that left the platform's list was forgotten."
)
SERVER_DELISTED = declare(
    4005, "server.delisted", "A server left the platform's list; it is kept while it answers."
)
SERVER_HEALTH_CHANGED = declare(
    4006, "server.health", "Probes changed their verdict on a server; `why` tells the cause."
)
SERVER_RETURNED = declare(
    4007, "server.returned", "A server answers as a new incarnation: it is cold and empty."
)
SERVER_IDENTITY_MISMATCH = declare(
    4008,
    "server.identity-mismatch",
    "Another server answers at a server's address; it counts as a failure.",
)
PLATFORM_LIST_FAILED = declare(
    4009, "platform.list-failed", "The platform's list cannot be read; the last one stays in use."
)
PUBLICATION_FAILED = declare(
    4010, "directory.publication-failed", "Rows were not taken; all of them are published again."
)
