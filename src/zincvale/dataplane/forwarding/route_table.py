"""Routes by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterable

from zincvale.model.forwarding import ForwardRoute


class RouteTable:
    """Finds the route of a request in as many steps as its path has segments.

    Most prefixes end with a slash, so only the path up to each of its slashes can be one.
    """

    def __init__(self, routes: Iterable[ForwardRoute] = ()) -> None:
        self._by_host: dict[str, dict[str, ForwardRoute]] = {}
        self._non_folder_routes: dict[str, list[ForwardRoute]] = {}
        """Routes whose prefix does not end with a slash, longest first."""
        for route in routes:
            host = route.host.lower()
            if route.path_prefix.endswith("/"):
                self._by_host.setdefault(host, {})[route.path_prefix] = route
            else:
                self._non_folder_routes.setdefault(host, []).append(route)
        for routes_of_host in self._non_folder_routes.values():
            routes_of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route whose prefix is the longest that begins `path`, if any."""
        name = host_name(host)
        found = self._longest_prefix(self._by_host.get(name, {}), path)
        for route in self._non_folder_routes.get(name, ()):
            if path.startswith(route.path_prefix):
                is_longer = found is None or len(route.path_prefix) > len(found.path_prefix)
                return route if is_longer else found
        return found

    def _longest_prefix(self, routes: dict[str, ForwardRoute], path: str) -> ForwardRoute | None:
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(host: str) -> str:
    """Return a Host header's name in lower case, without its port."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()
