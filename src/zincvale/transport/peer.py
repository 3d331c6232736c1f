"""The interface through which daemons call each other.

`transport.peer_client.PeerClient` implements it over HTTP; the simulators have implementations of
their own.
"""

from __future__ import annotations

from typing import Any, Protocol

from zincvale.model.identifiers import MemberId


class PeerCallError(Exception):
    """No reply was received; it is not known whether the call was handled."""


class PeerUnreachableError(PeerCallError):
    """No connection was established, so the call was certainly not handled."""


class PeerCaller(Protocol):
    """Sends calls and one-way messages to members; addresses come from the member table."""

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        """Return the member's reply; raises `PeerCallError` or `PeerUnreachableError`."""
        ...

    def send(self, member: MemberId, message: Any) -> None:
        """Send a one-way message without waiting for it to arrive; it may be lost."""
        ...
