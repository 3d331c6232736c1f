"""Finds the route of a request by its host and the longest prefix of its path."""

from __future__ import annotations

from collections.abc import Iterable

from zincvale.model.forwarding import ForwardRoute


class RouteTable:
    """Finds the route of a request in as many steps as its path has segments.

    Most prefixes of routes end with a slash. Such a prefix can only match a path up to one of the
    slashes of the path, so these are looked up one by one, the longest first.
    """

    def __init__(self, routes: Iterable[ForwardRoute] = ()) -> None:
        # Routes whose prefix ends with a slash, by host and prefix.
        self._slash_prefix_routes: dict[str, dict[str, ForwardRoute]] = {}
        self._other_prefix_routes: dict[str, list[ForwardRoute]] = {}
        """Routes whose prefix does not end with a slash, by host, the longest prefix first."""
        for route in routes:
            host = route.host.lower()
            if route.path_prefix.endswith("/"):
                self._slash_prefix_routes.setdefault(host, {})[route.path_prefix] = route
            else:
                self._other_prefix_routes.setdefault(host, []).append(route)
        for routes_of_host in self._other_prefix_routes.values():
            routes_of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest prefix that `path` starts with, None without any."""
        name = host_name(host)
        found = self._route_with_longest_prefix(self._slash_prefix_routes.get(name, {}), path)
        for route in self._other_prefix_routes.get(name, ()):
            if path.startswith(route.path_prefix):
                is_longer = found is None or len(route.path_prefix) > len(found.path_prefix)
                return route if is_longer else found
        return found

    def _route_with_longest_prefix(
        self, routes: dict[str, ForwardRoute], path: str
    ) -> ForwardRoute | None:
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(host: str) -> str:
    """Return the host name of a Host header in lower case, without the port."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()
