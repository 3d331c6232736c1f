"""The core daemon of a native deployment: control state, control API, directory and placement."""

from __future__ import annotations

from typing import Any

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
from zincvale.controlplane.placement.events import DirectoryChanged, StatusReport
from zincvale.controlplane.placement.events import IntentChanged as PlacementIntentChanged
from zincvale.daemons.core_assembly import CoreAssembly, CoreOptions
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.directory_runner import DirectoryRunner
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.placement_leadership import PlacementLeadership
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.process import NO_DRAIN
from zincvale.dataplane.policies.registry import policy_names
from zincvale.model.control_tables import ServerRow
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import Tick
from zincvale.runtime import log_events
from zincvale.runtime.clock import wall_now
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings


class CoreDaemon:
    """Assembles one core process; implements `CoreEventHandler`.

    Parameters
    ----------
    settings : the validated settings.
    bootstrap : whether this start may create the cluster.
    recover : with `bootstrap`, whether every disk was lost: the nodes then return the control state
        that they store.
    """

    def __init__(self, settings: DaemonSettings, *, bootstrap: bool, recover: bool = False) -> None:
        self._core = CoreAssembly(
            settings,
            new_incarnation(),
            CoreOptions(bootstrap=bootstrap, recover=recover),
            IntentReducer(frozenset(policy_names())),
            ControlApi,
            self,
        )
        self._build_directory(settings)
        self._build_placement()
        self._core.process.router.add_service("dataplane", self._on_demand_report)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT; raises `StartupError`."""
        self._core.run(self._placement, NO_DRAIN)

    def _build_directory(self, settings: DaemonSettings) -> None:
        core = self._core
        self._directory = DirectoryRunner(
            DirectoryMachine(MemberId(settings.member_id), core.random),
            core.fetcher,
            core.publisher,
            settings.platform_address,
            core.clock,
            self._on_server_report,
        )

    def _build_placement(self) -> None:
        core = self._core
        self._placement = PlacementRunner(
            PlacementController(core.random, PlacementConfig()),
            core.fetcher,
            core.publisher,
            core.clock,
            wall_now,
            self._find_row,
            OrderSpans(core.tracing.recorder),
        )
        self._leadership = PlacementLeadership(
            core.machine, self._placement, self._on_leadership_gained, self._on_leadership_lost
        )

    # --- inputs of the components ---------------------------------------------------------

    def on_intent_changed(self) -> None:
        """Pass the newest intent to the components.

        An unreadable one is logged, and the last readable one stays in use.
        """
        try:
            intent = self._core.view.intent()
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
            return
        self._directory.feed(DirectoryIntentChanged(intent))
        self._placement.feed(PlacementIntentChanged(intent))
        self._core.api.intent_changed()

    def on_topics_changed(self, topics: set[str]) -> None:
        """Pass the published directory to the controller of a core that does not lead.

        Published rows carry no observation time, so they count as infinitely old.
        """
        if DIRECTORY_TOPIC not in topics or self._leadership.epoch:
            return
        rows = self._core.view.directory().servers
        reports = tuple(StatusReport(row, float("-inf")) for row in rows.values())
        self._placement.feed(DirectoryChanged(reports))

    def _on_server_report(self, report: ServerReported | ServerRemoved) -> None:
        if isinstance(report, ServerRemoved):
            self._placement.feed(DirectoryChanged(departed=(report.server,)))
            return
        status = StatusReport(report.row, report.requested_at, report.unloading)
        self._placement.feed(DirectoryChanged((status,)))

    def _find_row(self, server: ServerId) -> ServerRow | None:
        row = self._directory.machine.rows().get(server)
        return row if row is not None else self._core.view.directory().servers.get(server)

    def _on_demand_report(self, _sender: MemberId, message: Any) -> None:
        self._placement.feed(to_demand_reported(message))

    # --- time and leadership --------------------------------------------------------------

    def on_tick(self, now: float) -> None:
        """Update the state of the leader lease, then tick each component, in this order."""
        self._leadership.update(now)
        self._directory.feed(Tick())
        self._placement.feed(Tick())
        self._core.api.tick(now)
        self._core.tracing.tick(now)

    def _on_leadership_gained(self, epoch: int) -> None:
        published = self._core.machine.topic(DIRECTORY_TOPIC)
        self._directory.feed(DirectoryRoleGained(epoch, published))

    def _on_leadership_lost(self) -> None:
        self._directory.feed(DirectoryRoleLost())
