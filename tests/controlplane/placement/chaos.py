"""Simulation of a fleet with random faults, for the property tests.

A lease moves between two controllers whose processes may freeze. Orders, responses and statuses
are lost, delayed and reordered. Servers crash, restart empty, and freeze with orders in their
sockets. The servers check no limits when they accept orders, so only the controller keeps them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from tests.controlplane.placement.driver import GB, make_intent, make_row
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DemandReported,
    DemandRow,
    DirectoryChanged,
    IntentChanged,
    LeaderGained,
    LeaderLost,
    OrderAccepted,
    OrderAction,
    OrderRefusal,
    OrderRefused,
    OrderUnknown,
    RequestStatus,
    SendOrder,
    StatusReport,
)
from zincvale.model.control_tables import ServerHealth
from zincvale.model.machine import Tick
from zincvale.model.resources import ModelSpec, ServerSpec, StoreSpec

STEP_S = 0.1
ORDER_TIMEOUT_S = 2.0
MAX_DELAY_S = 2.0
LEASE_S = 2.0
MAX_FREEZE_S = 10.0
DOWN_AFTER_S = 3.0


@attrs.define(eq=False)
class ChaosServer:
    """The actual state of a server, as opposed to what the controllers know of it.

    Attributes
    ----------
    loaded : size by name.
    loading : (size, end of the load) by name.
    socket : requests and orders that arrived and were not handled yet.
    responded_at : when the server last responded, or was last reported as down.
    """

    name: str
    memory_bytes: int
    incarnation: int = 1
    loaded: dict[str, int] = attrs.field(factory=dict)
    loading: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    frozen_until: float = 0.0
    down_until: float = 0.0
    socket: list[Callable[[], None]] = attrs.field(factory=list)
    responded_at: float = 0.0

    def weights(self) -> int:
        return sum(self.loaded.values()) + sum(size for size, _ in self.loading.values())


@attrs.define(eq=False)
class Process:
    """A process with a controller, which may freeze.

    Attributes
    ----------
    inbox : inputs that the controller did not handle yet.
    """

    controller: PlacementController
    frozen_until: float = 0.0
    inbox: list[object] = attrs.field(factory=list)


class ChaosSimulation:
    """Runs the simulation with one seed; `problems` lists every limit that was exceeded."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.config = PlacementConfig(undeclared_grace_s=3.0)
        self.now = 0.0
        self.problems: list[str] = []
        self.orders_sent = 0
        self.loads_done = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.intent = self._make_intent()
        self.servers = {
            f"server-{number}": ChaosServer(f"server-{number}", 40 * GB) for number in range(5)
        }
        self.processes = [self._make_process(seed + number) for number in range(2)]
        self.epoch = 0
        self.leader = 0
        self.lease_until = 0.0

    def _make_intent(self):
        models = {
            f"m{number}": ModelSpec(
                self.random.choice((5, 8, 12)) * GB,
                self.random.choice(("weights", "other")),
                "chat",
                min_replicas=2 if number == 0 else 0,
            )
            for number in range(14)
        }
        adapters = {f"m{number}-a{index}": f"m{number}" for number in range(14) for index in (0, 1)}
        stores = {
            "weights": StoreSpec("10.0.9.1:9100", 8 * GB, 2),
            "other": StoreSpec("10.0.9.2:9100", 8 * GB, 3),
        }
        return make_intent(models, adapters, stores)

    def _make_process(self, seed: int) -> Process:
        process = Process(PlacementController(random.Random(seed), self.config))
        process.controller.handle(IntentChanged(self.intent), 0.0)
        return process

    # Time

    def run(self, seconds: float) -> None:
        while self.now < seconds:
            self.now = round(self.now + STEP_S, 3)
            self._deliver()
            self._renew_or_move_lease()
            self._inject_faults()
            for server in self.servers.values():
                self._advance(server)
            if self.random.random() < 0.3:
                self._report_demand()
            for process in self.processes:
                self._handle_inbox(process)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            heapq.heappop(self._queue)[2]()

    def _delay(self) -> float:
        if self.random.random() < 0.8:
            return self.random.uniform(0.0, 0.2)
        return self.random.uniform(0.0, MAX_DELAY_S)

    # Faults

    def _inject_faults(self) -> None:
        for server in self.servers.values():
            if self.random.random() < 0.002:
                server.frozen_until = self.now + self.random.uniform(0.5, MAX_FREEZE_S)
            if self.random.random() < 0.001:
                self._crash(server)
        for process in self.processes:
            if self.random.random() < 0.002:
                process.frozen_until = self.now + self.random.uniform(0.5, 30.0)
        if self.random.random() < 0.003:
            drained = {
                name: ServerSpec(drained=True)
                for name in self.servers
                if self.random.random() < 0.15
            }
            self.intent = attrs.evolve(
                self.intent, version=self.intent.version + 1, servers=drained
            )
            for process in self.processes:
                process.inbox.append(IntentChanged(self.intent))

    def _crash(self, server: ChaosServer) -> None:
        server.incarnation += 1
        server.loaded.clear()
        server.loading.clear()
        server.socket.clear()
        server.down_until = self.now + self.random.uniform(0.5, 5.0)

    def _renew_or_move_lease(self) -> None:
        """Renew the lease, or grant it under a new epoch once the holder must have stopped."""
        holder = self.processes[self.leader]
        is_responsive = holder.frozen_until <= self.now
        if (
            self.epoch
            and is_responsive
            and self.random.random() > 0.02
            and self.now < self.lease_until
        ):
            self.lease_until = self.now + LEASE_S
            holder.inbox.append(LeaderGained(self.epoch, self.lease_until))
            return
        if self.now < self.lease_until + STEP_S:
            return
        if self.random.random() < 0.5:
            holder.inbox.append(LeaderLost())
        self.leader = self.random.randrange(2)
        self.epoch += 1
        self.lease_until = self.now + LEASE_S
        self.processes[self.leader].inbox.append(LeaderGained(self.epoch, self.lease_until))

    # Servers

    def _advance(self, server: ChaosServer) -> None:
        if self.now < max(server.frozen_until, server.down_until):
            if self.now > server.responded_at + DOWN_AFTER_S:
                self._report_down(server)
            return
        for name, (size, ends_at) in list(server.loading.items()):
            if ends_at <= self.now:
                del server.loading[name]
                server.loaded[name] = size
                self.loads_done += 1
        # A server that resumes handles what waits in its sockets in any order.
        self.random.shuffle(server.socket)
        waiting, server.socket = server.socket, []
        for action in waiting:
            action()
        if self.random.random() < 0.2:
            for process in self.processes:
                self._request_status(process, server)

    def _report_down(self, server: ChaosServer) -> None:
        server.responded_at = self.now
        row = make_row(server.name, health=ServerHealth.DOWN)
        for process in self.processes:
            process.inbox.append(DirectoryChanged((StatusReport(row, self.now),)))

    def _request_status(self, process: Process, server: ChaosServer) -> None:
        requested_at = self.now
        incarnation = server.incarnation

        def arrive() -> None:
            if server.incarnation == incarnation or self.random.random() < 0.5:
                server.socket.append(lambda: self._respond(process, server, requested_at))

        if self.random.random() < 0.9:
            self.schedule(self._delay(), arrive)

    def _respond(self, process: Process, server: ChaosServer, requested_at: float) -> None:
        server.responded_at = self.now
        names = frozenset(server.loaded)
        row = make_row(
            server.name,
            zone=f"zone-{int(server.name[-1]) % 3}",
            incarnation=f"i{server.incarnation}",
            memory_bytes=server.memory_bytes,
            used_bytes=server.weights(),
            models=frozenset(name for name in names if "-" not in name),
            adapters=frozenset(name for name in names if "-" in name),
            loading=frozenset(server.loading),
        )
        report = DirectoryChanged((StatusReport(row, requested_at),))
        if self.random.random() < 0.9:
            self.schedule(self._delay(), lambda: process.inbox.append(report))

    def _handle_order(self, server: ChaosServer, effect: SendOrder, respond) -> None:
        order = effect.order
        held = order.name in server.loaded or order.name in server.loading
        if order.action is OrderAction.UNLOAD:
            if order.name in server.loading:
                self.problems.append(f"{self.now}: {order.name} unloaded while it loads")
            server.loaded.pop(order.name, None)
            respond(OrderAccepted(order.order_id) if held else None)
            return
        if order.base_model and order.base_model not in server.loaded:
            respond(OrderRefused(order.order_id, OrderRefusal.BASE_MODEL))
            return
        if not held:
            ends_at = self.now + self.random.uniform(0.2, 5.0)
            server.loading[order.name] = (order.item_bytes, ends_at)
            self._check_limits(server, order.store)
        respond(OrderAccepted(order.order_id))

    def _check_limits(self, server: ChaosServer, store: str) -> None:
        limit = int(server.memory_bytes * (1.0 - self.config.kv_headroom_fraction))
        if server.weights() > limit:
            self.problems.append(f"{self.now}: {server.name} ordered to hold {server.weights()}")
        if len(server.loading) > self.config.max_loads_per_server:
            self.problems.append(f"{self.now}: {len(server.loading)} loads on {server.name}")
        pulls = sum(
            self._store_of(name) == store
            for other in self.servers.values()
            for name in other.loading
        )
        if pulls > self.intent.stores[store].max_concurrent_loads:
            self.problems.append(f"{self.now}: {pulls} pulls from {store}")

    def _store_of(self, name: str) -> str:
        spec = self.intent.models.get(name) or self.intent.adapters[name]
        return spec.store

    # Processes

    def _handle_inbox(self, process: Process) -> None:
        if self.now < process.frozen_until:
            return
        events, process.inbox = process.inbox, []
        # The tick may be handled before or after the inputs that arrived during a freeze.
        if self.random.random() < 0.5:
            events.append(Tick())
        else:
            events.insert(0, Tick())
        for event in events:
            for effect in process.controller.handle(event, self.now):
                self._carry_out(process, effect)

    def _carry_out(self, process: Process, effect: object) -> None:
        match effect:
            case RequestStatus(server, _):
                self._request_status(process, self.servers[server])
            case SendOrder():
                self._send(process, effect)

    def _send(self, process: Process, effect: SendOrder) -> None:
        """Send an order as the runtime does; without a response its outcome becomes unknown.

        It is a problem if the order is sent without the lease.
        """
        order_id = effect.order.order_id
        if self.now >= effect.not_after or effect.order.epoch != self.epoch:
            self.problems.append(f"{self.now}: order {order_id} without the lease")
        self.orders_sent += 1
        delivered: list[bool] = []

        def respond_once(response) -> None:
            if not delivered:
                delivered.append(True)
                process.inbox.append(response)

        def respond(event) -> None:
            if event is not None and self.random.random() < 0.8:
                self.schedule(self._delay(), lambda: respond_once(event))

        server = self.servers[effect.server]
        if self.random.random() < 0.05:
            self.schedule(
                0.0, lambda: respond_once(OrderRefused(order_id, OrderRefusal.NOT_CONNECTED))
            )
            return

        def arrive() -> None:
            # A crashed process accepts no connection; a frozen one does.
            if self.now >= server.down_until:
                server.socket.append(lambda: self._handle_order(server, effect, respond))

        if self.random.random() < 0.95:
            self.schedule(self._delay(), arrive)
        self.schedule(ORDER_TIMEOUT_S, lambda: respond_once(OrderUnknown(order_id)))

    def _report_demand(self) -> None:
        rows = []
        for name in self.random.sample(sorted(self.intent.models), 3):
            adapter = self.random.choice((None, f"{name}-a0", f"{name}-a1"))
            waiting = self.random.choice((0, 1, 3))
            rows.append(DemandRow(name, adapter, requests=waiting + 1, waiting=waiting))
        for process in self.processes:
            process.inbox.append(DemandReported("node-1", tuple(rows)))
