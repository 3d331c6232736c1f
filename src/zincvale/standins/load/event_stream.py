"""Reading of server-sent events from arbitrary chunks. Pure.

Kept apart from the data plane's reader on purpose: callers check what that one relays.
"""

from __future__ import annotations

import attrs

BLANK_LINE = b"\n\n"
DEFAULT_EVENT = "message"


@attrs.frozen
class StreamEvent:
    """One event; `event_id` is empty when the server gave none."""

    event: str
    event_id: str
    data: str


class EventStreamReader:
    """Collects chunks and returns complete events; what is left at the end was truncated."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that `chunk` completes."""
        # A chunk may end between the two bytes of a line end: the pair is replaced in the buffer.
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
