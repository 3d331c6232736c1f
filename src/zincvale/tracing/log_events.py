"""Log events of tracing (8xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

SPANS_DROPPED = declare(
    8001, "tracing.spans.dropped", "The sender dropped trace chunks because its buffer is full."
)
COLLECTOR_FULL = declare(
    8002,
    "tracing.collector.full",
    "Undecided traces are above the budget of this collector; the oldest are decided early.",
)
COLLECTOR_LOST = declare(
    8003,
    "tracing.collector.lost",
    "A collector left or restarted; the chunks it had not decided are sent to the new owners.",
)
TRACES_HANDED_OVER = declare(
    8004,
    "tracing.traces.handed-over",
    "Undecided traces moved to their new collectors after a change of members.",
)
RETAINED_EVICTED = declare(
    8005,
    "tracing.retained.evicted",
    "Retained traces were evicted to keep the byte budget; `evicted` counts them by class, and"
    " `complete_since` gives the time since which each class is complete.",
)
