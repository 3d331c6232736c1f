"""Incremental parser of server-sent event streams (`text/event-stream`, WHATWG HTML 9.2).

`forwarding.event_splitter` splits such streams without parsing them; the reason is given there."""

from __future__ import annotations

import attrs

MAX_EVENT_BYTES = 1024 * 1024
"""The longest event; bounds the memory of a stream whose server never ends an event."""


class EventTooLargeError(Exception):
    """An event does not end within `MAX_EVENT_BYTES`."""


@attrs.frozen
class ServerSentEvent:
    """One event; `name` is empty for plain chunks, and `number` is None without a numeric id."""

    name: str
    number: int | None
    data: bytes


@attrs.define
class EventReader:
    """Parses bytes into events; an event is complete with the empty line that ends it."""

    _partial: bytes = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that end within `data`; raises `EventTooLargeError`."""
        text = self._partial + data if self._partial else data
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n")
        *raw_events, self._partial = text.split(b"\n\n")
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return [_parse_event(raw_event) for raw_event in raw_events if raw_event]


def _parse_event(raw_event: bytes) -> ServerSentEvent:
    name = ""
    number: int | None = None
    data: list[bytes] = []
    for line in raw_event.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"id" and value.isdigit():
            number = int(value)
        elif field == b"event":
            name = value.decode("utf-8", "replace")
    return ServerSentEvent(name, number, data[0] if len(data) == 1 else b"\n".join(data))
