"""Spans of orders: sent, and their completion as observed."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.controlplane.placement.events import CompletionRecorded, OrderRecorded
from zincvale.tracing.recorder.recorder import SpanRecorder

MAX_OPEN_SPANS = 10_000
DONE = "done"


@attrs.define
class OrderSpans:
    """One span per order, from its sending to its observed end."""

    recorder: SpanRecorder
    _open: dict[str, Any] = attrs.field(factory=dict)

    def order_sent(self, fact: OrderRecorded) -> None:
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

    def order_completed(self, fact: CompletionRecorded) -> None:
        """End the order's span with its outcome."""
        span = self._open.pop(fact.order_id, None)
        if span is None:
            return
        span.event("completed", outcome=fact.outcome)
        if fact.outcome != DONE:
            span.error(fact.outcome)
        span.end()
