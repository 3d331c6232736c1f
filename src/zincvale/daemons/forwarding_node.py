"""The node daemon of a forwarding deployment: callers' requests, servers and traces."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.web import RequestHandler

from zincvale.controlplane.directory.row_codec import LISTED_TOPIC, DirectoryDecoder
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import Timings
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.http_application import without_access_log
from zincvale.daemons.node_assembly import NodeAssembly, NodeOptions
from zincvale.daemons.process import Drain
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC, ResidencyDecoder
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.dataplane.forwarding.routing_state import FleetLimits
from zincvale.dataplane.forwarding.service import ForwardingConfig, ForwardingService
from zincvale.model.control_tables import Role
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId
from zincvale.runtime import log_events
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.listening import listen
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.config import TracingConfig

SERVICES_TICK_MS = 250
"""Between two ticks of tracing and of the demand report."""
DEMAND_INTERVAL_S = 0.5
"""Between two demand reports; longer ones delay loads of models in demand."""
IDLE_DEMAND_INTERVAL_S = 1.5
"""Without requests a report only says that the node is alive."""
NODE_TRACES_PER_S = 0.25
"""Sampled traces of ordinary requests; those of errors are sampled in addition. One costs both ends
about 3 ms together, so that they stay below a thousandth of a core."""
LAME_DUCK_S = 3.2
"""A stopping node goes on taking callers for so long: the platform probes readiness each second
and stops sending callers after two misses."""
GRACE_MARGIN_S = 0.6
"""A stopping node ends so long before the platform ends it."""
FINAL_REFUSALS_S = 0.4
"""So long before its end a stopping node refuses requests that are still pending."""
MAX_CALLER_BODY_BYTES = 64 * 1024 * 1024
"""The HTTP servers refuse larger bodies."""
TOPICS = (LISTED_TOPIC, RESIDENCY_TOPIC)
"""The topic of moves is not among them: what is about to be unloaded leaves the residency."""


class ForwardingNode:
    """Assembles one node process; implements `NodeEventHandler`."""

    def __init__(
        self,
        settings: DaemonSettings,
        forwarding: ForwardingSettings,
        dialect: ForwardingDialect,
        timings: Timings,
    ) -> None:
        self._settings = settings
        self._forwarding = forwarding
        self._documents = DocumentDecoder()
        self._directory = DirectoryDecoder()
        self._residencies = ResidencyDecoder()
        self._demand_due_at = 0.0
        self._is_demand_report_scheduled = False
        self._was_ready = False
        self._drain_started_at = 0.0
        self._told_to_stop_at = 0.0
        self._drain_limit_s = max(LAME_DUCK_S, forwarding.grace_s - GRACE_MARGIN_S)
        options = NodeOptions(
            topics=TOPICS,
            services_tick_ms=SERVICES_TICK_MS,
            timings=timings,
            tracing=TracingConfig(node_traces_per_s=NODE_TRACES_PER_S),
        )
        self._node = NodeAssembly(settings, options, self)
        self.process = self._node.process
        self._build_service(dialect)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises `StartupError`."""
        self.process.listen_peers()
        servers = self._listen()
        self._node.run(Drain(self._start_draining, self._is_drained, self._drain_limit_s))
        for server in servers:
            server.stop()
        self._service.close()

    def _listen(self) -> list[HTTPServer]:
        """Bind the addresses of callers and of readiness; `run` stops the servers."""
        callers = listen(
            self._service.caller_server(),
            self._settings.api_address,
            "api_address",
            MAX_CALLER_BODY_BYTES,
        )
        readiness = listen(
            without_access_log(self._own_routes()),
            self._forwarding.readiness_address,
            "readiness_address",
            MAX_CALLER_BODY_BYTES,
        )
        return [callers, readiness]

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take seeds that changed while the process runs."""
        self._node.machine.use_seeds(seeds)

    def _own_routes(self) -> list[Any]:
        ready = (self._forwarding.ready_path, _ReadyHandler, {"node": self})
        return [ready, *trace_api_routes(self._node.tracing)]

    def _build_service(self, dialect: ForwardingDialect) -> None:
        settings, forwarding = self._settings, self._forwarding
        self._service = ForwardingService(
            ForwardingConfig(
                member=self._node.member,
                zone=self._node.zone,
                fleet_limits=FleetLimits(
                    RetryConfig(
                        forwarding.retry_ratio, forwarding.retry_slack, forwarding.retry_window_s
                    ),
                    SlowStartConfig(forwarding.cold_factor, forwarding.cold_slack),
                ),
                policies=forwarding.policies,
                address_map=settings.address_map,
            ),
            dialect,
            spans=self._node.tracing.recorder,
            random=self._node.random,
            clock=self._node.clock,
            on_urgent=self._schedule_demand_report,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may come.

        A started node must be fresh once; after that it serves by its last state, also while it is
        partitioned from the cores: its callers have no other node.
        """
        if self._service.is_draining:
            return False
        if not self._was_ready:
            is_configured = self._service.routing.is_configured
            self._was_ready = is_configured and self._node.machine.ready(self._node.clock())
        return self._was_ready

    # --- updates of the control state -----------------------------------------------------

    def on_changes(self, changes: ChangeNotifications) -> None:
        """Apply what was delivered: document, servers, residency, members, in this order."""
        try:
            if INTENT_KEY in changes.keys:
                rows = self._node.machine.intent()
                self._service.apply_document(self._documents.update(rows.version, rows.rows))
            if LISTED_TOPIC in changes.topics:
                listed = self._node.machine.topic(LISTED_TOPIC)
                self._service.apply_directory(
                    self._directory.update(listed.epoch, listed.version, listed.rows)
                )
            if RESIDENCY_TOPIC in changes.topics:
                residency = self._node.machine.topic(RESIDENCY_TOPIC)
                self._service.apply_residencies(self._residencies.update(residency.rows))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
        if changes.members:
            members = self._node.machine.members(self._node.clock())
            self._node.tracing.apply_members(members)
            self._service.apply_members(members)

    # --- time -----------------------------------------------------------------------------

    def on_tick(self, now: float) -> None:
        """Let time pass for tracing, and report demand when it is due."""
        self._node.tracing.tick(now)
        if now >= self._demand_due_at:
            self._report_demand()

    def _schedule_demand_report(self) -> None:
        if not self._is_demand_report_scheduled:
            self._is_demand_report_scheduled = True
            IOLoop.current().add_callback(self._report_demand)

    def _report_demand(self) -> None:
        self._is_demand_report_scheduled = False
        report = self._service.demand_report()
        is_quiet = not (report.rows or report.use)
        interval_s = IDLE_DEMAND_INTERVAL_S if is_quiet else DEMAND_INTERVAL_S
        self._demand_due_at = self._node.clock() + interval_s
        core = self._core_for_demand()
        if core is not None:
            self._node.process.peers.send(core, report)

    def _core_for_demand(self) -> MemberId | None:
        """Return the core that forwards demand to the leader: one of this zone, if possible."""
        rows = self._node.machine.members(self._node.clock()).rows.values()
        cores = sorted(row.member for row in rows if row.role is Role.CORE)
        near = [row.member for row in rows if row.role is Role.CORE and row.zone == self._node.zone]
        return min(near, default=cores[0] if cores else None)

    def _start_draining(self, not_before: float) -> None:
        self._drain_started_at = self._node.clock()
        self._told_to_stop_at = not_before
        self._service.start_draining(not_before, self._drain_limit_s)
        self._node.tracing.leave()

    def _is_drained(self) -> bool:
        now = self._node.clock()
        if now - self._told_to_stop_at >= self._drain_limit_s - FINAL_REFUSALS_S:
            self._service.refuse_pending()
        noticed = now - self._drain_started_at >= LAME_DUCK_S
        return noticed and not self._service.active_requests


class _ReadyHandler(RequestHandler):
    """The platform's readiness probe."""

    def initialize(self, node: ForwardingNode) -> None:
        """Set the node to respond for."""
        self.node = node

    def get(self) -> None:
        """Respond 200 when ready, else 503."""
        self.set_status(HTTPStatus.OK if self.node.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()
