"""Simulated cores: real placement controllers, of which one leads under a lease."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import orjson

from zincvale.controlplane.documents.derived_intent import IntentDeriver, StoreConfig
from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    Effect,
    Input,
    IntentChanged,
    LeaderGained,
    LeaderLost,
    MarkDraining,
    OrderAccepted,
    OrderRefusal,
    OrderRefused,
    RequestStatus,
    SendOrder,
    StatusReport,
)
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.demand_translation import to_demand_reported
from zincvale.daemons.forwarding_placement import placement_config
from zincvale.daemons.residency_publisher import ResidencyPublisher
from zincvale.dataplane.messages import DemandReport
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import ServerId
from zincvale.model.machine import Log, Tick
from zincvale.simulator.serving.engines import EngineServer
from zincvale.simulator.serving.outcome import DayOutcome
from zincvale.simulator.virtual_loop import VirtualLoop

TICK_S = 0.05
LEASE_S = 2.0
"""How far ahead a leader's lease reaches at each renewal."""
ORDER_QUIET_S = 3.0
"""Time for which a new leader gives no orders."""
MESSAGE_S = 0.002
"""Time that an order, a status or a report takes on its way."""
CONFIRMATION_S = 0.02
"""Time after the end of an order until the leader learns of it."""
PUBLICATION_S = 0.1
"""Time until the nodes have a publication of the leader."""
LIST_INTERVAL_S = 0.8
"""Interval at which the cores read the list of servers."""


class ServingCore:
    """One core; only the leader sends orders and publishes residency.

    Parameters
    ----------
    publish : applies the published names of one server at the nodes.
    """

    def __init__(
        self,
        seed: int,
        loop: VirtualLoop,
        engines: Mapping[ServerId, EngineServer],
        document: ForwardingDocument,
        outcome: DayOutcome,
        publish: Callable[[ServerId, frozenset[str]], None],
    ) -> None:
        self.epoch = 0
        self._is_stopped = False
        self.controller = PlacementController(random.Random(seed), placement_config(ORDER_QUIET_S))
        self._loop = loop
        self._engines = engines
        self._outcome = outcome
        self._publish_at_nodes = publish
        self._residency = ResidencyPublisher(
            lambda: self.controller.state.servers, self._publish_topic
        )
        self._intent = IntentDeriver(StoreConfig())
        self.apply_document(document)

    def apply_document(self, document: ForwardingDocument) -> None:
        """Apply a newer document."""
        self.feed(IntentChanged(self._intent.update(document)))

    def start(self, offset_s: float) -> None:
        """Begin to tick and to read the list of servers."""
        self._loop.call_later(offset_s, self._tick)
        self._loop.call_later(offset_s, self._read_list)

    def lead(self, epoch: int) -> None:
        """Become the leader."""
        self.epoch = epoch
        self._residency.restart()
        self._renew()

    def stop_leading(self) -> None:
        """Lose the leader lease."""
        self.epoch = 0
        self.feed(LeaderLost())

    def on_demand(self, report: DemandReport) -> None:
        """Take a node's report."""
        self.feed(to_demand_reported(report))

    def feed(self, event: Input) -> None:
        """Apply an input and carry out its effects."""
        for effect in self.controller.handle(event, self._loop.time()):
            self._carry_out(effect)

    def _renew(self) -> None:
        self.feed(LeaderGained(self.epoch, self._loop.time() + LEASE_S))

    def stop(self) -> None:
        """End the process."""
        self._is_stopped = True

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._loop.call_later(TICK_S, self._tick)
        if self.epoch:
            self._renew()
        self.feed(Tick())
        if self.epoch:
            self._residency.publish_changes(self.epoch)

    def _read_list(self) -> None:
        """Take the list of servers, except for those that this leader has confirmed."""
        if self._is_stopped:
            return
        self._loop.call_later(LIST_INTERVAL_S, self._read_list)
        now = self._loop.time()
        known = self.controller.state.servers
        reports = tuple(
            StatusReport(engine.listed_row(), now - LIST_INTERVAL_S, is_from_server=False)
            for name, engine in self._engines.items()
            if not self.epoch or name not in known or known[name].confirmed_epoch != self.epoch
        )
        self.feed(DirectoryChanged(reports))

    # --- effects --------------------------------------------------------------------------

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendOrder():
                self._outcome.orders += 1
                self._residency.mark_changed((effect.server,))
                self._loop.call_later(MESSAGE_S, self._deliver, effect, self.epoch)
            case RequestStatus(server, _):
                self._loop.call_later(MESSAGE_S, self._report_status, server)
            case MarkDraining(server, _):
                self._residency.mark_changed((server,))
            case Log(log_events.UNSERVED, fields):
                lines = self._outcome.unserved_lines.setdefault(str(fields["name"]), [])
                lines.append(f"{self._loop.time():.1f}: {fields['decision']}")

    def _deliver(self, effect: SendOrder, epoch: int) -> None:
        order_id = effect.order.order_id

        def done() -> None:
            self._loop.call_later(
                CONFIRMATION_S, self._respond, OrderAccepted(order_id, done=True), effect, epoch
            )

        is_accepted = self._engines[effect.server].execute(effect.order, done)
        response: Input = OrderAccepted(order_id)
        if not is_accepted:
            response = OrderRefused(order_id, OrderRefusal.BUSY)
        self._loop.call_later(MESSAGE_S, self._respond, response, effect, epoch)

    def _respond(self, response: Input, effect: SendOrder, epoch: int) -> None:
        """Take a response, unless the order was given under an earlier lease."""
        if epoch != self.epoch:
            return
        self.feed(response)
        self._residency.mark_changed((effect.server,))

    def _report_status(self, server: ServerId) -> None:
        order = self._engines[server].order_in_progress()
        if order is not None and order.epoch != self.epoch:
            # The server executes another leader's order, so its status proves nothing.
            return
        status = self._engines[server].status(self._loop.time())
        self.feed(DirectoryChanged((status,)))
        self._residency.mark_changed((server,))

    def _publish_topic(self, topic: PublishTopic) -> None:
        for server, content in sorted(topic.puts.items()):
            row = orjson.loads(content)
            names = frozenset((*row["models"], *row["adapters"]))
            self._loop.call_later(PUBLICATION_S, self._publish_at_nodes, ServerId(server), names)
