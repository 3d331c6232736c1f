"""Runs the placement controller: orders to servers, status questions, the published topics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from tornado import gen
from tornado.ioloop import IOLoop
from tornado.queues import Queue

from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.draining_row_codec import MOVES_TOPIC
from zincvale.controlplane.placement.events import (
    CompletionRecorded,
    DirectoryChanged,
    Input,
    MarkDraining,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRecorded,
    OrderRefusal,
    OrderRefused,
    OrderUnknown,
    PublishMoves,
    RequestStatus,
    SendOrder,
    StatusReport,
)
from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.move_row_codec import topic_rows
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.http_fetch import FetchResult, HttpFetcher
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.order_times import OrderTimes
from zincvale.daemons.server_orders import (
    NativeServerOrders,
    OrderReply,
    ServerOrders,
    StatusReading,
)
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import ServerId
from zincvale.model.machine import Log
from zincvale.model.view import ServerRow
from zincvale.runtime import log_events
from zincvale.runtime.logs import log

ORDER_TIMEOUT_S = 2.0
"""Below the controller's order lifetime, so that no order arrives after it was given up."""
STATUS_TIMEOUT_S = 1.0
FIRST_LOOK_PART = 0.97
"""Part of a load's expected time after which the server is asked whether it is done."""
FIRST_DISK_LOOK_PART = 0.1
"""As above for weights on the server's own disk, until one such load was seen to end."""
FIRST_STEP_S = 0.015
LONGEST_STEP_S = 0.06
CONFIRM_LIMIT_S = 30.0

RowOf = Callable[[ServerId], ServerRow | None]
ExpectedLoad = Callable[[Order], float]


def _no_expectation(order: Order) -> float:
    return 0.0


