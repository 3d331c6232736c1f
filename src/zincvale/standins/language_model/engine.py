"""Discrete model of a language-model server: continuous batching of prefill and decode.

Performs no I/O; time is passed in. The server works in steps. A step decodes one token for every
running request and prefills a bounded number of tokens of the requests that wait for their first
token; the more requests decode, the longer a step takes. Prompt tokens found in the KV cache need
no prefill.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, deque

import attrs

from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import Generation, GenerationKey
from zincvale.standins.language_model.kv_cache import KvAllocation, KvCache

PREFILL_CHUNK_TOKENS = 512
"""Limit on the tokens prefilled in one step; a higher one delays the tokens of running requests."""
MAX_LATENESS_S = 0.05
"""If `advance` is called later than this after the end of a step, the process was frozen, and the
next step starts at the current time instead of at the end of the last one."""
COLD_MIN_RUNNING = 1
"""Requests that a cold server always accepts; with 0 it would refuse all of them until its ramp
has begun."""


class Refusal(enum.Enum):
    """Why the engine refused a request."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    TOO_LARGE = "too-large"


@attrs.frozen
class TokenEmitted:
    """A request generated token number `index`, counted from 1 and including the prefix."""

    run_id: str
    index: int
    text: str


@attrs.frozen
class Finished:
    """A request generated its last token; `count` includes the prefix."""

    run_id: str
    count: int


@attrs.define
class _Request:
    run_id: str
    generation: Generation
    owner: str
    prompt_tokens: list[str]
    total_tokens: int
    prefix_tokens: int
    allocation: KvAllocation | None = None
    prefill_left: int = 0


@attrs.frozen
class _Step:
    ends_at: float
    decoding: list[str]
    prefilled: dict[str, int]


