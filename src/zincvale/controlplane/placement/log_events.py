"""Log events of placement (5xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

LEADERSHIP_GAINED = declare(
    5001, "placement.leadership-gained", "This process became the leader of placement in an epoch."
)
LEADERSHIP_LOST = declare(
    5002,
    "placement.leadership-lost",
    "This process is no longer the leader of placement; moves without an order are cancelled.",
)
SERVER_CONFIRMED = declare(
    5003,
    "placement.server-confirmed",
    "A server's own statuses rule out orders of an earlier leader, so it may get orders.",
)
LOAD_PLANNED = declare(5010, "placement.load-planned", "A load was planned; see reason and detail.")
UNLOAD_PLANNED = declare(
    5011,
    "placement.unload-planned",
    "A model or adapter drains, to be unloaded; see reason and detail.",
)
ORDER_SENT = declare(5012, "placement.order-sent", "An order to load or unload was issued.")
ORDER_REFUSED = declare(
    5013, "placement.order-refused", "An order was refused or not sent; it did not run."
)
ORDER_UNKNOWN = declare(
    5014,
    "placement.order-unknown",
    "An order got no response; its reservation stays until the outcome is known.",
)
MOVE_DONE = declare(5015, "placement.move-done", "A move is complete; see outcome.")
MOVE_FAILED = declare(5016, "placement.move-failed", "A move failed; see outcome.")
MOVE_CANCELLED = declare(5017, "placement.move-cancelled", "A move was cancelled; see outcome.")
UNPLANNED_LOAD = declare(
    5018, "placement.unplanned-load", "A server reports a load that this process did not order."
)
LOAD_OVERDUE = declare(
    5019, "placement.load-overdue", "A load takes several times longer than expected."
)
NOTHING_FITS = declare(
    5020, "placement.nothing-fits", "No server can take a desired replica; limit says why."
)
SERVER_RESTARTED = declare(
    5021, "placement.server-restarted", "A server restarted as a new, empty incarnation."
)
SERVER_GONE = declare(5022, "placement.server-gone", "A server left the directory.")
DRAIN_STARTED = declare(
    5023, "placement.drain-started", "A server left service; its replicas are to be replaced."
)
DRAIN_DONE = declare(
    5024, "placement.drain-done", "No replica of a drained server is missing elsewhere any more."
)
UNCOUNTED_REPLICAS = declare(
    5025,
    "placement.uncounted-replicas",
    "An internal defect: a server's status lists replicas that this process does not count.",
)
UNDECLARED_REPLICA = declare(
    5026,
    "placement.undeclared-replica",
    "The leader found a replica that no resource declares; its size is not known.",
)
UNSERVED = declare(
    5027,
    "placement.unserved",
    "A model or adapter is requested again and again and was not served; decision says why.",
)
