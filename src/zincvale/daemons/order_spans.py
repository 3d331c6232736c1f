"""Trace spans of orders, from sending to observed completion."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.controlplane.placement.events import CompletionRecorded, OrderRecorded
from zincvale.tracing.recorder.recorder import SpanRecorder

MAX_OPEN_SPANS = 10_000
"""Limit on open spans, above which the oldest one ends early; bounds memory when completions are
never observed."""
COMPLETED_OUTCOME = "done"
"""Outcome of a completed order; any other outcome marks the order's span as failed."""


@attrs.define
class OrderSpans:
    """Holds one open span for each sent order whose completion was not observed yet."""

    recorder: SpanRecorder
    _open: dict[str, Any] = attrs.field(factory=dict)

    def on_order_sent(self, effect: OrderRecorded) -> None:
        """Start the order's span."""
        order = effect.order
        span = self.recorder.start(
            "order",
            attributes={
                "order_id": order.order_id,
                "move_id": effect.move_id,
                "action": order.action.value,
                "name": order.name,
                "server": effect.server,
                "reason": effect.reason.value,
                "detail": effect.detail,
            },
        )
        span.event("sent", epoch=order.epoch)
        if len(self._open) >= MAX_OPEN_SPANS:
            oldest = next(iter(self._open))
            self._open.pop(oldest).end()
        self._open[order.order_id] = span

    def on_order_completed(self, effect: CompletionRecorded) -> None:
        """End the order's span with its outcome."""
        span = self._open.pop(effect.order_id, None)
        if span is None:
            return
        span.event("completed", outcome=effect.outcome)
        if effect.outcome != COMPLETED_OUTCOME:
            span.error(effect.outcome)
        span.end()
