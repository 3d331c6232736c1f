"""The core daemon of a forwarding deployment: the document, the server list and placement."""

from __future__ import annotations

import random
from typing import Any

import attrs
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from zincvale.controlplane.directory.row_codec import LISTED_TOPIC
from zincvale.controlplane.directory.server_discovery import (
    ServerDiscovery,
    ServersObserved,
    reader_rank,
)
from zincvale.controlplane.documents.api import DocumentApi
from zincvale.controlplane.documents.derived_intent import DocumentIntent, StoreConfig
from zincvale.controlplane.documents.reducer import DocumentReducer
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    IntentChanged,
    LeaderGained,
    LeaderLost,
    Order,
    StatusReport,
)
from zincvale.coordination.config import Timings
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.control_api_handler import ControlApiServer
from zincvale.daemons.core_assembly import core_config, core_tracing, open_files
from zincvale.daemons.core_view import LocalCoreView
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.discovery_runner import DiscoveryRunner
from zincvale.daemons.forwarding_dialects import ForwardingDialects
from zincvale.daemons.forwarding_placement import placement_config
from zincvale.daemons.http_fetch import HttpFetcher
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.process import Drain, build_process
from zincvale.daemons.residency_publisher import ResidencyPublisher
from zincvale.daemons.roles import PLACEMENT_ROLE
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.model.errors import ZincvaleError
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ShutdownRequested, Tick
from zincvale.model.view import ServerHealth, ServerRow
from zincvale.runtime import log_events
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings

SYSTEMS_INTERVAL_MS = 50
MACHINE_TICK_MS = 50
SLOW_TICK_INTERVAL_S = 0.25
GRACE_MARGIN_S = 1.5
UNREACHABLE_RETRY_INTERVAL_S = 1.0
HANDOVER_S = 0.6
"""A stopping core still answers for so long, so that others take over by its word."""


