"""The control machine that leads placement, in virtual time.

The directory machine and the placement controller are the daemon's own; probes, orders and
publications have modelled delays. One leader acts during the whole run: elections and changes of
the leader are tested by the explorer.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from zincvale.controlplane.directory.events import (
    DirectoryInput,
    DirectoryRoleGained,
    FetchPlatformList,
    PlatformListed,
    ProbeServer,
    Published,
    PublishRows,
    ServerRemoved,
    ServerReported,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.events import IntentChanged as DirectoryIntentChanged
from zincvale.controlplane.directory.machine import DirectoryMachine
from zincvale.controlplane.directory.row_codec import DirectoryDecoder
from zincvale.controlplane.directory.tracked_servers import observed_row
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    CompletionRecorded,
    DirectoryChanged,
    Input,
    IntentChanged,
    LeaderGained,
    OrderAccepted,
    OrderAction,
    OrderRecorded,
    OrderRefusal,
    OrderRefused,
    PublishMoves,
    RequestStatus,
    SendOrder,
    StatusReport,
)
from zincvale.controlplane.placement.move_row_codec import draining_by_server
from zincvale.controlplane.placement.moves import Move, MoveKind
from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.draining_replicas import with_draining
from zincvale.dataplane.messages import DemandReport
from zincvale.model.control_tables import Directory, Intent
from zincvale.model.identifiers import MemberId, MoveId, ServerId, StoreName
from zincvale.model.machine import Tick
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.servers import VirtualServer
from zincvale.simulator.what_if.stores import VirtualStore
from zincvale.simulator.what_if.timings import Timings

EPOCH = 1
LEASE_S = 10.0
"""Length of the placement leader's lease."""
RENEWAL_S = 2.0
"""Interval of its renewals, short enough that the lease never ends."""
LEADER = MemberId("core")

PublishDirectory = Callable[[Directory], None]


