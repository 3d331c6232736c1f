"""Runs the real placement controller as a policy of the emulator."""

from __future__ import annotations

import random
from collections.abc import Callable

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
    MarkDraining,
    OrderAccepted,
    OrderAction,
    OrderRefusal,
    OrderRefused,
    RequestStatus,
    SendOrder,
    StatusReport,
    UseRow,
)
from zincvale.model.control_tables import Intent, ServerHealth, ServerRow
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    MemberId,
    ModelName,
    PoolName,
    ServerId,
    StoreName,
    ZoneName,
)
from zincvale.model.machine import Tick
from zincvale.model.resources import (
    AdapterSpec,
    ModelSpec,
    PoolKind,
    PoolSpec,
    ServerSpec,
    StoreSpec,
)
from zincvale.simulator.placement.fleet import EmulatedServer, Fleet, ItemSpec, OrderResult

STATUS_INTERVAL_S = 0.5
"""Interval of status reports, equal to that of the deployments' probes. The controller sees a
loaded replica up to this much later."""
DEMAND_INTERVAL_S = 0.5
"""Interval of demand reports, equal to that of the nodes. A request that starts to wait is reported
at once."""
LEASE_S = 2.0
"""Length of the controller's lease; it is renewed at each step, so that the policy always leads."""
DRAIN_NOTICE_DELAY_S = 0.2
"""Delay until nodes stop sending requests to the replicas that are to drain."""
NODE = MemberId("node-1")
REFUSAL_BY_RESULT = {
    OrderResult.MEMORY: OrderRefusal.MEMORY,
    OrderResult.BUSY: OrderRefusal.BUSY,
    OrderResult.BASE_MODEL: OrderRefusal.BASE_MODEL,
    OrderResult.NOT_HELD: OrderRefusal.NOT_HELD,
    OrderResult.DOWN: OrderRefusal.NOT_CONNECTED,
}


class ControllerPolicy:
    """The real controller as an emulator policy.

    Statuses and demand are reported twice a second, demand also at once when a request starts to
    wait. Responses to orders and drain notices are delayed by one or two steps.
    """

    def __init__(self, config: PlacementConfig, seed: int) -> None:
        self.controller = PlacementController(random.Random(seed), config)
        self.recorded_effects: list[Effect] = []
        self.records_effects = False
        self._intent = Intent()
        self._drained: frozenset[str] = frozenset()
        self._scheduled: list[tuple[float, Callable[[Fleet], None]]] = []
        self._status_at = 0.0
        self._demand_at = 0.0
        self._waiting_keys: frozenset[tuple[str, str]] = frozenset()
        self._now = 0.0

    def step(self, fleet: Fleet, now: float) -> None:
        """Feed the changes since the last step to the controller and execute its effects."""
        self._now = now
        self._feed_intent(fleet)
        self._feed(fleet, LeaderGained(1, now + LEASE_S))
        self._execute_due(fleet, now)
        if now >= self._status_at:
            self._status_at = now + STATUS_INTERVAL_S
            reports = tuple(status_of(server, now) for server in fleet.servers.values())
            self._feed(fleet, DirectoryChanged(reports))
        self._feed_demand(fleet, now)
        self._feed(fleet, Tick())

    def _feed_intent(self, fleet: Fleet) -> None:
        drained = frozenset(name for name, server in fleet.servers.items() if server.drained)
        if self._intent.version == 0:
            self._intent = intent_of(fleet)
        elif drained == self._drained:
            return
        self._drained = drained
        specs = {ServerId(name): ServerSpec(drained=True) for name in drained}
        self._intent = attrs.evolve(self._intent, version=self._intent.version + 1, servers=specs)
        self._feed(fleet, IntentChanged(self._intent))

    def _feed_demand(self, fleet: Fleet, now: float) -> None:
        waiting = frozenset(fleet.waiting)
        if now < self._demand_at and waiting <= self._waiting_keys:
            return
        self._waiting_keys = waiting
        self._demand_at = now + DEMAND_INTERVAL_S
        self._feed(fleet, demand_of(fleet))
        fleet.arrived.clear()

    def _feed(self, fleet: Fleet, event: Input) -> None:
        for effect in self.controller.handle(event, self._now):
            self._execute(fleet, effect)

    def _execute(self, fleet: Fleet, effect: Effect) -> None:
        if self.records_effects:
            self.recorded_effects.append(effect)
        match effect:
            case SendOrder():
                self._send_order(fleet, effect)
            case RequestStatus(server, _):
                self._schedule(0.0, lambda fleet: self._report_status(fleet, server))
            case MarkDraining(server, names):
                self._schedule(
                    DRAIN_NOTICE_DELAY_S,
                    lambda fleet: self._apply_drain_notice(fleet, server, names),
                )

    def _send_order(self, fleet: Fleet, effect: SendOrder) -> None:
        order = effect.order
        if order.action is OrderAction.LOAD:
            result = fleet.order_load(effect.server, order.name)
        else:
            result = fleet.order_unload(effect.server, order.name)
        is_done = order.action is OrderAction.UNLOAD
        response: Input = OrderAccepted(order.order_id, is_done)
        if result is not OrderResult.ACCEPTED:
            response = OrderRefused(order.order_id, REFUSAL_BY_RESULT[result])
        self._schedule(0.0, lambda fleet: self._feed(fleet, response))

    def _report_status(self, fleet: Fleet, server: ServerId) -> None:
        report = status_of(fleet.servers[server], self._now)
        self._feed(fleet, DirectoryChanged((report,)))

    def _apply_drain_notice(self, fleet: Fleet, server: ServerId, names: frozenset[str]) -> None:
        """Stop sending requests to the draining replicas, and report the running ones at once."""
        fleet.servers[server].draining = names
        self._demand_at = self._now

    def _schedule(self, delay_s: float, action: Callable[[Fleet], None]) -> None:
        self._scheduled.append((self._now + delay_s, action))

    def _execute_due(self, fleet: Fleet, now: float) -> None:
        due = [action for at, action in self._scheduled if at <= now]
        self._scheduled = [entry for entry in self._scheduled if entry[0] > now]
        for action in due:
            action(fleet)


