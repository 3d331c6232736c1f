"""The routing tables of a forwarding node."""

from __future__ import annotations

import attrs
import testtools

from tests.dataplane.forwarding.builders import (
    make_directory,
    make_document,
    make_pool,
    make_route,
    make_routing,
    make_row,
)
from zincvale.model.identifiers import ServerId


class RoutingStateTest(testtools.TestCase):
    def test_measurements_are_retained_only_for_the_same_incarnation(self):
        routing = make_routing(make_row("s1"))
        routing.servers[ServerId("s1")].outstanding = 3
        routing.apply_directory(make_directory(make_row("s1", draining=True)), 1.0)
        self.assertEqual(3, routing.servers[ServerId("s1")].outstanding)
        routing.apply_directory(make_directory(make_row("s1", incarnation="new")), 1.0)
        self.assertEqual(0, routing.servers[ServerId("s1")].outstanding)

    def test_an_older_document_is_not_applied(self):
        routing = make_routing(make_row("s1"))
        newer = attrs.evolve(make_document(5, [make_route("new")], [make_pool()]))
        self.assertTrue(routing.apply_document(newer, 0.0))
        self.assertFalse(routing.apply_document(make_document(4, [make_route()]), 0.0))
        self.assertIsNotNone(routing.routes.find("a.example", "/new/x"))
