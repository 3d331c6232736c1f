"""The intent that placement follows, derived from a forwarding document.

Every pool with an engine is a pool of language-model servers with one weight store; its models and
their adapters are declared resources. Unchanged parts of the document give the same objects.
"""

from __future__ import annotations

import attrs

from zincvale.model.control_tables import Intent
from zincvale.model.forwarding import Engine, ForwardingDocument, ForwardPool
from zincvale.model.identifiers import (
    AdapterName,
    ModelName,
    PoolName,
    StoreName,
    ZoneName,
)
from zincvale.model.resources import (
    AdapterSpec,
    ModelSpec,
    PoolKind,
    PoolSpec,
    StoreSpec,
    ZoneSpec,
)

REQUESTS_PER_REPLICA = 8
"""Concurrent requests that one replica of a model serves within usual objectives; an engine has
more slots, but reads prompts one after the other."""
MAX_CONCURRENT_ADAPTER_LOADS = 256
ADAPTER_BYTES_PER_S = 100_000_000_000
"""Adapters load in milliseconds: their store is declared with limits that do not delay them."""


@attrs.frozen
class StoreConfig:
    """How many loads a store allows: `over` times its rate in any `window_s`."""

    window_s: float = 5.0
    over: float = 1.0


@attrs.define
class _PoolResources:
    """The resources derived from one pool, reused while its declaration is the same object."""

    spec: ForwardPool
    pool: PoolSpec
    store: StoreSpec
    adapter_store: StoreSpec
    models: dict[ModelName, ModelSpec]
    adapters: dict[AdapterName, AdapterSpec]


class DocumentIntent:
    """Keeps the derived intent of a changing document; derives only pools that changed."""

    def __init__(self, config: StoreConfig) -> None:
        self._config = config
        self._known: dict[str, _PoolResources] = {}

    def update(self, document: ForwardingDocument) -> Intent:
        """Return the intent of `document`."""
        known: dict[str, _PoolResources] = {}
        for name, spec in document.pools.items():
            cached = self._known.get(name)
            if cached is not None and cached.spec is spec:
                known[name] = cached
            elif spec.engine is not None:
                known[name] = self._resources(name, spec, spec.engine)
        self._known = known
        models: dict[ModelName, ModelSpec] = {}
        adapters: dict[AdapterName, AdapterSpec] = {}
        for resources in known.values():
            models.update(resources.models)
            adapters.update(resources.adapters)
        stores: dict[StoreName, StoreSpec] = {}
        for name, each in known.items():
            stores[StoreName(name)] = each.store
            stores[StoreName(_adapter_store(name))] = each.adapter_store
        return Intent(
            version=document.version,
            zones={ZoneName(zone): ZoneSpec(evacuated=True) for zone in document.evacuated},
            pools={PoolName(name): each.pool for name, each in known.items()},
            stores=stores,
            models=models,
            adapters=adapters,
        )

    def _resources(self, name: str, spec: ForwardPool, engine: Engine) -> _PoolResources:
        models: dict[ModelName, ModelSpec] = {}
        adapters: dict[AdapterName, AdapterSpec] = {}
        for model, each in engine.models.items():
            models[ModelName(model)] = ModelSpec(
                each.weight_bytes,
                store=name,
                pool=name,
                kv_bytes_per_token=0,
                load_s=each.load_s,
            )
            for adapter in each.adapters:
                adapters[AdapterName(f"{model}/{adapter}")] = AdapterSpec(
                    model, each.adapter_bytes, store=_adapter_store(name)
                )
        pool = PoolSpec(
            kind=PoolKind.LANGUAGE_MODEL,
            max_concurrent_per_server=max(1, min(engine.slots, REQUESTS_PER_REPLICA)),
            adapter_slots=engine.adapter_slots,
        )
        return _PoolResources(
            spec, pool, self._store(engine), _store_of_adapters(), models, adapters
        )

    def _store(self, engine: Engine) -> StoreSpec:
        config = self._config
        largest = max((each.weight_bytes for each in engine.models.values()), default=1)
        per_window = int(engine.loads_per_s * config.window_s * config.over)
        return StoreSpec(
            address="",
            bytes_per_second=max(1, int(engine.loads_per_s * config.over * largest * 4)),
            max_concurrent_loads=_loads_at_full_speed(engine),
            loads_per_window=max(1, per_window),
            window_s=config.window_s,
        )


def _adapter_store(pool: str) -> str:
    """Return the name of the store that a pool's adapters come from.

    Adapters load in milliseconds, and the weights' store does not count them.
    """
    return f"{pool}/adapters"


def _store_of_adapters() -> StoreSpec:
    return StoreSpec(
        address="",
        bytes_per_second=ADAPTER_BYTES_PER_S,
        max_concurrent_loads=MAX_CONCURRENT_ADAPTER_LOADS,
    )


def _loads_at_full_speed(engine: Engine) -> int:
    """Return how many concurrent loads use the store's full rate: more slow each other down."""
    times = [each.load_s for each in engine.models.values()]
    mean_s = sum(times) / max(1, len(times))
    return max(1, int(engine.loads_per_s * mean_s))
