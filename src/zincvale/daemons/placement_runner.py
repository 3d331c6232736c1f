"""Runs the placement controller: orders to servers, status requests and published topics.

An order is sent only under the leader lease of its epoch. Where the dialect confirms orders by
repeating, the same order is sent again until the server replies that it is completed (see
docs/design-placement.md).
"""

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
from zincvale.daemons.order_counts import OrderCounts
from zincvale.daemons.order_durations import OrderDurations
from zincvale.daemons.order_spans import OrderSpans
from zincvale.daemons.server_orders import (
    NativeServerOrders,
    OrderReply,
    ServerOrders,
    StatusReading,
)
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.model.control_tables import ServerRow
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import Address, ServerId
from zincvale.model.machine import Log
from zincvale.runtime import log_events
from zincvale.runtime.logs import log

ORDER_TIMEOUT_S = 2.0
"""Timeout of an order. It is below the controller's order lifetime, so that no order arrives after
the controller has given it up."""
STATUS_TIMEOUT_S = 1.0
"""Timeout of a status request; a longer one delays the detection of an unreachable server."""
LOAD_CHECK_FRACTION = 0.97
"""Fraction of a load's declared duration after which the server is first checked for completion."""
DISK_LOAD_CHECK_FRACTION = 0.1
"""Fraction of the declared duration of a load from the server's own disk after which the server is
first checked, until the first such load has completed."""
MIN_CONFIRM_INTERVAL_S = 0.015
"""Interval between the first and the second check; each check sends one more order to the
server."""
MAX_CONFIRM_INTERVAL_S = 0.06
"""Longest interval between two checks; bounds how late completion is noticed."""
CONFIRM_BACKOFF_FACTOR = 1.5
BUSY_CHECK_INTERVAL_S = 1.0
"""Interval between two status requests about a busy server. It is above the lag of a status, so
that a status requested this long after an order shows whether the server executes it."""
CONFIRM_TIMEOUT_S = 30.0
"""Time after which an order is no longer repeated; only a status of the server then shows its
result."""

FindRow = Callable[[ServerId], ServerRow | None]
ExpectedLoadTime = Callable[[Order], float]


def _no_declared_load_time(_order: Order) -> float:
    return 0.0


