"""Log events of the tracing plane (8xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

SPANS_DROPPED = declare(
    8001, "tracing.spans.dropped", "Trace chunks were dropped at the sender: its buffer is full."
)
COLLECTOR_FULL = declare(
    8002,
    "tracing.collector.full",
    "The collector's table is over its budget; the oldest traces are decided early.",
)
COLLECTOR_LOST = declare(
    8003,
    "tracing.collector.lost",
    "A collector left or restarted; its undecided chunks are sent again to the new owners.",
)
TRACES_HANDED_OVER = declare(
    8004,
    "tracing.traces.handed-over",
    "Undecided traces moved to their new collectors after a change of members.",
)
RETAINED_EVICTED = declare(
    8005,
    "tracing.retained.evicted",
    "Kept traces were evicted to hold the byte budget; names the class and its oldest trace.",
)
