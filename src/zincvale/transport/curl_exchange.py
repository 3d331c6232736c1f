"""One HTTP exchange of the curl client: its request, its listener and its state."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class ClientRequest:
    """One request to send.

    Attributes
    ----------
    address : `ip:port` as advertised; the client's address map may redirect it.
    target : path with query, percent-encoded.
    body : sent with POST; None makes it a GET.
    streaming : the body is handed over piece by piece instead of whole.
    may_leave : asked when the connection stands and the first byte is about to leave; False
        fails the exchange with nothing sent. Guards against a freeze between start and send.
    """

    address: str
    target: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    streaming: bool = False
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    may_leave: Callable[[], bool] | None = None


@attrs.frozen
class ExchangeFailure:
    """Why an exchange has no whole answer.

    `sent` is False only when no byte of the request can have left.
    """

    reason: str
    sent: bool
    status: int = 0


class ExchangeListener(Protocol):
    """Who hears of an exchange. After `on_done` or `on_failed` nothing more is called."""

    def on_connected(self) -> None:
        """Note that a connection is established and the request leaves now."""
        ...

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Take status and headers (names in lower case)."""
        ...

    def on_body(self, data: bytes) -> None:
        """Take the next part of a streaming body."""
        ...

    def on_done(self, body: bytes) -> None:
        """Take the whole body, or `b""` for a streaming exchange, which ended whole."""
        ...

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Take a failure; the connection is closed."""
        ...


class ExchangeOwner(Protocol):
    """The client that runs an exchange."""

    def cancel(self, exchange: Exchange) -> None:
        """Close the exchange's connection and forget it."""
        ...

    def resume(self, exchange: Exchange) -> None:
        """Hand over what waited."""
        ...


@attrs.define(eq=False)
class Exchange:
    """A request under way.

    Attributes
    ----------
    sent : whether a byte of the request may have left.
    finished : nothing more happens.
    paused : the listener wants no body now.
    body, body_bytes : received and not yet handed over.
    headers_complete, connected_told, headers_told, touched, held_by_curl, completion : the
        client's book-keeping; `completion` says how the transfer ended (empty: well) while body
        still waits for the listener.
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
    connected_told: bool = False
    headers_told: bool = False
    touched: bool = False
    held_by_curl: bool = False
    completion: str | None = None
    shut_socket: Callable[[], None] | None = None
    relaunched: bool = False
    stale_connection: bool = False
    """A kept connection was found closed or out of step; the request goes over a fresh one."""

    def cancel(self) -> None:
        """Give up: the connection is closed, the listener hears nothing more."""
        if not self.finished:
            self.owner.cancel(self)

    def pause(self) -> None:
        """Stop handing over body; the socket is read no further than the bounded buffer."""
        self.paused = True

    def resume(self) -> None:
        """Hand over body again."""
        self.paused = False
        if not self.finished:
            self.owner.resume(self)

    def close_connection(self) -> None:
        """Make sure the connection is never used again, also after a whole answer."""
        if self.shut_socket is not None:
            self.shut_socket()


@attrs.frozen
class ClientResponse:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ExchangeError(Exception):
    """`fetch` got no whole answer; `failure.sent` tells whether the request may have run."""

    def __init__(self, failure: ExchangeFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure
