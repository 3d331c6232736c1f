"""Log events of the runtime and the programs (1xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

DAEMON_STARTED = declare(1001, "daemon.started", "A daemon serves; names its role and addresses.")
DAEMON_STOPPING = declare(1002, "daemon.stopping", "A daemon was asked to stop and drains.")
CLOCK_JUMPED = declare(
    1003, "clock.jumped", "The process was frozen or suspended; held leases are dropped."
)
PEER_REFUSED = declare(
    1004, "peer.refused", "A peer's batch was refused: another cluster id or an unreadable body."
)
PEER_UNREACHABLE = declare(
    1005, "peer.unreachable", "Messages to a member fail; logged once until it answers again."
)
HANDLER_FAILED = declare(1006, "handler.failed", "A defect: an input raised; the daemon goes on.")
ORDER_FENCED = declare(
    1007, "order.fenced", "An order was withheld: the leader lease did not cover this moment."
)
INTENT_UNREADABLE = declare(
    1008, "intent.unreadable", "A delivered intent cannot be read; the last one stays in use."
)
ORDER_COUNT_DIFFERS = declare(
    1009,
    "order.count-differs",
    "A server has accepted another number of orders than this process counted there.",
)
