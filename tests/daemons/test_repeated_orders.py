"""Repeats of an order, which learn its completion, at a server that gets other leaders' orders."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from types import SimpleNamespace
from unittest import mock

import testtools

from tests.controlplane.placement.driver import GB, make_row
from tests.daemons.order_servers import SimulatedModel, SimulatedServer
from zincvale.controlplane.placement.events import (
    Order,
    OrderAction,
    OrderUnknown,
    SendOrder,
)
from zincvale.controlplane.placement.items import ItemKind
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.placement_runner import BUSY_CHECK_INTERVAL_S, PlacementRunner
from zincvale.daemons.server_orders import HttpCall
from zincvale.platform.servers import PlatformOrders

LOAD_S = 4.0
FREEZE_S = 20.0
CATALOG = {name: SimulatedModel(70 * GB, LOAD_S, 0) for name in ("a", "b", "c", "d")}


class OrderedServerFixture:
    """A server with memory for three models, and a leader's runner that orders a load there."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls = 0
        self.freeze_s = FREEZE_S
        self.inputs: list[object] = []
        self.problems: list[str] = []
        self.server = SimulatedServer(
            1,
            "10.0.0.1:9000",
            "z",
            220 * GB,
            0,
            CATALOG,
            self.clock,
            random.Random(1),
            self.problems,
        )
        self.server.start(["a", "b"])
        self.row = make_row("server-1", incarnation=self.server.instance)
        self.runner = PlacementRunner(
            SimpleNamespace(handle=self.handle),
            SimpleNamespace(call=self.call),
            SimpleNamespace(guard=SimpleNamespace(may_act=lambda epoch: self.now < LOAD_S)),
            self.clock,
            self.clock,
            lambda server: self.row,
            SimpleNamespace(),
            PlatformOrders(),
            "core-1",
        )
        self.runner._order_counts.record_accepted("server-1", 0, 0.0)

    def handle(self, event: object, _now: float) -> list[object]:
        self.inputs.append(event)
        return []

    def clock(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> FetchResult:
        """Deliver a call; the first repeat is delayed by a freeze and another leader's orders."""
        self.calls += 1
        if self.calls == 2:
            self.now += self.freeze_s
            await self.order_by_another_leader()
        return self.server.respond(HttpCall(path, b"", dict(headers)), body)

    async def order_by_another_leader(self) -> None:
        orders = PlatformOrders()
        for action, name in ((OrderAction.UNLOAD, "c"), (OrderAction.LOAD, "d")):
            call = orders.order_call(make_order(action, name, epoch=4), self.row, "core-2", None)
            self.server.respond(call, call.body)
            self.now += 2 * LOAD_S

    def send(self, sent: Order) -> None:
        effect = SendOrder("server-1", "10.0.0.1:9000", sent, self.now + 1.0)
        with mock.patch("zincvale.daemons.placement_runner.gen.sleep", self.sleep):
            asyncio.run(self.runner._send_order(effect))


def make_order(action: OrderAction, name: str, epoch: int) -> Order:
    return Order("o1", epoch, action, ItemKind.MODEL, name, "", 70 * GB, "weights", "")


class RepeatedOrderTest(testtools.TestCase):
    def test_an_order_lost_in_a_server_restart_is_soon_reported_as_unknown(self) -> None:
        fixture = OrderedServerFixture()

        async def restart_as_the_same_instance() -> None:
            fixture.server.restart_empty()

        fixture.order_by_another_leader = restart_as_the_same_instance
        fixture.freeze_s = 0.0
        fixture.send(make_order(OrderAction.LOAD, "c", epoch=3))
        self.assertEqual(OrderUnknown("o1"), fixture.inputs[-1])
        self.assertLess(fixture.now, 2.0 * BUSY_CHECK_INTERVAL_S)

    def test_a_late_repeat_of_a_load_does_not_exceed_the_servers_memory(self) -> None:
        fixture = OrderedServerFixture()
        fixture.send(make_order(OrderAction.LOAD, "c", epoch=3))
        self.assertEqual([], fixture.problems)
        self.assertEqual({"a", "b", "d"}, set(fixture.server.held))
