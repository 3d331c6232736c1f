"""Log events of placement (5xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

LEADERSHIP_GAINED = declare(
    5001, "placement.leadership-gained", "This process plans moves from now on, under this epoch."
)
LEADERSHIP_LOST = declare(
    5002, "placement.leadership-lost", "This process gives no more orders; planned moves end."
)
SERVER_CONFIRMED = declare(
    5003, "placement.server-confirmed", "A server's own status is newer than any earlier order."
)
LOAD_PLANNED = declare(5010, "placement.load-planned", "A load entered the calendar; see reason.")
UNLOAD_PLANNED = declare(
    5011, "placement.unload-planned", "A model or adapter closes, to be unloaded; see reason."
)
ORDER_SENT = declare(5012, "placement.order-sent", "An order to load or unload leaves.")
ORDER_REFUSED = declare(5013, "placement.order-refused", "A server refused an order; it never ran.")
ORDER_UNKNOWN = declare(
    5014, "placement.order-unknown", "An order got no answer; its reservation stays for now."
)
MOVE_DONE = declare(5015, "placement.move-done", "A move was observed to be complete.")
MOVE_FAILED = declare(5016, "placement.move-failed", "A move was observed to have come to nothing.")
MOVE_CANCELLED = declare(5017, "placement.move-cancelled", "A move was given up before its order.")
UNPLANNED_LOAD = declare(
    5018, "placement.unplanned-load", "A server reports a load that this process did not order."
)
LOAD_OVERDUE = declare(
    5019, "placement.load-overdue", "A load takes several times longer than was learned."
)
NOTHING_FITS = declare(
    5020, "placement.nothing-fits", "No server can take a wanted copy; names the closest limit."
)
SERVER_RESTARTED = declare(
    5021, "placement.server-restarted", "A server came back as a new, empty incarnation."
)
SERVER_GONE = declare(5022, "placement.server-gone", "A server left the directory.")
DRAIN_STARTED = declare(5023, "placement.drain-started", "Copies of a server are to be replaced.")
DRAIN_DONE = declare(
    5024, "placement.drain-done", "Everything wanted from a drained server runs elsewhere."
)
UNCOUNTED_REPLICAS = declare(
    5025,
    "placement.uncounted-replicas",
    "A defect: a server's own status lists replicas that this process does not count.",
)
UNDECLARED_REPLICA = declare(
    5026,
    "placement.undeclared-replica",
    "The leader found a replica that no resource declares; its size is not known.",
)
