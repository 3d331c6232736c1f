"""Measures how long the calls of the placement controller take for fleets of several sizes.

Run as `python -m zincvale.simulator.placement_scale`. The real controller is timed against a hollow
fleet, which completes every order after a few seconds. Demand follows a Zipf distribution, most
adapters are idle, and the rate of loads is proportional to the fleet: 47,000 per hour for 10,000
servers. Prints one JSON object per size.
"""

from __future__ import annotations

import dataclasses
import random
import sys
import time
from collections.abc import Callable

import attrs
import numpy
import orjson
import psutil

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
    RequestStatus,
    SendOrder,
    StatusReport,
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
from zincvale.model.resources import AdapterSpec, ModelSpec, PoolKind, PoolSpec, StoreSpec

GIGABYTE = 1_000_000_000
SIZES = (10, 100, 1_000, 10_000)
"""Numbers of servers that are measured."""
MODELS = 830
ADAPTERS = 56_000
POOLS = 10
ZONES = 12
STORES = 24
RESIDENT_MODELS = 7
"""Number of models that each server holds initially."""
RESIDENT_ADAPTERS = 12
"""Number of adapters that are drawn for each server initially."""
LOADS_PER_SERVER_S = 47_000 / 3_600 / 10_000
"""Rate of loads per server and second: 47,000 per hour for 10,000 servers."""
NODES_PER_SERVER = 0.36
ROWS_PER_REPORT = 40
"""Number of rows in a node's demand report."""
REPORT_INTERVAL_S = 5.0
"""Interval between two demand reports of a node."""
STATUS_INTERVAL_S = 1.0
"""Interval between two statuses of a server."""
STATUS_BATCH = 100
"""Number of servers whose first statuses are delivered together."""
TICK_INTERVAL_S = 0.1
"""Interval between two ticks of the controller, which is the step of the simulation."""
LOAD_DURATION_S = 8.0
"""Time from a load order until the item is resident."""
WARM_UP_S = 30.0
"""Virtual time between the takeover and the measurement of the steady state."""
START_STEPS = 200
"""Number of steps in which a new leader confirms the servers of the fleet."""
ADAPTER_SHARE = 0.7
"""Fraction of the demand rows that name an adapter."""
MIN_SERVERS_FOR_MIN_REPLICAS = 100
"""Number of servers from which every tenth model requires three replicas; smaller fleets do not
have enough memory for them."""


@attrs.define(eq=False)
class Timings:
    """Durations of the controller's calls in milliseconds, by kind of input."""

    by_kind: dict[str, list[float]] = attrs.field(factory=dict)

    def add(self, kind: str, seconds: float) -> None:
        """Record the duration of one call."""
        self.by_kind.setdefault(kind, []).append(seconds * 1000.0)

    def summary(self) -> dict[str, dict[str, float]]:
        """Return count, mean, p50, p99 and maximum by kind."""
        result = {}
        for kind, values in self.by_kind.items():
            data = numpy.array(values)
            result[kind] = {
                "count": len(values),
                "mean_ms": round(float(data.mean()), 4),
                "p50_ms": round(float(numpy.percentile(data, 50)), 4),
                "p99_ms": round(float(numpy.percentile(data, 99)), 4),
                "max_ms": round(float(data.max()), 4),
            }
        return result


class HollowFleet:
    """Simulated servers that execute load orders, and nodes that report random demand."""

    def __init__(self, servers: int, seed: int) -> None:
        self._random = random.Random(seed)
        self._config = PlacementConfig()
        self._controller = PlacementController(random.Random(seed), self._config)
        self._rows = {row.server: row for row in self._make_rows(servers)}
        self._names = list(self._rows)
        self._loading: list[tuple[float, SendOrder]] = []
        self._weights = [1.0 / (rank + 1) ** 1.1 for rank in range(MODELS)]
        self._now = 1_000.0
        self.timings = Timings()
        self.orders = 0

    def start(self) -> None:
        """Feed the intent, all server statuses and the leadership, then wait for confirmations."""
        self._feed("intent", IntentChanged(make_intent(len(self._rows))))
        for first in range(0, len(self._names), STATUS_BATCH):
            self._report_statuses(self._names[first : first + STATUS_BATCH], "first-statuses")
        self._feed("leader", LeaderGained(1, self._now + 60.0))
        for _ in range(START_STEPS):
            self._step()
        self._feed("intent-delta", IntentChanged(self._changed_intent()))

    def reset_timings(self) -> None:
        """Discard the recorded durations and the count of orders."""
        self.timings = Timings()
        self.orders = 0

    def _changed_intent(self) -> Intent:
        """Return the intent with one changed model, sharing the others as a decoded delta does."""
        intent = self._controller.state.intent
        name = ModelName("m0")
        changed = dataclasses.replace(intent.models[name], min_replicas=1)
        return attrs.evolve(intent, version=2, models={**intent.models, name: changed})

    def run(self, seconds: float) -> None:
        """Run the simulation for a virtual time and record the controller's durations."""
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self._step()

    def _step(self) -> None:
        self._now += TICK_INTERVAL_S
        self._feed("lease", LeaderGained(1, self._now + 60.0))
        batch_size = max(int(len(self._names) * TICK_INTERVAL_S / STATUS_INTERVAL_S), 1)
        first = int(self._now / TICK_INTERVAL_S) * batch_size % len(self._names)
        self._report_statuses(self._names[first : first + batch_size], "statuses")
        self._report_demand()
        self._finish_loads()
        self._feed("tick", Tick())

    def _report_demand(self) -> None:
        """Report the demand of some nodes, and occasionally for an item that may not be loaded."""
        nodes = max(int(len(self._names) * NODES_PER_SERVER), 1)
        for _ in range(max(round(nodes * TICK_INTERVAL_S / REPORT_INTERVAL_S), 1)):
            node = MemberId(f"node-{self._random.randrange(nodes)}")
            rows = [self._demand_row() for _ in range(ROWS_PER_REPORT)]
            self._feed("demand", DemandReported(node, tuple(rows)))
        if self._random.random() < len(self._names) * LOADS_PER_SERVER_S * TICK_INTERVAL_S:
            self._request_rare_item()

    def _demand_row(self) -> DemandRow:
        model = self._random.choices(range(MODELS), self._weights)[0]
        number = self._random.randrange(ADAPTERS // MODELS // 8)
        adapter = (
            AdapterName(f"a{model}-{number}") if self._random.random() < ADAPTER_SHARE else None
        )
        return DemandRow(ModelName(f"m{model}"), adapter, requests=3, tokens=900)

    def _request_rare_item(self) -> None:
        model = self._random.randrange(MODELS)
        number = self._random.randrange(ADAPTERS // MODELS)
        row = DemandRow(ModelName(f"m{model}"), AdapterName(f"a{model}-{number}"), 1, 0, 1)
        self._feed("demand", DemandReported(MemberId("node-new"), (row,)))

    def _finish_loads(self) -> None:
        due = [order for at, order in self._loading if at <= self._now]
        self._loading = [entry for entry in self._loading if entry[0] > self._now]
        for effect in due:
            row = self._rows[effect.server]
            name = effect.order.name
            added = effect.order.action is OrderAction.LOAD
            if effect.order.base_model or name.startswith("a"):
                names = frozenset(map(str, row.adapters))
                changed = names | {name} if added else names - {name}
                adapters = frozenset(AdapterName(other) for other in changed)
                self._rows[effect.server] = attrs.evolve(row, adapters=adapters)
            else:
                names = frozenset(map(str, row.models))
                changed = names | {name} if added else names - {name}
                models = frozenset(ModelName(other) for other in changed)
                self._rows[effect.server] = attrs.evolve(row, models=models)
            self._report_statuses([effect.server], "statuses")

    def _report_statuses(self, names: list[ServerId], kind: str) -> None:
        reports = []
        for name in names:
            row = attrs.evolve(self._rows[name], running=self._random.randrange(16))
            reports.append(StatusReport(row, self._now))
        self._feed(kind, DirectoryChanged(tuple(reports)))

    def _feed(self, kind: str, event: Input) -> None:
        started_at = time.perf_counter()
        effects = self._controller.handle(event, self._now)
        self.timings.add(kind, time.perf_counter() - started_at)
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SendOrder():
                self.orders += 1
                self._feed("answer", OrderAccepted(effect.order.order_id))
                unload = effect.order.action is OrderAction.UNLOAD
                self._loading.append((self._now + (0.1 if unload else LOAD_DURATION_S), effect))
            case RequestStatus(server, _):
                self._report_statuses([server], "statuses")

    def _make_rows(self, servers: int) -> list[ServerRow]:
        rows = []
        for number in range(servers):
            pool = number % POOLS
            models = self._random.sample(range(pool, MODELS, POOLS), RESIDENT_MODELS)
            adapters = [
                f"a{self._random.choice(models)}-{self._random.randrange(ADAPTERS // MODELS)}"
                for _ in range(RESIDENT_ADAPTERS)
            ]
            rows.append(
                ServerRow(
                    server=ServerId(f"server-{number}"),
                    address=Address(f"10.{number // 250}.0.{number % 250}:9000"),
                    pool=PoolName(f"pool-{pool}"),
                    zone=ZoneName(f"zone-{number % ZONES}"),
                    kind=PoolKind.LANGUAGE_MODEL,
                    health=ServerHealth.READY,
                    incarnation="i1",
                    memory_bytes=640 * GIGABYTE,
                    models=frozenset(ModelName(f"m{model}") for model in models),
                    adapters=frozenset(AdapterName(name) for name in adapters),
                    max_running=64,
                )
            )
        return rows


def make_intent(servers: int) -> Intent:
    """Return an intent with 830 models and 56,000 adapters in ten pools."""
    rate = max(servers // 100, 10) * GIGABYTE
    stores = {
        StoreName(f"store-{number}"): StoreSpec(f"10.200.0.{number}:9100", rate, 64)
        for number in range(STORES)
    }
    models = {
        ModelName(f"m{number}"): ModelSpec(
            (40 + number % 5 * 15) * GIGABYTE,
            f"store-{number % STORES}",
            f"pool-{number % POOLS}",
            min_replicas=3 if number % 10 == 0 and servers >= MIN_SERVERS_FOR_MIN_REPLICAS else 0,
        )
        for number in range(MODELS)
    }
    adapters = {
        AdapterName(f"a{number % MODELS}-{number // MODELS}"): AdapterSpec(
            f"m{number % MODELS}", GIGABYTE // 5, f"store-{number % STORES}"
        )
        for number in range(ADAPTERS)
    }
    pools = {PoolName(f"pool-{number}"): PoolSpec() for number in range(POOLS)}
    return Intent(1, pools=pools, stores=stores, models=models, adapters=adapters)


def measure(servers: int, seconds: float, seed: int = 1) -> dict[str, object]:
    """Measure a fleet of one size and return its row of the report."""
    fleet = HollowFleet(servers, seed)
    fleet.start()
    takeover = fleet.timings.summary()
    fleet.run(WARM_UP_S)
    fleet.reset_timings()
    fleet.run(seconds)
    return {
        "servers": servers,
        "models": MODELS,
        "adapters": ADAPTERS,
        "virtual_s": seconds,
        "resident_mb": round(psutil.Process().memory_info().rss / 1e6),
        "orders": fleet.orders,
        "takeover": takeover,
        "steady": fleet.timings.summary(),
    }


def main(write: Callable[[bytes], object]) -> None:
    """Measure every size and write one JSON line for each."""
    for servers in SIZES:
        write(orjson.dumps(measure(servers, 60.0)) + b"\n")


if __name__ == "__main__":
    main(sys.stdout.buffer.write)
