"""One request to a server and the listener of its response."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

HeaderList = list[tuple[str, str]]


@attrs.frozen
class OutgoingRequest:
    """One request to a server.

    Attributes
    ----------
    headers : headers without `Content-Length`, which is added when there is a body.
    body : body of the request; None sends neither a body nor a length.
    is_own_response : returns whether a response with this status and these headers (names in lower
        case) belongs to this request; other responses are read to their end and dropped.
    may_repeat : the request may be sent twice, so it may use a connection that was idle for so long
        that the server may have closed it.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes | None
    is_own_response: Callable[[int, Mapping[str, str]], bool]
    may_repeat: bool = False


@attrs.frozen
class ResponseHead:
    """Status and headers of a response; headers have the order and spelling of the server."""

    status: int
    reason: str
    headers: HeaderList

    def lower_case_headers(self) -> dict[str, str]:
        """Return the headers with names in lower case; of repeated headers the last one."""
        return {name.lower(): value for name, value in self.headers}


class ResponseListener(Protocol):
    """Receives the events of an exchange, in order.

    `on_not_sent`, `on_complete` and `on_broken` are the last event of an exchange.
    """

    def on_not_sent(self, reason: str) -> None:
        """Handle that nothing of the request was sent, mostly for lack of a connection."""
        ...

    def on_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""
        ...

    def on_content(self, data: bytes) -> None:
        """Handle a part of the body."""
        ...

    def on_complete(self, *, is_delimited: bool) -> None:
        """Handle the end of a response.

        Parameters
        ----------
        is_delimited : whether the response has a length or a last chunk, which it has reached. If
            not, it ended with its connection, as it also does when the server crashes.
        """
        ...

    def on_broken(self, reason: str) -> None:
        """Handle a failure after a part of the request may have been sent."""
        ...
