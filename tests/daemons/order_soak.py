"""Soak of placement's orders: real controllers and runners of three cores, in virtual time.

The leader lease moves among cores that freeze, are cut off, or are killed; documents change all the
time, demand moves, servers crash, are replaced and evacuated, answers and connections are lost. The
simulated servers judge every order that they take.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from unittest import mock

import attrs

from tests.daemons.order_servers import SimulatedModel, SimulatedServer
from zincvale.controlplane.directory.server_discovery import ServersObserved
from zincvale.controlplane.documents.derived_intent import DocumentIntent, StoreConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import (
    DemandReported,
    DemandRow,
    DirectoryChanged,
    IntentChanged,
    StatusReport,
)
from zincvale.daemons.forwarding_placement import placement_config
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.daemons.listed_reports import listed_reports
from zincvale.daemons.placement_leadership import PlacementLeadership
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.roles import PLACEMENT_ROLE
from zincvale.daemons.server_orders import HttpCall
from zincvale.daemons.unreachable_servers import UnreachableServers
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.forwarding import Engine, EngineModel, ForwardingDocument, ForwardPool
from zincvale.model.machine import Tick
from zincvale.model.resources import PoolKind
from zincvale.platform.servers import PlatformOrders
from zincvale.simulator.virtual_loop import VirtualLoop

GB = 1_000_000_000
POOL = "models"
ZONES = ("zone-a", "zone-b", "zone-c")
SERVERS = 6
MODELS = 24
ADAPTERS_PER_MODEL = 3
MEMORY_BYTES = 220 * GB
ADAPTER_SLOTS = 4
LIST_LAG_S = 0.8
LIST_INTERVAL_S = 0.8
TICK_S = 0.05
DEMAND_INTERVAL_S = 0.25
DOCUMENT_INTERVAL_S = 0.25
TROUBLE_INTERVAL_S = 0.5
LEASE_S = 3.0
LEASE_MARGIN_S = 0.3
ORDER_QUIET_S = 3.0
UNACKNOWLEDGED_LIMIT_S = 0.3
LONGEST_ONE_WAY_S = 0.004
NEW_CONNECTION_SHARE = 0.1
POLL_S = 0.02
FREEZE_AT_SEND_SHARE = 0.05
"""Of orders on new connections."""
SAME_NAME_SHARE = 0.5
"""Of restarts after a crash."""

ACTING: contextvars.ContextVar[Core] = contextvars.ContextVar("acting core")


async def sleep_as_core(seconds: float) -> None:
    """Sleep as the acting core does: a frozen process wakes when it is thawed."""
    await asyncio.sleep(seconds)
    await ACTING.get().awake()


class Core:
    """One incarnation of a core process."""

    def __init__(self, soak: OrderSoak, name: str, seed: int) -> None:
        self.soak = soak
        self.name = name
        self.frozen_until = 0.0
        self.is_dead = False
        self.dropped_epoch = 0
        self.rows: dict[str, ServerRow] = {}
        self.document_version = 0
        self.knows_documents_from = 0.0
        self.intent = DocumentIntent(StoreConfig())
        self.controller = PlacementController(random.Random(seed), placement_config(ORDER_QUIET_S))
        guard = LeadershipGuard(self, PLACEMENT_ROLE, soak.clock)
        self.runner = PlacementRunner(
            self.controller,
            SimpleNamespace(call=self.call),
            SimpleNamespace(guard=guard),
            soak.clock,
            soak.clock,
            lambda server: self.rows.get(server),
            SimpleNamespace(on_order_sent=_ignore, on_order_completed=_ignore),
            PlatformOrders(),
            name,
            lambda order: soak.catalog[order.name].load_s,
            _ignore,
            self.on_reachability,
        )
        self.unreachable = UnreachableServers(soak.clock, self.runner.request_status)
        self.leadership = PlacementLeadership(self, self.runner, _ignore, self.unreachable.clear)

    # --- the process ----------------------------------------------------------------------

    @property
    def is_awake(self) -> bool:
        return not self.is_dead and self.soak.clock() >= self.frozen_until

    async def awake(self) -> None:
        """Return once the process runs; a killed one never does."""
        while not self.is_awake:
            if self.is_dead:
                await asyncio.get_running_loop().create_future()
            await asyncio.sleep(self.frozen_until - self.soak.clock())

    def act(self, action: Callable[[], None]) -> None:
        """Run what the process does now; a frozen one does nothing."""
        if self.is_awake:
            contextvars.copy_context().run(self._act, action)

    def _act(self, action: Callable[[], None]) -> None:
        ACTING.set(self)
        action()

    def role(self, _role: str, now: float) -> SimpleNamespace:
        """Return the state of the leader lease, as `CoreMachine.role` does."""
        lease = self.soak.lease
        acts_until = lease.until - LEASE_MARGIN_S
        is_leader = lease.holder is self and lease.epoch != self.dropped_epoch
        return SimpleNamespace(
            is_leader=is_leader and now < acts_until, epoch=lease.epoch, acts_until=acts_until
        )

    def tick(self) -> None:
        now = self.soak.clock()
        self.leadership.update(now)
        self.runner.feed(Tick())
        self.unreachable.tick(now)

    # --- inputs, as `ForwardingCore` takes them ---------------------------------------------

    def on_list(self, rows: dict[str, ServerRow]) -> None:
        removed = tuple(server for server in self.rows if server not in rows)
        self.rows = rows
        now = self.soak.clock()
        observed = ServersObserved(tuple(rows.values()), removed, now - LIST_LAG_S)
        leads = bool(self.leadership.epoch)
        reports = listed_reports(
            observed,
            observed.requested_at - LIST_LAG_S if leads else float("-inf"),
            lambda server: self.is_confirmed(server) or server in self.unreachable,
        )
        for server in removed:
            self.unreachable.remove(server)
        self.runner.feed(DirectoryChanged(reports, removed))

    def is_confirmed(self, server: str) -> bool:
        state = self.controller.state.servers.get(server)
        epoch = self.leadership.epoch
        return state is not None and bool(epoch) and state.confirmed_epoch == epoch

    def on_document(self, document: ForwardingDocument) -> None:
        if document.version <= self.document_version:
            return
        self.document_version = document.version
        self.runner.feed(IntentChanged(self.intent.update(document)))

    def on_reachability(self, server: str, is_reachable: bool) -> None:
        if is_reachable:
            self.unreachable.remove(server)
            return
        row = self.rows.get(server)
        if row is None or not self.leadership.epoch:
            return
        self.unreachable.add(server)
        down = attrs.evolve(row, health=ServerHealth.DOWN)
        self.runner.feed(DirectoryChanged((StatusReport(down, self.soak.clock()),)))

    # --- calls to servers -------------------------------------------------------------------

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> FetchResult:
        """Carry a call over the simulated network, as `HttpFetcher.call` would."""
        soak, deadline = self.soak, self.soak.clock() + timeout_s
        if soak.random.random() < NEW_CONNECTION_SHARE or soak.is_cut(self, address):
            if not await soak.link_is_up(self, address, deadline):
                return FetchResult(0, connected=False)
            await asyncio.sleep(soak.one_way_s())
            if body is not None and soak.freezes_at_sends:
                soak.freeze_at_send(self)
            await self.awake()
            server = soak.by_address.get(address)
            if server is None or server.is_down:
                return FetchResult(0, connected=False)
        elif not await soak.link_is_up(self, address, soak.clock() + UNACKNOWLEDGED_LIMIT_S):
            return FetchResult(0)
        await asyncio.sleep(soak.one_way_s())
        server = soak.by_address.get(address)
        if server is None or server.is_down:
            return FetchResult(0)
        result = server.respond(HttpCall(path, b"", dict(headers)), body)
        return await self._response(result, address, deadline)

    async def _response(self, result: FetchResult, address: str, deadline: float) -> FetchResult:
        soak = self.soak
        if soak.random.random() < soak.reset_share:
            await self.awake()
            return FetchResult(0)
        lost = soak.random.random() < soak.loss_share
        if lost or not await soak.link_is_up(self, address, deadline):
            await sleep_as_core(max(0.0, deadline - soak.clock()))
            return FetchResult(0)
        await sleep_as_core(soak.one_way_s())
        return result


def _ignore(*_arguments: object, **_fields: object) -> None:
    """Take what this rig does not look at."""


@attrs.define
class Lease:
    """The leader lease as a majority of cores would grant it."""

    holder: Core | None = None
    epoch: int = 0
    until: float = 0.0


class OrderSoak:
    """Runs one seed; `problems` holds every rule that an order broke.

    Parameters
    ----------
    freezes_at_sends : leaders also freeze between the check of their lease and the write of an
        order whose connection comes up, and servers restart under the same name.
    """

    def __init__(self, seed: int, *, freezes_at_sends: bool = False) -> None:
        self.freezes_at_sends = freezes_at_sends
        self.random = random.Random(seed)
        self.loop = VirtualLoop()
        self.loop.set_exception_handler(self._on_failed_step)
        self.events: Counter[int] = Counter()
        self.keeps_lines = False
        self.lines: list[str] = []
        self.clock = self.loop.time
        self.problems: list[str] = []
        self.leaders_changed = 0
        self.lease = Lease()
        self.cut_off_until: dict[str, float] = {}
        self.cut_links: dict[tuple[str, str], float] = {}
        self.reset_share = 0.0
        self.loss_share = 0.0
        self.catalog = self._make_catalog()
        self.document = self._make_document()
        self.by_address: dict[str, SimulatedServer] = {}
        self.listed: dict[str, str] = {}
        self.draining: set[str] = set()
        self._slots = 0
        self._incarnations = 0
        for _ in range(SERVERS):
            self._list(self._add_server(self.random.sample(sorted(self.catalog), 3)))
        self.cores = [self._new_core(f"core-{number}") for number in range(3)]
        self.hot = [self._draw_demand() for _ in range(10)]

    def run(self, seconds: float) -> None:
        """Play `seconds` of virtual time."""
        for interval_s, step in (
            (TICK_S, self._tick),
            (DOCUMENT_INTERVAL_S, self._change_document),
            (DEMAND_INTERVAL_S, self._report_demand),
            (LIST_INTERVAL_S, self._read_list),
            (TROUBLE_INTERVAL_S, self._trouble),
        ):
            self._every(interval_s, step)
        with (
            mock.patch("zincvale.daemons.placement_runner.gen.sleep", sleep_as_core),
            mock.patch("zincvale.daemons.placement_runner.log", self._on_log),
            mock.patch("zincvale.daemons.order_counts.log", self._on_log),
            mock.patch("tornado.ioloop.app_log.error", self._on_failed_callback),
        ):
            self.loop.run_until(seconds)

    def _on_log(self, number: int, **fields: object) -> None:
        self.events[number] += 1
        if self.keeps_lines:
            self.lines.append(f"{self.clock():.3f} {ACTING.get().name} {number} {fields}")

    def _on_failed_callback(self, message: str, *arguments: object, **_options: object) -> None:
        failure = sys.exc_info()[1]
        self.problems.append(f"{self.clock():.3f}: {message % arguments}: {failure!r}")

    def _on_failed_step(self, _loop: object, context: dict[str, object]) -> None:
        self.problems.append(f"{self.clock():.3f}: {context.get('exception')!r}")

    def _every(self, interval_s: float, step: Callable[[], None]) -> None:
        def again() -> None:
            self.loop.call_later(interval_s, again)
            step()

        self.loop.call_later(interval_s, again)

    def orders_taken(self) -> int:
        """Return the orders that servers executed."""
        return sum(server.orders_taken for server in self.by_address.values())

    # --- what there is ----------------------------------------------------------------------

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
        adapters = tuple(f"a{number}" for number in range(ADAPTERS_PER_MODEL))
        models = {
            name: EngineModel(model.weight_bytes, model.load_s, adapters, model.adapter_bytes)
            for name, model in self.catalog.items()
        }
        engine = Engine(64, 100_000, MEMORY_BYTES, ADAPTER_SLOTS, 4.0, models)
        return ForwardingDocument(version=1, pools={POOL: ForwardPool(POOL, engine=engine)})

    def _add_server(self, models: list[str]) -> SimulatedServer:
        self._slots += 1
        server = SimulatedServer(
            self._slots,
            f"10.0.0.{self._slots}:9000",
            ZONES[self._slots % len(ZONES)],
            MEMORY_BYTES,
            ADAPTER_SLOTS,
            self.catalog,
            self.clock,
            self.random,
            self.problems,
        )
        server.start(models)
        self.by_address[server.address] = server
        return server

    def _list(self, server: SimulatedServer) -> None:
        if server.address in self.by_address and not server.is_down:
            self.listed[server.address] = server.instance

    def _new_core(self, name: str) -> Core:
        self._incarnations += 1
        return Core(self, name, self._incarnations)

    # --- the network ------------------------------------------------------------------------

    def one_way_s(self) -> float:
        return self.random.uniform(0.001, LONGEST_ONE_WAY_S)

    def is_cut(self, core: Core, address: str) -> bool:
        return self.clock() < self.cut_links.get((core.name, address), 0.0)

    async def link_is_up(self, core: Core, address: str, deadline: float) -> bool:
        """Wait for the link; return False when it stays cut until `deadline`."""
        while self.is_cut(core, address):
            if self.clock() >= deadline:
                return False
            await asyncio.sleep(POLL_S)
        return True

    # --- what happens all the time ------------------------------------------------------------

    def _tick(self) -> None:
        self._move_lease()
        for core in self.cores:
            core.act(core.tick)

    def _move_lease(self) -> None:
        now, lease = self.clock(), self.lease
        holder = lease.holder
        if holder is not None and now < lease.until:
            hears_others = now >= self.cut_off_until.get(holder.name, 0.0)
            if holder.is_awake and hears_others and holder.dropped_epoch != lease.epoch:
                lease.until = now + LEASE_S
            return
        able = [
            core
            for core in self.cores
            if core.is_awake and now >= self.cut_off_until.get(core.name, 0.0)
        ]
        if able:
            self.leaders_changed += 1
            self.lease = Lease(self.random.choice(able), lease.epoch + 1, now + LEASE_S)

    def _change_document(self) -> None:
        self.document = attrs.evolve(self.document, version=self.document.version + 1)
        document = self.document
        for core in self.cores:
            self.loop.call_later(
                self.random.uniform(0.0, 0.5), self._deliver_document, core, document
            )

    def _deliver_document(self, core: Core, document: ForwardingDocument) -> None:
        if self.clock() >= core.knows_documents_from:
            core.act(lambda: core.on_document(document))

    def _draw_demand(self) -> tuple[str, str | None]:
        model = self.random.choice(sorted(self.catalog))
        number = self.random.randrange(2 * ADAPTERS_PER_MODEL)
        return model, f"{model}/a{number}" if number < ADAPTERS_PER_MODEL else None

    def _report_demand(self) -> None:
        if self.random.random() < DEMAND_INTERVAL_S / 3.0:
            for _ in range(self.random.randint(1, 5)):
                self.hot[self.random.randrange(len(self.hot))] = self._draw_demand()
        rows = tuple(
            DemandRow(model, adapter, requests=self.random.randrange(3), waiting=waiting)
            for model, adapter in dict.fromkeys(self.hot)
            for waiting in (0 if self._is_served(model, adapter) else 1,)
        )
        for core in self.cores:
            core.act(lambda core=core: core.runner.feed(DemandReported("node-1", rows)))

    def _is_served(self, model: str, adapter: str | None) -> bool:
        return any(
            model in server.held
            and (adapter is None or adapter.rpartition("/")[2] in server.held[model])
            for server in self.by_address.values()
            if not server.is_down
        )

    def _read_list(self) -> None:
        rows = {}
        for address, instance in self.listed.items():
            server = self.by_address[address]
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
            core.act(lambda core=core: core.on_list(dict(rows)))

    # --- trouble ----------------------------------------------------------------------------

    def _trouble(self) -> None:
        kinds = (
            (0.06, self._freeze_leader),
            (0.03, self._cut_leader_off),
            (0.02, self._kill_core),
            (0.05, self._cut_links),
            (0.02, self._crash_server),
            (0.02, self._replace_server),
            (0.02, self._evacuate),
            (0.04, self._lose_answers),
        )
        for probability, trouble in kinds:
            if self.random.random() < probability:
                trouble()

    def freeze_at_send(self, core: Core) -> None:
        """Let the core freeze at times: what it is about to write leaves when it thaws."""
        if self.random.random() < FREEZE_AT_SEND_SHARE and core.is_awake:
            self._freeze(core)

    def _freeze_leader(self) -> None:
        core = self.lease.holder or self.cores[0]
        if core.is_awake:
            self._freeze(core)

    def _freeze(self, core: Core) -> None:
        core.frozen_until = self.clock() + self.random.uniform(0.5, 9.0)
        if core is self.lease.holder:
            # The jump of its clock makes the process drop its lease when it wakes.
            core.dropped_epoch = self.lease.epoch

    def _cut_leader_off(self) -> None:
        if self.lease.holder is not None:
            until = self.clock() + self.random.uniform(2.0, 8.0)
            self.cut_off_until[self.lease.holder.name] = until

    def _kill_core(self) -> None:
        number = self.random.randrange(len(self.cores))
        self.cores[number].is_dead = True
        core = self._new_core(self.cores[number].name)
        core.frozen_until = self.clock() + self.random.uniform(0.3, 2.0)
        core.knows_documents_from = core.frozen_until + self.random.uniform(0.0, 3.0)
        self.cores[number] = core

    def _cut_links(self) -> None:
        until = self.clock() + self.random.uniform(0.1, 4.0)
        share = self.random.choice((0.2, 0.5, 1.0))
        core = self.random.choice(self.cores)
        for address in self.by_address:
            if self.random.random() < share:
                self.cut_links[core.name, address] = until

    def _crash_server(self) -> None:
        server = self.by_address[self.random.choice(sorted(self.by_address))]
        down_s = self.random.uniform(0.5, 4.0)
        keeps_instance = self.freezes_at_sends and self.random.random() < SAME_NAME_SHARE
        server.crash(down_s, keeps_instance=keeps_instance)
        self.loop.call_later(2.0, self.listed.pop, server.address, None)
        self.loop.call_later(max(2.0, down_s) + LIST_LAG_S, self._list, server)

    def _replace_server(self) -> None:
        server = self.by_address[self.random.choice(sorted(self.by_address))]
        if server.address in self.draining:
            return
        self.draining.add(server.address)
        self.loop.call_later(LIST_LAG_S, self._list, self._add_server([]))
        self.loop.call_later(self.random.uniform(3.0, 8.0), self._remove_server, server.address)

    def _remove_server(self, address: str) -> None:
        self.listed.pop(address, None)
        self.draining.discard(address)
        del self.by_address[address]

    def _evacuate(self) -> None:
        evacuated = (
            frozenset() if self.document.evacuated else frozenset((self.random.choice(ZONES),))
        )
        self.document = attrs.evolve(
            self.document, version=self.document.version + 1, evacuated=evacuated
        )

    def _lose_answers(self) -> None:
        self.loss_share = self.random.choice((0.0, 0.05, 0.2))
        self.reset_share = self.random.choice((0.0, 0.02, 0.1))
