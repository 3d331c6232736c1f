"""Language-model servers in virtual time: the stand-ins' engine and memory without HTTP."""

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
    """The node's side of one request at a server; called when the server sends, without delay."""

    def on_refused(self, end: ExchangeEnd, missing: tuple[str, ...], is_final: bool) -> None:
        """Handle a refusal: nothing ran.

        `missing` names models and adapters that are not loaded; a final refusal would be the same
        at every server.
        """

    def on_tokens(self, count: int) -> None:
        """Handle that the response has reached `count` tokens, the prefix included."""

    def on_finished(self, count: int) -> None:
        """Handle that the response is complete, with `count` tokens."""

    def on_broken(self, count: int, was_sent: bool) -> None:
        """Handle that the connection broke after `count` tokens."""


@attrs.define(eq=False)
class ServerStats:
    """Counts of what a server did, for figures and tests."""

    runs: int = 0
    refusals: int = 0
    loads: int = 0
    unloads: int = 0
    loaded_bytes: int = 0
    refused_orders: int = 0
    run_start_times: array[float] = attrs.field(factory=lambda: array("d"))
    """Start time of each run, in virtual seconds."""


@attrs.define(eq=False)
class VirtualServer:
    """Base of both kinds of server: the platform's row, the state of the process, the counts."""

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
        """Return the status that `GET /status` would report now."""
        raise NotImplementedError

    def submit(
        self,
        listener: ExchangeListener,
        key: GenerationKey,
        prefix_tokens: int,
        report_at_token: int,
    ) -> Callable[[], None]:
        """Accept or refuse a request; return the function that closes its connection.

        The listener is also called when the response has `report_at_token` tokens; 0 for never.
        """
        raise NotImplementedError

    def order(self, order: Order, store: VirtualStore | None) -> OrderRefusal | None:
        """Carry out a placement order; return the reason when it is refused, else None."""
        return OrderRefusal.OTHER

    def crash(self) -> None:
        """End the process: every connection breaks."""
        raise NotImplementedError

    def start(self) -> None:
        """Start the process again, cold and empty."""
        self.is_up = True
        self.incarnation += 1

    def _record_run(self) -> None:
        self.stats.runs += 1
        self.stats.run_start_times.append(self.clock.now)


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
        self._reset()

    def status(self) -> ServerStatus:
        """Return the status that `GET /status` would report now."""
        self._advance_engine()
        now = self.clock.now
        models = self.residency.models
        adapters = self.residency.adapters
        items = {**models, **adapters}
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
                name for name, row in items.items() if row.state is WeightState.LOADING
            ),
            unloading=frozenset(
                name for name, row in items.items() if row.state is WeightState.UNLOADING
            ),
        )

    def submit(
        self,
        listener: ExchangeListener,
        key: GenerationKey,
        prefix_tokens: int,
        report_at_token: int,
    ) -> Callable[[], None]:
        """Start a generation, or refuse it."""
        self._advance_engine()
        if not self.residency.serves(key.model, key.adapter):
            self.stats.refusals += 1
            missing = tuple(name for name in (key.model, key.adapter) if self._is_missing(name))
            listener.on_refused(ExchangeEnd.NOT_RESIDENT, missing, False)
            return do_nothing
        self._run_count += 1
        run_id = f"run-{self._run_count}"
        refusal = self.engine.submit(run_id, key, [""] * prefix_tokens, self.clock.now)
        if refusal is not None:
            self.stats.refusals += 1
            is_final = refusal is Refusal.TOO_LARGE
            listener.on_refused(END_BY_REFUSAL[refusal], (), is_final)
            return do_nothing
        self.residency.acquire(key.model, key.adapter)
        if report_at_token:
            self.engine.report_at_tokens[run_id] = report_at_token
        self._runs[run_id] = _Run(listener, key.model, key.adapter)
        self._record_run()
        self._set_timer()
        return lambda: self._cancel_run(run_id)

    def order(self, order: Order, store: VirtualStore | None) -> OrderRefusal | None:
        """Begin a load or unload; return the reason when it is refused, else None."""
        self._advance_engine()
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
        """End the process: every connection and pull breaks."""
        if not self.is_up:
            return
        self._advance_engine()
        self.is_up = False
        runs, self._runs = self._runs, {}
        for store, pull_id in self._pulls.values():
            store.cancel_pull(pull_id)
        for run_id, run in runs.items():
            run.listener.on_broken(self.engine.generated(run_id), True)
        self._reset()

    def set_slow_factor(self, factor: float) -> None:
        """Lengthen every step by a factor, from the next one on."""
        self._advance_engine()
        self.engine.slow_factor = factor
        self._set_timer()

    def _reset(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pulls.clear()
        self.engine = StepSkippingEngine(self.profile)
        self.residency = Residency(self.profile.memory_bytes, self.profile.max_concurrent_loads)
        self._update_free_memory()

    # Requests and the engine.

    def _advance_engine(self) -> None:
        """Advance the engine to now and deliver its events."""
        for timed_event in self.engine.advance_to(self.clock.now):
            self._dispatch_event(timed_event.event.run_id, timed_event.event)
        self._set_timer()

    def _dispatch_event(self, run_id: str, event: object) -> None:
        run = self._runs.get(run_id)
        if run is None:
            return
        if isinstance(event, Finished):
            self._end_run(run_id)
            run.listener.on_finished(event.count)
            return
        count = self.engine.generated(run_id) or 1
        if not run.has_tokens or count == self.engine.report_at_tokens.get(run_id):
            run.has_tokens = True
            run.listener.on_tokens(count)

    def _cancel_run(self, run_id: str) -> None:
        if run_id not in self._runs:
            return
        self._advance_engine()
        if self.engine.cancel(run_id) is not None:
            self._end_run(run_id)
        self._set_timer()

    def _end_run(self, run_id: str) -> None:
        run = self._runs.pop(run_id)
        self.engine.report_at_tokens.pop(run_id, None)
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
        self._advance_engine()

    # Loads and unloads of weights.

    def _order_load(self, order: Order, store: VirtualStore | None) -> OrderResult:
        pinned = self.engine.cache.pinned_bytes()
        if order.item_kind is ItemKind.MODEL:
            response = self.residency.order_model_load(order.name, order.item_bytes, pinned)
        else:
            response = self.residency.order_adapter_load(
                order.name, order.base_model, order.item_bytes, pinned
            )
        if response.error is None and not response.is_already_done:
            self._update_free_memory()
            self._start_pull(order, store)
        return response

    def _start_pull(self, order: Order, store: VirtualStore | None) -> None:
        name, incarnation = order.name, self.incarnation

        def on_pulled() -> None:
            self._pulls.pop(name, None)
            overhead_s = self.pull_overhead_s
            self.clock.call_later(overhead_s, lambda: self._complete_load(order, incarnation))

        pull_id = 0
        if store is not None:
            max_bytes_per_second = float(self.profile.pull_bytes_per_second)
            pull_id = store.pull(order.item_bytes, max_bytes_per_second, on_pulled)
        if store is None or not pull_id:
            self.residency.load_failed(name)
            self._update_free_memory()
            return
        self._pulls[name] = (store, pull_id)

    def _complete_load(self, order: Order, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        self._advance_engine()
        if not self.residency.load_completed(order.name):
            return
        self.engine.begin_warm_up(self.clock.now)
        self._update_free_memory()
        self.stats.loads += 1
        self.stats.loaded_bytes += order.item_bytes

    def _on_weights_removed(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.stats.unloads += 1
            pulling = self._pulls.pop(name, None)
            if pulling is not None:
                pulling[0].cancel_pull(pulling[1])
        if names:
            self._update_free_memory()

    def _update_free_memory(self) -> None:
        self.engine.set_free_memory(self.residency.free_bytes())

    def _is_missing(self, name: str) -> bool:
        if not name:
            return False
        row = self.residency.models.get(name) or self.residency.adapters.get(name)
        return row is None or row.state is not WeightState.LOADED


def do_nothing() -> None:
    """Do nothing: the request was refused, so that closing its connection ends no run."""
