"""One HTTP exchange of the curl client: its request, its listener and its state."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

CONNECT_TIMEOUT_S = 1.0
"""Shorter fails on slow links; longer delays the retry at another server."""


@attrs.frozen
class ClientRequest:
    """One request to send.

    Attributes
    ----------
    address : `ip:port` as advertised; the client's address map may redirect it.
    target : path with query, percent-encoded.
    body : sent with POST; None makes it a GET.
    streaming : the body is delivered in chunks as it arrives, instead of complete.
    may_send : called when the connection is established and the first byte is about to be sent;
        False fails the exchange with nothing sent. Guards against a freeze between start and
        send.
    """

    address: str
    target: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    streaming: bool = False
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    may_send: Callable[[], bool] | None = None


@attrs.frozen
class ExchangeFailure:
    """Why an exchange has no complete response.

    `sent` is False only when no byte of the request can have been sent.
    """

    reason: str
    sent: bool
    status: int = 0


class ExchangeListener(Protocol):
    """Receives the events of an exchange. After `on_done` or `on_failed` nothing more is called."""

    def on_connected(self) -> None:
        """A connection is established and the request is being sent."""
        ...

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Take status and headers (names in lower case)."""
        ...

    def on_body(self, data: bytes) -> None:
        """Take the next part of a streaming body."""
        ...

    def on_done(self, body: bytes) -> None:
        """Take the complete body, or `b""` for a streaming exchange, which ended complete."""
        ...

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Take a failure; the connection is closed."""
        ...


class ExchangeOwner(Protocol):
    """The client that runs an exchange."""

    def cancel(self, exchange: CurlExchange) -> None:
        """Close the exchange's connection and forget it."""
        ...

    def resume(self, exchange: CurlExchange) -> None:
        """Deliver the body that was held back while the exchange was paused."""
        ...


@attrs.define(eq=False)
class CurlExchange:
    """A request in flight.

    Attributes
    ----------
    sent : whether a byte of the request may have been sent.
    finished : nothing more happens.
    paused : the listener takes no body now.
    body, body_bytes : received and not yet delivered.
    headers_complete, connected_notified, headers_notified, touched, paused_by_curl, completion :
        the client's state; `completion` is the error of a transfer that ended (empty: none) while
        body is still to be delivered.
    """

    request: ClientRequest
    listener: ExchangeListener
    owner: ExchangeOwner
    sent: bool = False
    status: int = 0
    finished: bool = False
    headers: dict[str, str] = attrs.field(factory=dict)
    paused: bool = False
    body: deque[bytes] = attrs.field(factory=deque)
    body_bytes: int = 0
    headers_complete: bool = False
    connected_notified: bool = False
    headers_notified: bool = False
    touched: bool = False
    paused_by_curl: bool = False
    completion: str | None = None
    shut_socket: Callable[[], None] | None = None
    relaunched: bool = False
    stale_connection: bool = False
    """A reused connection was closed or holds unread bytes; the request goes over a new one."""

    def cancel(self) -> None:
        """Give up: the connection is closed, the listener receives no more events."""
        if not self.finished:
            self.owner.cancel(self)

    def pause(self) -> None:
        """Stop delivering body; the socket is read no further than the bounded buffer."""
        self.paused = True

    def resume(self) -> None:
        """Deliver body again."""
        self.paused = False
        if not self.finished:
            self.owner.resume(self)

    def close_connection(self) -> None:
        """Make sure the connection is never used again, also after a complete response."""
        if self.shut_socket is not None:
            self.shut_socket()


@attrs.frozen
class ClientResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ExchangeError(Exception):
    """`fetch` got no complete response; `failure.sent` tells whether the request may have run."""

    def __init__(self, failure: ExchangeFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure
