"""The node daemon of a native deployment: request path, claims, stream journal, trace collector."""

from __future__ import annotations

from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, DirectoryDecoder
from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.controlplane.placement.draining_row_codec import MOVES_TOPIC, DrainingReplicasDecoder
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.replication.replica_sets import INTENT_KEY, REGISTRY_KEY
from zincvale.daemons.draining_replicas import with_draining
from zincvale.daemons.http_application import application_without_access_log
from zincvale.daemons.node_assembly import NodeAssembly, NodeOptions
from zincvale.daemons.process import Drain
from zincvale.daemons.registry_rows import registered_zones
from zincvale.dataplane.claims.service import ClaimService
from zincvale.dataplane.inference.node_service import NodeService
from zincvale.dataplane.stream_journal.service import StreamJournalService
from zincvale.model.control_tables import Directory, Role
from zincvale.model.errors import ZincvaleError
from zincvale.runtime import log_events
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.metrics import register_metrics

SERVICES_TICK_MS = 100
"""Interval between two ticks of the services; a longer one delays their timeouts."""
DEMAND_INTERVAL_S = 0.5
"""Interval between two demand reports to the cores; a longer one delays loads of models in
demand."""
CLAIMS_READY_TIMEOUT_S = 9.0
"""Time after which a starting node accepts callers although it cannot grant claims. It is above the
quarantine after a start of the whole fleet, and below the twelve seconds within which a restarted
node must serve."""
MIN_DRAIN_S = 1.5
"""Least time for which a stopping node still accepts callers: the platform polls readiness."""
DRAIN_LIMIT_S = 20.0
"""Time limit for the drain; streams that are still open then break off and are resumed at another
node."""


class NodeDaemon:
    """Assembles one node process; implements `NodeEventHandler`."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._intent = IntentDecoder()
        self._directory = DirectoryDecoder()
        self._draining_replicas = DrainingReplicasDecoder()
        self._demand_due_at = 0.0
        self._fresh_since: float | None = None
        self._are_claims_ready = False
        self._drain_started_at = 0.0
        options = NodeOptions(
            topics=(DIRECTORY_TOPIC, MOVES_TOPIC), services_tick_ms=SERVICES_TICK_MS
        )
        self._node = NodeAssembly(settings, options, self)
        self._build_services()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises `StartupError`."""
        routes = [*trace_api_routes(self._node.tracing), *self._service.http_routes()]
        self._node.process.listen(application_without_access_log(routes))
        self._node.run(Drain(self._start_draining, self._is_drained, DRAIN_LIMIT_S))
        self._service.close()

    def _build_services(self) -> None:
        settings = self._settings
        incarnation, zone = self._node.incarnation, self._node.zone
        peers = self._node.process.peers
        self._claims = ClaimService(
            self._node.member,
            incarnation,
            self._node.random,
            self._node.clock,
            peers,
            write_log=lambda number, fields: log(number, **fields),
        )
        self._journal = StreamJournalService(
            self._node.member,
            incarnation,
            zone,
            self._node.clock,
            peers,
            write_log=lambda number, fields: log(number, **fields),
        )
        self._service = NodeService(
            settings,
            self._node.random,
            self._node.clock,
            peers,
            self._claims,
            self._journal,
            self._node.tracing.recorder,
            self._is_ready,
            log,
        )
        self._service.on_urgent_demand(self._report_demand)
        register_metrics(self._node.tracing, self._service.metrics)
        router = self._node.process.router
        router.add_service("claims", self._claims.handle_message)
        router.add_service("streams", self._journal.handle_message)

    def _is_ready(self) -> bool:
        """Whether callers may be sent to this node.

        Its control state must be current, and it must be able to grant claims or have waited for
        that for `CLAIMS_READY_TIMEOUT_S`.
        """
        now = self._node.clock()
        if not self._node.machine.ready(now):
            return False
        if self._fresh_since is None:
            self._fresh_since = now
        if not self._are_claims_ready:
            waited_s = now - self._fresh_since
            self._are_claims_ready = self._claims.is_ready or waited_s > CLAIMS_READY_TIMEOUT_S
        return self._are_claims_ready

    # --- updates of the control state -----------------------------------------------------

    def on_changes(self, changes: ChangeNotifications) -> None:
        """Apply delivered changes: intent, members, registry and directory, in this order."""
        if INTENT_KEY in changes.keys:
            self._apply_intent()
        if changes.members:
            self._apply_members()
        if REGISTRY_KEY in changes.keys:
            self._apply_registry()
        if DIRECTORY_TOPIC in changes.topics or MOVES_TOPIC in changes.topics:
            self._apply_directory()

    def _apply_intent(self) -> None:
        rows = self._node.machine.intent()
        try:
            self._service.apply_intent(self._intent.update(rows.version, rows.rows))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))

    def _apply_members(self) -> None:
        members = self._node.machine.members(self._node.clock())
        self._node.tracing.apply_members(members)
        self._claims.apply_members(members)
        self._journal.apply_members(members)
        self._service.apply_members(members)

    def _apply_registry(self) -> None:
        registry = self._node.machine.value(REGISTRY_KEY)
        self._claims.apply_registry(registry.version, registered_zones(registry.rows))

    def _apply_directory(self) -> None:
        topic = self._node.machine.topic(DIRECTORY_TOPIC)
        try:
            directory = self._directory.update(topic.epoch, topic.version, topic.rows)
            self._service.apply_directory(self._mark_draining(directory))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))

    def _mark_draining(self, directory: Directory) -> Directory:
        """Mark replicas that planned moves are about to unload, so that they get no new request."""
        return with_draining(
            directory, self._draining_replicas.update(self._node.machine.topic(MOVES_TOPIC).rows)
        )

    # --- time -----------------------------------------------------------------------------

    def on_tick(self, now: float) -> None:
        """Tick each service, in this order, and report demand when that is due."""
        self._service.tick(now)
        self._claims.tick(now)
        self._journal.tick(now)
        self._node.tracing.tick(now)
        if now >= self._demand_due_at:
            self._demand_due_at = now + DEMAND_INTERVAL_S
            self._report_demand()

    def _report_demand(self) -> None:
        report = self._service.demand_report()
        for member, row in self._node.machine.members(self._node.clock()).rows.items():
            if row.role is Role.CORE:
                self._node.process.peers.send(member, report)

    def _start_draining(self, _not_before: float) -> None:
        self._drain_started_at = self._node.clock()
        self._service.start_draining()
        self._node.tracing.leave()

    def _is_drained(self) -> bool:
        """Whether `MIN_DRAIN_S` has passed, and no request, response or trace is unfinished."""
        min_drain_passed = self._node.clock() - self._drain_started_at >= MIN_DRAIN_S
        is_idle = not self._service.active_requests and not self._node.process.has_unsent_responses
        return min_drain_passed and is_idle and self._node.tracing.is_idle
