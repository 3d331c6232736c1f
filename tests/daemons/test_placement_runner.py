"""Orders to servers: when they are sent, repeated to confirm completion, or withheld."""

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
from zincvale.daemons.order_durations import CHECK_FRACTION
from zincvale.daemons.placement_runner import (
    CONFIRM_TIMEOUT_S,
    DISK_LOAD_CHECK_FRACTION,
    LOAD_CHECK_FRACTION,
    PlacementRunner,
)
from zincvale.daemons.server_orders import HttpCall, OrderReply, StatusReading

LOAD_S = 0.8
REPORT_AGE_S = 2.0
REPLIES = {
    200: OrderReply.COMPLETED,
    202: OrderReply.ACCEPTED,
    409: OrderRefusal.BUSY,
    412: OrderRefusal.STALE_EPOCH,
    0: OrderReply.UNKNOWN,
}
ORDER = Order("o1", 3, OrderAction.LOAD, ItemKind.MODEL, "m", "", 10, "weights", "10.0.9.1:9100")


class RepeatingOrders:
    confirms_by_repeating = True
    reading: StatusReading | None = None

    def order_call(self, order, row, issuer, sequence):
        return HttpCall(f"/orders/{sequence}", b"")

    def order_reply(self, order, result):
        return REPLIES[result.status]

    def status_call(self, row):
        return HttpCall("/status", b"")

    def read_status(self, row, result):
        return self.reading


class RunnerFixture:
    """A runner whose server returns the listed statuses in turn; sleeping advances the clock."""

    def __init__(self, *statuses: int) -> None:
        self.now = 100.0
        self.statuses = list(statuses)
        self.called: list[tuple[float, str]] = []
        self.inputs: list[object] = []
        self.reachability: list[tuple[str, bool]] = []
        self.is_leading = True
        self.orders = RepeatingOrders()
        self.runner = PlacementRunner(
            SimpleNamespace(handle=self.handle),
            SimpleNamespace(call=self.call),
            SimpleNamespace(guard=SimpleNamespace(may_act=lambda epoch: self.is_leading)),
            lambda: self.now,
            lambda: self.now,
            lambda server: make_row(server),
            SimpleNamespace(),
            self.orders,
            "core-1",
            lambda order: LOAD_S,
            lambda server: None,
            lambda server, reached: self.reachability.append((server, reached)),
        )

    def handle(self, event, now):
        self.inputs.append(event)
        return []

    async def call(self, address, method, path, body, headers, timeout_s):
        self.called.append((round(self.now - 100.0, 3), path))
        status = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        return FetchResult(status)

    async def sleep(self, seconds):
        self.now += seconds

    def send(self, not_after: float = 102.0, order: Order = ORDER) -> RunnerFixture:
        effect = SendOrder("server-1", "10.0.0.1:9000", order, not_after)
        with mock.patch("zincvale.daemons.placement_runner.gen.sleep", self.sleep):
            asyncio.run(self.runner._send_order(effect))
        return self

    def request_status(self, is_busy: bool, sequence: int, age_s: float = 0.0) -> None:
        self.orders.reading = StatusReading(
            make_row("server-1"), frozenset(), age_s, is_busy, sequence
        )
        asyncio.run(self.runner._request_status(RequestStatus("server-1", "10.0.0.1:9000")))


class StatusRequestTest(testtools.TestCase):
    def test_a_status_during_another_leaders_order_is_ignored(self) -> None:
        """Otherwise the server would accept a next order that was planned without that order."""
        fixture = RunnerFixture(200)
        fixture.request_status(is_busy=False, sequence=4)
        fixture.request_status(is_busy=True, sequence=5)
        self.assertEqual(
            1, len([each for each in fixture.inputs if isinstance(each, DirectoryChanged)])
        )
        self.assertEqual(4, fixture.runner._order_counts.count_of("server-1"))

    def test_an_order_from_an_earlier_lease_does_not_count_as_executed_by_a_busy_server(
        self,
    ) -> None:
        fixture = RunnerFixture(200)
        fixture.runner._active_orders["server-1"] = ORDER
        fixture.request_status(is_busy=True, sequence=5)
        self.assertEqual(1, len(fixture.inputs))
        fixture.is_leading = False
        fixture.request_status(is_busy=True, sequence=6)
        self.assertEqual(1, len(fixture.inputs))
        self.assertEqual({}, fixture.runner._active_orders)

    def test_a_status_from_before_an_order_does_not_lower_the_count_of_orders(self) -> None:
        fixture = RunnerFixture(200)
        fixture.request_status(is_busy=False, sequence=7)
        fixture.now += 5.0
        fixture.statuses = [202, 200]
        fixture.send(not_after=200.0)
        fixture.request_status(is_busy=False, sequence=7, age_s=REPORT_AGE_S)
        self.assertEqual(8, fixture.runner._order_counts.count_of("server-1"))
        fixture.now += REPORT_AGE_S
        fixture.request_status(is_busy=False, sequence=9, age_s=REPORT_AGE_S)
        self.assertEqual(9, fixture.runner._order_counts.count_of("server-1"))