class ForwardingCore:
    """Assembles one core process.

    Parameters
    ----------
    bootstrap : whether this start may create the cluster.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        forwarding: ForwardingSettings,
        dialects: ForwardingDialects,
        timings: Timings,
        bootstrap: bool,
    ) -> None:
        incarnation = new_incarnation()
        self._settings = settings
        self._forwarding = forwarding
        self._dialects = dialects
        self._clock = suspend_aware_now
        self._random = random.Random(incarnation)
        self._name = f"{settings.member_id}/{incarnation}"
        files = open_files(settings, self._random)
        recovered = files.load()
        self.machine = CoreMachine(
            core_config(
                settings,
                incarnation,
                bootstrap,
                timings=timings,
                group_size=2 * forwarding.cores_lost_at_once + 1,
            ),
            recovered,
            {INTENT_KEY: DocumentReducer()},
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
            MACHINE_TICK_MS,
        )
        self._decoder = DocumentDecoder()
        self._intent = DocumentIntent(StoreConfig(forwarding.store_window_s, forwarding.store_over))
        self._view = LocalCoreView(self.machine, self._clock)
        api = DocumentApi(self._view, dialects.operators, self._name)
        self._api = ControlApiServer(api, self.process.driver, self._clock)
        self._tracing = core_tracing(settings, self._random, self.process)
        self._build_systems()
        self._role_epoch = 0
        self._slow_due_at = 0.0
        self._shutdown_started_at = 0.0
        self._status_retry_at: dict[ServerId, float] = {}
        """Servers that could not be reached, and when they are asked again."""
        self._ticker = PeriodicCallback(self._tick, SYSTEMS_INTERVAL_MS)

    def run(self) -> None:
        """Serve until told to stop."""
        self.process.listen(Application(self._api.routes(), log_function=_ignore_request))
        self._placement.start()
        self._ticker.start()
        limit_s = self._forwarding.grace_s - GRACE_MARGIN_S
        self.process.run(Drain(self._start_shutdown, self._may_stop, limit_s))
        self._ticker.stop()

    def _start_shutdown(self) -> None:
        """Hand over ownership and leadership; go once a stand-in has the vote, if there is one."""
        self._shutdown_started_at = self._clock()
        self.process.driver.submit(ShutdownRequested())

    def _may_stop(self) -> bool:
        now = self._clock()
        return now - self._shutdown_started_at >= HANDOVER_S and self.machine.may_stop(now)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take seeds that changed while the process runs."""
        self.machine.use_seeds(seeds)

    def _build_systems(self) -> None:
        settings = self._settings
        fetcher = HttpFetcher(settings.address_map, settings.member_id, settings.peer_address)
        guard = LeadershipGuard(self.machine, PLACEMENT_ROLE, self._clock)
        publisher = TopicPublisher(self.process.driver, guard)
        self._discovery = DiscoveryRunner(
            ServerDiscovery(self._name, self._forwarding.list_lag_s, self._clock()),
            self._dialects.server_list,
            fetcher,
            self._forwarding.list_address,
            self.process.driver,
            self._clock,
            wall_now,
            self._send_to_other_cores,
            self._on_servers_observed,
        )
        self._controller = PlacementController(
            self._random, placement_config(self._forwarding.order_quiet_s)
        )
        self._placement = PlacementRunner(
            self._controller,
            fetcher,
            publisher,
            self._clock,
            wall_now,
            lambda server: self._discovery.machine.rows.get(server),
            OrderSpans(self._tracing.recorder),
            self._dialects.orders,
            settings.member_id,
            self._expected_load_s,
            lambda server: self._residency.mark_changed((server,)),
            self._on_server_reachability,
        )
        self._residency = ResidencyPublisher(
            lambda: self._controller.state.servers, self._placement.publish
        )
        self.process.router.add_service("dataplane", self._demand_received)
        self.process.router.add_service("listed", self._discovery.message_received)

    # --- inputs of the systems ------------------------------------------------------------

    def _after_input(self) -> None:
        changes = self.machine.take_changes()
        if INTENT_KEY in changes.keys:
            self._document_changed()
        if changes.members:
            self._tracing.apply_members(self._view.members())
        if LISTED_TOPIC in changes.topics:
            self._discovery.topic_changed(self.machine.topic(LISTED_TOPIC))

    def _document_changed(self) -> None:
        rows = self.machine.value(INTENT_KEY)
        try:
            document = self._decoder.update(rows.version, rows.rows)
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
            return
        self._placement.feed(IntentChanged(self._intent.update(document)))
        self._discovery.document_changed(document)
        self._api.intent_changed()

    @property
    def _document(self) -> ForwardingDocument:
        return self._decoder.document

    def _on_servers_observed(self, seen: ServersObserved) -> None:
        """Feed placement; a settled server's own holdings change only by our orders."""
        reports = tuple(
            StatusReport(
                _down_if_draining(row),
                self._known_not_older_than(seen.requested_at),
                frozenset(),
                is_from_server=False,
            )
            for row in seen.rows
            if row.draining
            or not (self._is_confirmed(row.server) or row.server in self._status_retry_at)
        )
        for server in seen.removed:
            self._status_retry_at.pop(server, None)
        self._placement.feed(DirectoryChanged(reports, seen.removed))
        self._residency.mark_changed(seen.removed)
        self._residency.mark_changed(row.server for row in seen.rows)

    def _is_confirmed(self, server: ServerId) -> bool:
        state = self._controller.state.servers.get(server)
        return (
            state is not None
            and bool(self._role_epoch)
            and (state.confirmed_epoch == self._role_epoch)
        )

    def _known_not_older_than(self, asked_at: float) -> float:
        """Return the time that a row of the list certainly is not older than, while leading."""
        return asked_at - self._forwarding.list_lag_s if self._role_epoch else float("-inf")

    def _forward_demand(self, sender: MemberId, report: Any) -> None:
        """Hand a node's report to the leader; what another core passed on goes no further."""
        if sender != report.node:
            return
        holder = self.machine.role_holders(self._clock()).get(PLACEMENT_ROLE, (None, 0))[0]
        if holder is not None and holder != self._settings.member_id:
            self.process.peers.send(holder, report)

    def _on_server_reachability(self, server: ServerId, reached: bool) -> None:
        """Take a server that cannot be reached out of placement until it answers again.

        The list shows a server that crashed for some seconds more.
        """
        if reached:
            self._status_retry_at.pop(server, None)
            return
        row = self._discovery.machine.rows.get(server)
        if row is None or not self._role_epoch:
            return
        self._status_retry_at[server] = self._clock() + UNREACHABLE_RETRY_INTERVAL_S
        down = attrs.evolve(row, health=ServerHealth.DOWN)
        self._placement.feed(DirectoryChanged((StatusReport(down, self._clock()),)))

    def _retry_unreachable(self, now: float) -> None:
        for server, retry_at in list(self._status_retry_at.items()):
            if now >= retry_at:
                self._status_retry_at[server] = now + UNREACHABLE_RETRY_INTERVAL_S
                self._placement.request_status(server)

    def _demand_received(self, sender: MemberId, message: Any) -> None:
        self._placement.feed(to_demand_reported(message))
        if not self._role_epoch:
            self._forward_demand(sender, message)
            return
        for name in message.unreachable:
            server = ServerId(name)
            if server not in self._status_retry_at:
                # One question by the leader tells whether the server or only the node's way failed.
                self._status_retry_at[server] = self._clock() + UNREACHABLE_RETRY_INTERVAL_S
                self._placement.request_status(server)

    def _send_to_other_cores(self, message: Any) -> None:
        for core in self.machine.live_cores(self._clock()):
            self.process.peers.send(core, message)

    def _expected_load_s(self, order: Order) -> float:
        pool = self._document.pools.get(order.store.partition("/")[0])
        if pool is None or pool.engine is None or order.name not in pool.engine.models:
            return 0.0
        return pool.engine.models[order.name].load_s

    # --- time -----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock()
        self._follow_role(now)
        epoch_seen = self.machine.topic_epoch_seen(LISTED_TOPIC)
        self._discovery.tick(self._reader_rank(now), epoch_seen, now)
        self._placement.feed(Tick())
        if self._role_epoch:
            self._residency.publish_changes(self._role_epoch)
        if now >= self._slow_due_at:
            self._slow_due_at = now + SLOW_TICK_INTERVAL_S
            self._api.tick(now)
            self._tracing.tick(now)
            self._retry_unreachable(now)

    def _reader_rank(self, now: float) -> int:
        own = MemberId(self._settings.member_id)
        holder = self.machine.role_holders(now).get(PLACEMENT_ROLE, (None, 0))[0]
        return reader_rank(own, holder, [own, *self.machine.live_cores(now)])

    def _follow_role(self, now: float) -> None:
        state = self.machine.role(PLACEMENT_ROLE, now)
        if not state.is_leader:
            self._lose_role()
            return
        if state.epoch != self._role_epoch:
            self._lose_role()
            self._role_epoch = state.epoch
            self._placement.epoch = state.epoch
            self._residency.restart()
        self._placement.feed(LeaderGained(state.epoch, state.acts_until))

    def _lose_role(self) -> None:
        if self._role_epoch:
            self._role_epoch = 0
            self._status_retry_at.clear()
            self._placement.feed(LeaderLost())


def _down_if_draining(row: ServerRow) -> ServerRow:
    """Return a row as placement takes it: a server that is about to leave gets no loads."""
    if not row.draining:
        return row
    return attrs.evolve(row, health=ServerHealth.DOWN)


def _ignore_request(handler: Any) -> None:
    """Write no access log: traces record each request."""
