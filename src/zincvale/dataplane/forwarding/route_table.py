"""Routes by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterable

from zincvale.model.forwarding import ForwardRoute


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[ForwardRoute] = ()) -> None:
        self._by_host: dict[str, list[ForwardRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for of_host in self._by_host.values():
            of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route whose prefix is the longest that begins `path`, if any."""
        for route in self._by_host.get(host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def host_name(host: str) -> str:
    """Return a Host header's name in lower case, without its port."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()
