"""Choice of voters, limits and expiry of the claim table, and merging of claim states."""

from __future__ import annotations

import itertools
from collections import Counter

import testtools

from zincvale.dataplane.claims.records import (
    Attempt,
    ClaimRow,
    ClaimState,
    OpenClaim,
    RecordedClaim,
)
from zincvale.dataplane.claims.table import ClaimTable, TableLimits
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId, RequestId, ZoneName

FIRST = Attempt(MemberId("node-1"), "a", 1)
SECOND = Attempt(MemberId("node-2"), "b", 1)
LIMITS = TableLimits(max_rows=3, max_body_bytes=100, max_total_body_bytes=150, ttl_s=300.0)


def view_of_zones(*sizes: int) -> ClaimView:
    """Return a view with the given number of nodes in each zone."""
    nodes = {
        MemberId(f"node-{zone}-{number}"): ZoneName(f"zone-{zone}")
        for zone, size in enumerate(sizes)
        for number in range(size)
    }
    return ClaimView(1, nodes)


def recorded(body: bytes, attempt: Attempt = FIRST, outcome: str = "answered") -> RecordedClaim:
    return RecordedClaim(attempt, "d", outcome, 200, {}, body)


class ClaimViewTest(testtools.TestCase):
    def test_no_zone_holds_a_majority(self) -> None:
        claim_view = view_of_zones(3, 3, 2)
        for number in range(200):
            voters = claim_view.voters(f"request-{number}")
            zones = Counter(claim_view.nodes[voter] for voter in voters)
            self.assertEqual(5, len(set(voters)))
            self.assertTrue(max(zones.values()) <= 2, zones)

    def test_voters_are_spread_evenly(self) -> None:
        claim_view = view_of_zones(3, 3, 3)
        counts: Counter[MemberId] = Counter()
        for number in range(2_000):
            counts.update(claim_view.voters(f"request-{number}"))
        self.assertTrue(max(counts.values()) < 1.15 * min(counts.values()), counts)

    def test_removal_of_a_node_changes_few_voters(self) -> None:
        claim_view = view_of_zones(3, 3, 3)
        rest = {node: zone for node, zone in claim_view.nodes.items() if node != "node-0-0"}
        smaller_view = ClaimView(2, rest)
        moved = 0
        for number in range(500):
            before = set(claim_view.voters(f"request-{number}")) - {MemberId("node-0-0")}
            moved += len(before - set(smaller_view.voters(f"request-{number}")))
        self.assertTrue(moved < 250, moved)

    def test_small_clusters_have_an_odd_number_of_voters(self) -> None:
        counts = [
            len(view_of_zones(*sizes).voters("r")) for sizes in ((), (1,), (1, 1), (2, 2), (4, 1))
        ]
        self.assertEqual([0, 1, 1, 3, 5], counts)

    def test_the_maximum_in_one_group_respects_the_zone_limit(self) -> None:
        claim_view = view_of_zones(3, 3, 2)
        zone_nodes = {MemberId(f"node-0-{number}") for number in range(3)}
        self.assertEqual(2, claim_view.most_in_one_group(zone_nodes))
        self.assertEqual(
            1, claim_view.most_in_one_group(zone_nodes, containing=MemberId("node-0-0"))
        )
        self.assertEqual(
            2, claim_view.most_in_one_group(zone_nodes, containing=MemberId("node-1-0"))
        )
        two_nodes = {MemberId("node-0-0"), MemberId("node-1-0")}
        self.assertEqual(2, claim_view.most_in_one_group(two_nodes))


class ClaimRowTest(testtools.TestCase):
    def test_merging_is_independent_of_order_and_repetition(self) -> None:
        states = [
            ClaimState(open=[OpenClaim(FIRST, "d"), OpenClaim(SECOND, "d")]),
            ClaimState(closed=[SECOND]),
            ClaimState(blocked=[SECOND]),
            ClaimState(recorded=recorded(b"", outcome="unknown")),
            ClaimState(recorded=recorded(b"42")),
        ]
        results = set()
        for order in itertools.permutations(states):
            row = ClaimRow(RequestId("r"))
            for state in (*order, *order):
                row.merge(state)
            results.add(repr(row.state()))
        self.assertEqual(1, len(results))

    def test_closing_removes_an_unknown_outcome(self) -> None:
        row = ClaimRow(RequestId("r"))
        row.record(recorded(b"", outcome="unknown"))
        row.close(FIRST)
        self.assertIsNone(row.recorded)

    def test_closing_keeps_a_recorded_response(self) -> None:
        row = ClaimRow(RequestId("r"))
        row.record(recorded(b"42"))
        row.close(FIRST)
        self.assertEqual(recorded(b"42"), row.recorded)


class ClaimTableTest(testtools.TestCase):
    def _open(self, table: ClaimTable, request_id: str, now: float) -> None:
        table.merge(RequestId(request_id), ClaimState(open=[OpenClaim(FIRST, "d")]), now)

    def test_rows_expire_after_their_last_change(self) -> None:
        table = ClaimTable(LIMITS)
        self._open(table, "r1", 0.0)
        self._open(table, "r2", 100.0)
        self._open(table, "r1", 200.0)
        self.assertEqual(1, table.sweep(400.0))
        self.assertIsNone(table.find(RequestId("r2"), 400.0))
        self.assertIsNotNone(table.find(RequestId("r1"), 499.0))
        self.assertIsNone(table.find(RequestId("r1"), 500.0))

    def test_a_full_table_accepts_only_known_requests_and_copies(self) -> None:
        table = ClaimTable(LIMITS)
        for number in range(3):
            self._open(table, f"r{number}", 0.0)
        self.assertFalse(table.has_room(None))
        self.assertTrue(table.has_room(table.find(RequestId("r1"), 0.0)))
        self._open(table, "copied", 0.0)
        self.assertEqual(4, len(table))

    def test_bodies_are_limited_individually_and_in_total(self) -> None:
        table = ClaimTable(LIMITS)
        sizes = {"r1": 90, "r2": 101, "r3": 90, "r4": 60}
        for request_id, size in sizes.items():
            table.merge(RequestId(request_id), ClaimState(recorded=recorded(b"x" * size)), 0.0)
        has_body = [row.recorded.has_body for row in table if row.recorded]
        self.assertEqual([True, False, False, True], has_body)
        self.assertEqual(150, table.total_body_bytes)
        table.sweep(300.0)
        self.assertEqual((0, 0), (table.total_body_bytes, len(table)))

    def test_a_page_has_the_rows_changed_after_its_cursor(self) -> None:
        table = ClaimTable(LIMITS)
        for number in range(3):
            self._open(table, f"r{number}", 0.0)
        cursor = next(table.changes_after(0, 0.0)).sequence
        self._open(table, "r0", 1.0)
        rest = [row.request_id for row in table.changes_after(cursor, 1.0)]
        self.assertEqual(["r1", "r2", "r0"], rest)
