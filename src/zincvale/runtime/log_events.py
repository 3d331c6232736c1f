"""Log events of the runtime and the daemons (1xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

DAEMON_STARTED = declare(
    1001, "daemon.started", "A daemon has started to serve; names its role and addresses."
)
DAEMON_STOPPING = declare(1002, "daemon.stopping", "A daemon received a stop signal and drains.")
CLOCK_JUMPED = declare(
    1003, "clock.jumped", "The process was frozen or suspended; it drops the leases that it holds."
)
PEER_REFUSED = declare(
    1004,
    "peer.refused",
    "A peer's batch was rejected: its cluster id differs or its body is unreadable.",
)
PEER_UNREACHABLE = declare(
    1005,
    "peer.unreachable",
    "Messages to a member fail; logged once until the member responds again.",
)
HANDLER_FAILED = declare(
    1006,
    "handler.failed",
    "Handling an input raised an exception (a defect); the daemon continues.",
)
ORDER_FENCED = declare(
    1007,
    "order.fenced",
    "An order was not sent: it expired, its server is gone, or the leader lease has ended.",
)
INTENT_UNREADABLE = declare(
    1008,
    "intent.unreadable",
    "A delivered intent or table is unreadable; the last one stays in use.",
)
EVACUATIONS_CHANGED = declare(
    1011,
    "document.evacuations-changed",
    "This process uses a document with other evacuated zones than before.",
)
SETTINGS_RELOADED = declare(
    1010, "settings.reloaded", "The settings file was read again, after a signal or a change."
)
ADMISSION_LIMITED = declare(
    1012,
    "admission.limited",
    "Requests or connections were refused or closed for lack of memory or descriptors, or because "
    "they were too large or too slow; reasons counts them since the last such line.",
)
ORDER_COUNT_DIFFERS = declare(
    1009,
    "order.count-differs",
    "A server reports another number of accepted orders than this process has counted.",
)
