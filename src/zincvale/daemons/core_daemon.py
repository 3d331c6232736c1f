"""The core daemon: replicated control state, the control API and the singleton roles."""

from __future__ import annotations

import random
from typing import Any

from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from zincvale.controlplane.api.dispatch import ControlApi
from zincvale.controlplane.directory.events import (
    DirectoryRoleGained,
    DirectoryRoleLost,
    ServerRemoved,
    ServerReported,
)
from zincvale.controlplane.directory.events import IntentChanged as DirectoryIntentChanged
from zincvale.controlplane.directory.machine import DirectoryMachine
from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    LeaderGained,
    LeaderLost,
    StatusReport,
)
from zincvale.controlplane.placement.events import IntentChanged as PlacementIntentChanged
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.control_api_handler import ControlApiServer
from zincvale.daemons.core_assembly import core_config, core_tracing, open_files
from zincvale.daemons.core_view import LocalCoreView
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.directory_runner import DirectoryRunner
from zincvale.daemons.http_fetch import HttpFetcher
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.process import NO_DRAIN, build_process
from zincvale.daemons.roles import PLACEMENT_ROLE
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.dataplane.policies.registry import policy_names
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import Tick
from zincvale.model.view import ServerRow
from zincvale.runtime import log_events
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings

SYSTEMS_INTERVAL_MS = 50


class CoreDaemon:
    """Assembles one core process.

    Parameters
    ----------
    settings : the checked settings.
    bootstrap : whether this start may create the cluster.
    recover : with `bootstrap`: every disk was lost, and nodes give back what they hold.
    """

    def __init__(self, settings: DaemonSettings, bootstrap: bool, recover: bool = False) -> None:
        incarnation = new_incarnation()
        self._settings = settings
        self._clock = suspend_aware_now
        self._random = random.Random(incarnation)
        files = open_files(settings, self._random)
        recovered = files.load()
        self.machine = CoreMachine(
            core_config(settings, incarnation, bootstrap, recover),
            recovered,
            {INTENT_KEY: IntentReducer(frozenset(policy_names()))},
            self._random,
            self._clock(),
        )
        self.process = build_process(
            settings,
            incarnation,
            self.machine,
            self._clock,
            files,
            self.machine.address_of,
            self._after_input,
        )
        self._view = LocalCoreView(self.machine, self._clock)
        self._api = ControlApiServer(ControlApi(self._view), self.process.driver, self._clock)
        self._tracing = core_tracing(settings, self._random, self.process)
        self._build_systems()
        self._role_epoch = 0
        self._ticker = PeriodicCallback(self._tick, SYSTEMS_INTERVAL_MS)

    def run(self) -> None:
        """Serve until told to stop."""
        self.process.listen(Application(self._api.routes(), log_function=_ignore_request))
        self._placement.start()
        self._ticker.start()
        self.process.run(NO_DRAIN)
        self._ticker.stop()

    def _build_systems(self) -> None:
        settings = self._settings
        fetcher = HttpFetcher(settings.address_map, settings.member_id, settings.peer_address)
        guard = LeadershipGuard(self.machine, PLACEMENT_ROLE, self._clock)
        publisher = TopicPublisher(self.process.driver, guard)
        self._directory = DirectoryRunner(
            DirectoryMachine(MemberId(settings.member_id), self._random),
            fetcher,
            publisher,
            settings.platform_address,
            self._clock,
            self._server_reported,
        )
        self._placement = PlacementRunner(
            PlacementController(self._random, PlacementConfig()),
            fetcher,
            publisher,
            self._clock,
            wall_now,
            self._find_row,
            OrderSpans(self._tracing.recorder),
        )
        self.process.router.add_service("dataplane", self._demand_received)

    # --- inputs of the systems ------------------------------------------------------------

    def _after_input(self) -> None:
        changes = self.machine.take_changes()
        if INTENT_KEY in changes.keys:
            self._intent_changed()
        if changes.members:
            self._tracing.apply_members(self._view.members())
        if DIRECTORY_TOPIC in changes.topics:
            self._directory_published(changes)

    def _intent_changed(self) -> None:
        try:
            intent = self._view.intent()
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
            return
        self._directory.feed(DirectoryIntentChanged(intent))
        self._placement.feed(PlacementIntentChanged(intent))
        self._api.intent_changed()

    def _directory_published(self, changes: ChangeNotifications) -> None:
        """Keep a controller that does not lead informed: its rows carry no observation time."""
        if self._role_epoch:
            return
        rows = self._view.directory().servers
        reports = tuple(StatusReport(row, float("-inf")) for row in rows.values())
        self._placement.feed(DirectoryChanged(reports))

    def _server_reported(self, report: ServerReported | ServerRemoved) -> None:
        if isinstance(report, ServerRemoved):
            self._placement.feed(DirectoryChanged(departed=(report.server,)))
            return
        status = StatusReport(report.row, report.requested_at, report.unloading)
        self._placement.feed(DirectoryChanged((status,)))

    def _find_row(self, server: ServerId) -> ServerRow | None:
        row = self._directory.machine.rows().get(server)
        return row if row is not None else self._view.directory().servers.get(server)

    def _demand_received(self, sender: MemberId, message: Any) -> None:
        self._placement.feed(to_demand_reported(message))

    # --- time -----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock()
        self._follow_role(now)
        self._directory.feed(Tick())
        self._placement.feed(Tick())
        self._api.tick(now)
        self._tracing.tick(now)

    def _follow_role(self, now: float) -> None:
        state = self.machine.role(PLACEMENT_ROLE, now)
        if not state.is_leader:
            self._lose_role()
            return
        if state.epoch != self._role_epoch:
            self._lose_role()
            self._role_epoch = state.epoch
            self._placement.epoch = state.epoch
            published = self.machine.topic(DIRECTORY_TOPIC)
            self._directory.feed(DirectoryRoleGained(state.epoch, published))
        self._placement.feed(LeaderGained(state.epoch, state.acts_until))

    def _lose_role(self) -> None:
        if not self._role_epoch:
            return
        self._role_epoch = 0
        self._directory.feed(DirectoryRoleLost())
        self._placement.feed(LeaderLost())


def _ignore_request(handler: Any) -> None:
    """Write no access log: traces record each request."""
