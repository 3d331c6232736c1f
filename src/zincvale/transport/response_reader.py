"""Parses the responses on one server connection with httptools (llhttp in strict mode).

The parser calls methods while it is fed. Their events are collected and returned afterwards, so
that the handler of an event can close the connection while the parser is not running.
"""

from __future__ import annotations

import enum

import attrs
import httptools

from zincvale.transport.server_exchange import HeaderList, ResponseHead

FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim responses."""
BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of final responses that never have a body."""
CHUNKED = "chunked"


class ResponseEnd(enum.Enum):
    """How a response ended."""

    REUSABLE = "reusable"
    """The connection can be used for another request."""
    LAST = "last"
    """The connection ends, because the server announced it or the framing of the response implies
    it."""


@attrs.frozen
class UnreadableResponse:
    """The bytes are no HTTP response; nothing that follows them is parsed."""

    problem: str


ResponseEvent = ResponseHead | bytes | ResponseEnd | UnreadableResponse


class ResponseReader:
    """Converts received bytes to heads, parts of bodies and ends of responses, in order.

    Attributes
    ----------
    is_in_message : a response has begun and not ended.
    ends_with_connection : the current response has no length, so it ends with the connection.
    """

    def __init__(self) -> None:
        self.is_in_message = False
        self.ends_with_connection = False
        self._has_body = True
        self._ignores_body = False
        self._reason = ""
        self._headers: HeaderList = []
        self._is_interim = False
        self._events: list[ResponseEvent] = []
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    def expect(self, *, has_body: bool) -> None:
        """Set whether the response to the next request may have a body; that to HEAD has none."""
        self._has_body = has_body

    def feed(self, data: bytes | memoryview) -> list[ResponseEvent]:
        """Return the events in `data`; `UnreadableResponse` is the last one."""
        if self._parser is None or self._ignores_body:
            return []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._events.append(UnreadableResponse(f"not an HTTP response: {error}"))
        events, self._events = self._events, []
        return events

    def close(self) -> None:
        """Release the parser, to break the reference cycle between it and this reader."""
        self._parser = None

    # --- Callbacks of the parser -------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the beginning of a response."""
        self.is_in_message = True
        self._reason = ""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase, which may arrive in parts."""
        self._reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head; headers of a trailer are added too but never read."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Emit the complete head, unless the response is an interim one."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        self._is_interim = status < FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head = ResponseHead(status, self._reason, self._headers)
        self._headers = []
        self._events.append(head)
        self.ends_with_connection = status not in BODILESS_STATUSES and not _has_length(head)
        if not self._has_body:
            # The parser would wait for a body of the announced length, which a response to HEAD
            # lacks.
            self._ignores_body = True
            self.is_in_message = False
            self._events.append(ResponseEnd.LAST)

    def on_body(self, data: bytes) -> None:
        """Emit a part of the body."""
        if self._ignores_body:
            return
        events = self._events
        if events and isinstance(events[-1], bytes):
            events[-1] += data
        else:
            events.append(data)

    def on_message_complete(self) -> None:
        """Emit the end of the response."""
        assert self._parser is not None
        if self._is_interim or self._ignores_body:
            return
        self.is_in_message = False
        keeps_alive = self._parser.should_keep_alive()
        self._events.append(ResponseEnd.REUSABLE if keeps_alive else ResponseEnd.LAST)


def _has_length(head: ResponseHead) -> bool:
    headers = head.lower_case_headers()
    encodings = headers.get("transfer-encoding", "").lower()
    return "content-length" in headers or encodings.rpartition(",")[2].strip() == CHUNKED
