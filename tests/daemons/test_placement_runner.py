"""Orders to servers: what leaves, what is sent again to learn its end, and what is withheld."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest import mock

import attrs
import testtools

from tests.controlplane.placement.driver import make_row
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRefusal,
    OrderRefused,
    OrderUnknown,
    RequestStatus,
    SendOrder,
)
from zincvale.controlplane.placement.items import ItemKind
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.order_times import LOOK_PART
from zincvale.daemons.placement_runner import (
    CONFIRM_LIMIT_S,
    FIRST_DISK_LOOK_PART,
    FIRST_LOOK_PART,
    PlacementRunner,
)
from zincvale.daemons.server_orders import HttpCall, OrderReply, StatusReading

LOAD_S = 0.8
REPLIES = {
    200: OrderReply.DONE,
    202: OrderReply.TAKEN,
    409: OrderRefusal.BUSY,
    412: OrderRefusal.STALE_EPOCH,
    0: OrderReply.UNKNOWN,
}
ORDER = Order("o1", 3, OrderAction.LOAD, ItemKind.MODEL, "m", "", 10, "weights", "10.0.9.1:9100")


class RepeatingOrders:
    confirms_by_repeating = True
    reading: StatusReading | None = None

    def order_call(self, order, row, holder, sequence):
        return HttpCall(f"/orders/{sequence}", b"")

    def order_reply(self, order, result):
        return REPLIES[result.status]

    def status_call(self, row):
        return HttpCall("/status", b"")

    def read_status(self, row, result):
        return self.reading


class PlacementState:
    """A runner whose server gives the listed answers in turn; sleeping moves the clock."""

    def __init__(self, *statuses: int) -> None:
        self.now = 100.0
        self.statuses = list(statuses)
        self.called: list[tuple[float, str]] = []
        self.fed: list[object] = []
        self.reached: list[tuple[str, bool]] = []
        self.leads = True
        self.orders = RepeatingOrders()
        self.runner = PlacementRunner(
            SimpleNamespace(handle=self.handle),
            SimpleNamespace(call=self.call),
            SimpleNamespace(guard=SimpleNamespace(may_act=lambda epoch: self.leads)),
            lambda: self.now,
            lambda: self.now,
            lambda server: make_row(server),
            SimpleNamespace(),
            self.orders,
            "core-1",
            lambda order: LOAD_S,
            lambda server: None,
            lambda server, reached: self.reached.append((server, reached)),
        )

    def handle(self, event, now):
        self.fed.append(event)
        return []

    async def call(self, address, method, path, body, headers, timeout_s):
        self.called.append((round(self.now - 100.0, 3), path))
        status = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        return FetchResult(status)

    async def sleep(self, seconds):
        self.now += seconds

    def send(self, not_after: float = 102.0, order: Order = ORDER) -> PlacementState:
        effect = SendOrder("server-1", "10.0.0.1:9000", order, not_after)
        with mock.patch("zincvale.daemons.placement_runner.gen.sleep", self.sleep):
            asyncio.run(self.runner._send_order(effect))
        return self

    def ask(self, is_busy: bool, sequence: int) -> None:
        self.orders.reading = StatusReading(
            make_row("server-1"), frozenset(), 0.0, is_busy, sequence
        )
        asyncio.run(self.runner._ask_status(RequestStatus("server-1", "10.0.0.1:9000")))


class StatusTest(testtools.TestCase):
    def test_while_anothers_order_is_under_way_nothing_is_learned(self) -> None:
        """Else the next order would pass by its count, planned on what was there before."""
        world = PlacementState(200)
        world.ask(is_busy=False, sequence=4)
        world.ask(is_busy=True, sequence=5)
        self.assertEqual(1, len([each for each in world.fed if isinstance(each, DirectoryChanged)]))
        self.assertEqual(4, world.runner._sequences["server-1"])

    def test_an_order_of_an_earlier_lease_does_not_explain_a_busy_server(self) -> None:
        world = PlacementState(200)
        world.runner._carried_out["server-1"] = ORDER
        world.ask(is_busy=True, sequence=5)
        self.assertEqual(1, len(world.fed))
        world.leads = False
        world.ask(is_busy=True, sequence=6)
        self.assertEqual(1, len(world.fed))
        self.assertEqual({}, world.runner._carried_out)


class OrderTest(testtools.TestCase):
    def test_an_order_is_sent_again_about_when_it_should_be_done(self) -> None:
        world = PlacementState(202, 200).send()
        self.assertEqual([0.0, round(LOAD_S * FIRST_LOOK_PART, 3)], [at for at, _ in world.called])
        expected = [OrderAccepted("o1"), OrderAccepted("o1", done=True)]
        self.assertEqual(expected, world.fed)

    def test_short_orders_are_asked_about_when_the_last_ones_ended(self) -> None:
        adapter = attrs.evolve(ORDER, item_kind=ItemKind.ADAPTER, name="m/a1")
        world = PlacementState(202, 409, 409, 200)
        world.send(order=adapter)
        first = len(world.called)
        for _ in range(3):
            world.statuses = [202, 200]
            world.send(order=adapter)
        self.assertEqual(4, first)
        self.assertEqual(first + 3 * 2, len(world.called))

    def test_weights_on_the_servers_own_disk_are_asked_about_early_and_then_as_learned(
        self,
    ) -> None:
        from_disk = attrs.evolve(ORDER, from_disk=True)
        world = PlacementState(202, 409, 409, 409, 200)
        world.send(order=from_disk)
        self.assertEqual(round(LOAD_S * FIRST_DISK_LOOK_PART, 3), world.called[1][0])
        took_s = world.called[-1][0]
        world.called.clear()
        world.statuses = [202, 200]
        began_s = world.now - 100.0
        world.send(order=from_disk)
        self.assertAlmostEqual(took_s * LOOK_PART, world.called[1][0] - began_s, 2)

    def test_it_is_sent_again_while_the_server_is_busy_with_it(self) -> None:
        world = PlacementState(202, 409, 409, 200).send()
        self.assertEqual(4, len(world.called))
        self.assertEqual(OrderAccepted("o1", done=True), world.fed[-1])

    def test_what_never_ends_is_unknown_in_the_end(self) -> None:
        world = PlacementState(202, 409).send()
        self.assertEqual(OrderUnknown("o1"), world.fed[-1])
        self.assertLess(world.now - 100.0, CONFIRM_LIMIT_S + 1.0)

    def test_nothing_is_sent_again_once_the_lease_ended(self) -> None:
        world = PlacementState(202, 409)
        sleep = world.sleep

        async def lose_the_lease(seconds):
            await sleep(seconds)
            world.leads = False

        world.sleep = lose_the_lease
        world.send()
        self.assertEqual(1, len(world.called))
        self.assertEqual([OrderAccepted("o1")], world.fed)

    def test_an_order_without_a_lease_does_not_leave(self) -> None:
        world = PlacementState(202)
        world.leads = False
        world.send()
        self.assertEqual([], world.called)
        self.assertEqual([OrderRefused("o1", OrderRefusal.WITHHELD)], world.fed)

    def test_an_order_that_is_late_does_not_leave(self) -> None:
        world = PlacementState(202).send(not_after=99.9)
        self.assertEqual([], world.called)
        self.assertEqual([OrderRefused("o1", OrderRefusal.WITHHELD)], world.fed)

    def test_an_order_without_an_answer_is_unknown_and_the_server_not_reached(self) -> None:
        world = PlacementState(0).send()
        self.assertEqual([OrderUnknown("o1")], world.fed)
        self.assertEqual([("server-1", False)], world.reached)

    def test_each_order_taken_raises_the_count_that_the_next_one_names(self) -> None:
        world = PlacementState(202, 200)
        world.runner._sequences["server-1"] = 7
        world.send()
        world.statuses = [412]
        world.send(not_after=200.0)
        self.assertEqual(["/orders/7", "/orders/None", "/orders/8"], [p for _, p in world.called])
        self.assertEqual(OrderRefused("o1", OrderRefusal.STALE_EPOCH), world.fed[-1])
