"""The caller side of one forwarded request: where it came from and where its response goes."""

from __future__ import annotations

from typing import Protocol

import attrs

from zincvale.transport.server_exchange import HeaderList


class CallerSink(Protocol):
    """Where a response goes; every method may be called after the caller disconnected."""

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Send the head of a server's response."""
        ...

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    def end(self) -> None:
        """End the complete response."""
        ...

    def abort(self) -> None:
        """Close the connection without ending the response, so that it does not look complete."""
        ...

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response of this node."""
        ...

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller has not taken yet."""
        ...


@attrs.frozen
class IncomingRequest:
    """A caller's complete request.

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