class ControlMachine:
    """Directory and placement of the one simulated core.

    Parameters
    ----------
    publish : called with each directory for the nodes, in which draining replicas are marked.
    """

    def __init__(
        self,
        clock: VirtualClock,
        timings: Timings,
        servers: dict[ServerId, VirtualServer],
        stores: dict[StoreName, VirtualStore],
        random: Random,
        publish: PublishDirectory,
    ) -> None:
        self.completion_counts: Counter[str] = Counter()
        self.order_counts: Counter[tuple[ServerId, OrderAction]] = Counter()
        self.first_order_at = math.inf
        self._clock = clock
        self._timings = timings
        self._servers = servers
        self._stores = stores
        self._publish = publish
        self._directory = DirectoryMachine(LEADER, random)
        self._controller = PlacementController(random, PlacementConfig())
        self._rows: dict[str, bytes] = {}
        self._version = 0
        self._renew_at = 0.0
        self._decoder = DirectoryDecoder()
        self._active_unloads: dict[MoveId, Move] = {}
        """Unfinished unloads among the published moves; their replicas are marked as draining."""
        self._order_labels: dict[str, str] = {}

    def start(self) -> None:
        """Take the directory role and start the ticks."""
        self._feed_directory(DirectoryRoleGained(EPOCH, TopicView()))
        self._clock.call_every(self._timings.systems_tick_s, self._tick)

    def apply_intent(self, intent: Intent) -> None:
        """Apply a newer intent to directory and placement."""
        self._feed_directory(DirectoryIntentChanged(intent))
        self._feed_placement(IntentChanged(intent))

    def apply_report(self, report: DemandReport) -> None:
        """Apply a node's demand report to placement."""
        self._feed_placement(to_demand_reported(report))

    def _tick(self) -> None:
        if self._clock.now >= self._renew_at:
            self._renew_at = self._clock.now + RENEWAL_S
            self._feed_placement(LeaderGained(EPOCH, self._clock.now + LEASE_S))
        self._feed_directory(Tick())
        self._feed_placement(Tick())

    # Inputs and effects of the directory.

    def _feed_directory(self, event: DirectoryInput) -> None:
        for effect in self._directory.handle(event, self._clock.now):
            match effect:
                case FetchPlatformList():
                    self._call_later(self._timings.probe_hop_s * 2, self._report_platform_list)
                case ProbeServer():
                    self._probe(effect)
                case PublishRows(message):
                    self._apply_publication(message)
                case ServerReported(row, requested_at, unloading):
                    self._feed_placement(
                        DirectoryChanged((StatusReport(row, requested_at, unloading),))
                    )
                case ServerRemoved(server):
                    self._feed_placement(DirectoryChanged(departed=(server,)))

    def _report_platform_list(self) -> None:
        rows = [server.platform_row for server in self._servers.values()]
        self._feed_directory(PlatformListed(rows))

    def _probe(self, effect: ProbeServer) -> None:
        requested_at = self._clock.now
        hop_s = self._timings.probe_hop_s
        server = self._servers[effect.server]

        def respond() -> None:
            event: DirectoryInput = StatusFailed(effect.server, "refused", True, requested_at)
            if server.is_up:
                event = StatusObserved(effect.server, server.status(), requested_at)
            self._call_later(hop_s, lambda: self._feed_directory(event))

        self._call_later(hop_s, respond)

    def _apply_publication(self, message: PublishTopic) -> None:
        if message.replace:
            self._rows = {}
        self._rows = {**self._rows, **message.puts}
        for row in message.deletes:
            self._rows.pop(row, None)
        self._publish_directory()
        hop_s = self._timings.report_hop_s
        self._call_later(hop_s, lambda: self._feed_directory(Published(True)))

    def _publish_directory(self) -> None:
        """Publish the directory, with the replicas marked that the active unloads drain."""
        self._version += 1
        directory = self._decoder.update(EPOCH, self._version, self._rows)
        self._publish(with_draining(directory, draining_by_server(self._active_unloads.values())))

    # Inputs and effects of placement.

    def _feed_placement(self, event: Input) -> None:
        for effect in self._controller.handle(event, self._clock.now):
            self._execute(effect)

    def _execute(self, effect: Any) -> None:
        match effect:
            case SendOrder():
                self._call_later(self._timings.order_hop_s, lambda: self._deliver_order(effect))
            case RequestStatus(server, _):
                self._request_status(server)
            case PublishMoves():
                self._apply_moves(effect)
            case OrderRecorded():
                label = f"{effect.order.action.value} {effect.order.item_kind.value}"
                self._order_labels[effect.order.order_id] = f"{label}: {effect.reason.value}"
            case CompletionRecorded():
                self._count_completion(effect)

    def _count_completion(self, effect: CompletionRecorded) -> None:
        label = self._order_labels.pop(effect.order_id, "order")
        outcome = "" if effect.outcome == "done" else f" ({effect.outcome})"
        self.completion_counts[label + outcome] += 1

    def _deliver_order(self, effect: SendOrder) -> None:
        order = effect.order
        server = self._servers[effect.server]
        self.order_counts[(effect.server, order.action)] += 1
        self.first_order_at = min(self.first_order_at, self._clock.now)
        response: Input = OrderRefused(order.order_id, OrderRefusal.NOT_CONNECTED)
        if server.is_up:
            refusal = server.order(order, self._stores.get(order.store))
            response = OrderAccepted(order.order_id)
            if refusal is not None:
                response = OrderRefused(order.order_id, refusal)
        self._call_later(self._timings.order_hop_s, lambda: self._feed_placement(response))

    def _request_status(self, name: ServerId) -> None:
        requested_at = self._clock.now
        hop_s = self._timings.order_hop_s
        server = self._servers[name]

        def respond() -> None:
            row = self._directory.rows().get(name)
            if not server.is_up or row is None:
                return
            status = server.status()
            report = StatusReport(
                observed_row(row, server.status()), requested_at, status.unloading
            )
            self._call_later(hop_s, lambda: self._feed_placement(DirectoryChanged((report,))))

        self._call_later(hop_s, respond)

    def _apply_moves(self, effect: PublishMoves) -> None:
        before = draining_by_server(self._active_unloads.values())
        if effect.is_complete:
            self._active_unloads.clear()
        for move in effect.changed:
            if move.kind is MoveKind.UNLOAD and not move.finished:
                self._active_unloads[move.move_id] = move
            else:
                self._active_unloads.pop(move.move_id, None)
        for move_id in effect.removed:
            self._active_unloads.pop(move_id, None)
        if draining_by_server(self._active_unloads.values()) != before:
            self._publish_directory()

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._clock.call_later(delay_s, action)
