"""How long requests of each route lately took, from their arrival to the end of the response.

A stopping node begins only what should end before the process does.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

WINDOW_S = 30.0
"""The longest time is that of the present window and the one before."""


@attrs.define
class _Longest:
    """The longest times of one route in two windows."""

    window: int = 0
    present_s: float = 0.0
    previous_s: float = 0.0

    def move_to(self, window: int) -> None:
        """Begin a later window."""
        if window == self.window:
            return
        self.previous_s = self.present_s if window == self.window + 1 else 0.0
        self.present_s = 0.0
        self.window = window


@attrs.define
class ResponseTimes:
    """The longest time that a complete response of each route lately took; times in seconds."""

    _by_route: dict[str, _Longest] = attrs.field(factory=dict)

    def record(self, route: str, took_s: float, now: float) -> None:
        """Record a response that is complete at `now`."""
        longest = self._by_route.setdefault(route, _Longest())
        longest.move_to(int(now // WINDOW_S))
        longest.present_s = max(longest.present_s, took_s)

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget routes that are no longer declared."""
        for route in [route for route in self._by_route if route not in routes]:
            del self._by_route[route]

    def longest_s(self, route: str, now: float) -> float:
        """Return the longest time of the last windows, 0 when none was recorded."""
        longest = self._by_route.get(route)
        if longest is None:
            return 0.0
        longest.move_to(int(now // WINDOW_S))
        return max(longest.present_s, longest.previous_s)
