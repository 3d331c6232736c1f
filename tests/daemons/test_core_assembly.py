"""Assembled cores of both deployments: the order of their ticks, of changes and of the stop."""

from __future__ import annotations

import dataclasses
import tempfile
from pathlib import Path
from unittest import mock

import testtools

from tests.daemons.call_recorder import CallRecorder
from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, LISTED_TOPIC
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.recovered_state import RecoveredKey, RecoveredState
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.core_assembly import CoreOptions, _initial_cores
from zincvale.daemons.core_daemon import CoreDaemon
from zincvale.daemons.forwarding_core import ForwardingCore
from zincvale.daemons.forwarding_dialects import ForwardingDialects
from zincvale.daemons.process import NO_DRAIN
from zincvale.platform.operators import PlatformOperators
from zincvale.platform.servers import PlatformOrders, PlatformServerList
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.settings import DaemonSettings, InitialCore

API, PEER = "127.0.0.1:9", "127.0.0.1:10"


def make_settings(folder: str) -> DaemonSettings:
    core = InitialCore("core-1", API, PEER, "z1")
    return DaemonSettings(
        "c1", "core-1", "core", "z1", API, PEER, data_folder=folder, bootstrap_cores=[core]
    )


class InitialCoresTest(testtools.TestCase):
    """ACKS: a core killed in the first second started again without being told to create."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = make_settings(folder.name)
        self.restarted = dataclasses.replace(self.settings, bootstrap_cores=[])

    def members(self, settings: DaemonSettings, recovered: RecoveredState, bootstrap: bool):
        cores = _initial_cores(settings, recovered, CoreOptions(bootstrap=bootstrap))
        return [core.member for core in cores]

    def test_a_restart_on_the_same_empty_disk_may_still_create_the_cluster(self) -> None:
        disk = RecoveredState("d1")
        self.assertEqual([], self.members(self.restarted, disk, False))
        self.assertEqual(["core-1"], self.members(self.settings, disk, True))
        self.assertEqual(["core-1"], self.members(self.restarted, disk, False))
        self.assertEqual([], self.members(self.restarted, RecoveredState("d2"), False))

    def test_a_restart_with_records_forgets_the_initial_cores(self) -> None:
        self.members(self.settings, RecoveredState("d1"), True)
        recovered = RecoveredState("d1", {"intent": RecoveredKey([b"S"], 1)})
        self.assertEqual([], self.members(self.restarted, recovered, False))


class CoreAssemblyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = make_settings(str(Path(folder.name) / "data"))
        self.calls: list[str] = []

    def native_core(self) -> CoreDaemon:
        return CoreDaemon(self.settings, bootstrap=True)

    def forwarding_core(self) -> ForwardingCore:
        dialects = ForwardingDialects(PlatformOperators(), PlatformServerList(), PlatformOrders())
        settings = ForwardingSettings(grace_s=8.0)
        return ForwardingCore(self.settings, settings, dialects, Timings(), bootstrap=True)

    def replace_with_recorders(self, core: CoreDaemon | ForwardingCore, *components: str) -> None:
        """Replace components of a core with call recorders."""
        for name in components:
            owner = core if hasattr(core, f"_{name}") else core._core
            attribute = f"_{name}" if owner is core else name
            setattr(owner, attribute, CallRecorder(name, self.calls))

    def calls_on_change(
        self, core: CoreDaemon | ForwardingCore, changes: ChangeNotifications
    ) -> list[str]:
        with mock.patch.object(core._core.machine, "take_changes", lambda: changes):
            core._core._after_input()
        return self.calls

    def test_a_native_core_updates_its_lease_before_the_components_tick(self) -> None:
        core = self.native_core()
        self.replace_with_recorders(core, "leadership", "directory", "placement", "api", "tracing")
        core._core._tick()
        expected = ["leadership.update", "directory.feed Tick", "placement.feed Tick"]
        self.assertEqual([*expected, "api.tick", "tracing.tick"], self.calls)

    def test_a_forwarding_core_ticks_slow_components_after_the_others(self) -> None:
        core = self.forwarding_core()
        self.replace_with_recorders(core, "leadership", "discovery", "placement", "residency")
        self.replace_with_recorders(core, "api", "tracing", "unreachable")
        core._leadership.epoch = 4
        core.on_tick(100.0)
        fast = ["leadership.update", "discovery.tick", "placement.feed Tick"]
        fast.append("residency.publish_changes")
        slow = ["api.tick", "tracing.tick", "unreachable.tick"]
        self.assertEqual([*fast, *slow], self.calls)
        core.on_tick(100.1)
        self.assertEqual([*fast, *slow, *fast], self.calls)

    def test_a_native_core_applies_the_intent_before_members_and_topics(self) -> None:
        core = self.native_core()
        self.replace_with_recorders(core, "directory", "placement", "api", "tracing")
        changes = ChangeNotifications({INTENT_KEY}, {DIRECTORY_TOPIC}, set(), True)
        expected = ["directory.feed", "placement.feed", "api.intent_changed"]
        expected += ["tracing.apply_members", "placement.feed"]
        self.assertEqual(expected, self.calls_on_change(core, changes))

    def test_a_forwarding_core_applies_the_document_before_members_and_topics(self) -> None:
        core = self.forwarding_core()
        self.replace_with_recorders(core, "discovery", "placement", "api", "tracing")
        changes = ChangeNotifications({INTENT_KEY}, {LISTED_TOPIC}, set(), True)
        expected = ["placement.feed", "discovery.document_changed", "api.intent_changed"]
        expected += ["tracing.apply_members", "discovery.topic_changed"]
        self.assertEqual(expected, self.calls_on_change(core, changes))

    def test_topics_that_a_core_does_not_read_reach_no_component(self) -> None:
        for core in (self.native_core(), self.forwarding_core()):
            self.replace_with_recorders(core, "placement", "api", "tracing")
            self.assertEqual([], self.calls_on_change(core, ChangeNotifications(topics={"moves"})))

    def test_a_leading_core_does_not_read_the_directory_that_it_publishes(self) -> None:
        core = self.native_core()
        self.replace_with_recorders(core, "placement")
        core._leadership.epoch = 2
        self.assertEqual(
            [], self.calls_on_change(core, ChangeNotifications(topics={DIRECTORY_TOPIC}))
        )

    def test_connections_to_servers_are_closed_after_the_process_has_stopped(self) -> None:
        core = self.native_core()._core
        core.process = CallRecorder("process", self.calls)
        core._ticker = CallRecorder("ticker", self.calls)
        core.fetcher = CallRecorder("fetcher", self.calls)
        core.run(CallRecorder("placement", self.calls), NO_DRAIN)
        expected = ["process.listen", "placement.start", "ticker.start", "process.run"]
        self.assertEqual([*expected, "ticker.stop", "fetcher.close"], self.calls)
