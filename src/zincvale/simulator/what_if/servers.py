"""Language-model servers in virtual time: the stand-ins' engine and memory without their HTTP."""

from __future__ import annotations

from array import array
from collections.abc import Callable
from typing import Protocol

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.controlplane.placement.events import Order, OrderAction, OrderRefusal
from zincvale.controlplane.placement.items import ItemKind
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import AdapterName, ModelName, ServerId
from zincvale.simulator.what_if.clock import Timer, VirtualClock
from zincvale.simulator.what_if.engine import StepSkippingEngine
from zincvale.simulator.what_if.stores import VirtualStore
from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import GenerationKey
from zincvale.standins.language_model.engine import Finished, Refusal
from zincvale.standins.language_model.residency import (
    OrderError,
    OrderResult,
    Residency,
    WeightState,
)

END_BY_REFUSAL = {
    Refusal.OVERLOADED: ExchangeEnd.OVERLOADED,
    Refusal.COLD: ExchangeEnd.COLD,
    Refusal.TOO_LARGE: ExchangeEnd.REFUSED,
}
REFUSAL_BY_ORDER_ERROR = {
    OrderError.MEMORY: OrderRefusal.MEMORY,
    OrderError.BUSY: OrderRefusal.BUSY,
    OrderError.BASE_MODEL: OrderRefusal.BASE_MODEL,
    OrderError.NOT_RESIDENT: OrderRefusal.NOT_HELD,
}


class ExchangeListener(Protocol):
    """The node's side of one request at a server; called at the server's time."""

    def on_refused(self, end: ExchangeEnd, missing: tuple[str, ...], final: bool) -> None:
        """Take a refusal: nothing ran."""

    def on_tokens(self, count: int) -> None:
        """Handle that the response has `count` tokens by now, the prefix included."""

    def on_finished(self, count: int) -> None:
        """Handle that the response is complete."""

    def on_broken(self, count: int, sent: bool) -> None:
        """Handle that the connection broke after `count` tokens."""


@attrs.define(eq=False)
class ServerStats:
    """What a server did, for the figures and checks."""

    runs: int = 0
    refusals: int = 0
    loads: int = 0
    unloads: int = 0
    loaded_bytes: int = 0
    refused_orders: int = 0
    run_times: array[float] = attrs.field(factory=lambda: array("d"))
    """When each run began, in virtual seconds."""


@attrs.define(eq=False)
class VirtualServer:
    """What both kinds of server share: the platform's row, state of the process, stats."""

    platform_row: PlatformServer
    clock: VirtualClock
    is_up: bool = True
    incarnation: int = 1
    stats: ServerStats = attrs.field(factory=ServerStats)

    @property
    def name(self) -> ServerId:
        """The server's identifier."""
        return self.platform_row.server

    def status(self) -> ServerStatus:
        """Return what `GET /status` would say now."""
        raise NotImplementedError

    def submit(
        self, listener: ExchangeListener, key: GenerationKey, prefix_tokens: int, mark: int
    ) -> Callable[[], None]:
        """Take a request; returns what closes its connection."""
        raise NotImplementedError

    def order(self, order: Order, store: VirtualStore | None) -> OrderRefusal | None:
        """Take a placement order; returns why it is refused."""
        return OrderRefusal.OTHER

    def crash(self) -> None:
        """End the process: every connection breaks."""
        raise NotImplementedError

    def start(self) -> None:
        """Start the process again, cold and empty."""
        self.is_up = True
        self.incarnation += 1

    def _began(self) -> None:
        self.stats.runs += 1
        self.stats.run_times.append(self.clock.now)


@attrs.define(eq=False)
class _Run:
    listener: ExchangeListener
    model: str
    adapter: str
    has_tokens: bool = False


