"""Checks a response against the expected one: each chunk of a stream, order and end. Pure."""

from __future__ import annotations

import attrs

from zincvale.standins.generation import text_digest


@attrs.define
class StreamFaults:
    """What was wrong with a stream, counted."""

    skips: int = 0
    repeats: int = 0
    splices: int = 0
    """Chunks whose text is not the expected one at that index."""
    wrong_ends: int = 0
    """Streams that claimed to be complete and were not."""

    def has_any(self) -> bool:
        """Return whether anything was wrong."""
        return bool(self.skips or self.repeats or self.splices or self.wrong_ends)


class ResponseCheck:
    """Checks one response over all attempts.

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
        """Take the chunk numbered `index` (from 1)."""
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
        """Take the explicit end, which says that the response has `count` chunks."""
        if count != len(self._expected) or self.last_event_id != count:
            self.faults.wrong_ends += 1

    def on_full_text(self, text: str) -> None:
        """Take a response that was not streamed."""
        self.chunks = 1
        self.text = text

    def digest(self) -> str:
        """Return the digest of what was received."""
        return text_digest(self.text)

    def expected_digest(self) -> str:
        """Return the digest of the correct response."""
        return text_digest("".join(self._expected))

    def is_correct(self) -> bool:
        """Return whether exactly the correct response was received."""
        return not self.faults.has_any() and self.text == "".join(self._expected)
