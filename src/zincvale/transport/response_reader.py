"""Reads the answers of one server connection; the framing is httptools' (llhttp, strict).

The parser calls back while it is fed. What it tells is collected and handed out afterwards, so that
whoever acts on it may close the connection without the parser being at work.
"""

from __future__ import annotations

import enum

import attrs
import httptools

from zincvale.transport.server_exchange import AnswerHead, HeaderList

FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})
CHUNKED = "chunked"


class AnswerEnd(enum.Enum):
    """How an answer ended."""

    REUSABLE = "reusable"
    """Another request may follow on the connection."""
    LAST = "last"
    """The server said, or its framing implies, that the connection ends."""


@attrs.frozen
class Unreadable:
    """What came is no answer; nothing after it can be read."""

    problem: str


AnswerEvent = AnswerHead | bytes | AnswerEnd | Unreadable


class AnswerReader:
    """Turns bytes into heads, contents and ends, in order.

    Attributes
    ----------
    is_within : an answer has begun and not ended.
    ends_with_connection : the answer under way has no length of its own.
    """

    def __init__(self) -> None:
        self.is_within = False
        self.ends_with_connection = False
        self._has_body = True
        self._skips_rest = False
        self._reason = ""
        self._headers: HeaderList = []
        self._is_interim = False
        self._events: list[AnswerEvent] = []
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    def expect(self, has_body: bool) -> None:
        """Say whether answers to the next request may have a body; those to HEAD have none."""
        self._has_body = has_body

    def feed(self, data: bytes | memoryview) -> list[AnswerEvent]:
        """Return what `data` completes; after `Unreadable` nothing follows."""
        if self._parser is None or self._skips_rest:
            return []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._events.append(Unreadable(f"not an answer: {error}"))
        events, self._events = self._events, []
        return events

    def close(self) -> None:
        """Let go of the parser, which refers back to this reader."""
        self._parser = None

    # --- called by the parser -------------------------------------------------------------

    def on_message_begin(self) -> None:
        """An answer begins."""
        self.is_within = True
        self._reason = ""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        """The reason phrase, perhaps in parts."""
        self._reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the head, or of the trailer, which is not passed on."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        self._is_interim = status < FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head = AnswerHead(status, self._reason, self._headers)
        self._headers = []
        self._events.append(head)
        self.ends_with_connection = status not in BODILESS_STATUSES and not _has_length(head)
        if not self._has_body:
            # The parser would wait for the body that the length announces.
            self._skips_rest = True
            self.is_within = False
            self._events.append(AnswerEnd.LAST)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._skips_rest:
            return
        events = self._events
        if events and isinstance(events[-1], bytes):
            events[-1] += data
        else:
            events.append(data)

    def on_message_complete(self) -> None:
        """The answer is whole."""
        assert self._parser is not None
        if self._is_interim or self._skips_rest:
            return
        self.is_within = False
        keeps_alive = self._parser.should_keep_alive()
        self._events.append(AnswerEnd.REUSABLE if keeps_alive else AnswerEnd.LAST)


def _has_length(head: AnswerHead) -> bool:
    lowered = head.lowered()
    encodings = lowered.get("transfer-encoding", "").lower()
    return "content-length" in lowered or encodings.rpartition(",")[2].strip() == CHUNKED
