"""One core of the soak test of orders: the real controller and order runner in virtual time."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import TYPE_CHECKING

import attrs

from zincvale.controlplane.directory.server_discovery import ServersObserved
from zincvale.controlplane.documents.derived_intent import IntentDeriver, StoreConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.controlplane.placement.events import DirectoryChanged, IntentChanged, StatusReport
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
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.machine import Tick
from zincvale.platform.servers import PlatformOrders

if TYPE_CHECKING:
    from tests.daemons.order_soak import OrderSoak

LIST_LAG_S = 0.8
LEASE_MARGIN_S = 0.3
ORDER_QUIET_S = 3.0
UNACKNOWLEDGED_LIMIT_S = 0.3
NEW_CONNECTION_SHARE = 0.1

ACTING_CORE: contextvars.ContextVar[Core] = contextvars.ContextVar("acting core")


async def sleep_as_core(seconds: float) -> None:
    """Sleep in the acting core; a frozen core continues only after it is thawed."""
    await asyncio.sleep(seconds)
    await ACTING_CORE.get().wait_until_running()


class Core:
    """One incarnation of a core process."""

    def __init__(self, soak: OrderSoak, name: str, seed: int) -> None:
        self.soak = soak
        self.name = name
        self.frozen_until = 0.0
        self.is_killed = False
        self.dropped_epoch = 0
        self.rows: dict[str, ServerRow] = {}
        self.document_version = 0
        self.receives_documents_from = 0.0
        self.intent = IntentDeriver(StoreConfig())
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
    def is_running(self) -> bool:
        return not self.is_killed and self.soak.clock() >= self.frozen_until

    async def wait_until_running(self) -> None:
        """Return when the process runs; never return for a killed process."""
        while not self.is_running:
            if self.is_killed:
                await asyncio.get_running_loop().create_future()
            await asyncio.sleep(self.frozen_until - self.soak.clock())

    def run_if_running(self, action: Callable[[], None]) -> None:
        """Run `action` in this process, unless the process is frozen or killed."""
        if self.is_running:
            contextvars.copy_context().run(self._run_as_core, action)

    def _run_as_core(self, action: Callable[[], None]) -> None:
        ACTING_CORE.set(self)
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

    def on_server_list(self, rows: dict[str, ServerRow]) -> None:
        removed = tuple(server for server in self.rows if server not in rows)
        self.rows = rows
        now = self.soak.clock()
        observed = ServersObserved(tuple(rows.values()), removed, now - LIST_LAG_S)
        is_leading = bool(self.leadership.epoch)
        reports = listed_reports(
            observed,
            observed.requested_at - LIST_LAG_S if is_leading else float("-inf"),
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
        """Deliver a call over the simulated network, as `HttpFetcher.call` would."""
        soak, deadline = self.soak, self.soak.clock() + timeout_s
        if soak.random.random() < NEW_CONNECTION_SHARE or soak.is_cut(self, address):
            if not await soak.link_is_up(self, address, deadline):
                return FetchResult(0, connected=False)
            await asyncio.sleep(soak.one_way_s())
            if body is not None and soak.freezes_at_send:
                soak.faults.freeze_at_send(self)
            await self.wait_until_running()
            server = soak.server_by_address.get(address)
            if server is None or server.is_down:
                return FetchResult(0, connected=False)
        elif not await soak.link_is_up(self, address, soak.clock() + UNACKNOWLEDGED_LIMIT_S):
            return FetchResult(0)
        await asyncio.sleep(soak.one_way_s())
        server = soak.server_by_address.get(address)
        if server is None or server.is_down:
            return FetchResult(0)
        result = server.respond(HttpCall(path, b"", dict(headers)), body)
        return await self._response(result, address, deadline)

    async def _response(self, result: FetchResult, address: str, deadline: float) -> FetchResult:
        soak = self.soak
        if soak.random.random() < soak.reset_share:
            await self.wait_until_running()
            return FetchResult(0)
        is_lost = soak.random.random() < soak.loss_share
        if is_lost or not await soak.link_is_up(self, address, deadline):
            await sleep_as_core(max(0.0, deadline - soak.clock()))
            return FetchResult(0)
        await sleep_as_core(soak.one_way_s())
        return result


def _ignore(*_arguments: object, **_fields: object) -> None:
    """Ignore a call whose effect the soak test does not observe."""
