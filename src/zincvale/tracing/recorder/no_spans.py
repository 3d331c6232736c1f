"""A recorder that keeps nothing, for measurements and models of what is not the record."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from zincvale.tracing.recorder.context import TraceContext
from zincvale.tracing.recorder.spans import AttributeValue

NO_CONTEXT = TraceContext("0" * 32, "0" * 16, False)  # type: ignore[arg-type]


class NoSpan:
    """A span that keeps nothing."""

    context = NO_CONTEXT

    def set(self, name: str, value: AttributeValue) -> None:
        """Keep nothing."""

    def event(self, name: str, **attributes: AttributeValue) -> None:
        """Keep nothing."""

    def error(self, message: str) -> None:
        """Keep nothing."""

    def end(self) -> None:
        """Keep nothing."""


class NoSpans:
    """A recorder that records nothing."""

    def start(
        self,
        name: str,
        trace: Any = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> NoSpan:
        """Return the span that keeps nothing."""
        return _NO_SPAN


_NO_SPAN = NoSpan()
