"""Resident models and adapters of a language-model server, and the memory they take.

Performs no I/O: the server pulls weights and then calls `load_completed` or `load_failed`.
"""

from __future__ import annotations

import enum

import attrs


class WeightState(enum.Enum):
    """State of a model or adapter on the server.

    Legal transitions: LOADING -> LOADED, LOADED -> UNLOADING. An entry can be removed in any state:
    by a failed load, by an unload order while no request uses it, or when the last request that
    uses an UNLOADING entry ends."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class OrderError(enum.Enum):
    """Why a load or unload order was refused."""

    MEMORY = "memory"
    BUSY = "busy"
    BASE_MODEL = "base-model"
    NOT_RESIDENT = "not-held"


@attrs.define
class Weights:
    """One model or adapter on the server; an adapter names its base model."""

    name: str
    size_bytes: int
    state: WeightState
    base_model: str = ""
    users: int = 0


@attrs.frozen
class OrderResult:
    """Result of an order: accepted, already done, or refused with `error`."""

    error: OrderError | None = None
    is_already_done: bool = False
    removed: tuple[str, ...] = ()
    """Names of the weights that the order removed from memory immediately."""


class Residency:
    """Memory accounting of one server.

    Parameters
    ----------
    memory_bytes : total memory for models, adapters and the KV cache.
    max_concurrent_loads : limit on the loads that run at the same time.
    """

    def __init__(self, memory_bytes: int, max_concurrent_loads: int) -> None:
        self.memory_bytes = memory_bytes
        self._max_concurrent_loads = max_concurrent_loads
        self.models: dict[str, Weights] = {}
        self.adapters: dict[str, Weights] = {}

    def used_bytes(self) -> int:
        """Return the memory that weights take, including those that are still loading."""
        return sum(weights.size_bytes for weights in self._all())

    def free_bytes(self) -> int:
        """Return the memory that weights leave free for the KV cache."""
        return self.memory_bytes - self.used_bytes()

    def serves(self, model: str, adapter: str) -> bool:
        """Return whether a request for `model` and `adapter` (empty for none) can run now."""
        if not _is_loaded(self.models.get(model)):
            return False
        if not adapter:
            return True
        weights = self.adapters.get(adapter)
        return _is_loaded(weights) and weights is not None and weights.base_model == model

    def order_model_load(self, name: str, size_bytes: int, pinned_kv_bytes: int) -> OrderResult:
        """Reserve memory for a model, or refuse the order."""
        if name in self.models:
            return self._result_for_existing(self.models[name])
        error = self._capacity_error(size_bytes, pinned_kv_bytes)
        if error is None:
            self.models[name] = Weights(name, size_bytes, WeightState.LOADING)
        return OrderResult(error)

    def order_adapter_load(
        self, name: str, base_model: str, size_bytes: int, pinned_kv_bytes: int
    ) -> OrderResult:
        """Reserve memory for an adapter of a loaded model, or refuse the order."""
        if name in self.adapters:
            return self._result_for_existing(self.adapters[name])
        if not _is_loaded(self.models.get(base_model)):
            return OrderResult(OrderError.BASE_MODEL)
        error = self._capacity_error(size_bytes, pinned_kv_bytes)
        if error is None:
            self.adapters[name] = Weights(name, size_bytes, WeightState.LOADING, base_model)
        return OrderResult(error)

    def order_model_unload(self, name: str) -> OrderResult:
        """Begin to unload a model and its adapters; each is removed once no request uses it."""
        if name not in self.models:
            return OrderResult(OrderError.NOT_RESIDENT)
        removed = []
        for adapter in self._adapters_of(name):
            removed += self._begin_unload(self.adapters, adapter)
        removed += self._begin_unload(self.models, self.models[name])
        return OrderResult(removed=tuple(removed))

    def order_adapter_unload(self, name: str) -> OrderResult:
        """Begin to unload an adapter; it is removed once no request uses it."""
        if name not in self.adapters:
            return OrderResult(OrderError.NOT_RESIDENT)
        return OrderResult(removed=tuple(self._begin_unload(self.adapters, self.adapters[name])))

    def load_completed(self, name: str) -> bool:
        """Mark a load as complete; return False if the item is no longer loading."""
        weights = self._find(name)
        if weights is None or weights.state is not WeightState.LOADING:
            return False
        weights.state = WeightState.LOADED
        return True

    def load_failed(self, name: str) -> None:
        """Release the memory of a load that failed."""
        weights = self._find(name)
        if weights is None or weights.state is not WeightState.LOADING:
            return
        self.models.pop(name, None)
        self.adapters.pop(name, None)

    def acquire(self, model: str, adapter: str) -> None:
        """Count one more request that uses a model and its adapter."""
        for weights in self._used_by(model, adapter):
            weights.users += 1

    def release(self, model: str, adapter: str) -> tuple[str, ...]:
        """Count one request fewer; return the names of the weights that were removed with it."""
        removed = []
        for weights in self._used_by(model, adapter):
            weights.users -= 1
            if weights.state is WeightState.UNLOADING and weights.users == 0:
                self._remove(weights.name)
                removed.append(weights.name)
        return tuple(removed)

    def _capacity_error(self, size_bytes: int, pinned_kv_bytes: int) -> OrderError | None:
        if self.used_bytes() + size_bytes + pinned_kv_bytes > self.memory_bytes:
            return OrderError.MEMORY
        loading = sum(1 for weights in self._all() if weights.state is WeightState.LOADING)
        if loading >= self._max_concurrent_loads:
            return OrderError.BUSY
        return None

    def _result_for_existing(self, weights: Weights) -> OrderResult:
        if weights.state is WeightState.UNLOADING:
            return OrderResult(OrderError.BUSY)
        return OrderResult(is_already_done=True)

    def _begin_unload(self, table: dict[str, Weights], weights: Weights) -> list[str]:
        if weights.users:
            weights.state = WeightState.UNLOADING
            return []
        del table[weights.name]
        return [weights.name]

    def _adapters_of(self, model: str) -> list[Weights]:
        return [weights for weights in self.adapters.values() if weights.base_model == model]

    def _used_by(self, model: str, adapter: str) -> list[Weights]:
        used = [self.models.get(model), self.adapters.get(adapter)]
        return [weights for weights in used if weights is not None]

    def _find(self, name: str) -> Weights | None:
        return self.models.get(name) or self.adapters.get(name)

    def _remove(self, name: str) -> None:
        self.models.pop(name, None)
        self.adapters.pop(name, None)

    def _all(self) -> list[Weights]:
        return [*self.models.values(), *self.adapters.values()]


def _is_loaded(weights: Weights | None) -> bool:
    return weights is not None and weights.state is WeightState.LOADED
