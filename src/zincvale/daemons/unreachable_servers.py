"""Tracks servers that could not be reached, and when their status is requested again."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.model.identifiers import ServerId

RETRY_INTERVAL_S = 1.0
"""Interval between two status requests to an unreachable server; a longer one delays its return."""


class UnreachableServers:
    """Requests the status of each unreachable server until it responds or is removed.

    Parameters
    ----------
    clock : returns the time in seconds, on the same clock as `tick`.
    request_status : requests a server's status in a later iteration of the event loop.
    """

    def __init__(
        self, clock: Callable[[], float], request_status: Callable[[ServerId], None]
    ) -> None:
        self._clock = clock
        self._request_status = request_status
        self._retry_at: dict[ServerId, float] = {}

    def __contains__(self, server: ServerId) -> bool:
        """Whether the server is unreachable or being checked."""
        return server in self._retry_at

    def add(self, server: ServerId) -> None:
        """Record that the last request could not reach a server."""
        self._retry_at[server] = self._clock() + RETRY_INTERVAL_S

    def check(self, server: ServerId) -> None:
        """Add a server and request its status at once, unless it is already tracked."""
        if server not in self._retry_at:
            self.add(server)
            self._request_status(server)

    def remove(self, server: ServerId) -> None:
        """Stop tracking a server that responded or left; an untracked server is ignored."""
        self._retry_at.pop(server, None)

    def clear(self) -> None:
        """Stop tracking every server, since this core no longer leads."""
        self._retry_at.clear()

    def tick(self, now: float) -> None:
        """Request the status of every server whose retry is due."""
        for server, retry_at in list(self._retry_at.items()):
            if now >= retry_at:
                self._retry_at[server] = now + RETRY_INTERVAL_S
                self._request_status(server)
