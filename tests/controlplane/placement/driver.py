"""Test driver of a placement controller: builds intents and rows, feeds inputs in virtual time."""

from __future__ import annotations

import random

import attrs

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DemandReported,
    DemandRow,
    DirectoryChanged,
    Effect,
    Input,
    IntentChanged,
    LeaderGained,
    OrderAccepted,
    OrderAction,
    SendOrder,
    StatusReport,
    UseRow,
)
from zincvale.model.control_tables import Intent, ServerHealth, ServerRow
from zincvale.model.machine import Tick
from zincvale.model.resources import (
    AdapterSpec,
    ModelSpec,
    PoolKind,
    PoolSpec,
    StoreSpec,
)

GB = 1_000_000_000
STORE_ADDRESS = "10.0.9.1:9100"


def make_intent(models=None, adapters=None, stores=None, **tables) -> Intent:
    return Intent(
        version=1,
        pools={"chat": PoolSpec(max_concurrent_per_server=16)},
        stores=stores or {"weights": StoreSpec(STORE_ADDRESS, 10 * GB, 4)},
        models={
            name: spec if isinstance(spec, ModelSpec) else ModelSpec(spec * GB, "weights", "chat")
            for name, spec in (models or {}).items()
        },
        adapters={
            name: AdapterSpec(base, GB // 10, "weights") for name, base in (adapters or {}).items()
        },
        **tables,
    )


def make_row(server: str, zone: str = "zone-a", **fields) -> ServerRow:
    row = ServerRow(
        server=server,
        address=f"10.0.0.{server.rpartition('-')[2]}:9000",
        pool="chat",
        zone=zone,
        kind=PoolKind.LANGUAGE_MODEL,
        health=ServerHealth.READY,
        incarnation="i1",
        memory_bytes=40 * GB,
        max_running=16,
    )
    return attrs.evolve(row, **fields)


@attrs.define
class Driver:
    """Drives a controller in virtual time; servers report only what a test makes them report.

    Attributes
    ----------
    rows : the row that each server reports next.
    seen : all effects of the controller, in order.
    """

    intent: Intent
    rows: dict[str, ServerRow]
    config: PlacementConfig = attrs.field(factory=PlacementConfig)
    now: float = 100.0
    controller: PlacementController = attrs.field(init=False)
    seen: list[Effect] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.controller = PlacementController(random.Random(1), self.config)
        self.feed(IntentChanged(self.intent))

    def feed(self, event: Input) -> list[Effect]:
        effects = self.controller.handle(event, self.now)
        self.seen.extend(effects)
        return effects

    def tick(self, seconds: float = 0.1, renew: bool = True) -> list[Effect]:
        """Let time pass, with ticks and renewals of a held lease; return every effect."""
        effects: list[Effect] = []
        for _ in range(max(round(seconds / 0.1), 1)):
            self.now = round(self.now + 0.1, 3)
            if renew and self.controller.state.leadership.is_leader:
                effects += self.feed(
                    LeaderGained(self.controller.state.leadership.epoch, self.now + 2.0)
                )
            effects += self.feed(Tick())
        return effects

    def report(self, *servers: str, requested_at: float | None = None, **fields) -> list[Effect]:
        """Report the rows of the named servers, or of all, after changing the given fields."""
        reports = []
        for name in servers or tuple(self.rows):
            self.rows[name] = attrs.evolve(self.rows[name], **fields)
            at = self.now if requested_at is None else requested_at
            reports.append(StatusReport(self.rows[name], at))
        return self.feed(DirectoryChanged(tuple(reports)))

    def lead(self, epoch: int = 1) -> list[Effect]:
        """Gain leadership and report all servers until they are confirmed; return every effect."""
        effects = self.feed(LeaderGained(epoch, self.now + 2.0))
        for _ in range(5):
            effects += self.report()
            effects += self.tick(1.0)
        return effects

    def demand(self, *rows: tuple, use: tuple = (), node: str = "node-1") -> list[Effect]:
        """Report demand of a node.

        Parameters
        ----------
        rows : (model, adapter, requests, waiting).
        use : (server, model, running).
        """
        return self.feed(
            DemandReported(
                node,
                tuple(DemandRow(row[0], row[1], row[2], 0, row[3]) for row in rows),
                tuple(UseRow(server, model, None, running) for server, model, running in use),
            )
        )

    def accept(self, orders: list[SendOrder]) -> None:
        for order in orders:
            self.feed(OrderAccepted(order.order.order_id))

    def complete(self, orders: list[SendOrder]) -> None:
        """Accept orders and have the servers report them as carried out."""
        self.accept(orders)
        self.now = round(self.now + 0.5, 3)
        for effect in orders:
            order = effect.order
            field = "models" if order.item_kind.value == "model" else "adapters"
            names = getattr(self.rows[effect.server], field)
            if order.action is OrderAction.LOAD:
                names = names | {order.name}
            else:
                names = names - {order.name}
            self.report(effect.server, **{field: names})


def orders_in(effects: list[Effect]) -> list[SendOrder]:
    return [effect for effect in effects if isinstance(effect, SendOrder)]


def loads_in(effects: list[Effect]) -> list[tuple[str, str]]:
    return [
        (effect.server, effect.order.name)
        for effect in orders_in(effects)
        if effect.order.action is OrderAction.LOAD
    ]


def unloads_in(effects: list[Effect]) -> list[tuple[str, str]]:
    return [
        (effect.server, effect.order.name)
        for effect in orders_in(effects)
        if effect.order.action is OrderAction.UNLOAD
    ]
