"""The interface through which a plane calls other daemons.

`transport.peer_client.PeerClient` implements it; the simulators have their own."""

from __future__ import annotations

from typing import Any, Protocol

from zincvale.model.identifiers import MemberId


class PeerCallError(Exception):
    """No reply came; whether the call was handled is not known."""


class PeerUnreachableError(PeerCallError):
    """The call certainly was not handled: no connection was made."""


class PeerCaller(Protocol):
    """Calls and one-way messages to members, by id; addresses come from the member table."""

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        """Return the member's reply; raises `PeerCallError` or `PeerUnreachableError`."""
        ...

    def send(self, member: MemberId, message: Any) -> None:
        """Send one message without waiting; it may be lost."""
        ...
