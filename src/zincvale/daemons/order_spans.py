"""Trace spans of orders, from sending to observed completion."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.controlplane.placement.events import CompletionRecorded, OrderRecorded
from zincvale.tracing.recorder.recorder import SpanRecorder

MAX_OPEN_SPANS = 10_000
"""Above it the oldest span ends early: bounds memory when completions are never observed."""
DONE = "done"
"""The outcome of a completed order; any other one marks its span as failed."""


@attrs.define
class OrderSpans:
    """One open span for each order that was sent and whose completion was not observed yet."""

    recorder: SpanRecorder
    _open: dict[str, Any] = attrs.field(factory=dict)

    def on_order_sent(self, fact: OrderRecorded) -> None:
        """Start the order's span."""
        order = fact.order
        span = self.recorder.start(
            "order",
            attributes={
                "order_id": order.order_id,
                "move_id": fact.move_id,
                "action": order.action.value,
                "name": order.name,
                "server": fact.server,
                "reason": fact.reason.value,
                "detail": fact.detail,
            },
        )
        span.event("sent", epoch=order.epoch)
        if len(self._open) >= MAX_OPEN_SPANS:
            oldest = next(iter(self._open))
            self._open.pop(oldest).end()
        self._open[order.order_id] = span

    def on_order_completed(self, fact: CompletionRecorded) -> None:
        """End the order's span with its outcome."""
        span = self._open.pop(fact.order_id, None)
        if span is None:
            return
        span.event("completed", outcome=fact.outcome)
        if fact.outcome != DONE:
            span.error(fact.outcome)
        span.end()
