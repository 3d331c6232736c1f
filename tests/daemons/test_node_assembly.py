"""Assembled nodes of both deployments: the order of their ticks, of changes and of the stop."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import mock

import testtools

from tests.daemons.call_recorder import CallRecorder
from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, LISTED_TOPIC
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import Timings
from zincvale.coordination.replication.replica_sets import INTENT_KEY, REGISTRY_KEY
from zincvale.daemons.forwarding_node import MIN_DRAIN_S, ForwardingNode
from zincvale.daemons.node_daemon import NodeDaemon
from zincvale.daemons.process import Drain
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC
from zincvale.platform.callers import PlatformForwarding
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.settings import DaemonSettings

SETTINGS = DaemonSettings("c1", "node-1", "node", "z1", "127.0.0.1:9", "127.0.0.1:10")
ALL_CHANGES = ChangeNotifications(
    {INTENT_KEY, REGISTRY_KEY}, {DIRECTORY_TOPIC, LISTED_TOPIC, RESIDENCY_TOPIC}, set(), True
)


class NodeAssemblyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls: list[str] = []

    def native_node(self) -> NodeDaemon:
        daemon = NodeDaemon(SETTINGS)
        for name in ("service", "claims", "journal"):
            setattr(daemon, f"_{name}", CallRecorder(name, self.calls))
        daemon._node.tracing = CallRecorder("tracing", self.calls)
        return daemon

    def forwarding_node(self) -> ForwardingNode:
        daemon = ForwardingNode(SETTINGS, ForwardingSettings(), PlatformForwarding(), Timings())
        daemon._service = CallRecorder("service", self.calls)
        daemon._node.tracing = CallRecorder("tracing", self.calls)
        return daemon

    def calls_on_change(self, daemon: NodeDaemon | ForwardingNode) -> list[str]:
        with mock.patch.object(daemon._node.machine, "take_changes", lambda: ALL_CHANGES):
            daemon._node._after_input()
        return self.calls

    def test_a_native_node_applies_the_intent_before_the_directory(self) -> None:
        expected = ["service.apply_intent", "tracing.apply_members", "claims.apply_members"]
        expected += ["journal.apply_members", "service.apply_members", "claims.apply_registry"]
        self.assertEqual(
            [*expected, "service.apply_directory"], self.calls_on_change(self.native_node())
        )

    def test_a_forwarding_node_applies_the_document_before_the_servers(self) -> None:
        expected = ["service.apply_document", "service.apply_directory"]
        expected += ["service.apply_residencies", "tracing.apply_members"]
        self.assertEqual(
            [*expected, "service.apply_members", "service.begin_deferred"],
            self.calls_on_change(self.forwarding_node()),
        )

    def test_a_native_node_ticks_its_services_before_it_reports_demand(self) -> None:
        daemon = self.native_node()
        daemon._node._tick()
        expected = ["service.tick", "claims.tick", "journal.tick", "tracing.tick"]
        self.assertEqual([*expected, "service.demand_report"], self.calls)
        daemon.on_tick(daemon._demand_due_at - 0.1)
        self.assertEqual([*expected, "service.demand_report", *expected], self.calls)

    def test_a_forwarding_node_ticks_tracing_before_it_reports_demand(self) -> None:
        daemon = self.forwarding_node()
        daemon._demand_due_at = 100.0
        daemon.on_tick(99.0)
        self.assertEqual(["tracing.tick"], self.calls)
        with mock.patch.object(daemon, "_report_demand", lambda: self.calls.append("report")):
            daemon.on_tick(100.0)
        self.assertEqual(["tracing.tick", "tracing.tick", "report"], self.calls)

    def test_a_forwarding_node_is_not_drained_while_a_caller_has_not_read_its_response(
        self,
    ) -> None:
        """LOST: a stopped node ended while finished answers waited for callers that paused."""
        daemon = self.forwarding_node()
        daemon._service = SimpleNamespace(active_requests=0, refuse_pending=lambda: None)
        daemon._callers = SimpleNamespace(has_unsent_responses=True)
        daemon._drain_started_at = daemon._stop_requested_at = 100.0
        daemon._node.clock = lambda: 100.0 + MIN_DRAIN_S
        self.assertFalse(daemon._is_drained())
        daemon._callers.has_unsent_responses = False
        self.assertTrue(daemon._is_drained())

    def end_of_drain(self, is_done: bool) -> list[str]:
        """Begin a drain of 5 s, check its end at 4, 5 and 5.2 s, and return what was called."""
        node = self.native_node()._node
        node.process = SimpleNamespace(driver=CallRecorder("driver", self.calls))
        node.clock = lambda: self.now
        drain = Drain(lambda _: None, lambda: is_done, 5.0, lambda: self.calls.append("end"))
        self.now = 100.0
        leaving = node._drain_and_leave(drain)
        leaving.begin(100.0)
        self.has_ended = []
        for self.now in (104.0, 105.0, 105.2):
            self.has_ended.append(leaving.is_done())
        self.assertGreater(leaving.limit_s, 5.0)
        return self.calls

    def test_a_node_gives_up_its_lease_at_the_limit_of_its_drain(self) -> None:
        """ACKS: a node that ended during a long stream kept its lease, so changes waited for it."""
        self.assertEqual(["end", "driver.submit"], self.end_of_drain(is_done=False))
        self.assertEqual([False, False, True], self.has_ended)

    def test_a_node_gives_up_its_lease_once_its_drain_is_done(self) -> None:
        self.assertEqual(["end", "driver.submit"], self.end_of_drain(is_done=True))
        self.assertEqual([False, True, True], self.has_ended)

    def test_the_service_is_closed_after_the_process_has_stopped(self) -> None:
        daemon = self.forwarding_node()
        daemon.process = daemon._node.process = CallRecorder("process", self.calls)
        daemon._node._ticker = CallRecorder("ticker", self.calls)
        server = CallRecorder("server", self.calls)
        with mock.patch.object(daemon, "_listen", lambda: (server, server)):
            daemon.run()
        expected = ["process.listen_peers", "ticker.start", "process.run", "ticker.stop"]
        expected += ["server.stop", "server.stop", "service.close"]
        self.assertEqual(expected, self.calls)