class SendOrderTest(testtools.TestCase):
    def test_an_order_is_repeated_shortly_before_its_declared_completion(self) -> None:
        fixture = RunnerFixture(202, 200).send()
        self.assertEqual(
            [0.0, round(LOAD_S * LOAD_CHECK_FRACTION, 3)], [at for at, _ in fixture.called]
        )
        expected = [OrderAccepted("o1"), OrderAccepted("o1", done=True)]
        self.assertEqual(expected, fixture.inputs)

    def test_the_first_check_of_an_adapter_load_follows_the_learned_duration(self) -> None:
        adapter = attrs.evolve(ORDER, item_kind=ItemKind.ADAPTER, name="m/a1")
        fixture = RunnerFixture(202, 409, 409, 200)
        fixture.send(order=adapter)
        first = len(fixture.called)
        for _ in range(3):
            fixture.statuses = [202, 200]
            fixture.send(order=adapter)
        self.assertEqual(4, first)
        self.assertEqual(first + 3 * 2, len(fixture.called))

    def test_loads_from_disk_are_checked_early_and_later_after_the_learned_duration(
        self,
    ) -> None:
        from_disk = attrs.evolve(ORDER, from_disk=True)
        fixture = RunnerFixture(202, 409, 409, 409, 200)
        fixture.send(order=from_disk)
        self.assertEqual(round(LOAD_S * DISK_LOAD_CHECK_FRACTION, 3), fixture.called[1][0])
        took_s = fixture.called[-1][0]
        fixture.called.clear()
        fixture.statuses = [202, 200]
        began_s = fixture.now - 100.0
        fixture.send(order=from_disk)
        self.assertAlmostEqual(took_s * CHECK_FRACTION, fixture.called[1][0] - began_s, 2)

    def test_an_order_is_repeated_while_the_server_is_busy_with_it(self) -> None:
        fixture = RunnerFixture(202, 409, 409, 200).send()
        self.assertEqual(4, len(fixture.called))
        self.assertEqual(OrderAccepted("o1", done=True), fixture.inputs[-1])

    def test_the_outcome_of_an_order_that_never_completes_is_unknown_after_the_timeout(
        self,
    ) -> None:
        fixture = RunnerFixture(202, 409).send()
        self.assertEqual(OrderUnknown("o1"), fixture.inputs[-1])
        self.assertLess(fixture.now - 100.0, CONFIRM_TIMEOUT_S + 1.0)

    def test_no_order_is_repeated_after_the_end_of_the_lease(self) -> None:
        fixture = RunnerFixture(202, 409)
        sleep = fixture.sleep

        async def lose_the_lease(seconds):
            await sleep(seconds)
            fixture.is_leading = False

        fixture.sleep = lose_the_lease
        fixture.send()
        self.assertEqual(1, len(fixture.called))
        self.assertEqual([OrderAccepted("o1")], fixture.inputs)

    def test_an_order_without_a_lease_is_not_sent(self) -> None:
        fixture = RunnerFixture(202)
        fixture.is_leading = False
        fixture.send()
        self.assertEqual([], fixture.called)
        self.assertEqual([OrderRefused("o1", OrderRefusal.WITHHELD)], fixture.inputs)

    def test_an_order_after_its_deadline_is_not_sent(self) -> None:
        fixture = RunnerFixture(202).send(not_after=99.9)
        self.assertEqual([], fixture.called)
        self.assertEqual([OrderRefused("o1", OrderRefusal.WITHHELD)], fixture.inputs)

    def test_without_a_response_the_order_is_unknown_and_the_server_unreachable(self) -> None:
        fixture = RunnerFixture(0).send()
        self.assertEqual([OrderUnknown("o1")], fixture.inputs)
        self.assertEqual([("server-1", False)], fixture.reachability)

    def test_each_accepted_order_raises_the_sequence_of_the_next_one(self) -> None:
        fixture = RunnerFixture(202, 200)
        fixture.runner._order_counts.record_accepted("server-1", 7, 0.0)
        fixture.send()
        fixture.statuses = [412]
        fixture.send(not_after=200.0)
        self.assertEqual(["/orders/7", "/orders/8", "/orders/8"], [p for _, p in fixture.called])
        self.assertEqual(OrderRefused("o1", OrderRefusal.STALE_EPOCH), fixture.inputs[-1])
