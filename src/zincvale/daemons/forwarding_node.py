"""The node daemon of a forwarding deployment: callers' requests, servers and traces."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from tornado.ioloop import IOLoop
from tornado.web import RequestHandler

from zincvale.controlplane.directory.row_codec import LISTED_TOPIC, DirectoryDecoder
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import ReadinessRule, Timings
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.evacuation_log import log_evacuations
from zincvale.daemons.http_application import application_without_access_log
from zincvale.daemons.node_assembly import NodeAssembly, NodeOptions
from zincvale.daemons.process import Drain
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC, ResidencyDecoder
from zincvale.dataplane import log_events as dataplane_log_events
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.dataplane.forwarding.lease_watch import LeaseWatch
from zincvale.dataplane.forwarding.routing_state import FleetLimits
from zincvale.dataplane.forwarding.service import ForwardingConfig, ForwardingService
from zincvale.model.control_tables import Role
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId
from zincvale.runtime import log_events
from zincvale.runtime.admission.limits import DocumentLimits
from zincvale.runtime.admission.server import AdmittingServer
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.listening import listen
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.config import TracingConfig

SERVICES_TICK_MS = 250
"""Interval between two ticks of tracing and of the demand report."""
DEMAND_INTERVAL_S = 0.5
"""Interval between two demand reports; a longer one delays loads of models in demand."""
IDLE_DEMAND_INTERVAL_S = 1.5
"""Interval between two demand reports without requests, which only say that the node is alive."""
NODE_TRACES_PER_S = 0.25
"""Rate at which ordinary requests are sampled for traces; failed requests are traced in addition.
One trace costs about 3 ms at both ends together, so this rate stays below a thousandth of a CPU
core."""
MIN_DRAIN_S = 3.2
"""Least time for which a stopping node still accepts callers: the platform probes readiness once a
second and stops sending callers after two failed probes."""
GRACE_MARGIN_S = 0.6
"""How long before the platform kills a stopping node the node ends by itself."""
FINAL_REFUSAL_S = 0.4
"""How long before its end a stopping node refuses the requests that are still pending."""
TOPICS = (LISTED_TOPIC, RESIDENCY_TOPIC)
"""Topics that a node follows. Moves are not needed: the residency topic omits a replica as soon as
its unload is planned."""


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
        self._has_been_ready = False
        self._drain_started_at = 0.0
        self._stop_requested_at = 0.0
        self._callers: AdmittingServer
        """The server of callers, once `run` listens."""
        self._drain_limit_s = max(MIN_DRAIN_S, forwarding.grace_s - GRACE_MARGIN_S)
        options = NodeOptions(
            topics=TOPICS,
            services_tick_ms=SERVICES_TICK_MS,
            timings=timings,
            readiness=ReadinessRule.LEASE,
            tracing=TracingConfig(node_traces_per_s=NODE_TRACES_PER_S),
        )
        self._node = NodeAssembly(settings, options, self)
        self.process = self._node.process
        machine, clock = self._node.machine, self._node.clock
        self._lease_watch = LeaseWatch(
            lambda: machine.has_lease(clock()), lambda: machine.has_evidence(clock())
        )
        self._build_service(dialect)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises `StartupError`."""
        self.process.listen_peers()
        self._callers, readiness = self._listen()
        self._node.run(
            Drain(
                self._start_draining,
                self._is_drained,
                self._drain_limit_s,
                self._service.refuse_new_requests,
            )
        )
        self._callers.stop()
        readiness.stop()
        self._service.close()

    def _listen(self) -> tuple[AdmittingServer, AdmittingServer]:
        """Bind the addresses for callers and for readiness probes; `run` stops the servers."""
        limits = DocumentLimits(
            lambda: self._service.routing.document.limits, self._lease_watch.has_lease
        )
        callers = listen(
            self._service.caller_server(),
            self._settings.api_address,
            "api_address",
            self.process.admission,
            limits,
        )
        readiness = listen(
            application_without_access_log(self._readiness_and_trace_routes()),
            self._forwarding.readiness_address,
            "readiness_address",
            self.process.admission,
            limits,
        )
        return callers, readiness

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds while the process runs."""
        self._node.machine.use_seeds(seeds)

    def _readiness_and_trace_routes(self) -> list[Any]:
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
            lease_watch=self._lease_watch,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send callers to this node.

        A started node must have received current control state once. After that it serves with the
        last state that it has, also while it is partitioned from the cores, because its callers
        have no other node.
        """
        if self._service.is_draining:
            return False
        if not self._has_been_ready:
            is_configured = self._service.routing.is_configured
            self._has_been_ready = is_configured and self._node.machine.ready(self._node.clock())
        return self._has_been_ready

    # --- updates of the control state -----------------------------------------------------

    def on_changes(self, changes: ChangeNotifications) -> None:
        """Apply delivered changes: document, servers, residency and members, in this order."""
        try:
            if INTENT_KEY in changes.keys:
                self._apply_document()
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
        self._service.begin_deferred()

    def _apply_document(self) -> None:
        rows = self._node.machine.intent()
        previous = self._documents.document
        document = self._documents.update(rows.version, rows.rows)
        self._service.apply_document(document)
        log_evacuations(previous, document)

    # --- time -----------------------------------------------------------------------------

    def on_tick(self, now: float) -> None:
        """Tick tracing, and report demand when that is due."""
        self._node.tracing.tick(now)
        self._log_unleased_requests()
        if now >= self._demand_due_at:
            self._report_demand()

    def _log_unleased_requests(self) -> None:
        period = self._lease_watch.take_ended_period()
        if period is not None:
            log(
                dataplane_log_events.SERVED_WITHOUT_LEASE,
                seconds=round(period.until - period.since, 3),
                requests=period.requests,
                first_version=period.first_version,
                last_version=period.last_version,
                version=self._service.routing.document.version,
            )

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
        """Return a core that forwards demand to the leader, in this zone if there is one."""
        rows = self._node.machine.members(self._node.clock()).rows.values()
        cores = sorted(row.member for row in rows if row.role is Role.CORE)
        in_zone = [
            row.member for row in rows if row.role is Role.CORE and row.zone == self._node.zone
        ]
        return min(in_zone, default=cores[0] if cores else None)

    def _start_draining(self, not_before: float) -> None:
        self._drain_started_at = self._node.clock()
        self._stop_requested_at = not_before
        self._service.start_draining(not_before, self._drain_limit_s)
        self._node.tracing.leave()

    def _is_drained(self) -> bool:
        now = self._node.clock()
        if now - self._stop_requested_at >= self._drain_limit_s - FINAL_REFUSAL_S:
            self._service.refuse_pending()
        min_drain_passed = now - self._drain_started_at >= MIN_DRAIN_S
        is_idle = not self._service.active_requests and not self._callers.has_unsent_responses
        return min_drain_passed and is_idle


class _ReadyHandler(RequestHandler):
    """Responds to the platform's readiness probe."""

    def initialize(self, node: ForwardingNode) -> None:
        """Set the node whose readiness is reported."""
        self.node = node

    def get(self) -> None:
        """Respond 200 when ready, else 503."""
        self.set_status(HTTPStatus.OK if self.node.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()
