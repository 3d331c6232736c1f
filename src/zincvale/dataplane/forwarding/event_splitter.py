"""Splits an event stream into complete events, byte for byte, and reads their ids.

`dataplane.http.event_reader` parses events instead. The two are not merged: forwarding relays the
server's bytes unchanged, whatever their line ends and fields, and relays even an event that is too
large. The native request path needs the parsed fields and rejects such an event."""

from __future__ import annotations

import re

import attrs

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""A longer event is relayed in parts, which bounds the memory of a request."""


@attrs.frozen
class CompleteEvents:
    """The bytes of one or more complete events, and the id of the last of them that has one."""

    content: bytes
    last_id: str


class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    def __init__(self) -> None:
        self._partial = b""

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Return the events that end within `data`, None when no event does."""
        self._partial += data
        end = 0
        for match in EVENT_END.finditer(self._partial):
            end = match.end()
        if end == 0 and len(self._partial) > MAX_EVENT_BYTES:
            end = len(self._partial)
        if end == 0:
            return None
        complete, self._partial = self._partial[:end], self._partial[end:]
        return CompleteEvents(complete, _last_id(complete))

    def take_remainder(self) -> bytes:
        """Return and discard the buffered bytes of an incomplete event."""
        remainder, self._partial = self._partial, b""
        return remainder


def _last_id(content: bytes) -> str:
    last = ""
    for match in ID_LINE.finditer(content):
        last = match.group(1).decode("utf-8", "replace").strip()
    return last
