"""A language-model server's state: engine, memory and the requests that wait for tokens."""

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
    """Where weights come from."""

    async def pull(
        self, store: str, name: str, size_bytes: int, is_needed: Callable[[], bool]
    ) -> None:
        """Return when the weights are here; raises `PullError`."""
        ...


@attrs.define(eq=False)
class Run:
    """One request that the engine works on, and the events that come out of it."""

    run_id: str
    request_id: str
    model: str
    adapter: str
    events: asyncio.Queue[EngineEvent] = attrs.field(factory=asyncio.Queue)


class LanguageModel(BackEnd):
    """One language-model server.

    Parameters
    ----------
    place : which server this is.
    profile : sizes and speeds.
    journal : what really happened.
    clock : seconds on `CLOCK_BOOTTIME`.
    puller : fetches weights.
    seed : of the misbehaviour.
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
        self._timer_at = 0.0
        self._pulls: set[asyncio.Task[None]] = set()
        self._memory_changed()

    def preload(self, resident: list[ResidentModel]) -> None:
        """Load `resident` at the start, as a server that has been up for long."""
        for model in resident:
            self.residency.order_model_load(model.name, model.size_bytes, 0)
            self._loaded(model.name, model.size_bytes)
            for adapter, size_bytes in model.adapters.items():
                self.residency.order_adapter_load(adapter, model.name, size_bytes, 0)
                self._loaded(adapter, size_bytes)

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /status`."""
        now = self.clock()
        cold = self.engine.is_cold(now)
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
            "state": "cold" if cold else "ready",
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
        """Take a request and return its run, or why it was refused."""
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
        """Cancel a run whose client disconnected."""
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
        self._memory_changed()
        task = asyncio.ensure_future(self._pull(name, size_bytes, store, order_id))
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)

    def on_weights_removed(self, names: tuple[str, ...]) -> None:
        """Journal weights that were removed from memory."""
        if not names:
            return
        self._memory_changed()
        for name in names:
            self.journal.write(
                "unloaded", name=name, bytes=0, used_bytes=self.residency.used_bytes()
            )

    async def _pull(self, name: str, size_bytes: int, store: str, order_id: str) -> None:
        try:
            await self._puller.pull(store, name, size_bytes, lambda: self._is_loading(name))
        except PullError as error:
            self.residency.load_failed(name)
            self._memory_changed()
            self.journal.write("load-failed", name=name, order_id=order_id, error=str(error))
            return
        self._loaded(name, size_bytes, order_id)

    def _loaded(self, name: str, size_bytes: int, order_id: str = "") -> None:
        if not self.residency.load_completed(name):
            return
        self.engine.begin_warm_up(self.clock())
        used_bytes = self.residency.used_bytes()
        self._memory_changed()
        self.journal.write(
            "loaded", name=name, bytes=size_bytes, used_bytes=used_bytes, order_id=order_id
        )

    def _is_loading(self, name: str) -> bool:
        return name in self.residency.models or name in self.residency.adapters

    def _memory_changed(self) -> None:
        self.engine.set_free_memory(self.residency.free_bytes())

    def _set_timer(self) -> None:
        due = self.engine.next_at()
        if due is None:
            return
        if self._timer is not None:
            if self._timer_at <= due:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer_at = due
        self._timer = loop.call_later(max(0.0, due - self.clock()), self._step)

    def _step(self) -> None:
        self._timer = None
        now = self.clock()
        self.engine.slow_factor = self.behaviours.slow_factor(now)
        for event in self.engine.advance(now):
            self._dispatch(event)
        self._set_timer()

    def _dispatch(self, event: EngineEvent) -> None:
        run = self._run_by_id[event.run_id]
        if isinstance(event, Finished):
            self.journal.write("done", request_id=run.request_id, tokens=event.count)
            self._end(run)
        run.events.put_nowait(event)

    def _end(self, run: Run) -> None:
        del self._run_by_id[run.run_id]
        self.on_weights_removed(self.residency.release(run.model, run.adapter))