@attrs.define
class PlacementRunner:
    """Feeds the placement controller and carries out its effects.

    Parameters
    ----------
    row_of : the directory's row of a server.
    orders : how servers take orders.
    holder : the name under which this process gives orders.
    expected_load_s : how long a load of a model should take.
    on_touched : called with each server whose holdings, or their closing marks, may have changed.
    on_reached : called with a server and whether it could be reached just now.
    """

    _controller: PlacementController
    _fetcher: HttpFetcher
    _publisher: TopicPublisher
    _clock: Callable[[], float]
    _wall_clock: Callable[[], float]
    _row_of: RowOf
    _spans: OrderSpans
    _orders: ServerOrders = attrs.field(factory=NativeServerOrders)
    _holder: str = ""
    _expected_load_s: ExpectedLoad = _no_expectation
    _on_touched: Callable[[ServerId], None] = lambda server: None
    _on_reached: Callable[[ServerId, bool], None] = lambda server, reached: None
    epoch: int = 0
    _publications: Queue[PublishTopic] = attrs.field(factory=Queue)
    _sequences: dict[ServerId, int] = attrs.field(factory=dict)
    _carried_out: dict[ServerId, Order] = attrs.field(factory=dict)
    _times: OrderTimes = attrs.field(factory=OrderTimes)

    def start(self) -> None:
        """Start the loop that publishes moves in order."""
        IOLoop.current().add_callback(self._publish_forever)

    def feed(self, event: Input) -> None:
        """Apply one input and carry out its effects."""
        for effect in self._controller.handle(event, self._clock()):
            self._carry_out(effect)

    def publish(self, message: PublishTopic) -> None:
        """Publish in order with the moves."""
        self._publications.put_nowait(message)

    def _carry_out(self, effect: Any) -> None:
        match effect:
            case SendOrder():
                IOLoop.current().add_callback(self._send_order, effect)
            case RequestStatus():
                IOLoop.current().add_callback(self._ask_status, effect)
            case PublishMoves():
                self._publications.put_nowait(self._publication(effect))
            case MarkDraining():
                self._on_touched(effect.server)
            case OrderRecorded():
                self._spans.order_sent(effect)
            case CompletionRecorded():
                self._on_touched(effect.server)
                self._spans.order_completed(effect)
            case Log(number, fields):
                log(number, **fields)

    def _publication(self, effect: PublishMoves) -> PublishTopic:
        rows = topic_rows(effect, self._wall_clock() - self._clock())
        puts = {row: content for row, content in rows.items() if content is not None}
        deletes = [row for row, content in rows.items() if content is None]
        return PublishTopic(MOVES_TOPIC, self.epoch, puts, deletes, replace=effect.is_complete)

    async def _publish_forever(self) -> None:
        async for message in self._publications:
            await self._publisher.publish(message)

    # --- orders ---------------------------------------------------------------------------

    async def _send_order(self, effect: SendOrder) -> None:
        order = effect.order
        row = self._row_of(effect.server)
        if not self._may_send(effect) or row is None:
            log(log_events.ORDER_FENCED, order_id=order.order_id, server=effect.server)
            self.feed(OrderRefused(order.order_id, OrderRefusal.WITHHELD))
            return
        self._carried_out[effect.server] = order
        reply = await self._give(effect, row, self._sequences.get(effect.server))
        if reply is OrderReply.TAKEN and effect.server in self._sequences:
            self._sequences[effect.server] += 1
        if reply is not OrderReply.TAKEN:
            self._forget(effect.server, order)
        self._feed_reply(order, reply)
        if reply in (OrderRefusal.NOT_CONNECTED, OrderReply.UNKNOWN):
            self._on_reached(effect.server, False)
        if reply is OrderRefusal.BUSY and self._orders.confirms_by_repeating:
            await self._ask_status(RequestStatus(effect.server, effect.address))
        if reply is OrderReply.TAKEN and self._orders.confirms_by_repeating:
            await self._confirm(effect, row)

    async def _give(
        self, effect: SendOrder, row: ServerRow, sequence: int | None
    ) -> OrderReply | OrderRefusal:
        call = self._orders.order_call(effect.order, row, self._holder, sequence)
        result = await self._fetcher.call(
            effect.address, "POST", call.path, call.body, call.headers, ORDER_TIMEOUT_S
        )
        return self._orders.order_reply(effect.order, result)

    def _may_send(self, effect: SendOrder) -> bool:
        may_act = self._publisher.guard.may_act(effect.order.epoch)
        return may_act and self._clock() < effect.not_after

    def _feed_reply(self, order: Order, reply: OrderReply | OrderRefusal) -> None:
        match reply:
            case OrderReply.TAKEN:
                self.feed(OrderAccepted(order.order_id))
            case OrderReply.DONE:
                self.feed(OrderAccepted(order.order_id, done=True))
            case OrderReply.UNKNOWN:
                self.feed(OrderUnknown(order.order_id))
            case OrderRefusal():
                self.feed(OrderRefused(order.order_id, reply))

    async def _confirm(self, effect: SendOrder, row: ServerRow) -> None:
        """Send an order again until the server says that it holds: its own reports lag."""
        order = effect.order
        began_at = self._clock()
        await gen.sleep(self._first_look_s(order))
        step_s = FIRST_STEP_S
        while self._clock() - began_at < CONFIRM_LIMIT_S:
            if not self._publisher.guard.may_act(order.epoch):
                self._forget(effect.server, order)
                return
            reply = await self._give(effect, row, None)
            if reply is OrderReply.DONE:
                self._times.note_done(order, self._clock() - began_at)
                self._forget(effect.server, order)
                self._feed_reply(order, reply)
                return
            if reply not in (OrderRefusal.BUSY, OrderReply.TAKEN):
                break
            await gen.sleep(step_s)
            step_s = min(LONGEST_STEP_S, step_s * 1.5)
        self._forget(effect.server, order)
        self.feed(OrderUnknown(order.order_id))

    def _forget(self, server: ServerId, order: Order) -> None:
        """The order is not under way, as far as this process knows; a later one may be."""
        if self._carried_out.get(server) is order:
            del self._carried_out[server]

    def _first_look_s(self, order: Order) -> float:
        learned_s = self._times.first_look_s(order)
        if order.action is not OrderAction.LOAD or order.item_kind is not ItemKind.MODEL:
            return learned_s
        declared_s = self._expected_load_s(order)
        if order.from_disk and not self._times.disk_s_per_byte:
            return max(learned_s, declared_s * FIRST_DISK_LOOK_PART)
        if order.from_disk or not declared_s:
            return learned_s
        return declared_s * FIRST_LOOK_PART

    def ask(self, server: ServerId) -> None:
        """Ask a server for its status now."""
        row = self._row_of(server)
        if row is not None:
            IOLoop.current().add_callback(self._ask_status, RequestStatus(server, row.address))

    # --- statuses -------------------------------------------------------------------------

    async def _ask_status(self, effect: RequestStatus) -> None:
        row = self._row_of(effect.server)
        if row is None:
            return
        asked_at = self._clock()
        call = self._orders.status_call(row)
        result = await self._fetcher.call(
            effect.address, "GET", call.path, None, call.headers, STATUS_TIMEOUT_S
        )
        reading = self._read(row, result)
        if not result.status:
            self._on_reached(effect.server, False)
        if reading is None:
            return
        self._on_reached(effect.server, True)
        own = self._order_under_way(effect.server)
        if reading.is_busy and own is None:
            # Somebody else's order is under way: nothing can be told from this status. Its count of
            # orders must not be taken either: the next order would pass as if its end were known.
            return
        if reading.sequence is not None:
            self._sequences[effect.server] = reading.sequence
        self.feed(DirectoryChanged((_report(reading, own, asked_at),)))

    def _order_under_way(self, server: ServerId) -> Order | None:
        """Return the order that this process gave the server under the lease it still holds.

        One from an earlier lease says nothing any more: another leader may have ordered since.
        """
        own = self._carried_out.get(server)
        if own is None or self._publisher.guard.may_act(own.epoch):
            return own
        del self._carried_out[server]
        return None

    def _read(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        try:
            return self._orders.read_status(row, result)
        except MalformedBodyError:
            return None


def _report(reading: StatusReading, own: Order | None, asked_at: float) -> StatusReport:
    """Return the reading as the controller's input; what is ordered counts as on its way."""
    row, unloading = reading.row, reading.unloading
    if own is not None and own.action is OrderAction.LOAD:
        row = attrs.evolve(row, loading=row.loading | {own.name})
    elif own is not None:
        unloading = unloading | {own.name}
    return StatusReport(row, asked_at - reading.age_s, unloading)
