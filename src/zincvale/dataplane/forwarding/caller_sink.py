"""The caller's side of one forwarded request: what was received and where the response is sent."""

from __future__ import annotations

from typing import Protocol

import attrs

from zincvale.transport.server_exchange import HeaderList


class CallerSink(Protocol):
    """Sends a response to a caller; every method may be called after the caller disconnected."""

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Send the status and headers of a server's response."""
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
        """Send a complete response that this node made itself."""
        ...

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not yet sent to the caller."""
        ...


@attrs.frozen
class IncomingRequest:
    """A caller's complete request.

    Attributes
    ----------
    target : path and query as received.
    body : None when the headers announced no body.
    read_at : when the headers were read, on the node's clock.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes | None
    read_at: float
