"""The node daemon of a forwarding deployment: callers, servers and the record."""

from __future__ import annotations

import random
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.web import Application, RequestHandler

from zincvale.controlplane.directory.row_codec import LISTED_TOPIC, DirectoryDecoder
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.coordination.config import Timings
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.node_assembly import node_config
from zincvale.daemons.process import Drain, build_process
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC, ResidencyDecoder
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.dataplane.forwarding.routing_state import FleetLimits
from zincvale.dataplane.forwarding.service import ForwardingConfig, ForwardingService
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.view import Role
from zincvale.runtime import log_events
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.listening import listen
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.service import TracingService

NODE_TICK_MS = 100
SERVICES_INTERVAL_MS = 250
DEMAND_INTERVAL_S = 0.5
IDLE_DEMAND_INTERVAL_S = 1.5
"""Without requests a report only says that the node is there."""
NODE_TRACES_PER_S = 0.25
"""Sampled traces of ordinary requests; errors are kept beside them. One costs both ends about 3 ms
together, so that they stay below a thousandth of a core."""
LAME_DUCK_S = 3.2
"""A stopping node goes on taking callers for so long: the platform asks for readiness each second
and stops sending callers after two misses."""
GRACE_MARGIN_S = 0.6
FINAL_REFUSALS_S = 0.4
"""So long before its end a stopping node refuses what still waits for a server."""
MAX_CALLER_BODY_BYTES = 64 * 1024 * 1024
TOPICS = (LISTED_TOPIC, RESIDENCY_TOPIC)
"""The calendar of moves is not among them: what is about to be unloaded leaves the residency."""


class ForwardingNode:
    """Assembles one node process."""

    def __init__(
        self,
        settings: DaemonSettings,
        forwarding: ForwardingSettings,
        dialect: ForwardingDialect,
        timings: Timings,
    ) -> None:
        incarnation = new_incarnation()
        self._settings = settings
        self._forwarding = forwarding
        self._clock = suspend_aware_now
        self._random = random.Random(incarnation)
        self._member = MemberId(settings.member_id)
        self._zone = ZoneName(settings.zone)
        self._documents = DocumentDecoder()
        self._directory = DirectoryDecoder()
        self._residencies = ResidencyDecoder()
        self._demand_due_at = 0.0
        self._is_demand_report_scheduled = False
        self._was_ready = False
        self._drain_began_at = 0.0
        self._drain_limit_s = 0.0
        self.machine = NodeMachine(
            node_config(settings, incarnation, TOPICS, timings), self._random, self._clock()
        )
        self.process = build_process(
            settings,
            incarnation,
            self.machine,
            self._clock,
            None,
            self.machine.address_of,
            self._after_input,
            NODE_TICK_MS,
        )
        self._build_services(dialect)
        self._ticker = PeriodicCallback(self._tick, SERVICES_INTERVAL_MS)

    def run(self) -> None:
        """Serve until told to stop; then drain."""
        settings, forwarding = self._settings, self._forwarding
        self.process.listen_peers()
        servers: list[HTTPServer] = [
            listen(
                self._service.callers(),
                settings.api_address,
                "api_address",
                MAX_CALLER_BODY_BYTES,
            ),
            listen(
                Application(self._own_routes(), log_function=_ignore_request),
                forwarding.readiness_address,
                "readiness_address",
                MAX_CALLER_BODY_BYTES,
            ),
        ]
        self._ticker.start()
        self._drain_limit_s = max(LAME_DUCK_S, forwarding.grace_s - GRACE_MARGIN_S)
        self.process.run(Drain(self._start_draining, self._is_drained, self._drain_limit_s))
        self._ticker.stop()
        for server in servers:
            server.stop()
        self._service.close()

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take seeds that changed while the process runs."""
        self.machine.use_seeds(seeds)

    def _own_routes(self) -> list[Any]:
        ready = (self._forwarding.ready_path, _ReadyHandler, {"node": self})
        return [ready, *trace_api_routes(self._tracing)]

    def _build_services(self, dialect: ForwardingDialect) -> None:
        settings, forwarding = self._settings, self._forwarding
        self._tracing = TracingService(
            self._member,
            self._random,
            self._clock,
            wall_now,
            self.process.peers.send,
            TracingConfig(node_traces_per_s=NODE_TRACES_PER_S),
            log,
        )
        self._service = ForwardingService(
            ForwardingConfig(
                member=self._member,
                zone=self._zone,
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
            spans=self._tracing.recorder,
            random=self._random,
            clock=self._clock,
            on_urgent=self._schedule_demand_report,
        )
        self.process.router.add_service("tracing", self._tracing.handle_message)

    @property
    def is_ready(self) -> bool:
        """Whether callers may come.

        A started node must be fresh once; after that it serves by what it holds, also while it is
        cut off from the cores: its callers have nobody else.
        """
        if self._service.is_draining:
            return False
        if not self._was_ready:
            is_configured = self._service.routing.is_configured
            self._was_ready = is_configured and self.machine.ready(self._clock())
        return self._was_ready

    # --- news from control ----------------------------------------------------------------

    def _after_input(self) -> None:
        """Bring what was delivered into force before the next message leaves."""
        changes = self.machine.take_changes()
        try:
            if INTENT_KEY in changes.keys:
                rows = self.machine.intent()
                self._service.apply_document(self._documents.update(rows.version, rows.rows))
            if LISTED_TOPIC in changes.topics:
                listed = self.machine.topic(LISTED_TOPIC)
                self._service.apply_directory(
                    self._directory.update(listed.epoch, listed.version, listed.rows)
                )
            if RESIDENCY_TOPIC in changes.topics:
                told = self.machine.topic(RESIDENCY_TOPIC)
                self._service.apply_residencies(self._residencies.update(told.rows))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))
        if changes.members:
            members = self.machine.members(self._clock())
            self._tracing.apply_members(members)
            self._service.apply_members(members)

    # --- time -----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock()
        self._tracing.tick(now)
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
        self._demand_due_at = self._clock() + interval_s
        core = self._core_for_demand()
        if core is not None:
            self.process.peers.send(core, report)

    def _core_for_demand(self) -> MemberId | None:
        """Return the core that passes demand on to the leader: one of this zone, if possible."""
        rows = self.machine.members(self._clock()).rows.values()
        cores = sorted(row.member for row in rows if row.role is Role.CORE)
        near = [row.member for row in rows if row.role is Role.CORE and row.zone == self._zone]
        return min(near, default=cores[0] if cores else None)

    def _start_draining(self) -> None:
        self._drain_began_at = self._clock()
        self._service.start_draining()
        self._tracing.leave()

    def _is_drained(self) -> bool:
        closing_s = self._clock() - self._drain_began_at
        if closing_s >= self._drain_limit_s - FINAL_REFUSALS_S:
            self._service.reject_pending()
        noticed = closing_s >= LAME_DUCK_S
        return noticed and not self._service.active_requests


class _ReadyHandler(RequestHandler):
    """The platform's question whether the node takes callers."""

    def initialize(self, node: ForwardingNode) -> None:
        """Take the node to answer for."""
        self.node = node

    def get(self) -> None:
        """Answer 200 when ready, else 503."""
        self.set_status(200 if self.node.is_ready else 503)
        self.finish()


def _ignore_request(handler: Any) -> None:
    """Write no access log: traces record each request."""
