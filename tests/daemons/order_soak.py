"""Soak test of orders: the real controllers and runners of three cores run in virtual time.

The leader lease moves among cores that are frozen, partitioned or killed. Documents and demand
change continuously, servers crash, are replaced and evacuated, and responses and connections are
lost. The simulated servers check every order that they execute.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Callable
from unittest import mock

import attrs

from tests.daemons.order_core import ACTING_CORE, Core, sleep_as_core
from tests.daemons.order_faults import ZONES, OrderFaults
from tests.daemons.order_servers import SimulatedModel, SimulatedServer
from zincvale.controlplane.placement.events import (
    DemandReported,
    DemandRow,
)
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.forwarding import Engine, EngineModel, ForwardingDocument, ForwardPool
from zincvale.model.resources import PoolKind
from zincvale.simulator.virtual_loop import VirtualLoop

GB = 1_000_000_000
POOL = "models"
SERVERS = 6
MODELS = 24
ADAPTERS_PER_MODEL = 3
MEMORY_BYTES = 220 * GB
ADAPTER_SLOTS = 4
LIST_INTERVAL_S = 0.8
TICK_S = 0.05
DEMAND_INTERVAL_S = 0.25
DOCUMENT_INTERVAL_S = 0.25
FAULT_INTERVAL_S = 0.5
LEASE_S = 3.0
LONGEST_ONE_WAY_S = 0.004
LINK_POLL_INTERVAL_S = 0.02
DECLARED_MODELS = 14
"""Models of the catalog that the document declares while models are retired."""
RETIREMENT_SHARE = 0.03
"""Share of document changes that retire models and declare others."""


@attrs.define
class Lease:
    """The leader lease, as a majority of cores would grant it."""

    holder: Core | None = None
    epoch: int = 0
    until: float = 0.0


class OrderSoak:
    """Runs one seed; `problems` lists every order that violated a rule, and every exception.

    Parameters
    ----------
    freezes_at_send : leaders also freeze between the check of their lease and sending an order on
        a new connection, and some servers restart under the same instance name.
    retires_models : the document declares some of the models, and other ones later; all cores are
        sometimes killed at once.
    """

    def __init__(
        self, seed: int, *, freezes_at_send: bool = False, retires_models: bool = False
    ) -> None:
        self.freezes_at_send = freezes_at_send
        self.retires_models = retires_models
        self.is_calm = False
        self.random = random.Random(seed)
        self.loop = VirtualLoop()
        self.loop.set_exception_handler(self._on_failed_step)
        self.events: Counter[int] = Counter()
        self.keeps_log_lines = False
        self.log_lines: list[str] = []
        self.clock = self.loop.time
        self.problems: list[str] = []
        self.leader_changes = 0
        self.lease = Lease()
        self.isolated_until: dict[str, float] = {}
        self.cut_links: dict[tuple[str, str], float] = {}
        self.reset_share = 0.0
        self.loss_share = 0.0
        self.catalog = self._make_catalog()
        self.document = self._make_document()
        self.server_by_address: dict[str, SimulatedServer] = {}
        self.listed: dict[str, str] = {}
        self.draining: set[str] = set()
        self._slot_count = 0
        self._incarnations = 0
        for _ in range(SERVERS):
            self.add_to_list(self.add_server(self.random.sample(sorted(self.catalog), 3)))
        self.cores = [self.new_core(f"core-{number}") for number in range(3)]
        self.demanded_items = [self._random_item() for _ in range(10)]
        self.faults = OrderFaults(self)

    def run(self, seconds: float, calm_s: float = 0.0) -> None:
        """Run for `seconds` of virtual time, and `calm_s` more without faults and changes."""
        for interval_s, step in (
            (TICK_S, self._tick),
            (DOCUMENT_INTERVAL_S, self._change_document),
            (DEMAND_INTERVAL_S, self._report_demand),
            (LIST_INTERVAL_S, self._read_list),
            (FAULT_INTERVAL_S, self.faults.inject),
        ):
            self._every(interval_s, step)
        with (
            mock.patch("zincvale.daemons.placement_runner.gen.sleep", sleep_as_core),
            mock.patch("zincvale.daemons.placement_runner.log", self._on_log),
            mock.patch("zincvale.daemons.order_counts.log", self._on_log),
            mock.patch("tornado.ioloop.app_log.error", self._on_failed_callback),
        ):
            self.loop.run_until(seconds)
            self._calm_down()
            self.loop.run_until(seconds + calm_s)

    def _calm_down(self) -> None:
        """End faults, and changes of the document and of demand."""
        self.is_calm = True
        self.loss_share = self.reset_share = 0.0
        self.document = attrs.evolve(self.document, evacuated=frozenset())
        declared = self._declared_models()
        demanded = [item for item in self.demanded_items if item[0] in declared]
        self.demanded_items = demanded or [self._random_item()]

    def unserved_items(self) -> list[str]:
        """Return the demanded models and adapters that no server holds."""
        return sorted(
            adapter or model
            for model, adapter in set(self.demanded_items)
            if not self._is_served(model, adapter)
        )

    def _on_log(self, number: int, **fields: object) -> None:
        self.events[number] += 1
        if self.keeps_log_lines:
            self.log_lines.append(f"{self.clock():.3f} {ACTING_CORE.get().name} {number} {fields}")

    def _on_failed_callback(self, message: str, *arguments: object, **_options: object) -> None:
        failure = sys.exc_info()[1]
        self.problems.append(f"{self.clock():.3f}: {message % arguments}: {failure!r}")

    def _on_failed_step(self, _loop: object, context: dict[str, object]) -> None:
        self.problems.append(f"{self.clock():.3f}: {context.get('exception')!r}")

    def _every(self, interval_s: float, step: Callable[[], None]) -> None:
        def run_step() -> None:
            self.loop.call_later(interval_s, run_step)
            step()

        self.loop.call_later(interval_s, run_step)

    def accepted_orders(self) -> int:
        """Return the number of orders that the present servers have accepted."""
        return sum(server.accepted_orders for server in self.server_by_address.values())

    # --- models, servers and cores --------------------------------------------------------

    def _make_catalog(self) -> dict[str, SimulatedModel]:
        return {
            f"m{number}": SimulatedModel(
                int(self.random.uniform(65.0, 72.7) * GB),
                self.random.choice((0.8, 4.0)),
                int(self.random.uniform(0.1, 0.4) * GB),
            )
            for number in range(MODELS)
        }

    def _make_document(self) -> ForwardingDocument:
        names = sorted(self.catalog)
        if self.retires_models:
            names = self.random.sample(names, DECLARED_MODELS)
        return ForwardingDocument(version=1, pools={POOL: self._make_pool(names)})

    def _make_pool(self, names: list[str]) -> ForwardPool:
        adapters = tuple(f"a{number}" for number in range(ADAPTERS_PER_MODEL))
        models = {}
        for name in names:
            model = self.catalog[name]
            models[name] = EngineModel(
                model.weight_bytes, model.load_s, adapters, model.adapter_bytes
            )
        engine = Engine(64, 100_000, MEMORY_BYTES, ADAPTER_SLOTS, 4.0, models)
        return ForwardPool(POOL, engine=engine)

    def _declared_models(self) -> dict[str, EngineModel]:
        engine = self.document.pools[POOL].engine
        assert engine is not None
        return engine.models

    def add_server(self, models: list[str]) -> SimulatedServer:
        self._slot_count += 1
        server = SimulatedServer(
            self._slot_count,
            f"10.0.0.{self._slot_count}:9000",
            ZONES[self._slot_count % len(ZONES)],
            MEMORY_BYTES,
            ADAPTER_SLOTS,
            self.catalog,
            self.clock,
            self.random,
            self.problems,
        )
        server.start(models)
        self.server_by_address[server.address] = server
        return server

    def add_to_list(self, server: SimulatedServer) -> None:
        if server.address in self.server_by_address and not server.is_down:
            self.listed[server.address] = server.instance

    def new_core(self, name: str) -> Core:
        self._incarnations += 1
        return Core(self, name, self._incarnations)

    # --- the network ------------------------------------------------------------------------

    def one_way_s(self) -> float:
        return self.random.uniform(0.001, LONGEST_ONE_WAY_S)

    def is_cut(self, core: Core, address: str) -> bool:
        return self.clock() < self.cut_links.get((core.name, address), 0.0)

    async def link_is_up(self, core: Core, address: str, deadline: float) -> bool:
        """Wait until the link works; return False if it stays cut until `deadline`."""
        while self.is_cut(core, address):
            if self.clock() >= deadline:
                return False
            await asyncio.sleep(LINK_POLL_INTERVAL_S)
        return True

    # --- periodic steps ------------------------------------------------------------

    def _tick(self) -> None:
        self._move_lease()
        for core in self.cores:
            core.run_if_running(core.tick)

    def _move_lease(self) -> None:
        now, lease = self.clock(), self.lease
        holder = lease.holder
        if holder is not None and now < lease.until:
            is_connected = now >= self.isolated_until.get(holder.name, 0.0)
            if holder.is_running and is_connected and holder.dropped_epoch != lease.epoch:
                lease.until = now + LEASE_S
            return
        candidates = [
            core
            for core in self.cores
            if core.is_running and now >= self.isolated_until.get(core.name, 0.0)
        ]
        if candidates:
            self.leader_changes += 1
            self.lease = Lease(self.random.choice(candidates), lease.epoch + 1, now + LEASE_S)

    def _change_document(self) -> None:
        self.document = attrs.evolve(self.document, version=self.document.version + 1)
        if self.retires_models and not self.is_calm and self.random.random() < RETIREMENT_SHARE:
            self._retire_models()
        document = self.document
        for core in self.cores:
            self.loop.call_later(
                self.random.uniform(0.0, 0.5), self._deliver_document, core, document
            )

    def _retire_models(self) -> None:
        """Retire a few models of the document, and declare as many others."""
        declared = sorted(self._declared_models())
        others = sorted(set(self.catalog) - set(declared))
        count = self.random.randint(1, 4)
        retired = self.random.sample(declared, count)
        kept = [name for name in declared if name not in retired]
        pool = self._make_pool([*kept, *self.random.sample(others, count)])
        self.document = attrs.evolve(self.document, pools={POOL: pool})

    def _deliver_document(self, core: Core, document: ForwardingDocument) -> None:
        if self.clock() >= core.receives_documents_from:
            core.run_if_running(lambda: core.on_document(document))

    def _random_item(self) -> tuple[str, str | None]:
        model = self.random.choice(sorted(self._declared_models()))
        number = self.random.randrange(2 * ADAPTERS_PER_MODEL)
        return model, f"{model}/a{number}" if number < ADAPTERS_PER_MODEL else None

    def _report_demand(self) -> None:
        if not self.is_calm and self.random.random() < DEMAND_INTERVAL_S / 3.0:
            for _ in range(self.random.randint(1, 5)):
                self.demanded_items[self.random.randrange(len(self.demanded_items))] = (
                    self._random_item()
                )
        rows = tuple(
            DemandRow(model, adapter, requests=self.random.randrange(3), waiting=waiting)
            for model, adapter in dict.fromkeys(self.demanded_items)
            for waiting in (0 if self._is_served(model, adapter) else 1,)
        )
        for core in self.cores:
            core.run_if_running(lambda core=core: core.runner.feed(DemandReported("node-1", rows)))

    def _is_served(self, model: str, adapter: str | None) -> bool:
        return any(
            model in server.held
            and (adapter is None or adapter.rpartition("/")[2] in server.held[model])
            for server in self.server_by_address.values()
            if not server.is_down
        )

    def _read_list(self) -> None:
        rows = {}
        for address, instance in self.listed.items():
            server = self.server_by_address[address]
            models = server.listed_models() if instance == server.instance else {}
            rows[instance] = ServerRow(
                server=instance,
                address=address,
                pool=POOL,
                zone=server.zone,
                kind=PoolKind.LANGUAGE_MODEL,
                health=ServerHealth.READY,
                incarnation=instance,
                memory_bytes=MEMORY_BYTES,
                models=frozenset(models),
                adapters=frozenset(
                    f"{model}/{adapter}" for model, names in models.items() for adapter in names
                ),
                max_running=64,
                draining=address in self.draining,
            )
        for core in self.cores:
            core.run_if_running(lambda core=core: core.on_server_list(dict(rows)))
