"""State of a language-model server: engine, memory and the requests that are running."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from zincvale.standins.back_end import BackEnd, ServerIdentity
from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import GenerationKey, text_digest
from zincvale.standins.journal import JournalWriter
from zincvale.standins.language_model.engine import Engine, Finished, Refusal, TokenEmitted
from zincvale.standins.language_model.residency import OrderResult, Residency
from zincvale.standins.language_model.weight_puller import PullError
from zincvale.standins.settings import ResidentModel

EngineEvent = TokenEmitted | Finished


class Puller(Protocol):
    """Fetches weights from a store."""

    async def pull(
        self, store: str, name: str, size_bytes: int, is_needed: Callable[[], bool]
    ) -> None:
        """Return once the weights have arrived completely; raises `PullError`."""
        ...


@attrs.define(eq=False)
class Run:
    """One request that the engine has accepted, and the queue of its events."""

    run_id: str
    request_id: str
    model: str
    adapter: str
    events: asyncio.Queue[EngineEvent] = attrs.field(factory=asyncio.Queue)


class LanguageModel(BackEnd):
    """One language-model server.

    Parameters
    ----------
    identity : name, pool, zone and incarnation of the server.
    profile : capacity and speed of the server.
    journal : records what actually happened.
    clock : seconds on `CLOCK_BOOTTIME`.
    puller : fetches weights from the stores.
    seed : seed of the draws that decide which requests misbehave.
    """

    def __init__(
        self,
        identity: ServerIdentity,
        profile: LanguageModelProfile,
        journal: JournalWriter,
        clock: Callable[[], float],
        puller: Puller,
        seed: int = 1,
    ) -> None:
        super().__init__(identity, journal, clock, seed)
        self.profile = profile
        self.engine = Engine(profile)
        self.residency = Residency(profile.memory_bytes, profile.max_concurrent_loads)
        self._puller = puller
        self._run_numbers = itertools.count(1)
        self._run_by_id: dict[str, Run] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._pulls: set[asyncio.Task[None]] = set()
        self._update_free_memory()

    def preload(self, resident: list[ResidentModel]) -> None:
        """Mark `resident` as loaded without a pull, as if the server had loaded it earlier."""
        for model in resident:
            self.residency.order_model_load(model.name, model.size_bytes, 0)
            self._finish_load(model.name, model.size_bytes)
            for adapter, size_bytes in model.adapters.items():
                self.residency.order_adapter_load(adapter, model.name, size_bytes, 0)
                self._finish_load(adapter, size_bytes)

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /status`."""
        now = self.clock()
        is_cold = self.engine.is_cold(now)
        models = [
            {"name": row.name, "bytes": row.size_bytes, "state": row.state.value}
            for row in self.residency.models.values()
        ]
        adapters = [
            {
                "name": row.name,
                "base_model": row.base_model,
                "bytes": row.size_bytes,
                "state": row.state.value,
            }
            for row in self.residency.adapters.values()
        ]
        return {
            "server": self.identity.server,
            "incarnation": self.identity.incarnation,
            "state": "cold" if is_cold else "ready",
            "memory_bytes": self.profile.memory_bytes,
            "used_bytes": self.residency.used_bytes(),
            "kv_bytes_used": self.engine.cache.used_bytes(),
            "running": self.engine.running_count(),
            "queued": self.engine.queued_count(),
            "max_running": self.engine.max_running(now),
            "models": models,
            "adapters": adapters,
        }

    def begin(self, request_id: str, key: GenerationKey, prefix: list[str]) -> Run | Refusal:
        """Submit a request to the engine; return its run, or why it was refused."""
        now = self.clock()
        self.engine.slow_factor = self.behaviours.slow_factor(now)
        run = Run(f"run-{next(self._run_numbers)}", request_id, key.model, key.adapter)
        refusal = self.engine.submit(run.run_id, key, prefix, now)
        if refusal is not None:
            return refusal
        self.residency.acquire(key.model, key.adapter)
        self._run_by_id[run.run_id] = run
        self.journal.write(
            "run",
            request_id=request_id,
            server=self.identity.server,
            model=key.model,
            adapter=key.adapter or None,
            prompt_digest=text_digest(key.prompt),
            prefix_tokens=len(prefix),
        )
        self._set_timer()
        return run

    def abandon(self, run: Run) -> None:
        """Cancel a run, for example because its client disconnected."""
        tokens = self.engine.cancel(run.run_id)
        if tokens is None:
            return
        self.journal.write("cancelled", request_id=run.request_id, tokens=tokens)
        self._end(run)

    def start_load(
        self, result: OrderResult, name: str, size_bytes: int, store: str, order_id: str
    ) -> None:
        """Start the pull of a load that `residency` accepted."""
        if result.error is not None or result.is_already_done:
            return
        self._update_free_memory()
        task = asyncio.ensure_future(self._pull(name, size_bytes, store, order_id))
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)

    def on_weights_removed(self, names: tuple[str, ...]) -> None:
        """Update the free memory and journal the weights that were removed."""
        if not names:
            return
        self._update_free_memory()
        for name in names:
            self.journal.write(
                "unloaded", name=name, bytes=0, used_bytes=self.residency.used_bytes()
            )

    async def _pull(self, name: str, size_bytes: int, store: str, order_id: str) -> None:
        try:
            await self._puller.pull(store, name, size_bytes, lambda: self._is_resident(name))
        except PullError as error:
            self.residency.load_failed(name)
            self._update_free_memory()
            self.journal.write("load-failed", name=name, order_id=order_id, error=str(error))
            return
        self._finish_load(name, size_bytes, order_id)

    def _finish_load(self, name: str, size_bytes: int, order_id: str = "") -> None:
        if not self.residency.load_completed(name):
            return
        self.engine.begin_warm_up(self.clock())
        used_bytes = self.residency.used_bytes()
        self._update_free_memory()
        self.journal.write(
            "loaded", name=name, bytes=size_bytes, used_bytes=used_bytes, order_id=order_id
        )

    def _is_resident(self, name: str) -> bool:
        return name in self.residency.models or name in self.residency.adapters

    def _update_free_memory(self) -> None:
        self.engine.set_free_memory(self.residency.free_bytes())

    def _set_timer(self) -> None:
        due = self.engine.next_at()
        if due is None:
            return
        if self._timer is not None:
            if self._timer_due_at <= due:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer_due_at = due
        self._timer = loop.call_later(max(0.0, due - self.clock()), self._step)

    def _step(self) -> None:
        self._timer = None
        now = self.clock()
        self.engine.slow_factor = self.behaviours.slow_factor(now)
        for event in self.engine.advance(now):
            self._deliver_event(event)
        self._set_timer()

    def _deliver_event(self, event: EngineEvent) -> None:
        run = self._run_by_id[event.run_id]
        if isinstance(event, Finished):
            self.journal.write("done", request_id=run.request_id, tokens=event.count)
            self._end(run)
        run.events.put_nowait(event)

    def _end(self, run: Run) -> None:
        del self._run_by_id[run.run_id]
        self.on_weights_removed(self.residency.release(run.model, run.adapter))
