"""Routes are found by host and longest prefix."""

from __future__ import annotations

import random

import testtools

from tests.dataplane.forwarding.builders import make_route
from zincvale.dataplane.forwarding.route_table import RouteTable


class RouteTableTest(testtools.TestCase):
    def test_the_route_of_the_host_with_the_longest_prefix_is_found(self):
        short = make_route("short", path_prefix="/a/")
        long = make_route("long", path_prefix="/a/b/")
        table = RouteTable([short, long])
        self.assertEqual("long", table.find("A.example:8080", "/a/b/c").name)
        self.assertEqual("short", table.find("a.example", "/a/x").name)
        self.assertIsNone(table.find("b.example", "/a/x"))

    def test_find_returns_the_same_route_as_a_scan_of_all_routes(self):
        source = random.Random(5)
        prefixes = [
            "/",
            *{
                f"/{source.choice('ab')}/{source.choice(('', 'c/', 'c/d/', 'c'))}"
                for _ in range(40)
            },
        ]
        routes = [
            make_route(f"r{number}", path_prefix=each) for number, each in enumerate(prefixes)
        ]
        for declared in (routes, routes[1:]):
            table = RouteTable(declared)
            for _ in range(300):
                path = "/" + "/".join(source.choice(("a", "b", "c", "cd", "d")) for _ in range(4))
                matching = [route for route in declared if path.startswith(route.path_prefix)]
                longest = max(matching, key=lambda route: len(route.path_prefix), default=None)
                self.assertEqual(longest, table.find("a.example", path))
        self.assertIsNone(table.find("a.example", "/c"))
