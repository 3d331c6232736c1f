"""Splits an event stream into whole events and reads their ids."""

from __future__ import annotations

import re

import attrs

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""What does not end by then is passed on as it is."""


@attrs.frozen
class CompleteEvents:
    """Bytes of one or more whole events, and the id of the last one that has an id."""

    content: bytes
    last_id: str


class EventSplitter:
    """Keeps what has arrived of an event until the event is whole."""

    def __init__(self) -> None:
        self._partial = b""

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Return the events that `data` completes, None when it completes none."""
        self._partial += data
        end = 0
        for match in EVENT_END.finditer(self._partial):
            end = match.end()
        if end == 0 and len(self._partial) > MAX_EVENT_BYTES:
            end = len(self._partial)
        if end == 0:
            return None
        whole, self._partial = self._partial[:end], self._partial[end:]
        return CompleteEvents(whole, _last_id(whole))

    def take_remainder(self) -> bytes:
        """Return and forget what has arrived of an unfinished event."""
        rest, self._partial = self._partial, b""
        return rest


def _last_id(content: bytes) -> str:
    last = ""
    for match in ID_LINE.finditer(content):
        last = match.group(1).decode("utf-8", "replace").strip()
    return last
