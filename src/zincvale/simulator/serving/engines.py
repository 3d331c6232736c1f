"""Simulated model servers: each executes one order at a time and meanwhile serves what it holds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from zincvale.controlplane.placement.events import Order, OrderAction, StatusReport
from zincvale.controlplane.placement.items import ItemKind
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.forwarding import EngineModel
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.resources import PoolKind
from zincvale.simulator.serving.shapes import POOL, PoolShape
from zincvale.simulator.virtual_loop import VirtualLoop

ADAPTER_LOAD_S = 0.015
UNLOAD_S = 0.02
LimitExceeded = Callable[[str], None]


@attrs.frozen
class Work:
    """The order that a server executes, and what to call when it is done."""

    order: Order
    on_done: Callable[[], None]


@attrs.define(eq=False)
class EngineServer:
    """One server.

    Attributes
    ----------
    held : names of the loaded adapters (`MODEL/ADAPTER`), by loaded model.
    on_disk : models that were loaded at any time.
    running : running requests by model, and by adapter as `MODEL/ADAPTER`.
    problems : orders that exceeded the server's memory or adapter slots.
    """

    name: ServerId
    zone: ZoneName
    shape: PoolShape
    models: dict[str, EngineModel]
    loop: VirtualLoop
    held: dict[str, dict[str, None]] = attrs.field(factory=dict)
    on_disk: set[str] = attrs.field(factory=set)
    running: Counter[str] = attrs.field(factory=Counter)
    running_requests: int = 0
    problems: list[str] = attrs.field(factory=list)
    loads: int = 0
    _work: Work | None = None

    def place(self, model: str) -> None:
        """Hold a model from the start."""
        self.held[model] = {}
        self.on_disk.add(model)

    def has_resident(self, model: str, adapter: str) -> bool:
        """Whether the server serves requests for the model, and the adapter if one is named."""
        if model not in self.held or model == self._name_unloading():
            return False
        name = f"{model}/{adapter}"
        return not adapter or (name in self.held[model] and name != self._name_unloading())

    def has_free_slot(self) -> bool:
        """Whether one more request may run."""
        return self.running_requests < self.shape.slots

    def run_request(
        self, model: str, adapter: str, service_s: float, on_end: Callable[[], None]
    ) -> None:
        """Run a request for a resident model and adapter, and call `on_end` when it has ended."""
        names = [model, f"{model}/{adapter}"] if adapter else [model]
        self.running.update(names)
        self.running_requests += 1

        def end() -> None:
            self.running.subtract(names)
            self.running_requests -= 1
            on_end()
            if self._work is not None and self._work.order.action is OrderAction.UNLOAD:
                self._unload_if_idle()

        self.loop.call_later(service_s, end)

    def execute(self, order: Order, on_done: Callable[[], None]) -> bool:
        """Begin to execute an order; return False if the server is busy with another one."""
        if self._work is not None:
            return False
        self._work = Work(order, on_done)
        if order.action is OrderAction.UNLOAD:
            self.loop.call_later(UNLOAD_S, self._unload_if_idle)
            return True
        self._check_room(order)
        self.loop.call_later(self._load_s(order), self._finish)
        return True

    def status(self, now: float) -> StatusReport:
        """Return the server's own status, with the order that it executes."""
        row = self.listed_row()
        if self._work is None:
            return StatusReport(row, now)
        name = frozenset({self._work.order.name})
        if self._work.order.action is OrderAction.LOAD:
            return StatusReport(attrs.evolve(row, loading=name), now)
        return StatusReport(row, now, unloading=name)

    def order_in_progress(self) -> Order | None:
        """Return the order that the server executes, if any."""
        return self._work.order if self._work is not None else None

    def listed_row(self) -> ServerRow:
        """Return the server's row in the list of servers, which does not show orders."""
        return ServerRow(
            server=self.name,
            address=Address(self.name),
            pool=PoolName(POOL),
            zone=self.zone,
            kind=PoolKind.LANGUAGE_MODEL,
            health=ServerHealth.READY,
            incarnation=f"{self.name}-1",
            memory_bytes=self.shape.memory_bytes,
            models=frozenset(map(ModelName, self.held)),
            adapters=frozenset(
                AdapterName(name) for adapters in self.held.values() for name in adapters
            ),
            max_running=self.shape.slots,
        )

    def _name_unloading(self) -> str:
        if self._work is None or self._work.order.action is not OrderAction.UNLOAD:
            return ""
        return self._work.order.name

    def _load_s(self, order: Order) -> float:
        if order.item_kind is ItemKind.ADAPTER:
            return ADAPTER_LOAD_S
        self.loads += 1
        if order.name in self.on_disk:
            return self.shape.disk_load_s
        return self.models[order.name].load_s

    def _check_room(self, order: Order) -> None:
        used = sum(
            self.models[model].weight_bytes + len(adapters) * self.models[model].adapter_bytes
            for model, adapters in self.held.items()
        )
        adapters = sum(map(len, self.held.values()))
        is_adapter = order.item_kind is ItemKind.ADAPTER
        exceeds_memory = used + order.item_bytes > self.shape.memory_bytes
        if exceeds_memory or (is_adapter and adapters >= self.shape.adapter_slots):
            self.problems.append(
                f"{self.name} was ordered beyond its room at {self.loop.time():.2f}: {order.name}"
            )

    def _unload_if_idle(self) -> None:
        """Finish an unload once no request runs on what is unloaded."""
        name = self._name_unloading()
        if name and not self.running[name]:
            self._finish()

    def _finish(self) -> None:
        work = self._work
        if work is None:
            return
        self._work = None
        order, name = work.order, work.order.name
        model = name.partition("/")[0]
        if order.action is OrderAction.LOAD and order.item_kind is ItemKind.ADAPTER:
            self.held[model][name] = None
        elif order.action is OrderAction.LOAD:
            self.place(name)
        elif order.item_kind is ItemKind.ADAPTER:
            self.held.get(model, {}).pop(name, None)
        else:
            self.held.pop(name, None)
        work.on_done()
