"""How long recent requests of each route took, from their arrival to the end of the response.

A stopping node begins only requests that should end before its process exits.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

WINDOW_S = 30.0
"""Length of a window; the longest time is taken over the current and the previous window."""


@attrs.define
class _LongestTimes:
    """The longest times of one route in the current and the previous window."""

    window_index: int = 0
    current_s: float = 0.0
    previous_s: float = 0.0

    def advance_to(self, window_index: int) -> None:
        """Make the window with this index the current one."""
        if window_index == self.window_index:
            return
        self.previous_s = self.current_s if window_index == self.window_index + 1 else 0.0
        self.current_s = 0.0
        self.window_index = window_index


@attrs.define
class ResponseTimes:
    """The longest time that a recent complete response of each route took, in seconds."""

    _by_route: dict[str, _LongestTimes] = attrs.field(factory=dict)

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record a response that is complete at `now`."""
        longest = self._by_route.setdefault(route, _LongestTimes())
        longest.advance_to(int(now // WINDOW_S))
        longest.current_s = max(longest.current_s, duration_s)

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget routes that are no longer declared."""
        for route in [route for route in self._by_route if route not in routes]:
            del self._by_route[route]

    def longest_s(self, route: str, now: float) -> float:
        """Return the longest time in the current and the previous window, 0 without any."""
        longest = self._by_route.get(route)
        if longest is None:
            return 0.0
        longest.advance_to(int(now // WINDOW_S))
        return max(longest.current_s, longest.previous_s)
