"""The caller's side of one forwarded request, as the runner sees it."""

from __future__ import annotations

from typing import Protocol

import attrs

from zincvale.transport.server_exchange import HeaderList


class CallerSink(Protocol):
    """Where an answer goes; every method may be called after the caller left."""

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Send the head of a server's answer."""
        ...

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    def end(self) -> None:
        """Close the answer whole."""
        ...

    def abort(self) -> None:
        """Break the connection."""
        ...

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer of this node."""
        ...

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller has not taken yet."""
        ...


@attrs.frozen
class IncomingRequest:
    """A caller's request as it was read.

    Attributes
    ----------
    target : path and query as received.
    body : None when the head announced none.
    read_at : when its head was read, on the node's clock.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes | None
    read_at: float
