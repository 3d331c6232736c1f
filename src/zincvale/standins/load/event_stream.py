"""Parses server-sent events from chunks that may be split anywhere. Performs no I/O.

Deliberately independent of the parser in the data plane, because callers check what the latter
relays.
"""

from __future__ import annotations

import attrs

BLANK_LINE = b"\n\n"
DEFAULT_EVENT = "message"


@attrs.frozen
class StreamEvent:
    """One event; `event_id` is empty if the server sent none."""

    event: str
    event_id: str
    data: str


class EventStreamReader:
    """Buffers chunks and returns complete events; an incomplete event at the end is dropped."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add `chunk` to the buffer and return the events that are now complete."""
        # CRLF is replaced in the buffer, not in the chunk, which may end between the two bytes.
        self._buffer = (self._buffer + chunk).replace(b"\r\n", b"\n")
        events: list[StreamEvent] = []
        while True:
            block, separator, rest = self._buffer.partition(BLANK_LINE)
            if not separator:
                return events
            self._buffer = rest
            event = _parse(block.decode("utf-8", "replace"))
            if event is not None:
                events.append(event)


def _parse(block: str) -> StreamEvent | None:
    event, event_id = DEFAULT_EVENT, ""
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            event = value
        elif name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
    if not data:
        return None
    return StreamEvent(event, event_id, "\n".join(data))
