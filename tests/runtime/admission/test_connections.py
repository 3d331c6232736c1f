"""The table of connections: which one gives way to a new one, and which ones have timed out."""

from __future__ import annotations

import testtools

from zincvale.model.forwarding import CallerLimits
from zincvale.runtime.admission.admission import LINGERING_SHARE
from zincvale.runtime.admission.connections import (
    BODY_GRACE_S,
    BODY_TIMEOUT_S,
    HEADERS_GRACE_S,
    STALLED_RESPONSE_S,
    Connection,
    ConnectionTable,
    Phase,
)
from zincvale.runtime.admission.limits import (
    RESERVED_DESCRIPTORS,
    FixedLimits,
    ProcessLimits,
)

LIMITS = CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0)
LONG_S = 100.0


class ConnectionTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ConnectionTable(4)

    def add(
        self,
        phase: Phase,
        since: float,
        *,
        has_served: bool = False,
        stalled_since: float | None = None,
    ) -> Connection:
        connection = Connection(
            FixedLimits(LIMITS),
            since,
            has_served=has_served,
            stalled_since=stalled_since,
        )
        self.table.add(connection)
        self.table.enter(connection, phase, since)
        return connection

    def test_it_is_full_at_its_limit(self) -> None:
        for _ in range(3):
            self.add(Phase.IDLE, 0.0)
        self.assertFalse(self.table.is_full)
        self.add(Phase.IDLE, 0.0)
        self.assertTrue(self.table.is_full)

    def test_the_one_without_headers_for_longest_gives_way_first(self) -> None:
        self.add(Phase.RESPONSE, 0.0)
        unused = self.add(Phase.IDLE, 1.0)
        self.add(Phase.HEADERS, 2.0)
        self.add(Phase.BODY, 0.0)
        self.assertIs(unused, self.table.to_replace(2.0 + HEADERS_GRACE_S + 0.1))

    def test_an_unfinished_body_gives_way_before_a_client_that_has_just_connected(self) -> None:
        body = self.add(Phase.BODY, 0.0)
        self.add(Phase.IDLE, BODY_GRACE_S)
        self.assertIs(body, self.table.to_replace(BODY_GRACE_S + 0.1))

    def test_a_kept_connection_gives_way_before_a_stalled_response(self) -> None:
        self.add(Phase.RESPONSE, 0.0, stalled_since=0.0)
        kept = self.add(Phase.IDLE, 1.0, has_served=True)
        self.assertIs(kept, self.table.to_replace(STALLED_RESPONSE_S + 1.0))

    def test_a_response_that_is_not_read_gives_way(self) -> None:
        self.add(Phase.RESPONSE, 0.0)
        stalled = self.add(Phase.RESPONSE, 0.0, stalled_since=0.0)
        self.assertIs(stalled, self.table.to_replace(STALLED_RESPONSE_S + 0.1))

    def test_what_serves_requests_never_gives_way(self) -> None:
        for _ in range(4):
            self.add(Phase.RESPONSE, 0.0)
        self.assertIsNone(self.table.to_replace(LONG_S))

    def test_a_removed_connection_stays_removed(self) -> None:
        connection = self.add(Phase.IDLE, 0.0)
        self.table.remove(connection)
        self.table.enter(connection, Phase.HEADERS, 1.0)
        self.assertEqual(0, len(self.table))

    def test_each_phase_has_its_own_time_limit(self) -> None:
        limits_s = {
            Phase.IDLE: LIMITS.idle_timeout_s,
            Phase.HEADERS: LIMITS.header_timeout_s,
            Phase.BODY: BODY_TIMEOUT_S,
        }
        for phase, limit_s in limits_s.items():
            connection = self.add(phase, 0.0)
            self.assertEqual([], self.table.timed_out(limit_s))
            self.assertEqual([connection], self.table.timed_out(limit_s + 0.1))
            self.table.remove(connection)

    def test_a_response_has_no_time_limit_while_its_client_reads(self) -> None:
        self.add(Phase.RESPONSE, 0.0)
        self.assertEqual([], self.table.timed_out(LONG_S))
        stalled = self.add(Phase.RESPONSE, 0.0, stalled_since=0.0)
        self.assertEqual([stalled], self.table.timed_out(LONG_S))


class ProcessLimitsTest(testtools.TestCase):
    def test_connections_are_limited_by_descriptors(self) -> None:
        self.assertEqual(100, ProcessLimits(10**9, 500).connections)

    def test_each_connection_leaves_a_descriptor_for_one_to_a_server(self) -> None:
        for descriptors in (500, 4_100):
            limits = ProcessLimits(10**12, descriptors)
            lingering = limits.connections // LINGERING_SHARE
            self.assertLess(2 * limits.connections + lingering, descriptors - RESERVED_DESCRIPTORS)

    def test_connections_are_limited_by_memory(self) -> None:
        few = ProcessLimits(100_000_000, 100_000).connections
        many = ProcessLimits(200_000_000, 100_000).connections
        self.assertAlmostEqual(2.0, many / few, 1)