@attrs.define(eq=False)
class VirtualLanguageModel(VirtualServer):
    """A language-model server: the stand-in's `Engine` and `Residency`."""

    profile: LanguageModelProfile = attrs.field(kw_only=True)
    pull_overhead_s: float = attrs.field(kw_only=True)
    engine: StepSkippingEngine = attrs.field(init=False)
    residency: Residency = attrs.field(init=False)
    _runs: dict[str, _Run] = attrs.field(factory=dict)
    _run_count: int = 0
    _timer: Timer | None = None
    _pulls: dict[str, tuple[VirtualStore, int]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._make_empty()

    def status(self) -> ServerStatus:
        """Return what `GET /status` would say now."""
        self._sync()
        now = self.clock.now
        models = self.residency.models
        adapters = self.residency.adapters
        both = {**models, **adapters}
        health = ServerHealth.COLD if self.engine.is_cold(now) else ServerHealth.READY
        return ServerStatus(
            server=self.name,
            incarnation=f"{self.name}-{self.incarnation}",
            health=health,
            memory_bytes=self.profile.memory_bytes,
            used_bytes=self.residency.used_bytes(),
            running=self.engine.running_count(),
            queued=self.engine.queued_count(),
            max_running=self.engine.max_running(now),
            models=frozenset(
                ModelName(name) for name, row in models.items() if row.state is WeightState.LOADED
            ),
            adapters=frozenset(
                AdapterName(name)
                for name, row in adapters.items()
                if row.state is WeightState.LOADED
            ),
            loading=frozenset(
                name for name, row in both.items() if row.state is WeightState.LOADING
            ),
            unloading=frozenset(
                name for name, row in both.items() if row.state is WeightState.UNLOADING
            ),
        )

    def submit(
        self, listener: ExchangeListener, key: GenerationKey, prefix_tokens: int, mark: int
    ) -> Callable[[], None]:
        """Take a generation, or refuse it."""
        self._sync()
        if not self.residency.serves(key.model, key.adapter):
            self.stats.refusals += 1
            missing = tuple(name for name in (key.model, key.adapter) if self._lacks(name))
            listener.on_refused(ExchangeEnd.NOT_RESIDENT, missing, False)
            return do_nothing
        self._run_count += 1
        run_id = f"run-{self._run_count}"
        refusal = self.engine.submit(run_id, key, [""] * prefix_tokens, self.clock.now)
        if refusal is not None:
            self.stats.refusals += 1
            final = refusal is Refusal.TOO_LARGE
            listener.on_refused(END_BY_REFUSAL[refusal], (), final)
            return do_nothing
        self.residency.acquire(key.model, key.adapter)
        if mark:
            self.engine.marks[run_id] = mark
        self._runs[run_id] = _Run(listener, key.model, key.adapter)
        self._began()
        self._set_timer()
        return lambda: self._abandon(run_id)

    def order(self, order: Order, store: VirtualStore | None) -> OrderRefusal | None:
        """Begin a load or unload."""
        self._sync()
        if order.action is OrderAction.LOAD:
            response = self._order_load(order, store)
        elif order.item_kind is ItemKind.MODEL:
            response = self.residency.order_model_unload(order.name)
        else:
            response = self.residency.order_adapter_unload(order.name)
        self._on_weights_removed(response.removed)
        if response.error is None:
            return None
        self.stats.refused_orders += 1
        return REFUSAL_BY_ORDER_ERROR[response.error]

    def crash(self) -> None:
        """End the process."""
        if not self.is_up:
            return
        self._sync()
        self.is_up = False
        runs, self._runs = self._runs, {}
        for store, pull_id in self._pulls.values():
            store.abandon(pull_id)
        for run_id, run in runs.items():
            run.listener.on_broken(self.engine.generated(run_id), True)
        self._make_empty()

    def set_slow_factor(self, factor: float) -> None:
        """Work slower by a factor from the next step on."""
        self._sync()
        self.engine.slow_factor = factor
        self._set_timer()

    def _make_empty(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pulls.clear()
        self.engine = StepSkippingEngine(self.profile)
        self.residency = Residency(self.profile.memory_bytes, self.profile.max_concurrent_loads)
        self._memory_changed()

    # requests

    def _sync(self) -> None:
        """Bring the engine up to now and hand out what came of it."""
        for moment in self.engine.advance_to(self.clock.now):
            self._dispatch_event(moment.event.run_id, moment.event)
        self._set_timer()

    def _dispatch_event(self, run_id: str, event: object) -> None:
        run = self._runs.get(run_id)
        if run is None:
            return
        if isinstance(event, Finished):
            self._end(run_id)
            run.listener.on_finished(event.count)
            return
        count = self.engine.generated(run_id) or 1
        if not run.has_tokens or count == self.engine.marks.get(run_id):
            run.has_tokens = True
            run.listener.on_tokens(count)

    def _abandon(self, run_id: str) -> None:
        if run_id not in self._runs:
            return
        self._sync()
        if self.engine.cancel(run_id) is not None:
            self._end(run_id)
        self._set_timer()

    def _end(self, run_id: str) -> None:
        run = self._runs.pop(run_id)
        self.engine.marks.pop(run_id, None)
        self._on_weights_removed(self.residency.release(run.model, run.adapter))

    def _set_timer(self) -> None:
        due = self.engine.next_change_at()
        if self._timer is not None:
            if due is not None and self._timer.action is not None and self._timer.at == due:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self.clock.call_at(due, self._on_due)

    def _on_due(self) -> None:
        self._timer = None
        self._sync()

    # weights

    def _order_load(self, order: Order, store: VirtualStore | None) -> OrderResult:
        pinned = self.engine.cache.pinned_bytes()
        if order.item_kind is ItemKind.MODEL:
            response = self.residency.order_model_load(order.name, order.item_bytes, pinned)
        else:
            response = self.residency.order_adapter_load(
                order.name, order.base_model, order.item_bytes, pinned
            )
        if response.error is None and not response.is_already_done:
            self._memory_changed()
            self._pull(order, store)
        return response

    def _pull(self, order: Order, store: VirtualStore | None) -> None:
        name, incarnation = order.name, self.incarnation

        def arrived() -> None:
            self._pulls.pop(name, None)
            overhead_s = self.pull_overhead_s
            self.clock.call_later(overhead_s, lambda: self._loaded(order, incarnation))

        pull_id = 0
        if store is not None:
            cap = float(self.profile.pull_bytes_per_second)
            pull_id = store.pull(order.item_bytes, cap, arrived)
        if store is None or not pull_id:
            self.residency.load_failed(name)
            self._memory_changed()
            return
        self._pulls[name] = (store, pull_id)

    def _loaded(self, order: Order, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        self._sync()
        if not self.residency.load_completed(order.name):
            return
        self.engine.begin_warm_up(self.clock.now)
        self._memory_changed()
        self.stats.loads += 1
        self.stats.loaded_bytes += order.item_bytes

    def _on_weights_removed(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.stats.unloads += 1
            pulling = self._pulls.pop(name, None)
            if pulling is not None:
                pulling[0].abandon(pulling[1])
        if names:
            self._memory_changed()

    def _memory_changed(self) -> None:
        self.engine.set_free_memory(self.residency.free_bytes())

    def _lacks(self, name: str) -> bool:
        if not name:
            return False
        row = self.residency.models.get(name) or self.residency.adapters.get(name)
        return row is None or row.state is not WeightState.LOADED


def do_nothing() -> None:
    """Close a connection on which nothing runs."""
