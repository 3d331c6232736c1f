"""One HTTP exchange of the curl client: its request, its listener and its state."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

CONNECT_TIMEOUT_S = 1.0
"""Time limit for establishing a connection. A shorter one fails on slow links; a longer one delays
the retry at another server."""


@attrs.frozen
class ClientRequest:
    """One request to send.

    Attributes
    ----------
    address : `ip:port` as advertised; the client's address map may replace it.
    target : path with query, percent-encoded.
    body : body of a POST request; None makes it a GET request.
    streaming : the response body is delivered in parts as it arrives, instead of complete.
    may_send : called when the connection is established, before the first byte is sent; False fails
        the exchange with nothing sent. It prevents that a request is sent too late because the
        process was suspended after `start`.
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
    """Why an exchange received no complete response.

    `sent` is False only when certainly no byte of the request was sent.
    """

    reason: str
    sent: bool
    status: int = 0


class ExchangeListener(Protocol):
    """Receives the events of an exchange; `on_done` or `on_failed` is the last one."""

    def on_connected(self) -> None:
        """Handle that a connection is established and the request is being sent."""
        ...

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Handle the status and headers (names in lower case)."""
        ...

    def on_body(self, data: bytes) -> None:
        """Handle the next part of a streaming body."""
        ...

    def on_done(self, body: bytes) -> None:
        """Handle the complete body, or `b""` at the end of a complete streaming exchange."""
        ...

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Handle a failure; the connection is closed."""
        ...


class ExchangeOwner(Protocol):
    """The client that runs an exchange."""

    def cancel(self, exchange: CurlExchange) -> None:
        """Close the exchange's connection and remove the exchange."""
        ...

    def resume(self, exchange: CurlExchange) -> None:
        """Deliver the body that was buffered while the exchange was paused."""
        ...


@attrs.define(eq=False)
class CurlExchange:
    """A request in flight.

    Attributes
    ----------
    sent : whether a byte of the request may have been sent.
    finished : the exchange is over; the listener is not called any more.
    paused : the listener accepts no body at the moment.
    body, body_bytes : parts of the body that were received and not delivered yet, and their size.
    headers_complete : the final status and all headers were received.
    connected_notified, headers_notified : the listener's `on_connected` or `on_headers` was called.
    touched : the exchange is in the client's list of changed exchanges.
    paused_by_curl : libcurl reads no more of the body because too much is undelivered.
    completion : error of a transfer (empty for success) that ended while a part of the body is
        undelivered; else None.
    shut_socket : shuts down the socket of the running transfer.
    relaunched : the request was already started again over a new connection.
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
    """The reused connection was closed or had unread bytes, so the request needs a new
    connection."""

    def cancel(self) -> None:
        """Abandon the exchange: its connection is closed and its listener not called any more."""
        if not self.finished:
            self.owner.cancel(self)

    def pause(self) -> None:
        """Stop delivering the body; the socket is read only until the bounded buffer is full."""
        self.paused = True

    def resume(self) -> None:
        """Continue to deliver the body."""
        self.paused = False
        if not self.finished:
            self.owner.resume(self)

    def close_connection(self) -> None:
        """Shut down the connection, so that it is not reused even after a complete response."""
        if self.shut_socket is not None:
            self.shut_socket()


@attrs.frozen
class ClientResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ExchangeError(Exception):
    """`fetch` received no complete response; `failure.sent` is whether the request may have run."""

    def __init__(self, failure: ExchangeFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure
