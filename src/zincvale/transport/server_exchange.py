"""One request to a server and the listener of its response."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

HeaderList = list[tuple[str, str]]


@attrs.frozen
class OutgoingRequest:
    """What leaves for a server.

    Attributes
    ----------
    headers : without those that frame the body.
    body : None sends no body at all.
    is_own_response : whether a response with this status and these headers (names in lower case)
        is this request's; others are read to their end and dropped.
    may_repeat : the request may be sent twice, so it may use a connection that was idle for so
        long that the server may have closed it.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes | None
    is_own_response: Callable[[int, Mapping[str, str]], bool]
    may_repeat: bool = False


@attrs.frozen
class ResponseHead:
    """Status and headers of a response, in the order and spelling that the server used."""

    status: int
    reason: str
    headers: HeaderList

    def lowered(self) -> dict[str, str]:
        """Return the headers with names in lower case; of repeated ones the last."""
        return {name.lower(): value for name, value in self.headers}


class ResponseListener(Protocol):
    """Receives the events of an exchange, in order.

    `on_not_sent`, `on_complete` and `on_broken` are the last event of an exchange.
    """

    def on_not_sent(self, reason: str) -> None:
        """No connection came up: nothing of the request was sent."""
        ...

    def on_head(self, head: ResponseHead) -> None:
        """The head of the response."""
        ...

    def on_content(self, data: bytes) -> None:
        """A part of the body."""
        ...

    def on_complete(self) -> None:
        """The response is complete."""
        ...

    def on_broken(self, reason: str) -> None:
        """The exchange broke after a part of the request may have been sent."""
        ...
