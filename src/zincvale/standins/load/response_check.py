"""Checks the chunks of a response, their order and their end against the expected response."""

from __future__ import annotations

import attrs

from zincvale.standins.generation import text_digest


@attrs.define
class StreamFaults:
    """Counts of the faults of a stream."""

    skips: int = 0
    repeats: int = 0
    splices: int = 0
    """Chunks whose text differs from the expected text at their index."""
    wrong_ends: int = 0
    """Ends of a stream that were sent before the response was complete, or with a wrong count."""

    def has_any(self) -> bool:
        """Return whether any fault was counted."""
        return bool(self.skips or self.repeats or self.splices or self.wrong_ends)


class ResponseCheck:
    """Checks one response, whose chunks may come from several attempts.

    Parameters
    ----------
    expected : the tokens of the correct response.
    """

    def __init__(self, expected: list[str]) -> None:
        self._expected = expected
        self.faults = StreamFaults()
        self.last_event_id = 0
        self.chunks = 0
        self.text = ""

    def on_chunk(self, index: int, text: str) -> None:
        """Check the received chunk number `index` (from 1)."""
        self.chunks += 1
        if index <= self.last_event_id:
            self.faults.repeats += 1
            return
        if index > self.last_event_id + 1:
            self.faults.skips += 1
        if index > len(self._expected) or self._expected[index - 1] != text:
            self.faults.splices += 1
        self.last_event_id = index
        self.text += text

    def on_end(self, count: int) -> None:
        """Check the explicit end of a stream, which states that the response has `count` chunks."""
        if count != len(self._expected) or self.last_event_id != count:
            self.faults.wrong_ends += 1

    def on_full_text(self, text: str) -> None:
        """Record a response that was not streamed."""
        self.chunks = 1
        self.text = text

    def digest(self) -> str:
        """Return the digest of the received text."""
        return text_digest(self.text)

    def expected_digest(self) -> str:
        """Return the digest of the correct response."""
        return text_digest("".join(self._expected))

    def is_correct(self) -> bool:
        """Return whether the correct response was received without faults."""
        return not self.faults.has_any() and self.text == "".join(self._expected)
