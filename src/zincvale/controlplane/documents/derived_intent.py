"""The intent that placement follows, derived from a forwarding document.

Each pool with an engine becomes a pool of language-model servers with one store for weights and one
for adapters; its models and their adapters become declared resources. Unchanged pools of the
document yield the same objects again.
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
more slots, but processes prompts one after the other."""
MAX_CONCURRENT_ADAPTER_LOADS = 256
ADAPTER_BYTES_PER_S = 100_000_000_000
"""Bandwidth of an adapter store. It and `MAX_CONCURRENT_ADAPTER_LOADS` are high enough never to
delay a load: adapters load in milliseconds."""


@attrs.frozen
class StoreConfig:
    """Limit on loads from a store: in any `window_s`, `rate_factor` times what its rate allows."""

    window_s: float = 5.0
    rate_factor: float = 1.0


@attrs.define
class _PoolResources:
    """The resources derived from one pool, reused while the pool's spec is the same object."""

    spec: ForwardPool
    pool: PoolSpec
    store: StoreSpec
    adapter_store: StoreSpec
    models: dict[ModelName, ModelSpec]
    adapters: dict[AdapterName, AdapterSpec]


class IntentDeriver:
    """Derives the intent from a changing document; only pools that changed are derived again."""

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
                known[name] = self._derive_resources(name, spec, spec.engine)
        self._known = known
        models: dict[ModelName, ModelSpec] = {}
        adapters: dict[AdapterName, AdapterSpec] = {}
        for resources in known.values():
            models.update(resources.models)
            adapters.update(resources.adapters)
        stores: dict[StoreName, StoreSpec] = {}
        for name, each in known.items():
            stores[StoreName(name)] = each.store
            stores[StoreName(_adapter_store_name(name))] = each.adapter_store
        return Intent(
            version=document.version,
            zones={ZoneName(zone): ZoneSpec(evacuated=True) for zone in document.evacuated},
            pools={PoolName(name): each.pool for name, each in known.items()},
            stores=stores,
            models=models,
            adapters=adapters,
        )

    def _derive_resources(self, name: str, spec: ForwardPool, engine: Engine) -> _PoolResources:
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
                    model, each.adapter_bytes, store=_adapter_store_name(name)
                )
        pool = PoolSpec(
            kind=PoolKind.LANGUAGE_MODEL,
            max_concurrent_per_server=max(1, min(engine.slots, REQUESTS_PER_REPLICA)),
            adapter_slots=engine.adapter_slots,
        )
        return _PoolResources(
            spec, pool, self._weight_store_spec(engine), _adapter_store_spec(), models, adapters
        )

    def _weight_store_spec(self, engine: Engine) -> StoreSpec:
        config = self._config
        largest = max((each.weight_bytes for each in engine.models.values()), default=1)
        per_window = int(engine.loads_per_s * config.window_s * config.rate_factor)
        return StoreSpec(
            address="",
            bytes_per_second=max(1, int(engine.loads_per_s * config.rate_factor * largest * 4)),
            max_concurrent_loads=_loads_at_full_speed(engine),
            loads_per_window=max(1, per_window),
            window_s=config.window_s,
        )


def _adapter_store_name(pool: str) -> str:
    """Return the name of the store that a pool's adapters are loaded from.

    Adapters load in milliseconds and do not count towards the limits of the store for weights.
    """
    return f"{pool}/adapters"


def _adapter_store_spec() -> StoreSpec:
    return StoreSpec(
        address="",
        bytes_per_second=ADAPTER_BYTES_PER_S,
        max_concurrent_loads=MAX_CONCURRENT_ADAPTER_LOADS,
    )


def _loads_at_full_speed(engine: Engine) -> int:
    """Return how many concurrent loads use the store's full rate; more would slow all down."""
    times = [each.load_s for each in engine.models.values()]
    mean_s = sum(times) / max(1, len(times))
    return max(1, int(engine.loads_per_s * mean_s))