def status_of(server: EmulatedServer, now: float) -> StatusReport:
    """Return the status report of a server."""
    spec = server.spec
    ready = [name for name, replica in server.replicas.items() if replica.is_ready]
    row = ServerRow(
        server=ServerId(spec.name),
        address=Address(spec.name),
        pool=PoolName(spec.pool),
        zone=ZoneName(spec.zone),
        kind=PoolKind.LANGUAGE_MODEL,
        health=ServerHealth.READY if server.is_up else ServerHealth.DOWN,
        incarnation=f"{spec.name}-{server.incarnation}",
        memory_bytes=spec.memory_bytes,
        used_bytes=server.used_bytes,
        models=frozenset(ModelName(name) for name in ready if not _is_adapter(name)),
        adapters=frozenset(AdapterName(name) for name in ready if _is_adapter(name)),
        loading=frozenset(server.loading()),
        running=server.running,
        max_running=spec.max_running,
        closing=server.draining,
    )
    return StatusReport(row, now)


def demand_of(fleet: Fleet) -> DemandReported:
    """Return the demand report of all nodes together."""
    keys = fleet.arrived.keys() | fleet.waiting.keys()
    rows = tuple(
        DemandRow(
            ModelName(model),
            AdapterName(adapter) if adapter else None,
            requests=fleet.arrived.get((model, adapter), 0),
            waiting=len(fleet.waiting.get((model, adapter), ())),
        )
        for model, adapter in sorted(keys)
    )
    use = [
        UseRow(
            ServerId(server.spec.name),
            ModelName(model),
            AdapterName(adapter) if adapter else None,
            running,
        )
        for server in fleet.servers.values()
        for (model, adapter), running in server.running_by_pair.items()
        if running
    ]
    return DemandReported(NODE, rows, tuple(use))


def intent_of(fleet: Fleet) -> Intent:
    """Return the intent that declares the emulated fleet."""
    models = {}
    adapters = {}
    for item in fleet.items.values():
        if item.base:
            adapters[AdapterName(item.name)] = AdapterSpec(item.base, item.item_bytes, item.store)
        else:
            models[ModelName(item.name)] = _model_spec(item)
    stores = {
        StoreName(store.name): StoreSpec(
            store.name, store.bytes_per_second, store.max_concurrent_loads
        )
        for store in fleet.stores.values()
    }
    slots = {server.spec.pool: server.spec.max_running for server in fleet.servers.values()}
    pools = {
        PoolName(name): PoolSpec(max_concurrent_per_server=count) for name, count in slots.items()
    }
    return Intent(1, pools=pools, stores=stores, models=models, adapters=adapters)


def _model_spec(item: ItemSpec) -> ModelSpec:
    return ModelSpec(item.item_bytes, item.store, item.pool, min_replicas=item.min_replicas)


def _is_adapter(name: str) -> bool:
    return ":" in name
