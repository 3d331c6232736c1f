"""The node daemon: the request path, claims, stream journal and trace collector."""

from __future__ import annotations

import random
from typing import Any

from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, DirectoryDecoder
from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.controlplane.placement.draining_row_codec import MOVES_TOPIC, DrainingReplicasDecoder
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.replication.replica_sets import INTENT_KEY, REGISTRY_KEY
from zincvale.daemons.draining_replicas import with_draining
from zincvale.daemons.node_assembly import node_config
from zincvale.daemons.process import Drain, build_process
from zincvale.daemons.registry_rows import registered_zones
from zincvale.dataplane.claims.service import ClaimService
from zincvale.dataplane.inference.node_service import NodeService
from zincvale.dataplane.stream_journal.service import StreamJournalService
from zincvale.model.errors import ZincvaleError
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.view import Directory, Role
from zincvale.runtime import log_events
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.api.http import trace_api_routes
from zincvale.tracing.metrics import register_metrics
from zincvale.tracing.service import TracingService

NODE_TICK_MS = 100
"""A renewal may come this much late in 600 ms; fewer ticks keep an idle node cheap."""
SERVICES_INTERVAL_MS = 100
DEMAND_INTERVAL_S = 0.5
CLAIMS_READY_TIMEOUT_S = 9.0
"""A starting node takes callers without claims after this long: above the quarantine after a start
of the whole fleet, and below the twelve seconds in which a restart must serve."""
LAME_DUCK_S = 1.5
"""A stopping node goes on taking callers for so long: the platform polls readiness."""
DRAIN_LIMIT_S = 20.0
"""Streams that are still open then break off and are resumed at another node."""


class NodeDaemon:
    """Assembles one node process."""

    def __init__(self, settings: DaemonSettings) -> None:
        incarnation = new_incarnation()
        self._settings = settings
        self._clock = suspend_aware_now
        self._random = random.Random(incarnation)
        self._member = MemberId(settings.member_id)
        self._intent = IntentDecoder()
        self._directory = DirectoryDecoder()
        self._draining_replicas = DrainingReplicasDecoder()
        self._demand_due_at = 0.0
        self._fresh_since: float | None = None
        self._claims_settled_or_timed_out = False
        self._drain_began_at = 0.0
        self.machine = NodeMachine(node_config(settings, incarnation), self._random, self._clock())
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
        self._build_services(incarnation)
        self._ticker = PeriodicCallback(self._tick, SERVICES_INTERVAL_MS)

    def run(self) -> None:
        """Serve until told to stop; then drain."""
        routes = [*trace_api_routes(self._tracing), *self._service.http_routes()]
        self.process.listen(Application(routes, log_function=_ignore_request))
        self._ticker.start()
        self.process.run(Drain(self._start_draining, self._is_drained, DRAIN_LIMIT_S))
        self._ticker.stop()
        self._service.close()

    def _build_services(self, incarnation: str) -> None:
        settings = self._settings
        zone = ZoneName(settings.zone)
        peers = self.process.peers
        self._tracing = TracingService(
            self._member, self._random, self._clock, wall_now, peers.send, log=log
        )
        self._claims = ClaimService(
            self._member,
            incarnation,
            self._random,
            self._clock,
            peers,
            write_log=lambda number, fields: log(number, **fields),
        )
        self._journal = StreamJournalService(
            self._member,
            incarnation,
            zone,
            self._clock,
            peers,
            write_log=lambda number, fields: log(number, **fields),
        )
        self._service = NodeService(
            settings,
            self._random,
            self._clock,
            peers,
            self._claims,
            self._journal,
            self._tracing.recorder,
            self._is_ready,
            log,
        )
        self._service.on_urgent_demand(self._report_demand)
        register_metrics(self._tracing, self._service.metrics)
        router = self.process.router
        router.add_service("tracing", self._tracing.handle_message)
        router.add_service("claims", self._claims.handle_message)
        router.add_service("streams", self._journal.handle_message)

    def _is_ready(self) -> bool:
        """Whether callers may come: fresh, and able to grant claims or tired of waiting for it."""
        now = self._clock()
        if not self.machine.ready(now):
            return False
        if self._fresh_since is None:
            self._fresh_since = now
        if not self._claims_settled_or_timed_out:
            waited_s = now - self._fresh_since
            self._claims_settled_or_timed_out = (
                self._claims.is_ready or waited_s > CLAIMS_READY_TIMEOUT_S
            )
        return self._claims_settled_or_timed_out

    # --- news from control ----------------------------------------------------------------

    def _after_input(self) -> None:
        """Bring what was delivered into force before the next message leaves.

        The machine confirms a version in the messages it just asked to send; they leave in a
        later turn of the loop, so that nothing is confirmed that is not in force here.
        """
        changes = self.machine.take_changes()
        if INTENT_KEY in changes.keys:
            self._apply_intent()
        if changes.members:
            self._apply_members()
        if REGISTRY_KEY in changes.keys:
            self._apply_registry()
        if DIRECTORY_TOPIC in changes.topics or MOVES_TOPIC in changes.topics:
            self._apply_directory()

    def _apply_intent(self) -> None:
        rows = self.machine.intent()
        try:
            self._service.apply_intent(self._intent.update(rows.version, rows.rows))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))

    def _apply_members(self) -> None:
        members = self.machine.members(self._clock())
        self._tracing.apply_members(members)
        self._claims.apply_members(members)
        self._journal.apply_members(members)
        self._service.apply_members(members)

    def _apply_registry(self) -> None:
        registry = self.machine.value(REGISTRY_KEY)
        self._claims.apply_registry(registry.version, registered_zones(registry.rows))

    def _apply_directory(self) -> None:
        topic = self.machine.topic(DIRECTORY_TOPIC)
        try:
            directory = self._directory.update(topic.epoch, topic.version, topic.rows)
            self._service.apply_directory(self._mark_draining(directory))
        except ZincvaleError as error:
            log(log_events.INTENT_UNREADABLE, problem=str(error))

    def _mark_draining(self, directory: Directory) -> Directory:
        """Mark what the calendar is about to unload, so that nothing new is sent to it."""
        return with_draining(
            directory, self._draining_replicas.update(self.machine.topic(MOVES_TOPIC).rows)
        )

    # --- time -----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock()
        self._service.tick(now)
        self._claims.tick(now)
        self._journal.tick(now)
        self._tracing.tick(now)
        if now >= self._demand_due_at:
            self._demand_due_at = now + DEMAND_INTERVAL_S
            self._report_demand()

    def _report_demand(self) -> None:
        report = self._service.demand_report()
        for member, row in self.machine.members(self._clock()).rows.items():
            if row.role is Role.CORE:
                self.process.peers.send(member, report)

    def _start_draining(self) -> None:
        self._drain_began_at = self._clock()
        self._service.start_draining()
        self._tracing.leave()

    def _is_drained(self) -> bool:
        """Whether callers had time to notice, and nothing is under way or undecided here."""
        noticed = self._clock() - self._drain_began_at >= LAME_DUCK_S
        return noticed and not self._service.active_requests and self._tracing.is_idle


def _ignore_request(handler: Any) -> None:
    """Write no access log: traces record each request."""
