"""Splits an event stream into complete events, byte for byte, and reads their ids.

`dataplane.http.event_reader` parses events instead. The two are not merged: forwarding relays the
server's bytes unchanged, whatever their line ends and fields, and relays even an event that is too
large. The native request path needs the parsed fields and rejects such an event."""

from __future__ import annotations

import re

import attrs

LINE_END = rb"(?:\r\n|\n|\r(?=[^\n]))"
EVENT_END = re.compile(LINE_END + LINE_END + rb"|\r\r(?!\n)")
"""The end of a line and an empty line. A line may end in each of three ways, also in one stream. A
carriage return at the end of what was received may be followed by a line feed."""
LINE_END_BYTES = b"\r\n"
LONGEST_EVENT_END_BYTES = 4
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""A longer event is relayed in parts, which bounds the memory of a request."""


@attrs.frozen
class CompleteEvents:
    """The bytes of one or more complete events, and the id of the last of them that has one."""

    content: bytes
    last_id: str


class EventSplitter:
    """Buffers the bytes of an event until the event is complete.

    Attributes
    ----------
    is_part_returned : whether a part of the present event was returned because it is too large.
    """

    def __init__(self) -> None:
        self.is_part_returned = False
        self._partial = b""
        self._returned_end = b""
        """The last bytes of the returned part of the present event: its end may begin there."""

    @property
    def is_event_open(self) -> bool:
        """Whether an event has begun and not ended; empty lines between events begin none."""
        return self.is_part_returned or bool(self._partial.strip(LINE_END_BYTES))

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Return the events that end within `data`, None when no event does."""
        self._partial += data
        end = self._end_of_last_event()
        if end == 0 and len(self._partial) > MAX_EVENT_BYTES:
            return self._take_part()
        if end == 0:
            return None
        complete, self._partial = self._partial[:end], self._partial[end:]
        self.is_part_returned = False
        self._returned_end = b""
        return CompleteEvents(complete, _last_id(complete))

    def take_remainder(self) -> bytes:
        """Return and discard the buffered bytes of an incomplete event."""
        remainder, self._partial = self._partial, b""
        return remainder

    def _end_of_last_event(self) -> int:
        """Return where the last event ends in the buffered bytes; 0 when none does."""
        searched = self._returned_end + self._partial
        end = 0
        for match in EVENT_END.finditer(searched):
            end = match.end()
        return max(0, end - len(self._returned_end))

    def _take_part(self) -> CompleteEvents:
        """Return all buffered bytes of an event that is too large to wait for its end."""
        part, self._partial = self._partial, b""
        self.is_part_returned = True
        self._returned_end = part[1 - LONGEST_EVENT_END_BYTES :]
        return CompleteEvents(part, _last_id(part))


def _last_id(content: bytes) -> str:
    last = ""
    for match in ID_LINE.finditer(content):
        last = match.group(1).decode("utf-8", "replace").strip()
    return last
