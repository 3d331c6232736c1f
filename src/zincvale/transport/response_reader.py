"""Reads the responses on one server connection; the framing is httptools' (llhttp, strict).

The parser calls back while it is fed. Its events are collected and returned afterwards, so that a
handler of an event may close the connection while the parser is not running.
"""

from __future__ import annotations

import enum

import attrs
import httptools

from zincvale.transport.server_exchange import HeaderList, ResponseHead

FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})
CHUNKED = "chunked"


class ResponseEnd(enum.Enum):
    """How a response ended."""

    REUSABLE = "reusable"
    """Another request may follow on the connection."""
    LAST = "last"
    """The server said, or its framing implies, that the connection ends."""


@attrs.frozen
class UnreadableResponse:
    """The bytes are no HTTP response; nothing after them can be read."""

    problem: str


ResponseEvent = ResponseHead | bytes | ResponseEnd | UnreadableResponse


class ResponseReader:
    """Turns bytes into heads, contents and ends, in order.

    Attributes
    ----------
    is_in_message : a response has begun and not ended.
    ends_with_connection : the current response states no length: the connection's end ends it.
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
        """Set whether the response to the next request may have a body; to HEAD it has none."""
        self._has_body = has_body

    def feed(self, data: bytes | memoryview) -> list[ResponseEvent]:
        """Return what `data` completes; after `UnreadableResponse` nothing follows."""
        if self._parser is None or self._ignores_body:
            return []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._events.append(UnreadableResponse(f"not an answer: {error}"))
        events, self._events = self._events, []
        return events

    def close(self) -> None:
        """Let go of the parser, which refers back to this reader."""
        self._parser = None

    # --- called by the parser -------------------------------------------------------------

    def on_message_begin(self) -> None:
        """A response begins."""
        self.is_in_message = True
        self._reason = ""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        """The reason phrase, perhaps in parts."""
        self._reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the head, or of the trailer, which is not forwarded."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """The head is complete."""
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
            # The parser would wait for the body that the length announces.
            self._ignores_body = True
            self.is_in_message = False
            self._events.append(ResponseEnd.LAST)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._ignores_body:
            return
        events = self._events
        if events and isinstance(events[-1], bytes):
            events[-1] += data
        else:
            events.append(data)

    def on_message_complete(self) -> None:
        """The response is complete."""
        assert self._parser is not None
        if self._is_interim or self._ignores_body:
            return
        self.is_in_message = False
        keeps_alive = self._parser.should_keep_alive()
        self._events.append(ResponseEnd.REUSABLE if keeps_alive else ResponseEnd.LAST)


def _has_length(head: ResponseHead) -> bool:
    lowered = head.lowered()
    encodings = lowered.get("transfer-encoding", "").lower()
    return "content-length" in lowered or encodings.rpartition(",")[2].strip() == CHUNKED