class Engine:
    """Queue, batch and KV cache of one server.

    Parameters
    ----------
    profile : capacity and speed of the server.
    """

    def __init__(self, profile: LanguageModelProfile) -> None:
        self.profile = profile
        self.cache = KvCache(profile.kv_block_tokens, profile.kv_bytes_per_token)
        self.slow_factor = 1.0
        self._running: OrderedDict[str, _Request] = OrderedDict()
        self._queued: deque[_Request] = deque()
        self._step: _Step | None = None
        self._warm_from: float | None = None

    def set_free_memory(self, free_bytes: int) -> None:
        """Limit the KV cache to the memory that weights leave free and to the profile's limit."""
        self.cache.set_capacity(min(free_bytes, self.profile.kv_cache_bytes))

    def begin_warm_up(self, now: float) -> None:
        """Start the ramp from cold to full capacity; later calls have no effect."""
        if self._warm_from is None:
            self._warm_from = now

    def is_cold(self, now: float) -> bool:
        """Return whether the ramp has not started or not ended yet."""
        return self._warm_from is None or now - self._warm_from < self.profile.ramp_s

    def max_running(self, now: float) -> int:
        """Return how many requests may run at once; fewer while the server is cold."""
        if self.is_cold(now):
            return min(self.profile.max_running, self._ramped_limit(now))
        return self.profile.max_running

    def running_count(self) -> int:
        """Return how many requests are in the batch."""
        return len(self._running)

    def queued_count(self) -> int:
        """Return how many requests wait for the batch."""
        return len(self._queued)

    def submit(
        self, run_id: str, key: GenerationKey, prefix: list[str], now: float
    ) -> Refusal | None:
        """Queue a request and return None, or return why it is refused.

        `run_id` identifies this run on the server: a request that is sent twice runs twice.
        """
        refusal = self._refusal(now)
        if refusal is not None:
            return refusal
        request = _new_request(run_id, key, prefix)
        if not self.cache.can_ever_fit(request.total_tokens):
            return Refusal.TOO_LARGE
        self._queued.append(request)
        self._admit()
        self._start_step(now)
        return None

    def cancel(self, run_id: str) -> int | None:
        """Remove a request; return how many tokens it had, or None if it has already ended."""
        request = self._running.get(run_id)
        if request is not None:
            self._remove(request)
            return request.generation.generated
        for request in self._queued:
            if request.run_id == run_id:
                self._queued.remove(request)
                return request.generation.generated
        return None

    def next_at(self) -> float | None:
        """Return the time at which `advance` is due, or None while no request runs."""
        return self._step.ends_at if self._step else None

    def advance(self, now: float) -> list[TokenEmitted | Finished]:
        """Complete the step that is due, if any, start the next and return what was generated."""
        step = self._step
        if step is None or now < step.ends_at:
            return []
        self._step = None
        emitted = self._end_step(step)
        self._admit()
        is_late = now - step.ends_at > MAX_LATENESS_S
        self._start_step(now if is_late else step.ends_at)
        return emitted

    def _refusal(self, now: float) -> Refusal | None:
        request_count = len(self._running) + len(self._queued)
        if self.is_cold(now) and request_count >= self._ramped_limit(now):
            return Refusal.COLD
        if request_count >= self.profile.max_running + self.profile.max_queued:
            return Refusal.OVERLOADED
        return None

    def _ramped_limit(self, now: float) -> int:
        if self._warm_from is None or self.profile.ramp_s <= 0:
            return COLD_MIN_RUNNING
        share = (now - self._warm_from) / self.profile.ramp_s
        return max(COLD_MIN_RUNNING, int(self.profile.max_running * share))

    def _admit(self) -> None:
        while self._queued and len(self._running) < self.profile.max_running:
            request = self._queued[0]
            allocation = self.cache.allocate(
                request.owner, request.prompt_tokens, request.total_tokens
            )
            if allocation is None:
                return
            self._queued.popleft()
            request.allocation = allocation
            uncached = len(request.prompt_tokens) - allocation.cached_tokens
            request.prefill_left = max(1, uncached + request.prefix_tokens)
            self._running[request.run_id] = request

    def _start_step(self, start: float) -> None:
        if self._step is not None or not self._running:
            return
        decoding = [r.run_id for r in self._running.values() if r.prefill_left == 0]
        prefilled = self._next_prefill()
        duration = self._decode_s(len(decoding))
        duration += sum(prefilled.values()) / self.profile.prefill_tokens_per_second
        self._step = _Step(start + duration * self.slow_factor, decoding, prefilled)

    def _next_prefill(self) -> dict[str, int]:
        budget = PREFILL_CHUNK_TOKENS
        chunk: dict[str, int] = {}
        for request in self._running.values():
            if budget == 0:
                break
            taken = min(request.prefill_left, budget)
            if taken:
                chunk[request.run_id] = taken
                budget -= taken
        return chunk

    def _decode_s(self, batch: int) -> float:
        if batch == 0:
            return 0.0
        slowdown = 1.0 + self.profile.batch_slowdown * (batch - 1)
        return self.profile.decode_s_per_token * slowdown

    def _end_step(self, step: _Step) -> list[TokenEmitted | Finished]:
        emitting = list(step.decoding)
        for run_id, tokens in step.prefilled.items():
            request = self._running.get(run_id)
            if request is None:
                continue
            request.prefill_left -= tokens
            if request.prefill_left == 0:
                emitting.append(run_id)
        emitted: list[TokenEmitted | Finished] = []
        for run_id in emitting:
            emitted += self._emit(run_id)
        return emitted

    def _emit(self, run_id: str) -> list[TokenEmitted | Finished]:
        request = self._running.get(run_id)
        if request is None:
            return []
        emitted: list[TokenEmitted | Finished] = []
        generation = request.generation
        if not generation.is_finished():
            text = generation.next_token()
            emitted.append(TokenEmitted(run_id, generation.generated, text))
        if generation.is_finished():
            emitted.append(Finished(run_id, generation.generated))
            self._remove(request)
        return emitted

    def _remove(self, request: _Request) -> None:
        self._running.pop(request.run_id, None)
        if request.allocation is not None:
            self.cache.release(request.allocation, computed=request.prefill_left == 0)


def _new_request(run_id: str, key: GenerationKey, prefix: list[str]) -> _Request:
    generation = Generation(key, prefix)
    prompt_tokens = key.prompt.split()
    total_tokens = len(prompt_tokens) + max(generation.length, len(prefix))
    owner = f"{key.model}\x00{key.adapter}"
    return _Request(run_id, generation, owner, prompt_tokens, total_tokens, len(prefix))
