"""Routes by host and longest prefix."""

from __future__ import annotations

import random

import testtools

from tests.dataplane.forwarding.builders import make_route
from zincvale.dataplane.forwarding.route_table import RouteTable


class RouteTableTest(testtools.TestCase):
    def test_the_longest_prefix_wins_and_the_host_counts(self):
        short = make_route("short", path_prefix="/a/")
        long = make_route("long", path_prefix="/a/b/")
        table = RouteTable([short, long])
        self.assertEqual("long", table.find("A.example:8080", "/a/b/c").name)
        self.assertEqual("short", table.find("a.example", "/a/x").name)
        self.assertIsNone(table.find("b.example", "/a/x"))

    def test_it_finds_what_a_scan_of_every_route_finds(self):
        draw = random.Random(5)
        prefixes = [
            "/",
            *{f"/{draw.choice('ab')}/{draw.choice(('', 'c/', 'c/d/', 'c'))}" for _ in range(40)},
        ]
        routes = [make_route(f"r{place}", path_prefix=each) for place, each in enumerate(prefixes)]
        for tables in (routes, routes[1:]):
            table = RouteTable(tables)
            for _ in range(300):
                path = "/" + "/".join(draw.choice(("a", "b", "c", "cd", "d")) for _ in range(4))
                fitting = [route for route in tables if path.startswith(route.path_prefix)]
                longest = max(fitting, key=lambda route: len(route.path_prefix), default=None)
                self.assertEqual(longest, table.find("a.example", path))
        self.assertIsNone(table.find("a.example", "/c"))
