"""A recorder that records nothing, for measurements and models without tracing."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from zincvale.tracing.recorder.context import TraceContext
from zincvale.tracing.recorder.spans import AttributeValue

NO_CONTEXT = TraceContext("0" * 32, "0" * 16, False)  # type: ignore[arg-type]
"""Context of `NoSpan`: all-zero identifiers, not sampled."""


class NoSpan:
    """A span that records nothing."""

    context = NO_CONTEXT

    def set(self, name: str, value: AttributeValue) -> None:
        """Record nothing."""

    def event(self, name: str, **attributes: AttributeValue) -> None:
        """Record nothing."""

    def error(self, message: str) -> None:
        """Record nothing."""

    def end(self) -> None:
        """Record nothing."""


class NoSpans:
    """A recorder that records nothing."""

    def start(
        self,
        name: str,
        trace: Any = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> NoSpan:
        """Return a span that records nothing."""
        del name, trace, parent, attributes  # Same interface as `SpanRecorder.start`.
        return _NO_SPAN


_NO_SPAN = NoSpan()
