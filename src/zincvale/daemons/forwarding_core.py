"""The core daemon of a forwarding deployment: the document, the server list and placement."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.controlplane.directory.row_codec import LISTED_TOPIC
from zincvale.controlplane.directory.server_discovery import (
    ServerDiscovery,
    ServersObserved,
    reader_rank,
)
from zincvale.controlplane.documents.api import DocumentApi
from zincvale.controlplane.documents.derived_intent import IntentDeriver, StoreConfig
from zincvale.controlplane.documents.reducer import DocumentReducer
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    IntentChanged,
    Order,
    StatusReport,
)
from zincvale.coordination.config import ReadinessRule, Timings
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.core_assembly import CoreAssembly, CoreOptions
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.discovery_runner import DiscoveryRunner
from zincvale.daemons.evacuation_log import log_evacuations
from zincvale.daemons.forwarding_dialects import ForwardingDialects
from zincvale.daemons.forwarding_placement import placement_config
from zincvale.daemons.listed_reports import listed_reports
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.placement_leadership import PlacementLeadership
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.process import Drain
from zincvale.daemons.residency_publisher import ResidencyPublisher
from zincvale.daemons.roles import PLACEMENT_ROLE
from zincvale.daemons.unreachable_servers import UnreachableServers
from zincvale.model.control_tables import ServerHealth
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ShutdownRequested, Tick
from zincvale.runtime import log_events
from zincvale.runtime.clock import wall_now
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings

MACHINE_TICK_MS = 50
"""Interval between two ticks of the coordination machine."""
SLOW_TICK_INTERVAL_S = 0.25
"""Interval between two ticks of the operators' API, tracing and status retries; a shorter one costs
processor time."""
GRACE_MARGIN_S = 1.5
"""How long before the platform kills a stopping core the core ends by itself."""
MIN_HANDOVER_S = 0.6
"""Least time for which a stopping core still responds, so that its messages let other cores take
over."""


class ForwardingCore:
    """Assembles one core process; implements `CoreEventHandler`.

    Parameters
    ----------
    settings : settings of every daemon.
    forwarding : settings of a forwarding deployment.
    dialects : message formats of the operators, the server list and the servers.
    timings : durations of the coordination machine.
    bootstrap : whether this start may create the cluster.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        forwarding: ForwardingSettings,
        dialects: ForwardingDialects,
        timings: Timings,
        *,
        bootstrap: bool,
    ) -> None:
        incarnation = new_incarnation()
        self._member = MemberId(settings.member_id)
        self._forwarding = forwarding
        self._process_name = f"{settings.member_id}/{incarnation}"
        self._documents = DocumentDecoder()
        self._intent = IntentDeriver(StoreConfig(forwarding.store_window_s, forwarding.store_over))
        self._core = CoreAssembly(
            settings,
            incarnation,
            CoreOptions(
                bootstrap=bootstrap,
                timings=timings,
                readiness=ReadinessRule.LEASE,
                group_size=2 * forwarding.cores_lost_at_once + 1,
                tick_interval_ms=MACHINE_TICK_MS,
            ),
            DocumentReducer(),
            lambda view: DocumentApi(view, dialects.operators, self._process_name),
            self,
        )
        self.process = self._core.process
        self._build_discovery(dialects)
        self._build_placement(dialects)
        self._core.process.router.add_service("dataplane", self._on_demand_report)
        self._core.process.router.add_service("listed", self._discovery.message_received)
        self._slow_tick_due_at = 0.0
        self._shutdown_started_at = 0.0

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then hand over leadership; raises `StartupError`."""
        limit_s = self._forwarding.grace_s - GRACE_MARGIN_S
        self._core.run(self._placement, Drain(self._start_shutdown, self._may_stop, limit_s))

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds while the process runs."""
        self._core.machine.use_seeds(seeds)

    def _build_discovery(self, dialects: ForwardingDialects) -> None:
        core = self._core
        self._discovery = DiscoveryRunner(
            ServerDiscovery(self._process_name, self._forwarding.list_lag_s, core.clock()),
            dialects.server_list,
            core.fetcher,
            self._forwarding.list_address,
            core.process.driver,
            core.clock,
            wall_now,
            self._send_to_other_cores,
            self._on_servers_observed,
        )

    def _build_placement(self, dialects: ForwardingDialects) -> None:
        core = self._core
        self._controller = PlacementController(
            core.random, placement_config(self._forwarding.order_quiet_s)
        )
        self._placement = PlacementRunner(
            self._controller,
            core.fetcher,
            core.publisher,
            core.clock,
            wall_now,
            lambda server: self._discovery.machine.rows.get(server),
            OrderSpans(core.tracing.recorder),
            dialects.orders,
            self._member,
            self._expected_load_s,
            lambda server: self._residency.mark_changed((server,)),
            self._on_server_reachability,
        )
        self._residency = ResidencyPublisher(
            lambda: self._controller.state.servers, self._placement.publish
        )
        self._unreachable = UnreachableServers(core.clock, self._placement.request_status)
        self._leadership = PlacementLeadership(
            core.machine,
            self._placement,
            lambda _epoch: self._residency.restart(),
            self._unreachable.clear,
        )

    # --- inputs of the components ---------------------------------------------------------

    def on_intent_changed(self) -> None:
        """Pass the newest document to the components.

        An unreadable one is logged, and the last readable one stays in use.
        """
        rows = self._core.machine.value(INTENT_KEY)
        previous = self._documents.document
        try:
            document = self._documents.update(rows.version, rows.rows)
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
            return
        log_evacuations(previous, document)
        self._placement.feed(IntentChanged(self._intent.update(document)))
        self._discovery.document_changed(document)
        self._core.api.intent_changed()

    def on_topics_changed(self, topics: set[str]) -> None:
        """Pass a newer published server list to discovery."""
        if LISTED_TOPIC in topics:
            self._discovery.topic_changed(self._core.machine.topic(LISTED_TOPIC))

    def _on_servers_observed(self, observed: ServersObserved) -> None:
        """Pass observed servers to placement.

        The replicas of a confirmed server change only by this leader's orders, so the list does not
        update them.
        """
        reports = listed_reports(
            observed,
            self._earliest_observation_time(observed.requested_at),
            lambda server: self._is_confirmed(server) or server in self._unreachable,
        )
        for server in observed.removed:
            self._unreachable.remove(server)
        self._placement.feed(DirectoryChanged(reports, observed.removed))
        self._residency.mark_changed(observed.removed)
        self._residency.mark_changed(row.server for row in observed.rows)

    def _is_confirmed(self, server: ServerId) -> bool:
        """Whether this core leads and has learned the server's replicas from the server itself."""
        state = self._controller.state.servers.get(server)
        epoch = self._leadership.epoch
        return state is not None and bool(epoch) and state.confirmed_epoch == epoch

    def _earliest_observation_time(self, requested_at: float) -> float:
        """Return the earliest time of observation of a list that was requested at `requested_at`.

        A core that does not lead returns minus infinity: its observations prove nothing.
        """
        if not self._leadership.epoch:
            return float("-inf")
        return requested_at - self._forwarding.list_lag_s

    def _on_server_reachability(self, server: ServerId, is_reachable: bool) -> None:
        """Exclude a server that cannot be reached from placement until it responds again.

        The list still contains a crashed server for some seconds.
        """
        if is_reachable:
            self._unreachable.remove(server)
            return
        row = self._discovery.machine.rows.get(server)
        if row is None or not self._leadership.epoch:
            return
        self._unreachable.add(server)
        down = attrs.evolve(row, health=ServerHealth.DOWN)
        self._placement.feed(DirectoryChanged((StatusReport(down, self._core.clock()),)))

    def _on_demand_report(self, sender: MemberId, message: Any) -> None:
        """Pass a node's demand report to placement; a leader checks its unreachable servers."""
        self._placement.feed(to_demand_reported(message))
        if not self._leadership.epoch:
            self._forward_demand(sender, message)
            return
        for name in message.unreachable:
            # One request by the leader tells whether the server or only the node's link failed.
            self._unreachable.check(ServerId(name))

    def _forward_demand(self, sender: MemberId, report: Any) -> None:
        """Forward a node's report to the leader, unless another core already forwarded it."""
        if sender != report.node:
            return
        leader = self._find_leader(self._core.clock())
        if leader is not None and leader != self._member:
            self._core.process.peers.send(leader, report)

    def _send_to_other_cores(self, message: Any) -> None:
        for core in self._core.machine.live_cores(self._core.clock()):
            self._core.process.peers.send(core, message)

    def _find_leader(self, now: float) -> MemberId | None:
        return self._core.machine.role_holders(now).get(PLACEMENT_ROLE, (None, 0))[0]

    def _expected_load_s(self, order: Order) -> float:
        pool = self._documents.document.pools.get(order.store.partition("/")[0])
        if pool is None or pool.engine is None or order.name not in pool.engine.models:
            return 0.0
        return pool.engine.models[order.name].load_s

    # --- time and shutdown ----------------------------------------------------------------

    def on_tick(self, now: float) -> None:
        """Update the state of the leader lease, then tick each component, in this order."""
        self._leadership.update(now)
        epoch_seen = self._core.machine.topic_epoch_seen(LISTED_TOPIC)
        self._discovery.tick(self._reader_rank(now), epoch_seen, now)
        self._placement.feed(Tick())
        if self._leadership.epoch:
            self._residency.publish_changes(self._leadership.epoch)
        if now >= self._slow_tick_due_at:
            self._slow_tick_due_at = now + SLOW_TICK_INTERVAL_S
            self._core.api.tick(now)
            self._core.tracing.tick(now)
            self._unreachable.tick(now)

    def _reader_rank(self, now: float) -> int:
        leader = self._find_leader(now)
        live_cores = [self._member, *self._core.machine.live_cores(now)]
        return reader_rank(self._member, leader, live_cores)

    def _start_shutdown(self, _not_before: float) -> None:
        """Start to hand over ownership, leadership and, if a replacement core exists, the vote."""
        self._shutdown_started_at = self._core.clock()
        self._core.process.driver.submit(ShutdownRequested())

    def _may_stop(self) -> bool:
        now = self._core.clock()
        return now - self._shutdown_started_at >= MIN_HANDOVER_S and self._core.machine.may_stop(
            now
        )