@attrs.define
class PlacementRunner:
    """Passes inputs to the placement controller and executes its effects.

    Parameters
    ----------
    find_row : returns the directory's row of a server, None if it has none.
    orders : formats of orders and statuses.
    order_issuer : name under which this process gives orders.
    expected_load_s : returns the declared duration of a load, 0 when none is declared.
    on_replicas_changed : called with each server whose replicas or their draining marks may have
        changed.
    on_reachability : called with a server and whether the last request reached it.

    Attributes
    ----------
    epoch : epoch of the newest leader lease, under which moves are published.
    """

    _controller: PlacementController
    _fetcher: HttpFetcher
    _publisher: TopicPublisher
    _clock: Callable[[], float]
    _wall_clock: Callable[[], float]
    _find_row: FindRow
    _spans: OrderSpans
    _orders: ServerOrders = attrs.field(factory=NativeServerOrders)
    _order_issuer: str = ""
    _expected_load_s: ExpectedLoadTime = _no_declared_load_time
    _on_replicas_changed: Callable[[ServerId], None] = lambda _server: None
    _on_reachability: Callable[[ServerId, bool], None] = lambda _server, _reached: None
    epoch: int = 0
    _publications: Queue[PublishTopic] = attrs.field(factory=Queue)
    _order_counts: OrderCounts = attrs.field(factory=OrderCounts)
    _active_orders: dict[ServerId, Order] = attrs.field(factory=dict)
    _durations: OrderDurations = attrs.field(factory=OrderDurations)

    def start(self) -> None:
        """Start the task that publishes messages in order; it runs until the process ends."""
        IOLoop.current().add_callback(self._publish_forever)

    def feed(self, event: Input) -> None:
        """Apply one input and execute its effects."""
        if isinstance(event, DirectoryChanged):
            for server in event.departed:
                self._order_counts.remove(server)
        for effect in self._controller.handle(event, self._clock()):
            self._execute(effect)

    def publish(self, message: PublishTopic) -> None:
        """Queue a message, to be published in order with the published moves."""
        self._publications.put_nowait(message)

    def _execute(self, effect: Any) -> None:
        match effect:
            case SendOrder():
                IOLoop.current().add_callback(self._send_order, effect)
            case RequestStatus():
                IOLoop.current().add_callback(self._request_status, effect)
            case PublishMoves():
                self._publications.put_nowait(self._publication_of_moves(effect))
            case MarkDraining():
                self._on_replicas_changed(effect.server)
            case OrderRecorded():
                self._spans.on_order_sent(effect)
            case CompletionRecorded():
                self._on_replicas_changed(effect.server)
                self._spans.on_order_completed(effect)
            case Log(number, fields):
                log(number, **fields)

    def _publication_of_moves(self, effect: PublishMoves) -> PublishTopic:
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
        row = self._find_row(effect.server)
        if not self._may_send(effect) or row is None:
            log(log_events.ORDER_FENCED, order_id=order.order_id, server=effect.server)
            self.feed(OrderRefused(order.order_id, OrderRefusal.WITHHELD))
            return
        self._active_orders[effect.server] = order
        sequence = self._order_counts.count_of(effect.server)
        reply = await self._post_order(effect, row, sequence)
        if reply is OrderReply.ACCEPTED and sequence is not None:
            sequence += 1
            self._order_counts.record_accepted(effect.server, sequence, self._clock())
        if reply is not OrderReply.ACCEPTED:
            self._clear_active_order(effect.server, order)
        self._feed_reply(order, reply)
        if reply in (OrderRefusal.NOT_CONNECTED, OrderReply.UNKNOWN):
            self._on_reachability(effect.server, False)
        if reply is OrderRefusal.BUSY and self._orders.confirms_by_repeating:
            await self._request_status(RequestStatus(effect.server, effect.address))
        if reply is OrderReply.ACCEPTED and self._orders.confirms_by_repeating:
            await self._confirm_by_repeating(effect, row, sequence)

    async def _post_order(
        self, effect: SendOrder, row: ServerRow, sequence: int | None
    ) -> OrderReply | OrderRefusal:
        call = self._orders.order_call(effect.order, row, self._order_issuer, sequence)
        result = await self._fetcher.call(
            effect.address, "POST", call.path, call.body, call.headers, ORDER_TIMEOUT_S
        )
        return self._orders.order_reply(effect.order, result)

    def _may_send(self, effect: SendOrder) -> bool:
        may_act = self._publisher.guard.may_act(effect.order.epoch)
        return may_act and self._clock() < effect.not_after

    def _feed_reply(self, order: Order, reply: OrderReply | OrderRefusal) -> None:
        match reply:
            case OrderReply.ACCEPTED:
                self.feed(OrderAccepted(order.order_id))
            case OrderReply.COMPLETED:
                self.feed(OrderAccepted(order.order_id, done=True))
            case OrderReply.UNKNOWN:
                self.feed(OrderUnknown(order.order_id))
            case OrderRefusal():
                self.feed(OrderRefused(order.order_id, reply))

    async def _confirm_by_repeating(
        self, effect: SendOrder, row: ServerRow, sequence: int | None
    ) -> None:
        """Repeat an order until the server replies that it is completed; its status would lag.

        The repeats carry the sequence that the server has after the order, so that it refuses one
        that arrives after another leader's orders.
        """
        order = effect.order
        started_at = self._clock()
        await gen.sleep(self._first_check_s(order))
        interval_s = MIN_CONFIRM_INTERVAL_S
        busy_checked_at = started_at
        while self._clock() - started_at < CONFIRM_TIMEOUT_S:
            if not self._publisher.guard.may_act(order.epoch):
                self._clear_active_order(effect.server, order)
                return
            reply = await self._post_order(effect, row, sequence)
            if reply is OrderReply.COMPLETED:
                self._durations.record_completion(order, self._clock() - started_at)
                self._clear_active_order(effect.server, order)
                self._feed_reply(order, reply)
                return
            if reply not in (OrderRefusal.BUSY, OrderReply.ACCEPTED):
                break
            if (
                reply is OrderRefusal.BUSY
                and self._clock() >= busy_checked_at + BUSY_CHECK_INTERVAL_S
            ):
                busy_checked_at = self._clock()
                if await self._is_idle(effect):
                    break
            await gen.sleep(interval_s)
            interval_s = min(MAX_CONFIRM_INTERVAL_S, interval_s * CONFIRM_BACKOFF_FACTOR)
        self._clear_active_order(effect.server, order)
        self.feed(OrderUnknown(order.order_id))

    async def _is_idle(self, effect: SendOrder) -> bool:
        """Whether the server has left or reports that it executes no order.

        It then refuses this order for another reason than being busy with it.
        """
        row = self._find_row(effect.server)
        if row is None:
            return True
        reading = self._read_status(row, await self._fetch_status(effect.address, row))
        return reading is not None and not reading.is_busy

    def _clear_active_order(self, server: ServerId, order: Order) -> None:
        """Record that the server no longer executes `order`; a later order stays recorded."""
        if self._active_orders.get(server) is order:
            del self._active_orders[server]

    def _first_check_s(self, order: Order) -> float:
        learned_s = self._durations.first_check_s(order)
        if order.action is not OrderAction.LOAD or order.item_kind is not ItemKind.MODEL:
            return learned_s
        declared_s = self._expected_load_s(order)
        if order.from_disk and not self._durations.disk_s_per_byte:
            return max(learned_s, declared_s * DISK_LOAD_CHECK_FRACTION)
        if order.from_disk or not declared_s:
            return learned_s
        return declared_s * LOAD_CHECK_FRACTION

    def request_status(self, server: ServerId) -> None:
        """Request a server's status in the next iteration of the event loop."""
        row = self._find_row(server)
        if row is not None:
            IOLoop.current().add_callback(self._request_status, RequestStatus(server, row.address))

    # --- statuses -------------------------------------------------------------------------

    async def _request_status(self, effect: RequestStatus) -> None:
        row = self._find_row(effect.server)
        if row is None:
            return
        requested_at = self._clock()
        result = await self._fetch_status(effect.address, row)
        reading = self._read_status(row, result)
        if not result.status:
            self._on_reachability(effect.server, False)
        if reading is None:
            return
        self._on_reachability(effect.server, True)
        active_order = self._active_order(effect.server)
        if reading.is_busy and active_order is None:
            # The server executes another leader's order, so this status proves nothing. Its
            # sequence must not be recorded either: the server would accept the next order, which
            # was planned without the result of the other leader's order.
            return
        if reading.sequence is not None:
            taken_at = requested_at - reading.age_s
            self._order_counts.record_status(effect.server, reading.sequence, taken_at)
        self.feed(DirectoryChanged((_status_report(reading, active_order, requested_at),)))

    async def _fetch_status(self, address: Address, row: ServerRow) -> FetchResult:
        call = self._orders.status_call(row)
        return await self._fetcher.call(
            address, "GET", call.path, None, call.headers, STATUS_TIMEOUT_S
        )

    def _active_order(self, server: ServerId) -> Order | None:
        """Return the order that the server executes for this process under its current lease.

        An order from an earlier lease is dropped: another leader may have given orders since.
        """
        active_order = self._active_orders.get(server)
        if active_order is None or self._publisher.guard.may_act(active_order.epoch):
            return active_order
        del self._active_orders[server]
        return None

    def _read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        try:
            return self._orders.read_status(row, result)
        except MalformedBodyError:
            return None


def _status_report(
    reading: StatusReading, active_order: Order | None, requested_at: float
) -> StatusReport:
    """Return a status as input of the controller; it counts `active_order` as being executed."""
    row, unloading = reading.row, reading.unloading
    if active_order is not None and active_order.action is OrderAction.LOAD:
        row = attrs.evolve(row, loading=row.loading | {active_order.name})
    elif active_order is not None:
        unloading = unloading | {active_order.name}
    return StatusReport(row, requested_at - reading.age_s, unloading)
